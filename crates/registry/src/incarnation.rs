//! What a server reports about itself.

use std::fmt;
use std::net::SocketAddr;

use document::Name;
use serde::{Deserialize, Serialize};

/// One start of a server; a later start under the same name is another incarnation.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Incarnation {
    /// The server's name.
    pub server: Name,
    /// When it started, in milliseconds by the server's own clock.
    pub born_ms: u64,
}

/// A server's report about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// The incarnation that sent the report.
    pub incarnation: Incarnation,
    /// The service that the server belongs to.
    pub service: Name,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
    pub data_centre: Name,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub stage: Stage,
    /// When the server has warmed up after its start, in milliseconds of this process's clock.
    pub warm_at_ms: u64,
    /// The number of this report within the incarnation; reports may arrive out of order.
    pub heartbeat: u64,
}

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The server accepts new work.
    Ready,
    /// The server finishes its current work and then leaves.
    Draining,
}

impl Incarnation {
    /// Parses the text that [`Display`](fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (server, born_ms) = text.rsplit_once('@')?;
        Some(Self { server: Name::from(server), born_ms: born_ms.parse().ok()? })
    }
}

// Operators read this text in logs and dumps, so it keeps the type's earlier name.
impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Life")
            .field("server", &self.server)
            .field("born_ms", &self.born_ms)
            .finish()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.server, self.born_ms)
    }
}
