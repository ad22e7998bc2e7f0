//! The baseline policy: rendezvous hashing, which ignores current owners and load.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Plan, Policy, Request};

/// Ranks the servers of each shard by a hash of the shard and the server's name.
///
/// The first becomes the owner and the second the successor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn plan(&self, request: &Request) -> Plan {
        let mut plan = Plan::default();
        for shard in &request.shards {
            let mut ranked: Vec<(u64, usize)> = request
                .servers
                .iter()
                .enumerate()
                .filter(|(_, server)| server.may_own(shard.group))
                .map(|(position, server)| {
                    (xxh3_64_with_seed(server.name.as_bytes(), u64::from(shard.id)), position)
                })
                .collect();
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            plan.owners.push(ranked.first().map(|(_, position)| *position));
            plan.successors.push(ranked.get(1).map(|(_, position)| *position));
        }
        plan
    }
}
