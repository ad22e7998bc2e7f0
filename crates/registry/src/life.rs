//! One life of a server.

use std::fmt;
use std::net::SocketAddr;

use document::Name;
use serde::{Deserialize, Serialize};

/// One start of a server; a later start under the same name is another life.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Life {
    /// The server's name.
    pub server: Name,
    /// When it started, in milliseconds of its own time of day.
    pub born_ms: u64,
}

/// What a server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Which life speaks.
    pub life: Life,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Until when it is slow after its start, by the clock of this process.
    pub cold_until_ms: u64,
    /// The number of this report within the life; an earlier one may arrive later.
    pub heartbeat: u64,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It takes new work.
    Ready,
    /// It finishes what it has and will leave.
    Draining,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.server, self.born_ms)
    }
}
