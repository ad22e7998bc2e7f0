//! The policy that moves as few shards as it can while it keeps the load even.

use crate::load_share::{LoadShares, ShardSizes};
use crate::{Plan, Policy, Request};

/// Keeps current owners, reassigns the shards of leaving or lost servers, and rebalances.
///
/// A server's share is its part of the total load. Rebalancing starts when a share deviates
/// from the fair share by more than a trigger and goes on until all are within a smaller
/// target. The gap between the two keeps noise in the load from moving shards back and forth.
#[derive(Clone, Copy, Debug)]
pub struct Balanced {
    /// The deviation from the fair share, as a fraction of it, above which load is rebalanced.
    pub load_trigger: f64,
}

/// The deviation from the fair share that rebalancing aims for.
///
/// While no shard has load, it is the trigger too.
const TARGET_DEVIATION: f64 = 0.05;
/// The trigger if the document weighs imbalance at least as much as churn.
const DEFAULT_LOAD_TRIGGER: f64 = 0.10;
/// The trigger if the document weighs churn more than imbalance.
const LOW_CHURN_LOAD_TRIGGER: f64 = 0.18;

impl Default for Balanced {
    fn default() -> Self {
        Self { load_trigger: DEFAULT_LOAD_TRIGGER }
    }
}

impl Balanced {
    /// Creates the policy for the weights of churn and imbalance in a document.
    #[must_use]
    pub fn from_weights(churn: u32, imbalance: u32) -> Self {
        Self {
            load_trigger: if churn > imbalance {
                LOW_CHURN_LOAD_TRIGGER
            } else {
                DEFAULT_LOAD_TRIGGER
            },
        }
    }

    fn trigger(self, sizes: &ShardSizes) -> f64 {
        if sizes.has_load() { self.load_trigger } else { TARGET_DEVIATION }
    }
}

impl Policy for Balanced {
    fn plan(&self, request: &Request) -> Plan {
        let sizes = ShardSizes::from_request(request);
        let mut builder = PlanBuilder::from_owners(request, &sizes);
        builder.place_unowned();
        if !request.is_load_unknown && builder.max_deviation() > self.trigger(&sizes) {
            builder.rebalance();
        }
        let successors = choose_successors(request, &builder.owners);
        Plan { owners: builder.owners, successors }
    }
}

struct PlanBuilder<'a> {
    request: &'a Request,
    sizes: &'a ShardSizes,
    shares: LoadShares,
    owners: Vec<Option<usize>>,
}

impl<'a> PlanBuilder<'a> {
    fn from_owners(request: &'a Request, sizes: &'a ShardSizes) -> Self {
        let mut shares = LoadShares::from_request(request);
        let mut owners = Vec::with_capacity(request.shards.len());
        for (position, shard) in request.shards.iter().enumerate() {
            let owner = shard.owner.filter(|owner| request.servers[*owner].may_own(shard.group));
            if let Some(owner) = owner {
                shares.add(owner, sizes.of(position));
            }
            owners.push(owner);
        }
        Self { request, sizes, shares, owners }
    }

    /// Assigns the shards without a usable owner, the largest first.
    fn place_unowned(&mut self) {
        let mut unowned: Vec<usize> =
            (0..self.owners.len()).filter(|shard| self.owners[*shard].is_none()).collect();
        unowned.sort_by(|a, b| self.sizes.of(*b).total_cmp(&self.sizes.of(*a)));
        for shard in unowned {
            let owner = self.promoted_successor(shard).or_else(|| self.least_loaded(shard));
            if let Some(owner) = owner {
                self.shares.add(owner, self.sizes.of(shard));
            }
            self.owners[shard] = owner;
        }
    }

    /// Moves shards one at a time until all shares are within the target or no move helps.
    fn rebalance(&mut self) {
        for _ in 0..self.owners.len() {
            if self.max_deviation() <= TARGET_DEVIATION || !self.move_one() {
                return;
            }
        }
    }

    /// Makes the best move from the most loaded server that has a useful one.
    ///
    /// Returns false if no server has a useful move.
    fn move_one(&mut self) -> bool {
        let mut sources: Vec<usize> = self.accepting().collect();
        sources.sort_by(|a, b| self.shares.ratio(*b).total_cmp(&self.shares.ratio(*a)));
        for source in sources {
            if let Some((shard, target)) = self.best_move(source) {
                let size = self.sizes.of(shard);
                self.shares.remove(source, size);
                self.shares.add(target, size);
                self.owners[shard] = Some(target);
                return true;
            }
        }
        false
    }

    /// Returns the shard and the target of the best move from a server.
    ///
    /// A server's ratio is what it carries as a multiple of its fair share. The best move
    /// minimizes the larger of the two servers' ratios. Returns `None` if no move brings that
    /// below the source's current ratio.
    fn best_move(&self, source: usize) -> Option<(usize, usize)> {
        let held = (0..self.owners.len()).filter(|shard| self.owners[*shard] == Some(source));
        held.filter_map(|shard| {
            let target = self.least_loaded(shard).filter(|target| *target != source)?;
            let size = self.sizes.of(shard);
            let larger_ratio =
                self.shares.ratio_with(source, -size).max(self.shares.ratio_with(target, size));
            Some((larger_ratio, shard, target))
        })
        .filter(|(larger_ratio, ..)| *larger_ratio < self.shares.ratio(source) - f64::EPSILON)
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, shard, target)| (shard, target))
    }

    /// Returns the successor of a shard that has no owner, if it may own the shard.
    ///
    /// Such a shard is granted to its successor anyway, so another owner would cost a move.
    fn promoted_successor(&self, shard: usize) -> Option<usize> {
        let current = &self.request.shards[shard];
        let successor = current.successor.filter(|_| current.owner.is_none())?;
        self.request.servers[successor].may_own(current.group).then_some(successor)
    }

    /// Returns the server that would have the lowest ratio with a shard added.
    fn least_loaded(&self, shard: usize) -> Option<usize> {
        let group = self.request.shards[shard].group;
        let size = self.sizes.of(shard);
        self.accepting().filter(|server| self.request.servers[*server].may_own(group)).min_by(
            |a, b| self.shares.ratio_with(*a, size).total_cmp(&self.shares.ratio_with(*b, size)),
        )
    }

    /// Returns the positions of the servers that may own shards.
    fn accepting(&self) -> impl Iterator<Item = usize> + use<'_, 'a> {
        (0..self.request.servers.len()).filter(|server| self.request.servers[*server].accepts)
    }

    fn max_deviation(&self) -> f64 {
        self.shares.max_deviation(self.accepting())
    }
}

/// Chooses a successor for each shard so that the shards of a lost server spread evenly.
///
/// Current successors stay if they are usable. A new one is in another data centre than the
/// owner if possible.
fn choose_successors(request: &Request, owners: &[Option<usize>]) -> Vec<Option<usize>> {
    let server_count = request.servers.len();
    let mut shards_per_pair = vec![0_u32; server_count * server_count];
    let mut shards_per_successor = vec![0_u32; server_count];
    let mut successors = vec![None; owners.len()];
    for (position, shard) in request.shards.iter().enumerate() {
        let kept = shard.successor.filter(|successor| {
            Some(*successor) != owners[position] && request.servers[*successor].may_own(shard.group)
        });
        if let (Some(successor), Some(owner)) = (kept, owners[position]) {
            shards_per_pair[owner * server_count + successor] += 1;
            shards_per_successor[successor] += 1;
        }
        successors[position] = kept;
    }
    for (position, shard) in request.shards.iter().enumerate() {
        let (None, Some(owner)) = (successors[position], owners[position]) else {
            continue;
        };
        let data_centre = &request.servers[owner].data_centre;
        let successor = (0..server_count)
            .filter(|server| *server != owner && request.servers[*server].may_own(shard.group))
            .min_by_key(|server| {
                let is_same_data_centre = request.servers[*server].data_centre == *data_centre;
                (
                    is_same_data_centre,
                    shards_per_pair[owner * server_count + server],
                    shards_per_successor[*server],
                )
            });
        if let Some(successor) = successor {
            shards_per_pair[owner * server_count + successor] += 1;
            shards_per_successor[successor] += 1;
        }
        successors[position] = successor;
    }
    successors
}
