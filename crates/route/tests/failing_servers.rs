//! Guards against servers that keep getting requests which they fail, and against the exclusion of
//! so many servers that the others are overloaded.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Exclusions, FailureShare};

/// Returns the state of a server that failed `percent` of 400 requests, 10 ms apart.
fn failed(percent: u32) -> FailureShare {
    let mut random = StdRng::seed_from_u64(1);
    let mut share = FailureShare::default();
    for number in 0..400 {
        share.on_outcome(number * 10, random.random_range(0..100) < percent);
    }
    share
}

fn excluded(shares: &[f32]) -> Vec<usize> {
    let mut exclusions = Exclusions::new(shares.iter().copied());
    let excluded = shares.iter().enumerate().filter(|(_, share)| exclusions.excludes(**share));
    excluded.map(|(index, _)| index).collect()
}

#[googletest::test]
fn server_that_fails_most_requests_is_failing() {
    expect_that!(failed(90).failing(), gt(0.5));
    expect_that!(failed(100).failing(), gt(0.9));
}

#[googletest::test]
fn server_that_fails_few_requests_is_not() {
    expect_that!(failed(0).failing(), eq(0.0));
    expect_that!(failed(5).failing(), eq(0.0));
}

#[googletest::test]
fn few_answered_probes_end_the_exclusion() {
    let mut share = failed(100);
    (0..3).for_each(|number| share.on_outcome(5_000 + number, false));
    expect_that!(share.failing(), eq(0.0));
}

#[googletest::test]
fn exclusion_ends_some_time_after_the_last_failure() {
    let deadline_ms = failed(100).deadline_ms();
    expect_that!(deadline_ms, gt(400 * 10));
    expect_that!(deadline_ms, le(400 * 10 + 10_000));
}

#[googletest::test]
fn failing_servers_are_excluded() {
    expect_that!(excluded(&[0.0, 1.0, 0.0, 0.6, 0.0, 0.0]), elements_are![eq(&1), eq(&3)]);
    expect_that!(excluded(&[0.0; 6]), is_empty());
}

#[googletest::test]
fn at_most_a_third_is_excluded() {
    for servers in 1..=60 {
        for failing in 0..=servers {
            let shares: Vec<f32> =
                (0..servers).map(|index| if index < failing { 1.0 } else { 0.0 }).collect();
            expect_that!(excluded(&shares).len(), eq(failing.min(servers / 3)));
        }
    }
}

#[googletest::test]
fn servers_that_fail_most_are_excluded_first() {
    let shares = [0.6, 1.0, 0.7, 0.6, 0.9, 0.0];
    expect_that!(excluded(&shares), elements_are![eq(&1), eq(&4)]);
}
