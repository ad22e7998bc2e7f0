//! The messages between the control state machines of different daemons.

use std::sync::Arc;

use document::{Name, Revision};
use lease::{LeaderEpoch, ShardId, Term, Vote};

use crate::Record;

/// A record with the revision that the store gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordCopy {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Arc<Record>,
}

/// An announced write of the record, which may take effect until another write does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Intent {
    /// The number of the write in its controller's leader epoch.
    pub number: u64,
    /// The revision that the write replaces.
    pub replaced_revision: Revision,
    /// The record to write.
    pub record: Arc<Record>,
}

/// The stage that the sender of a promise request has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The candidate asks whether it would get the promise; the voter gives none.
    ///
    /// This keeps a candidate that cannot win from disturbing a controller.
    Probing,
    /// The candidate requests the promise.
    Requesting,
    /// The controller renews its promises.
    Leading,
}

/// Sent by a candidate or controller to request a voter's promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromiseRequest {
    /// The instance that requests the promise.
    pub candidate: Name,
    /// The leader epoch of the candidate or controller.
    pub leader_epoch: LeaderEpoch,
    /// The term that the promise is requested for.
    pub term: Term,
    /// The stage of the candidate or controller.
    pub stage: Stage,
    /// When it was sent, on the sender's clock; the reply repeats it.
    pub requested_at_ms: u64,
    /// The revision of the newest record that the sender knows.
    pub record_revision: Revision,
    /// That record, if the voter has not acknowledged it.
    pub record: Option<RecordCopy>,
    /// The intents that may take effect and that the voter has not acknowledged.
    pub intents: Vec<Intent>,
    /// The incarnation in which the voter last answered the sender; 0 if it never has.
    pub voter_incarnation: u64,
}

/// A voter's answer to a [`PromiseRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromiseReply {
    /// The voter.
    pub voter: Name,
    /// The leader epoch of the request.
    pub leader_epoch: LeaderEpoch,
    /// The term of the request.
    pub term: Term,
    /// The stage of the request.
    pub stage: Stage,
    /// When the request was sent, on its sender's clock.
    pub requested_at_ms: u64,
    /// The voter's decision.
    pub vote: Vote,
    /// The revision of the newest record that the voter knows.
    ///
    /// 0 until the voter has read the record or a controller has sent it.
    pub record_revision: Revision,
    /// That record, if the sender of the request lacks it.
    pub record: Option<RecordCopy>,
    /// The number of the newest intent in this leader epoch that the voter knows; 0 if none.
    pub intent_number: u64,
    /// The intents that would replace that record and may take effect.
    ///
    /// Empty in a reply to a controller.
    pub intents: Vec<Intent>,
    /// Whether the voter knows every intent that a controller announced.
    ///
    /// False after the voter started, until a controller has updated it.
    pub has_all_intents: bool,
    /// The incarnation of the voter.
    pub voter_incarnation: u64,
}

/// Sent by a daemon to report the table it uses and to extend its route lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The daemon that sends it.
    pub instance: Name,
    /// The incarnation of the daemon.
    pub incarnation: u64,
    /// The time on the daemon's clock when it was sent.
    pub clock_ms: u64,
    /// The term of the daemon's current table.
    pub term: Term,
    /// The leader epoch of that table.
    pub leader_epoch: LeaderEpoch,
    /// The sequence of that table.
    pub sequence: u64,
    /// Whether the daemon has no request in flight to a shard that this table closes.
    pub is_drained: bool,
    /// The revision of the daemon's current document.
    pub document: Revision,
    /// Requests since the last heartbeat, for each shard that had any.
    pub loads: Vec<(ShardId, u32)>,
}

/// A controller's answer to a [`Heartbeat`], which extends a route lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatReply {
    /// The incarnation of the daemon, to whose clock the deadline refers.
    pub incarnation: u64,
    /// The controller's leader epoch.
    pub leader_epoch: LeaderEpoch,
    /// The sequence of the controller's current table.
    pub sequence: u64,
    /// When the route lease expires, on the daemon's clock.
    pub deadline_ms: u64,
}
