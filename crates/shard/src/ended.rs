//! Why a server counts as no longer holding a range, and which grants have no outcome.

use document::Name;
use registry::Incarnation;

use crate::{Fence, KeyRange};

/// A server that no longer holds a range, with the evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedHolder {
    /// The server.
    pub incarnation: Incarnation,
    /// The evidence that it holds the range no longer.
    pub evidence: Evidence,
    /// When the evidence was found.
    pub at_ms: u64,
}

/// What shows that a server holds a range no longer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It accepted none of the grants that it was sent.
    NeverAccepted,
    /// It answered the release that was sent with this fence, and no grant that it was sent may be
    /// carried out after it.
    Released(Fence),
    /// The time of every grant that it was sent has passed, answered or not.
    Expired {
        /// The time until which those may have been valid that are known of the range.
        deadline_ms: u64,
        /// The fence of the release that it answered before, if it did.
        released_with: Option<Fence>,
    },
    /// This server, registered later, has its address, where a release was refused.
    Replaced(Incarnation),
}

/// A grant without an outcome, which its server may have accepted or may still accept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnansweredGrant {
    /// The service that the range belongs to.
    pub service: Name,
    /// The keys.
    pub range: KeyRange,
    /// The server that it was sent to.
    pub to: Incarnation,
    /// The fence of the grant.
    pub fence: Fence,
    /// Whether its answer is no longer awaited.
    pub is_given_up: bool,
    /// The last time until which it may be valid.
    pub deadline_ms: u64,
}
