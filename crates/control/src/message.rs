//! What the control parts of two daemons tell each other.

use std::sync::Arc;

use document::{Name, Revision};
use lease::{LeaderEpoch, ShardId, Term, Vote};

use crate::Record;

/// A record together with the revision that the store gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordCopy {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Arc<Record>,
}

/// A write of the record that may take effect at any time until another one does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Intent {
    /// The number of the write in its term.
    pub number: u64,
    /// The revision that the write replaces.
    pub over: Revision,
    /// What is written.
    pub record: Arc<Record>,
}

/// How far somebody who asks for a promise is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It asks whether it would get the promise, so as not to disturb a controller.
    Probing,
    /// It asks for the promise.
    Requesting,
    /// It has the promises of a majority and renews them.
    Leading,
}

/// A candidate or controller asks a voter for its promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromiseAsk {
    /// The instance that asks.
    pub candidate: Name,
    /// The leader epoch that it asks for.
    pub leader_epoch: LeaderEpoch,
    /// The term it asks for.
    pub term: Term,
    /// How far the asker is.
    pub stage: Stage,
    /// When it asked, on its own clock; comes back in the reply.
    pub asked_ms: u64,
    /// The newest record that it knows.
    pub record_revision: Revision,
    /// That record, where the voter seems to lack it.
    pub record: Option<RecordCopy>,
    /// The writes that may take effect, where the voter seems to lack them.
    pub intents: Vec<Intent>,
    /// The voter's process that last answered the asker; 0 for none.
    pub voter_incarnation: u64,
}

/// A voter's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromiseReply {
    /// The instance that answers.
    pub voter: Name,
    /// The leader epoch that was asked for.
    pub leader_epoch: LeaderEpoch,
    /// The term that was asked for.
    pub term: Term,
    /// The stage that was asked in.
    pub stage: Stage,
    /// The ask's time, on the asker's clock.
    pub asked_ms: u64,
    /// The answer.
    pub vote: Vote,
    /// The newest record that the voter knows.
    pub record_revision: Revision,
    /// That record, where the asker lacks it.
    pub record: Option<RecordCopy>,
    /// The newest write of the asker's that the voter knows.
    pub intent_number: u64,
    /// The writes over that record that may take effect, for a new candidate.
    pub intents: Vec<Intent>,
    /// Whether the voter remembers all that a controller told it.
    pub is_sure: bool,
    /// The voter's process.
    pub voter_incarnation: u64,
}

/// A daemon tells a controller what it routes by, and asks for a route lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Beat {
    /// The instance that sends it.
    pub instance: Name,
    /// The daemon process.
    pub incarnation: u64,
    /// The daemon's clock.
    pub clock_ms: u64,
    /// The term of the table in force there.
    pub term: Term,
    /// The leader epoch of that table.
    pub leader_epoch: LeaderEpoch,
    /// The sequence of the table in force there.
    pub sequence: u64,
    /// Whether no request is in flight to a shard that this table closes.
    pub is_drained: bool,
    /// The revision of the document in force there.
    pub document: Revision,
    /// Requests by shard since the last beat, for shards with any.
    pub loads: Vec<(ShardId, u32)>,
}

/// A controller's answer to a beat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BeatReply {
    /// The daemon process whose clock the deadline is on.
    pub incarnation: u64,
    /// The controller's leader epoch.
    pub leader_epoch: LeaderEpoch,
    /// The table that the daemon should have.
    pub sequence: u64,
    /// Until when the daemon may forward, on the daemon's clock.
    pub deadline_ms: u64,
}
