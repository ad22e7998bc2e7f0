//! The policy that keeps shards where they are.

use crate::share::{Shares, Sizes};
use crate::{Plan, Policy, Request};

/// Keeps owners, spreads what a leaving or lost server held, and evens out shares.
///
/// Shares are evened out only past a trigger, and then to within a target, so
/// that noisy load does not make shards flap.
#[derive(Clone, Copy, Debug)]
pub struct Balanced {
    /// The distance from the fair share at which measured load starts moves.
    pub load_trigger: f64,
}

/// The distance from the fair share that evening out aims for.
const TARGET: f64 = 0.05;
/// The trigger when imbalance weighs at least as much as churn.
const EAGER_TRIGGER: f64 = 0.10;
/// The trigger when churn weighs more than imbalance.
const CALM_TRIGGER: f64 = 0.18;

impl Default for Balanced {
    fn default() -> Self {
        Self { load_trigger: EAGER_TRIGGER }
    }
}

impl Balanced {
    /// Creates the policy for a document's weights.
    #[must_use]
    pub fn from_weights(churn: u32, imbalance: u32) -> Self {
        Self { load_trigger: if churn > imbalance { CALM_TRIGGER } else { EAGER_TRIGGER } }
    }

    fn trigger(self, sizes: &Sizes) -> f64 {
        if sizes.is_measured() { self.load_trigger } else { TARGET }
    }
}

impl Policy for Balanced {
    fn plan(&self, request: &Request) -> Plan {
        let sizes = Sizes::from_request(request);
        let mut draft = Draft::from_owners(request, &sizes);
        draft.place_orphans();
        if !request.is_early && draft.spread() > self.trigger(&sizes) {
            draft.even_out();
        }
        let successors = choose_successors(request, &draft.owners);
        Plan { owners: draft.owners, successors }
    }
}

struct Draft<'a> {
    request: &'a Request,
    sizes: &'a Sizes,
    shares: Shares,
    owners: Vec<Option<usize>>,
}

impl<'a> Draft<'a> {
    fn from_owners(request: &'a Request, sizes: &'a Sizes) -> Self {
        let mut shares = Shares::from_request(request);
        let mut owners = Vec::with_capacity(request.shards.len());
        for (at, shard) in request.shards.iter().enumerate() {
            let owner = shard.owner.filter(|owner| request.servers[*owner].may_take(shard.group));
            if let Some(owner) = owner {
                shares.add(owner, sizes.of(at));
            }
            owners.push(owner);
        }
        Self { request, sizes, shares, owners }
    }

    /// Gives the shards without an owner away, the largest first.
    fn place_orphans(&mut self) {
        let mut orphans: Vec<usize> =
            (0..self.owners.len()).filter(|shard| self.owners[*shard].is_none()).collect();
        orphans.sort_by(|a, b| self.sizes.of(*b).total_cmp(&self.sizes.of(*a)));
        for shard in orphans {
            let owner = self.heir(shard).or_else(|| self.least_used(shard));
            if let Some(owner) = owner {
                self.shares.add(owner, self.sizes.of(shard));
            }
            self.owners[shard] = owner;
        }
    }

    /// Moves shards from servers above their share to servers below it.
    fn even_out(&mut self) {
        for _ in 0..self.owners.len() {
            if self.spread() <= TARGET || !self.move_one() {
                return;
            }
        }
    }

    /// Makes the best move away from the most loaded server that has one.
    fn move_one(&mut self) -> bool {
        let mut donors: Vec<usize> = self.accepting().collect();
        donors.sort_by(|a, b| self.shares.ratio(*b).total_cmp(&self.shares.ratio(*a)));
        for donor in donors {
            if let Some((shard, target)) = self.best_move(donor) {
                let size = self.sizes.of(shard);
                self.shares.remove(donor, size);
                self.shares.add(target, size);
                self.owners[shard] = Some(target);
                return true;
            }
        }
        false
    }

    /// Returns the move that lowers the larger of both ratios the most.
    fn best_move(&self, donor: usize) -> Option<(usize, usize)> {
        let held = (0..self.owners.len()).filter(|shard| self.owners[*shard] == Some(donor));
        held.filter_map(|shard| {
            let target = self.least_used(shard).filter(|target| *target != donor)?;
            let size = self.sizes.of(shard);
            let after =
                self.shares.ratio_with(donor, -size).max(self.shares.ratio_with(target, size));
            Some((after, shard, target))
        })
        .filter(|(after, ..)| *after < self.shares.ratio(donor) - f64::EPSILON)
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, shard, target)| (shard, target))
    }

    /// Returns the successor of a shard that nobody holds: it is granted the shard anyway.
    fn heir(&self, shard: usize) -> Option<usize> {
        let record = &self.request.shards[shard];
        let successor = record.successor.filter(|_| record.owner.is_none())?;
        self.request.servers[successor].may_take(record.group).then_some(successor)
    }

    fn least_used(&self, shard: usize) -> Option<usize> {
        let group = self.request.shards[shard].group;
        let size = self.sizes.of(shard);
        self.accepting().filter(|server| self.request.servers[*server].may_take(group)).min_by(
            |a, b| self.shares.ratio_with(*a, size).total_cmp(&self.shares.ratio_with(*b, size)),
        )
    }

    fn accepting(&self) -> impl Iterator<Item = usize> + use<'_, 'a> {
        (0..self.request.servers.len()).filter(|server| self.request.servers[*server].accepts)
    }

    fn spread(&self) -> f64 {
        self.shares.spread(self.accepting())
    }
}

/// Chooses a successor for each shard so that the loss of one server spreads evenly.
fn choose_successors(request: &Request, owners: &[Option<usize>]) -> Vec<Option<usize>> {
    let count = request.servers.len();
    let mut pairs = vec![0_u32; count * count];
    let mut totals = vec![0_u32; count];
    let mut successors = vec![None; owners.len()];
    for (at, shard) in request.shards.iter().enumerate() {
        let kept = shard.successor.filter(|successor| {
            Some(*successor) != owners[at] && request.servers[*successor].may_take(shard.group)
        });
        if let (Some(successor), Some(owner)) = (kept, owners[at]) {
            pairs[owner * count + successor] += 1;
            totals[successor] += 1;
        }
        successors[at] = kept;
    }
    for (at, shard) in request.shards.iter().enumerate() {
        let (None, Some(owner)) = (successors[at], owners[at]) else {
            continue;
        };
        let data_centre = &request.servers[owner].data_centre;
        let successor = (0..count)
            .filter(|server| *server != owner && request.servers[*server].may_take(shard.group))
            .min_by_key(|server| {
                let is_near = request.servers[*server].data_centre == *data_centre;
                (is_near, pairs[owner * count + server], totals[*server])
            });
        if let Some(successor) = successor {
            pairs[owner * count + successor] += 1;
            totals[successor] += 1;
        }
        successors[at] = successor;
    }
    successors
}
