//! What reaches the control thread.

use control::{RecordCopy, WriteOutcome};
use document::{Name, Revision};
use lease::Report;
use operator::{Error, Explanation, StatusAnswer};
use peer::Packet;
use store::Changes;
use tokio::sync::oneshot;

/// Something for the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A packet from a daemon, maybe this one.
    Packet(Packet),
    /// A server's answer to an order; `None` when there was none.
    Report { service: Name, server: Name, report: Option<Report> },
    /// The store's answer to a read of a record.
    RecordRead { service: Name, copy: Option<RecordCopy> },
    /// How a write of a record ended.
    Written { service: Name, number: u64, outcome: WriteOutcome },
    /// Documents that changed in the store.
    Documents(Changes),
    /// Instances that changed in the store.
    Instances(Changes),
    /// A question from an operator.
    Question(Question),
}

/// A question that the control thread answers.
#[derive(Debug)]
pub(crate) enum Question {
    /// Where a key's requests go.
    Explain { service: Name, key: String, answer: oneshot::Sender<Result<Explanation, Error>> },
    /// The state of everything.
    Status(oneshot::Sender<StatusAnswer>),
    /// The whole state of this daemon.
    Dump(oneshot::Sender<String>),
    /// Whether this daemon can serve.
    Ready(oneshot::Sender<bool>),
    /// An edit was accepted here.
    Accepted { service: Name, revision: Revision, text: Name },
}
