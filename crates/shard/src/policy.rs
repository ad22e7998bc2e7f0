//! Placement policy: shares by capacity, and moves that balance load.
//!
//! A server's share is the part of the total load that corresponds to its part of the total
//! capacity. Utilization is load divided by capacity.

use registry::Incarnation;

use crate::range_state::RangeState;
use crate::{Config, KeyLoad, KeyRange};

/// A server that may hold ranges.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) incarnation: Incarnation,
    /// Capacity, in slots of a server of ordinary speed.
    pub(crate) capacity: f32,
    /// Load once planned moves are done, in busy slots.
    pub(crate) load: f32,
}

/// A move that would improve the balance.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Move {
    pub(crate) range: KeyRange,
    pub(crate) to: Incarnation,
}

impl Candidate {
    fn utilization_with(&self, more: f32) -> f32 {
        (self.load + more) / self.capacity
    }
}

/// Returns the index of the candidate with the lowest utilization after adding a load, other
/// than `excluded`.
pub(crate) fn least_loaded(
    candidates: &[Candidate],
    load: f32,
    excluded: Option<&Incarnation>,
) -> Option<usize> {
    let allowed =
        (0..candidates.len()).filter(|index| Some(&candidates[*index].incarnation) != excluded);
    allowed.min_by(|&left, &right| {
        let ratio = |index: usize| candidates[index].utilization_with(load);
        ratio(left).total_cmp(&ratio(right))
    })
}

/// Returns the index of the candidate that holds a range beside a small one and has room for it.
///
/// Small ranges of lost servers that go elsewhere stay separate ranges, each with renewals.
pub(crate) fn neighbour_with_room(
    ranges: &[RangeState],
    load: &KeyLoad,
    candidates: &[Candidate],
    index: usize,
) -> Option<usize> {
    let totals = Totals::of(candidates);
    let range = ranges[index].range;
    let moved = load.of(range);
    let neighbours = [index.checked_sub(1), index.checked_add(1)];
    let holders = neighbours.into_iter().flatten().filter_map(|neighbour| {
        let state = ranges.get(neighbour).filter(|state| state.is_settled())?;
        position(candidates, state.planned_owner()?)
    });
    holders.into_iter().find(|index| {
        let candidate = &candidates[*index];
        totals.is_small_for(range, moved, candidate) && totals.has_room(candidate, moved)
    })
}

/// The load and capacity of all candidates together.
struct Totals {
    load: f32,
    capacity: f32,
}

impl Totals {
    fn of(candidates: &[Candidate]) -> Self {
        Self {
            load: candidates.iter().map(|candidate| candidate.load).sum(),
            capacity: candidates.iter().map(|candidate| candidate.capacity).sum(),
        }
    }

    /// Returns the part of the load that corresponds to a candidate's capacity.
    fn share(&self, candidate: &Candidate) -> f32 {
        self.load * candidate.capacity / self.capacity
    }

    /// Returns whether a range has too few keys and too little load to be worth its renewals.
    fn is_small_for(&self, range: KeyRange, load: f32, candidate: &Candidate) -> bool {
        range.count() <= MAX_MERGED_KEYS && load < self.share(candidate) * MAX_MERGED_LOAD_FACTOR
    }

    fn has_room(&self, candidate: &Candidate, load: f32) -> bool {
        candidate.load + load <= self.share(candidate)
    }
}

/// Splits a range among the candidates, each part with the candidate's share of the load.
pub(crate) fn split_by_capacity(
    range: KeyRange,
    load: &KeyLoad,
    candidates: &[Candidate],
) -> Vec<(KeyRange, Incarnation)> {
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let total = load.of(range);
    let mut remaining = Some(range);
    let mut parts = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let Some(range) = remaining else { break };
        let is_last = index + 1 == candidates.len();
        let share = total * candidate.capacity / capacity;
        let split =
            load.split_key(range, share).filter(|_| !is_last).and_then(|key| range.split_at(key));
        let (part, rest) = match split {
            Some((part, rest)) => (part, Some(rest)),
            None => (range, None),
        };
        parts.push((part, candidate.incarnation.clone()));
        remaining = rest;
    }
    parts
}

/// Returns the load of each part into which a range is split when it needs a new holder.
pub(crate) fn split_load(load: &KeyLoad, servers: usize) -> f32 {
    let servers = f32::from(u16::try_from(servers).unwrap_or(u16::MAX)).max(1.0);
    load.total() / servers / SUCCESSORS_PER_SERVER
}

/// About how many servers the keys of a lost or leaving server are spread over.
const SUCCESSORS_PER_SERVER: f32 = 4.0;

/// Finds a move from one of the busiest servers to the idlest, or `None` if none is worth it.
///
/// The busiest server may hold a single key with more load than the server's share. Then the
/// keys beside it move, or keys of the next busiest servers.
pub(crate) fn find_balancing_move(
    ranges: &[RangeState],
    load: &KeyLoad,
    candidates: &[Candidate],
    sources: &mut Sources,
    config: &Config,
) -> Option<Move> {
    let totals = Totals::of(candidates);
    let mean_utilization = totals.load / totals.capacity;
    let tolerance = 1.0 + to_f32(config.tolerance_percent) / 100.0;
    let mut by_utilization: Vec<usize> = (0..candidates.len()).collect();
    by_utilization.sort_unstable_by(|a, b| {
        candidates[*b].utilization_with(0.0).total_cmp(&candidates[*a].utilization_with(0.0))
    });
    let to = &candidates[*by_utilization.last()?];
    let to_share = mean_utilization * to.capacity;
    let is_starved = to.load < to_share * STARVED_FACTOR
        && to_share - to.load > load.deviation_of(to_share) * SIGNIFICANT_DEVIATIONS;
    let min_load = config.min_gain_slots.min(mean_utilization * to.capacity * MIN_MOVE_FACTOR);
    let max_sources = MIN_SOURCES.max(candidates.len() / SERVERS_PER_SOURCE);
    by_utilization.into_iter().take(max_sources).find_map(|index| {
        let from = &candidates[index];
        let utilization = from.utilization_with(0.0);
        let is_overloaded = utilization > mean_utilization * OVERLOAD_FACTOR;
        let target_utilization = if is_overloaded {
            mean_utilization.max(FULL_UTILIZATION.min(utilization / 2.0))
        } else {
            mean_utilization
        };
        let wanted_load = (from.load - mean_utilization * from.capacity)
            .min(target_utilization * to.capacity - to.load);
        let share = mean_utilization * from.capacity;
        let deviation = load.deviation_of(share) * SIGNIFICANT_DEVIATIONS;
        let is_above = from.load > share * tolerance + deviation;
        if !(is_above || is_starved) || wanted_load < min_load {
            return None;
        }
        let held = sources.settled_ranges(index);
        let best = best_range_to_move(ranges, load, held, (from, to), wanted_load);
        if best.is_none() {
            sources.exclude(index);
        }
        let range = best?;
        let moved = load.of(range);
        let max_after = utilization * MAX_AFTER_MOVE_FACTOR;
        // Many moves relieve an overloaded server, each by a small part of its load.
        let is_better = to.utilization_with(moved) < max_after
            && (is_overloaded || from.utilization_with(-moved) < max_after)
            && moved >= min_load;
        if !is_better {
            sources.exclude(index);
        }
        is_better.then(|| Move { range, to: to.incarnation.clone() })
    })
}

/// The settled ranges of each candidate from which a move may still be found.
///
/// Searching all ranges for each of the busiest servers would take most of a leader's time.
#[derive(Debug)]
pub(crate) struct Sources {
    /// The indexes of settled ranges by candidate.
    ranges: Vec<Vec<usize>>,
    /// Candidates without a move that is worth it.
    excluded: Vec<bool>,
}

impl Sources {
    pub(crate) fn new(ranges: &[RangeState], candidates: &[Candidate]) -> Self {
        let mut sources = Self { ranges: Vec::new(), excluded: vec![false; candidates.len()] };
        sources.update(ranges, candidates);
        sources
    }

    /// Finds the settled ranges again, after some have been split or moved.
    pub(crate) fn update(&mut self, ranges: &[RangeState], candidates: &[Candidate]) {
        self.ranges = vec![Vec::new(); candidates.len()];
        for (index, state) in ranges.iter().enumerate().filter(|(_, state)| state.is_settled()) {
            let owner = state.planned_owner().and_then(|owner| position(candidates, owner));
            if let Some(owner) = owner.filter(|owner| !self.excluded[*owner]) {
                self.ranges[owner].push(index);
            }
        }
    }

    fn settled_ranges(&self, candidate: usize) -> &[usize] {
        &self.ranges[candidate]
    }

    fn exclude(&mut self, candidate: usize) {
        self.excluded[candidate] = true;
        self.ranges[candidate].clear();
    }
}

/// Number of standard deviations by which a load has to differ from its share; less is chance.
const SIGNIFICANT_DEVIATIONS: f32 = 1.5;
/// A server below this part of its share gets keys even if no other is above tolerance.
const STARVED_FACTOR: f32 = 0.5;
/// At low load a move has to shift this part of the target's share, where that is less than
/// [`Config::min_gain_slots`]. Smaller moves are not worth their cost.
const MIN_MOVE_FACTOR: f32 = 0.25;
/// A move has to bring the utilization of the busier of its two servers below this part of
/// what the source has now; otherwise a key with too much load for any server would move from
/// one server to the next without end.
const MAX_AFTER_MOVE_FACTOR: f32 = 0.9;
/// Multiple of the mean utilization above which a server is relieved by as many moves as it takes.
const OVERLOAD_FACTOR: f32 = 2.0;
/// Utilization up to which a server is filled to relieve an overloaded one.
const FULL_UTILIZATION: f32 = 0.8;
/// Least number of the busiest servers from which keys may be taken.
const MIN_SOURCES: usize = 4;
/// One more of the busiest servers for this many servers; with many servers, several have a
/// single hot key that no move relieves.
const SERVERS_PER_SOURCE: usize = 8;
/// One more concurrent move for this many servers.
const SERVERS_PER_MOVE: usize = 4;

/// Returns the number of moving ranges at which balancing starts no further move.
///
/// Moves take as long as the work of a request, however many there are. Load that shifts to
/// other keys changes more servers where there are more.
pub(crate) fn max_concurrent_moves(config: &Config, servers: usize) -> usize {
    config.max_concurrent_moves.max(servers / SERVERS_PER_MOVE)
}

/// Returns how many moves that merge ranges may start at once, beside `moving` other moves.
///
/// While load shifts, ranges are split all the time. Once there are many more ranges than
/// servers, they are merged in the meantime as well.
pub(crate) fn max_merges(ranges: usize, servers: usize, moving: usize) -> usize {
    let is_excessive = ranges > servers * MAX_RANGES_PER_SERVER;
    match (is_excessive, moving) {
        (true, _) => (servers / SERVERS_PER_MERGE).max(1),
        (false, 0) => 1,
        (false, _) => 0,
    }
}

/// Number of ranges for each server above which ranges are merged while others move.
const MAX_RANGES_PER_SERVER: usize = 2;
/// One more concurrent merge for this many servers.
const SERVERS_PER_MERGE: usize = 32;

/// Returns the busiest and the idlest server, with their loads as multiples of their shares.
pub(crate) fn busiest_and_idlest(
    candidates: &[Candidate],
) -> Option<((Incarnation, f32), (Incarnation, f32))> {
    let total: f32 = candidates.iter().map(|candidate| candidate.load).sum();
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let relative_load =
        |candidate: &Candidate| candidate.load / candidate.capacity * capacity / total;
    let by_load = |a: &&Candidate, b: &&Candidate| relative_load(a).total_cmp(&relative_load(b));
    let busiest = candidates.iter().max_by(by_load)?;
    let idlest = candidates.iter().min_by(by_load)?;
    let named = |candidate: &Candidate| (candidate.incarnation.clone(), relative_load(candidate));
    Some((named(busiest), named(idlest)))
}

/// Chooses the keys to move between two servers.
///
/// Considers whole ranges that the source holds and parts at either end of one. The choice
/// minimizes the higher utilization of the two servers after the move plus costs for
/// the number of keys and for creating one more range.
fn best_range_to_move(
    ranges: &[RangeState],
    load: &KeyLoad,
    held: &[usize],
    (from, to): (&Candidate, &Candidate),
    wanted_load: f32,
) -> Option<KeyRange> {
    let is_at_target = |index: Option<usize>| {
        index
            .and_then(|index| ranges.get(index))
            .is_some_and(|state| state.planned_owner() == Some(&to.incarnation))
    };
    let cost = |range: KeyRange, adds_no_range: bool| {
        let moved = load.of(range);
        let max_utilization = from.utilization_with(-moved).max(to.utilization_with(moved));
        let keys = to_f32(range.count()) / KEYS_PER_COST_UNIT * KEYS_COST_FACTOR;
        max_utilization
            + (keys + if adds_no_range { 0.0 } else { SPLIT_COST_FACTOR })
                * to.utilization_with(wanted_load)
    };
    let options = held.iter().flat_map(|&index| {
        let range = ranges[index].range;
        let rest = (load.of(range) - wanted_load).max(0.0);
        let left_key = load.split_key(range, wanted_load);
        let right_key = load.split_key(range, rest);
        let left = |key: Option<u16>| {
            let (left, _) = range.split_at(key?)?;
            Some((left, is_at_target(index.checked_sub(1))))
        };
        let right = |key: Option<u16>| {
            let (_, right) = range.split_at(key?)?;
            Some((right, is_at_target(Some(index + 1))))
        };
        // The key at which a part ends may have more load than all of the part.
        let after_left_key = left_key.and_then(|key| key.checked_add(1));
        let before_right_key = right_key.and_then(|key| key.checked_sub(1));
        [
            Some((range, true)),
            left(left_key),
            left(after_left_key),
            right(right_key),
            right(before_right_key),
        ]
    });
    let best = options.flatten().min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)));
    best.map(|(range, _)| range)
}

/// Cost of one more range, as a part of the target's utilization after the move: each range
/// needs renewals of its own.
const SPLIT_COST_FACTOR: f32 = 0.05;
/// Cost of moving [`KEYS_PER_COST_UNIT`] keys, as a part of the target's utilization after
/// the move: moving keys has a cost that grows with their number.
const KEYS_COST_FACTOR: f32 = 0.1;
/// Number of keys that [`KEYS_COST_FACTOR`] refers to.
const KEYS_PER_COST_UNIT: f32 = 4_096.0;

/// Finds a small run of ranges with little load to move to the holder of a larger run beside it.
pub(crate) fn find_merge(
    ranges: &[RangeState],
    load: &KeyLoad,
    candidates: &[Candidate],
) -> Option<Move> {
    let totals = Totals::of(candidates);
    let runs = runs(ranges);
    runs.windows(2).find_map(|pair| {
        let [left, right] = pair else { return None };
        let (small, large) =
            if left.0.count() < right.0.count() { (left, right) } else { (right, left) };
        let (range, to) = (small.0, large.1?);
        let moved = load.of(range);
        let to = &candidates[position(candidates, to)?];
        let is_settled = small.1.is_some();
        (is_settled && totals.is_small_for(range, moved, to) && totals.has_room(to, moved))
            .then(|| Move { range, to: to.incarnation.clone() })
    })
}

/// Returns the runs of adjacent ranges with one holder; the holder is `None` if they are moving.
fn runs(ranges: &[RangeState]) -> Vec<(KeyRange, Option<&Incarnation>)> {
    let mut runs: Vec<(KeyRange, Option<&Incarnation>)> = Vec::new();
    for state in ranges {
        let incarnation = state.planned_owner().filter(|_| state.is_settled());
        if let Some(last) = runs.last_mut()
            && last.1 == incarnation
            && let Some(range) = last.0.join(state.range)
        {
            last.0 = range;
            continue;
        }
        runs.push((state.range, incarnation));
    }
    runs
}

/// Largest number of keys in a run that is moved to join another: moving keys has a cost.
const MAX_MERGED_KEYS: u32 = 512;
/// Load below which a run is moved to join another, as a part of the target's share.
const MAX_MERGED_LOAD_FACTOR: f32 = 0.1;

fn to_f32(number: u32) -> f32 {
    f32::from(u16::try_from(number).unwrap_or(u16::MAX))
}

/// Returns the index of an incarnation among the candidates, which are ordered by name.
pub(crate) fn position(candidates: &[Candidate], incarnation: &Incarnation) -> Option<usize> {
    let by_name = |candidate: &Candidate| candidate.incarnation.server.cmp(&incarnation.server);
    let index = candidates.binary_search_by(by_name).ok()?;
    (candidates[index].incarnation == *incarnation).then_some(index)
}
