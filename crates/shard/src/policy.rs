//! Where ranges go: shares by capacity, and moves that even load out.

use registry::Incarnation;

use crate::piece::Piece;
use crate::{KeyLoad, KeyRange, Tuning};

/// A server that may hold ranges.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) incarnation: Incarnation,
    /// How much it can do, in slots of a server of ordinary speed.
    pub(crate) capacity: f32,
    /// How much it has, or will have once planned moves are done, in busy slots.
    pub(crate) load: f32,
}

/// A move that would even load out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Move {
    pub(crate) range: KeyRange,
    pub(crate) to: Incarnation,
}

impl Candidate {
    fn ratio_with(&self, more: f32) -> f32 {
        (self.load + more) / self.capacity
    }
}

/// Returns the position of the candidate that would be loaded least with some more load.
pub(crate) fn least_loaded(candidates: &[Candidate], load: f32) -> Option<usize> {
    (0..candidates.len()).min_by(|&left, &right| {
        let ratio = |at: usize| candidates[at].ratio_with(load);
        ratio(left).total_cmp(&ratio(right))
    })
}

/// Cuts a range into parts for the candidates, each with its share of the load.
pub(crate) fn spread(
    range: KeyRange,
    load: &KeyLoad,
    candidates: &[Candidate],
) -> Vec<(KeyRange, Incarnation)> {
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let total = load.of(range);
    let mut left = Some(range);
    let mut parts = Vec::new();
    for (at, candidate) in candidates.iter().enumerate() {
        let Some(range) = left else { break };
        let is_last = at + 1 == candidates.len();
        let share = total * candidate.capacity / capacity;
        let cut = load.cut(range, share).filter(|_| !is_last).and_then(|key| range.split_at(key));
        let (part, rest) = match cut {
            Some((part, rest)) => (part, Some(rest)),
            None => (range, None),
        };
        parts.push((part, candidate.incarnation.clone()));
        left = rest;
    }
    parts
}

/// Returns the load of the parts that a piece is cut into when its holder leaves.
pub(crate) fn portion(load: &KeyLoad, servers: usize) -> f32 {
    let servers = f32::from(u16::try_from(servers).unwrap_or(u16::MAX)).max(1.0);
    load.total() / servers / PORTIONS
}

/// A leaving server's keys go to about this many others.
const PORTIONS: f32 = 4.0;

/// Finds the move that evens load out most, or `None` if none is worth it.
///
/// The busiest server may have a single key that is more than its share; then the keys
/// beside it go, and so may keys of the next busiest ones.
pub(crate) fn even_out(
    pieces: &[Piece],
    load: &KeyLoad,
    candidates: &[Candidate],
    tuning: &Tuning,
) -> Option<Move> {
    let total: f32 = candidates.iter().map(|candidate| candidate.load).sum();
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let level = total / capacity;
    let tolerance = 1.0 + to_f32(tuning.tolerance_percent) / 100.0;
    let mut by_ratio: Vec<&Candidate> = candidates.iter().collect();
    by_ratio.sort_unstable_by(|a, b| b.ratio_with(0.0).total_cmp(&a.ratio_with(0.0)));
    let to = by_ratio.last()?;
    let is_starved = to.ratio_with(0.0) < level * STARVED_PART;
    let least = tuning.least_gain_slots.min(level * to.capacity * LEAST_PART);
    by_ratio.iter().take(MOST_SOURCES).find_map(|from| {
        let amount = (from.load - level * from.capacity).min(level * to.capacity - to.load);
        let is_above = from.ratio_with(0.0) > level * tolerance;
        if !(is_above || is_starved) || amount < least {
            return None;
        }
        let range = slice(pieces, load, from, to, amount)?;
        let moved = load.of(range);
        let highest = from.ratio_with(-moved).max(to.ratio_with(moved));
        let is_better = highest < from.ratio_with(0.0) * IMPROVED_PART && moved >= least;
        is_better.then(|| Move { range, to: to.incarnation.clone() })
    })
}

/// A server with less than this part of its share gets keys even if none has too many.
const STARVED_PART: f32 = 0.5;
/// A move of less than this part of a server's share is not worth it, however little load
/// there is.
const LEAST_PART: f32 = 0.25;
/// A move has to bring the busier of its two servers down to this part, or a key that is
/// too much for every server would go round among them.
const IMPROVED_PART: f32 = 0.9;
/// From how many of the busiest servers keys may be taken.
const MOST_SOURCES: usize = 4;

/// Returns the busiest and the idlest server, with their loads against their shares.
pub(crate) fn extremes(
    candidates: &[Candidate],
) -> Option<((Incarnation, f32), (Incarnation, f32))> {
    let total: f32 = candidates.iter().map(|candidate| candidate.load).sum();
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let against = |candidate: &Candidate| candidate.load / candidate.capacity * capacity / total;
    let by_load = |a: &&Candidate, b: &&Candidate| against(a).total_cmp(&against(b));
    let busiest = candidates.iter().max_by(by_load)?;
    let idlest = candidates.iter().min_by(by_load)?;
    let named = |candidate: &Candidate| (candidate.incarnation.clone(), against(candidate));
    Some((named(busiest), named(idlest)))
}

/// Finds the keys to take from a server: those that leave the two servers most alike, and
/// of equally good ones the fewest.
fn slice(
    pieces: &[Piece],
    load: &KeyLoad,
    from: &Candidate,
    to: &Candidate,
    amount: f32,
) -> Option<KeyRange> {
    let of_server = pieces
        .iter()
        .enumerate()
        .filter(|(_, piece)| piece.is_settled() && piece.final_life() == Some(&from.incarnation));
    let is_next_to = |at: Option<usize>| {
        at.and_then(|at| pieces.get(at))
            .is_some_and(|piece| piece.final_life() == Some(&to.incarnation))
    };
    let cost = |range: KeyRange, joins: bool| {
        let moved = load.of(range);
        let highest = from.ratio_with(-moved).max(to.ratio_with(moved));
        let keys = to_f32(range.count()) / MANY_KEYS * KEYS_COST;
        highest + (keys + if joins { 0.0 } else { CUT_COST }) * to.ratio_with(amount)
    };
    let options = of_server.flat_map(|(at, piece)| {
        let range = piece.range;
        let rest = (load.of(range) - amount).max(0.0);
        let left = load.cut(range, amount).and_then(|key| range.split_at(key));
        let right = load.cut(range, rest).and_then(|key| range.split_at(key));
        [
            Some((range, true)),
            left.map(|(left, _)| (left, is_next_to(at.checked_sub(1)))),
            right.map(|(_, right)| (right, is_next_to(Some(at + 1)))),
        ]
    });
    let best = options.flatten().min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)));
    best.map(|(range, _)| range)
}

/// What one more cut costs, against a server's load: each range is renewed by itself.
const CUT_COST: f32 = 0.05;
/// What moving many keys costs, against a server's load: keys that change hands have a
/// price by their number.
const KEYS_COST: f32 = 0.1;
const MANY_KEYS: f32 = 4_096.0;

/// Finds a small, quiet run of one server's pieces, and joins it to a larger run beside it.
pub(crate) fn join(pieces: &[Piece], load: &KeyLoad, candidates: &[Candidate]) -> Option<Move> {
    let total: f32 = candidates.iter().map(|candidate| candidate.load).sum();
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let runs = runs(pieces);
    runs.windows(2).find_map(|pair| {
        let [left, right] = pair else { return None };
        let (small, large) =
            if left.0.count() < right.0.count() { (left, right) } else { (right, left) };
        let (range, to) = (small.0, large.1?);
        let moved = load.of(range);
        let to = candidates.iter().find(|candidate| candidate.incarnation == *to)?;
        let share = total * to.capacity / capacity;
        let is_quiet = range.count() <= JOINED_KEYS && moved < share * JOINED_PART;
        let is_settled = small.1.is_some();
        let has_room = to.load + moved <= share;
        (is_quiet && is_settled && has_room).then(|| Move { range, to: to.incarnation.clone() })
    })
}

/// Returns the ranges that lie side by side with one holder; `None` for those on the move.
fn runs(pieces: &[Piece]) -> Vec<(KeyRange, Option<&Incarnation>)> {
    let mut runs: Vec<(KeyRange, Option<&Incarnation>)> = Vec::new();
    for piece in pieces {
        let incarnation = piece.final_life().filter(|_| piece.is_settled());
        if let Some(last) = runs.last_mut()
            && last.1 == incarnation
            && let Some(range) = last.0.join(piece.range)
        {
            last.0 = range;
            continue;
        }
        runs.push((piece.range, incarnation));
    }
    runs
}

/// Pieces with more keys than this are worth keeping: moving them has its price.
const JOINED_KEYS: u32 = 512;
/// A piece with more than this part of a server's share is not quiet.
const JOINED_PART: f32 = 0.1;

fn to_f32(number: u32) -> f32 {
    f32::from(u16::try_from(number).unwrap_or(u16::MAX))
}

/// Returns where a life stands among the candidates.
pub(crate) fn position(candidates: &[Candidate], incarnation: &Incarnation) -> Option<usize> {
    candidates.iter().position(|candidate| candidate.incarnation == *incarnation)
}
