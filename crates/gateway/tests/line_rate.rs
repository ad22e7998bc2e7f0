//! Lines about requests keep a rate, and those of one request stay together.
use std::collections::BTreeMap;

use gateway::Lines;
use googletest::prelude::*;

/// Ten times the rate that is meant on average, in lines a second.
const OFFERED_PER_S: u64 = 1_500;
const AVERAGE_PER_S: u64 = 150;
const MOST_PER_S: u64 = 300;

/// Offers three lines about each request of a second; returns what was written of each.
fn offer(lines: &Lines, second: u64) -> BTreeMap<String, u32> {
    let mut written = BTreeMap::new();
    for line in 0..3 {
        for number in 0..OFFERED_PER_S / 3 {
            let id = format!("q{second}-{number}");
            let may = lines.may_write(second * 1_000 + line * 300, id.as_bytes());
            *written.entry(id).or_default() += u32::from(may);
        }
    }
    written
}

#[googletest::test]
fn quiet_seconds_lose_nothing() {
    let lines = Lines::default();
    for number in 0..AVERAGE_PER_S * 10 {
        let may = lines.may_write(number * 1_000 / AVERAGE_PER_S, format!("q{number}").as_bytes());
        expect_that!(may, eq(true), "line {number}");
    }
    expect_that!(lines.take_dropped(), eq(0));
}

#[googletest::test]
fn requests_stay_whole() {
    let lines = Lines::default();
    let first: u32 = offer(&lines, 1).values().sum();
    expect_that!(u64::from(first), le(MOST_PER_S), "the first second is cut at the most");
    for second in 2..20 {
        let written = offer(&lines, second);
        let total = u64::from(written.values().sum::<u32>());
        expect_that!(total, le(MOST_PER_S));
        expect_that!(total, ge(AVERAGE_PER_S / 2), "the rate is used");
        expect_that!(written.values().filter(|lines| ![0, 3].contains(*lines)).count(), eq(0));
    }
}

#[googletest::test]
fn all_lines_come_back_after_a_burst() {
    let lines = Lines::default();
    offer(&lines, 1);
    offer(&lines, 2);
    expect_that!(lines.take_dropped(), gt(0));
    // The second after the burst still has its share; the next one has none left out.
    lines.may_write(3_000, b"q-last");
    lines.take_dropped();
    for number in 0..AVERAGE_PER_S {
        lines.may_write(4_000, format!("q{number}").as_bytes());
    }
    expect_that!(lines.take_dropped(), eq(0));
}
