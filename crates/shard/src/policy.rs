//! Where ranges go: shares by capacity, and moves that even load out.

use registry::Life;

use crate::piece::Piece;
use crate::{KeyLoad, KeyRange, Tuning};

/// A server that may hold ranges.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) life: Life,
    /// How much it can do, in slots of a server of ordinary speed.
    pub(crate) capacity: f32,
    /// How much it has, or will have once planned moves are done, in busy slots.
    pub(crate) load: f32,
}

/// A move that would even load out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Move {
    pub(crate) range: KeyRange,
    pub(crate) to: Life,
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
) -> Vec<(KeyRange, Life)> {
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
        parts.push((part, candidate.life.clone()));
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
pub(crate) fn even_out(
    pieces: &[Piece],
    load: &KeyLoad,
    candidates: &[Candidate],
    tuning: &Tuning,
) -> Option<Move> {
    let total: f32 = candidates.iter().map(|candidate| candidate.load).sum();
    let capacity: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let share = |candidate: &Candidate| total * candidate.capacity / capacity;
    let ratio = |candidate: &Candidate| candidate.load / candidate.capacity;
    let from = candidates.iter().max_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
    let to = candidates.iter().min_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
    let tolerance = 1.0 + to_f32(tuning.tolerance_percent) / 100.0;
    let is_above = from.load > share(from) * tolerance;
    let is_below = to.load < share(to) * STARVED_PART;
    let amount = (from.load - share(from)).min(share(to) - to.load);
    if !(is_above || is_below) || amount < tuning.least_gain_slots {
        return None;
    }
    let range = slice(pieces, load, from, to, amount)?;
    // One key that is more than the difference would only move the trouble.
    let moved = load.of(range);
    let is_better = to.ratio_with(moved) < ratio(from);
    is_better.then(|| Move { range, to: to.life.clone() })
}

/// A server with less than this part of its share gets keys even if none has too many.
const STARVED_PART: f32 = 0.5;

/// Finds the keys to take from a server: the densest piece, cut to the amount.
fn slice(
    pieces: &[Piece],
    load: &KeyLoad,
    from: &Candidate,
    to: &Candidate,
    amount: f32,
) -> Option<KeyRange> {
    let is_movable = |piece: &&Piece| {
        piece.is_settled() && piece.holder.as_ref().is_some_and(|holder| holder.life == from.life)
    };
    // Whole pieces that fit best come first: they leave no more pieces than before.
    let whole = pieces
        .iter()
        .filter(is_movable)
        .map(|piece| (piece.range, load.of(piece.range)))
        .filter(|(_, load)| *load <= amount && *load >= amount * FITTING_PART)
        .max_by(|a, b| a.1.total_cmp(&b.1));
    if let Some((range, _)) = whole {
        return Some(range);
    }
    let (at, piece) = pieces
        .iter()
        .enumerate()
        .filter(|(_, piece)| is_movable(piece))
        .max_by(|a, b| load.of(a.1.range).total_cmp(&load.of(b.1.range)))?;
    let range = piece.range;
    let is_next_to = |at: Option<usize>| {
        at.and_then(|at| pieces.get(at)).is_some_and(|piece| piece.final_life() == Some(&to.life))
    };
    let rest = load.of(range) - amount;
    let left_cut = load.cut(range, amount).and_then(|key| range.split_at(key));
    let right_cut = load.cut(range, rest.max(0.0)).and_then(|key| range.split_at(key));
    let left = left_cut.map(|(left, _)| left);
    let right = right_cut.map(|(_, right)| right);
    if is_next_to(at.checked_sub(1)) {
        return left.or(right);
    }
    if is_next_to(Some(at + 1)) {
        return right.or(left);
    }
    // The denser side moves fewer keys.
    match (left, right) {
        (Some(left), Some(right)) if right.count() < left.count() => Some(right),
        (Some(left), _) => Some(left),
        (None, right) => right,
    }
}

/// A piece with at least this part of the wanted load is moved whole.
const FITTING_PART: f32 = 0.6;

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
        let to = candidates.iter().find(|candidate| candidate.life == *to)?;
        let share = total * to.capacity / capacity;
        let is_quiet = range.count() <= JOINED_KEYS && moved < share * JOINED_PART;
        let is_settled = small.1.is_some();
        let has_room = to.load + moved <= share;
        (is_quiet && is_settled && has_room).then(|| Move { range, to: to.life.clone() })
    })
}

/// Returns the ranges that lie side by side with one holder; `None` for those on the move.
fn runs(pieces: &[Piece]) -> Vec<(KeyRange, Option<&Life>)> {
    let mut runs: Vec<(KeyRange, Option<&Life>)> = Vec::new();
    for piece in pieces {
        let life = piece.final_life().filter(|_| piece.is_settled());
        if let Some(last) = runs.last_mut()
            && last.1 == life
            && let Some(range) = last.0.join(piece.range)
        {
            last.0 = range;
            continue;
        }
        runs.push((piece.range, life));
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
pub(crate) fn position(candidates: &[Candidate], life: &Life) -> Option<usize> {
    candidates.iter().position(|candidate| candidate.life == *life)
}
