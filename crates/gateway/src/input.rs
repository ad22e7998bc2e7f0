//! What reaches the control thread.

use document::{Name, Revision};
use peer::FleetFrame;
use shard::{Epoch, OrderId, Record, Reply};
use store::{Entry, LeaseId};
use tokio::sync::oneshot;

use crate::Settings;

/// Something for the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// All values of a topic.
    Listed(Topic, Vec<Entry>, Read),
    /// Values of a topic that changed.
    Changed(Topic, Vec<Entry>, Read),
    /// Whether the store answers this daemon.
    StoreAnswers(bool),
    /// How a campaign ended.
    Campaigned(Option<Victory>),
    /// The leader's lease was kept.
    Kept { authority_deadline_ms: u64 },
    /// The leader's lease could not be kept.
    NotKept,
    /// The leader's lease has ended.
    LeaseEnded,
    /// What became of an order.
    Answered(OrderId, Reply),
    /// How a write of a record ended.
    Written { service: Name, number: u64, outcome: WriteOutcome },
    /// What the store's records say, for a daemon that hears of no leader.
    Records(Vec<StoredRecord>),
    /// A message from another daemon.
    Frame(FleetFrame),
    /// New settings.
    Reload(Box<Settings>),
    /// The whole state, as JSON.
    Dump(oneshot::Sender<String>),
}

/// When and up to where the store was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Read {
    /// The store's revision up to which changes are included.
    pub(crate) revision: Revision,
    /// When the answer came, by the control thread's clock.
    pub(crate) at_ms: u64,
}

/// What is followed in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Topic {
    /// The site's document.
    Site,
    /// The servers' entries.
    Servers,
    /// The daemons and their leader.
    Fleet,
}

/// An election that was won.
#[derive(Debug)]
pub(crate) struct Victory {
    pub(crate) epoch: Epoch,
    pub(crate) lease: LeaseId,
    pub(crate) authority_deadline_ms: u64,
    pub(crate) records: Vec<StoredRecord>,
}

/// A record with its place in the store.
#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    pub(crate) service: Name,
    pub(crate) revision: Revision,
    pub(crate) record: Record,
}

/// How a write of a record ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// It is durable, with this revision.
    Done(Revision),
    /// It is not durable; the record has this revision, if it is known.
    Failed(Option<Revision>),
    /// Somebody else leads.
    Deposed,
}
