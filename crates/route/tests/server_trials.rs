//! Guards against servers of unknown speed that are never tried, or by too many requests.

use googletest::prelude::*;
use route::{Familiarity, Trial, TrialDraw};

const KNOWN: Familiarity = Familiarity {
    occupied: 0,
    answers: 12,
    answered_ago_ms: Some(900),
    slowness: 1.0,
    is_paced: false,
    has_reports: false,
};

/// Returns the position on which a draw among some servers falls.
fn drawn(servers: usize, draw: u32) -> Option<usize> {
    let mut trial = TrialDraw::new(servers, draw);
    (0..servers * 2).find(|_| trial.is_next())
}

#[googletest::test]
fn each_server_is_drawn_equally_often_whoever_wins_among_equals() {
    for (servers, winner) in [(1, 0), (3, 0), (3, 2), (20, 7)] {
        let draws = (0..200_000_u32).map(|draw| draw.wrapping_mul(0x9e37_79b9));
        let draws: Vec<_> = draws.filter(|draw| *draw as usize % servers == winner).collect();
        let mut counts = vec![0; servers];
        for draw in &draws {
            counts[drawn(servers, *draw).unwrap()] += 1;
        }
        let equal = draws.len() / servers;
        expect_that!(counts, each(all![gt(&(equal * 3 / 4)), lt(&(equal * 5 / 4))]));
    }
    expect_that!(drawn(0, 7), none());
}

#[googletest::test]
fn unknown_and_outdated_servers_are_tried_one_request_at_a_time() {
    let ago = |slowness, ago_ms| Familiarity { slowness, answered_ago_ms: Some(ago_ms), ..KNOWN };
    for (familiarity, expected) in [
        (KNOWN, Trial::None),
        (Familiarity { answers: 11, ..KNOWN }, Trial::First),
        (Familiarity { answers: 0, has_reports: true, ..KNOWN }, Trial::None),
        (Familiarity { is_paced: true, ..KNOWN }, Trial::First),
        (Familiarity { is_paced: true, occupied: 1, ..KNOWN }, Trial::None),
        (ago(1.0, 1_001), Trial::Again),
        (ago(0.3, 900), Trial::None),
        (ago(3.0, 2_900), Trial::None),
        (ago(3.0, 3_001), Trial::Again),
        (Familiarity { has_reports: true, ..ago(1.0, 9_000) }, Trial::None),
        (Familiarity { answered_ago_ms: None, ..KNOWN }, Trial::None),
    ] {
        expect_that!(familiarity.trial(), eq(expected), "{familiarity:?}");
    }
}
