//! The messages between a controller and a server.

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

/// The grants, releases and preparations that a controller wants one server to carry out.
///
/// An order is idempotent, so it may be sent repeatedly.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The controller's term.
    pub term: Term,
    /// The controller's leader epoch.
    pub leader_epoch: LeaderEpoch,
    /// The number of the order in its term, which the report repeats.
    pub number: u64,
    /// The server process that the order addresses; `None` only requests a report.
    pub incarnation: Option<u64>,
    /// When the grants expire, in milliseconds of the server's clock.
    pub deadline_ms: u64,
    /// The shards that the server owns until the deadline; grants of others are not extended.
    pub grants: Vec<ShardEpoch>,
    /// The shards to give up as soon as their requests in flight have ended.
    pub releases: Vec<ShardEpoch>,
    /// The shards to load in advance.
    pub prepares: Vec<ShardId>,
}

/// A server's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Whether the server carried out the order.
    pub verdict: Verdict,
    /// The number of the order that is answered.
    pub number: u64,
    /// The server process that sends the report.
    pub incarnation: u64,
    /// The server's clock, in milliseconds.
    pub clock_ms: u64,
    /// The highest term that the server has seen.
    pub term: Term,
    /// The shards that the server owns or has owned, ordered by identity.
    pub shards: Vec<ShardReport>,
    /// The shards that the server loaded in advance.
    pub prepared: Vec<ShardId>,
}

/// Whether a server carried out an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The server carried out the order.
    Followed,
    /// The order was for another server process or for none; the server only reported.
    Reported,
    /// The server has accepted a later term, or another controller in the same term.
    Outdated,
}

/// The state of one shard on a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShardReport {
    /// The shard.
    pub shard: ShardId,
    /// The highest epoch that the server was granted.
    pub epoch: Epoch,
    /// Whether the grant has not expired and the shard is not released.
    pub is_live: bool,
    /// Whether the server gives the shard up but still runs requests for it.
    pub is_closing: bool,
    /// Whether the server gave the shard up; it never serves this epoch again.
    pub is_released: bool,
}
