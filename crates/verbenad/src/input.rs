//! The inputs of the control thread.

use control::{RecordCopy, WriteOutcome};
use document::{Name, Revision};
use lease::Report;
use operator::{Error, Explanation, StatusAnswer};
use peer::{Packet, Received};
use store::Changes;
use tokio::sync::oneshot;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A packet arrived from another daemon, or from this one.
    Packet(Received<Packet>),
    /// The server answered an order or the call failed; `report` is `None` without a valid report.
    OrderEnded { service: Name, server: Name, report: Option<Report> },
    /// The store answered a read of the record; `copy` is `None` if there is no record.
    RecordRead { service: Name, copy: Option<RecordCopy> },
    /// The write of the record with this number ended, with success or not.
    WriteEnded { service: Name, number: u64, outcome: WriteOutcome },
    /// Documents changed in the store.
    Documents(Changes),
    /// Entries of instances changed in the store.
    Instances(Changes),
    /// The operators' or administrators' interface sent a request.
    Request(ControlRequest),
}

/// A request of the operators' or administrators' interface to the control thread.
#[derive(Debug)]
pub(crate) enum ControlRequest {
    /// Return which server gets the requests for a key.
    Explain { service: Name, key: String, reply_to: oneshot::Sender<Result<Explanation, Error>> },
    /// Return the state of every service and instance.
    Status(oneshot::Sender<StatusAnswer>),
    /// Return the complete state of this daemon as JSON.
    Dump(oneshot::Sender<String>),
    /// Return whether this daemon can serve callers.
    Ready(oneshot::Sender<bool>),
    /// Put in force the document of an edit that the store accepted; there is no answer.
    EditAccepted { service: Name, revision: Revision, text: Name },
}
