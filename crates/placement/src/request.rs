//! What a placement decision is made from.

use document::Name;

/// The shards and the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The shards, in any order.
    pub shards: Vec<Shard>,
    /// The servers; shards name them by position.
    pub servers: Vec<Candidate>,
    /// Whether shares may not be evened out yet, for lack of measurements.
    pub is_early: bool,
}

/// One shard, as it is held now.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The identity of the shard.
    pub id: u32,
    /// The position of the key group that it belongs to.
    pub group: usize,
    /// The measured load, in requests a second; 0 when there is no measurement.
    pub load: f64,
    /// The position of the server that holds it; `None` when that one is lost.
    pub owner: Option<usize>,
    /// The position of the server that takes it when the owner is lost.
    pub successor: Option<usize>,
}

/// One server that may hold shards.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The name of the server.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The positions of the key groups it may hold; `None` for all of them.
    pub groups: Option<Vec<usize>>,
    /// Whether it may be given shards.
    pub accepts: bool,
}

impl Shard {
    /// Creates a shard that nobody holds.
    #[must_use]
    pub fn new(id: u32, group: usize) -> Self {
        Self { id, group, load: 0.0, owner: None, successor: None }
    }
}

impl Candidate {
    /// Creates a server that may hold every key group.
    #[must_use]
    pub fn new(name: Name, data_centre: Name, slots: u32) -> Self {
        Self { name, data_centre, slots, groups: None, accepts: true }
    }

    /// Returns whether the server may be given a shard of a key group.
    #[must_use]
    pub fn may_take(&self, group: usize) -> bool {
        self.accepts && self.groups.as_ref().is_none_or(|groups| groups.contains(&group))
    }
}
