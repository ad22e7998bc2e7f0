//! Guards against a flood of log lines about requests, and against requests of which only some
//! lines are written.

use std::collections::BTreeMap;

use gateway::LogSampler;
use googletest::prelude::*;

/// Ten times the average rate.
const OFFERED_PER_S: u64 = 1_500;
const AVERAGE_PER_S: u64 = 150;
const MAX_PER_S: u64 = 300;

/// Offers three lines for each request of a second; returns how many were written for each.
fn offer(sampler: &LogSampler, second: u64) -> BTreeMap<String, u32> {
    let mut written = BTreeMap::new();
    for line in 0..3 {
        for number in 0..OFFERED_PER_S / 3 {
            let id = format!("q{second}-{number}");
            let may_write = sampler.may_write(second * 1_000 + line * 300, id.as_bytes());
            *written.entry(id).or_default() += u32::from(may_write);
        }
    }
    written
}

#[googletest::test]
fn no_lines_are_dropped_at_the_average_rate() {
    let sampler = LogSampler::default();
    for number in 0..AVERAGE_PER_S * 10 {
        let may_write =
            sampler.may_write(number * 1_000 / AVERAGE_PER_S, format!("q{number}").as_bytes());
        expect_that!(may_write, eq(true), "line {number}");
    }
    expect_that!(sampler.take_dropped(), eq(0));
}

#[googletest::test]
fn lines_of_a_request_are_kept_together() {
    let sampler = LogSampler::default();
    let first: u32 = offer(&sampler, 1).values().sum();
    expect_that!(u64::from(first), le(MAX_PER_S), "the first second is limited by the maximum");
    for second in 2..20 {
        let written = offer(&sampler, second);
        let total = u64::from(written.values().sum::<u32>());
        expect_that!(total, le(MAX_PER_S));
        expect_that!(total, ge(AVERAGE_PER_S / 2), "the rate is used");
        expect_that!(written.values().filter(|lines| ![0, 3].contains(*lines)).count(), eq(0));
    }
}

#[googletest::test]
fn no_lines_are_dropped_after_a_burst() {
    let sampler = LogSampler::default();
    offer(&sampler, 1);
    offer(&sampler, 2);
    expect_that!(sampler.take_dropped(), gt(0));
    // This second still has the share of the burst; in the next one no line is dropped.
    sampler.may_write(3_000, b"q-last");
    sampler.take_dropped();
    for number in 0..AVERAGE_PER_S {
        sampler.may_write(4_000, format!("q{number}").as_bytes());
    }
    expect_that!(sampler.take_dropped(), eq(0));
}
