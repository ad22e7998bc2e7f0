//! What a controller and a server tell each other.

use document::Name;
use serde::{Deserialize, Serialize};

use crate::{Epoch, LeaderEpoch, ShardId, Term};

/// A shard with the fence epoch of one of its owners.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ShardEpoch {
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
}

/// What a controller wants of one server; an order may be sent again.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The controller's term.
    pub term: Term,
    /// The controller's leader epoch.
    pub leader_epoch: LeaderEpoch,
    /// The number of the order in its term; the report repeats it.
    pub number: u64,
    /// The server process that is meant; `None` only asks for a report.
    pub incarnation: Option<u64>,
    /// When the grants end, on the server's clock.
    pub deadline_ms: u64,
    /// Everything that the server is to hold.
    pub grants: Vec<ShardEpoch>,
    /// What the server is to give up once its requests in flight are done.
    pub releases: Vec<ShardEpoch>,
    /// What the server is to load in advance.
    pub prepares: Vec<ShardId>,
}

/// What a server answers to an order.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Whether the order was followed.
    pub verdict: Verdict,
    /// The number of the order.
    pub number: u64,
    /// The server process that answers.
    pub incarnation: u64,
    /// The server's clock.
    pub clock_ms: u64,
    /// The highest term that the server has seen.
    pub term: Term,
    /// What the server holds or has held, by shard.
    pub shards: Vec<Held>,
    /// The shards that are loaded in advance.
    pub prepared: Vec<ShardId>,
}

/// Whether an order was followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The order was followed.
    Followed,
    /// The order was for another server process; only a report was made.
    Reported,
    /// A controller with a later term has been here.
    Outdated,
}

/// One shard, as a server knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Held {
    /// The shard.
    pub shard: ShardId,
    /// The highest epoch that the server was granted.
    pub epoch: Epoch,
    /// Whether the server serves the shard now.
    pub is_live: bool,
    /// Whether the server still runs requests of a shard that it gives up.
    pub is_closing: bool,
    /// Whether the server gave the shard up; this epoch never comes back.
    pub is_released: bool,
}
