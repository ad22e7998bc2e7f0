//! The answer of a placement policy.

use crate::Request;

/// The wanted owner and successor of each shard, in the request's order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The positions of the owners; `None` when no server may hold the shard.
    pub owners: Vec<Option<usize>>,
    /// The positions of the successors; `None` when there is no second server.
    pub successors: Vec<Option<usize>>,
}

/// Decides which server holds which shard.
pub trait Policy {
    /// Plans owners and successors.
    fn plan(&self, request: &Request) -> Plan;
}

impl Plan {
    /// Returns how many shards the plan takes from a server that holds them now.
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
