//! The state of an instance that stands for election as controller.

use document::Name;
use lease::{Authority, LeaderEpoch, Quorum, Term};

use crate::message::Stage;

/// An instance that requests promises from the voters in order to become controller.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// Whether it only probes the voters or requests their promises.
    pub(crate) stage: Stage,
    /// The voters that answered the probe with [`lease::Vote::Promised`].
    pub(crate) probe_votes: Vec<Name>,
    /// The voters that promised and know every intent that earlier controllers announced.
    pub(crate) voters_with_all_intents: Vec<Name>,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    /// When the candidacy is given up.
    pub(crate) deadline_ms: u64,
    /// The promises received so far.
    pub(crate) authority: Authority,
    /// The voters whose majority is needed, from the record known at the start of the candidacy.
    pub(crate) quorum: Quorum,
}
