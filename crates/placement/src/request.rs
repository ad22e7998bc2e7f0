//! The input of a placement decision.

use document::Name;

/// The shards and the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The shards, in any order.
    pub shards: Vec<Shard>,
    /// The servers; shards refer to them by position.
    pub servers: Vec<Candidate>,
    /// Whether load was not measured yet; [`Balanced`](crate::Balanced) then does not rebalance.
    pub is_load_unknown: bool,
}

/// One shard with its current owner and load.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Identifies the shard within the service.
    pub id: u32,
    /// The position of its key group among those of the service.
    pub group: usize,
    /// The measured load in requests per second; 0 if there is no measurement.
    pub load: f64,
    /// The position of the current owner; `None` if there is none or it is lost.
    pub owner: Option<usize>,
    /// The position of the server that takes the shard over when the owner is lost.
    pub successor: Option<usize>,
}

/// One server of the service.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The name of the server.
    pub name: Name,
    /// The data centre in which the server runs.
    pub data_centre: Name,
    /// How many requests the server runs at once; its fair share is proportional to this.
    pub slots: u32,
    /// The positions of the key groups that the server may own; `None` means all.
    pub groups: Option<Vec<usize>>,
    /// Whether the server may own shards at all; one that leaves may not.
    pub accepts: bool,
}

impl Shard {
    /// Creates a shard without an owner, successor or load.
    #[must_use]
    pub fn new(id: u32, group: usize) -> Self {
        Self { id, group, load: 0.0, owner: None, successor: None }
    }
}

impl Candidate {
    /// Creates a server that may own shards of every key group.
    #[must_use]
    pub fn new(name: Name, data_centre: Name, slots: u32) -> Self {
        Self { name, data_centre, slots, groups: None, accepts: true }
    }

    /// Returns whether the server may own shards of a key group.
    #[must_use]
    pub fn may_own(&self, group: usize) -> bool {
        self.accepts && self.groups.as_ref().is_none_or(|groups| groups.contains(&group))
    }
}
