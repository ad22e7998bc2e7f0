//! Placement policies and the plans that they make.

use crate::Request;

/// The planned owner and successor of each shard, in the order of the request's shards.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The owners' positions in [`Request::servers`]; `None` if no server may own the shard.
    pub owners: Vec<Option<usize>>,
    /// The successors' positions in [`Request::servers`]; `None` if no second server may own the
    /// shard.
    pub successors: Vec<Option<usize>>,
}

/// Decides which server owns which shard.
pub trait Policy {
    /// Plans an owner and a successor for every shard of a request.
    fn plan(&self, request: &Request) -> Plan;
}

impl Plan {
    /// Returns how many shards the plan takes away from their current owner.
    #[must_use]
    pub fn count_moves(&self, request: &Request) -> usize {
        request
            .shards
            .iter()
            .zip(&self.owners)
            .filter(|(shard, owner)| shard.owner.is_some() && shard.owner != **owner)
            .count()
    }
}
