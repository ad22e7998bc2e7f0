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
    /// The time until which answered grants to it may have been valid.
    pub grants_until_ms: u64,
}

/// What shows that a server holds a range no longer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It answered the release that was sent with this fence.
    Released(Fence),
    /// It accepted none of the grants that it was sent.
    NeverAccepted,
    /// Its last grant has expired.
    Expired {
        /// The time until which answered grants may have been valid.
        deadline_ms: u64,
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
