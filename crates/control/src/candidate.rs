//! The state of an instance that asks for promises.

use document::Name;
use lease::{Authority, LeaderEpoch, Quorum, Term};

use crate::message::Stage;

/// Somebody who asks voters for their promises.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) stage: Stage,
    pub(crate) promised: Vec<Name>,
    /// The voters that promised and remember all that they were told.
    pub(crate) sure: Vec<Name>,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    pub(crate) deadline_ms: u64,
    pub(crate) authority: Authority,
    pub(crate) quorum: Quorum,
}
