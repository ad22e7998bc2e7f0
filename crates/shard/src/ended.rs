//! Why a server counts as no longer holding a range.

use registry::Incarnation;

use crate::Fence;

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
    /// It answered the release that was sent with this fence.
    Released(Fence),
    /// Its last grant has expired.
    Expired {
        /// The time until which answered grants may have been valid.
        deadline_ms: u64,
    },
    /// This server, registered later, has its address, where a release was refused.
    Replaced(Incarnation),
}
