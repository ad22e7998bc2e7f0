//! Guards against another choice of servers in services whose servers report no load.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Candidate, RemotePenalty, pick};

/// Returns the cost by which such services have always compared servers.
fn cost(candidate: &Candidate, penalty: RemotePenalty) -> f32 {
    let to_f32 = |count: u32| f32::from(u16::try_from(count).unwrap());
    let fullness =
        to_f32(candidate.occupied + 1) / to_f32(candidate.slots.max(1)) * candidate.slowness;
    let remote = if candidate.is_near { 0.0 } else { penalty.0 };
    fullness + remote + if candidate.is_preferred { 0.0 } else { 0.3 }
}

/// Returns the first of the cheapest candidates, in a circle from the drawn one.
fn expected(candidates: &[Candidate], penalty: RemotePenalty, draw: u32) -> Option<usize> {
    let count = candidates.len();
    let first = usize::try_from(draw).unwrap().checked_rem(count)?;
    let is_any_usable = candidates.iter().any(|candidate| !candidate.is_avoided);
    (0..count)
        .map(|offset| (first + offset) % count)
        .filter(|&position| !(is_any_usable && candidates[position].is_avoided))
        .min_by(|&a, &b| cost(&candidates[a], penalty).total_cmp(&cost(&candidates[b], penalty)))
}

/// Returns a candidate; few different figures make equal costs frequent.
fn candidate(random: &mut StdRng) -> Candidate {
    Candidate {
        occupied: random.random_range(0..3),
        slots: random.random_range(0..4),
        slowness: [0.3, 1.0, 8.0][random.random_range(0..3)],
        is_near: random.random_bool(0.5),
        is_preferred: random.random_bool(0.5),
        is_avoided: random.random_bool(0.5),
        expected: None,
    }
}

#[googletest::test]
fn choice_without_reports_is_the_same_as_ever() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let count = random.random_range(0..12);
        let candidates: Vec<_> = (0..count).map(|_| candidate(&mut random)).collect();
        let draw = random.random();
        for penalty in [RemotePenalty::SMALL, RemotePenalty::LARGE] {
            let chosen = pick(&candidates, penalty, draw);
            assert_that!(chosen, eq(expected(&candidates, penalty, draw)), "{candidates:?}");
        }
    }
}
