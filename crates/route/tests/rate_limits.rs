//! Guards against rate limits that are read wrongly.

use route::{Rate, RateLimiter, Turn};

#[test]
fn decimal_numbers_are_rates() {
    let milli = |text| Rate::parse(text).map(Rate::milli_per_s);
    assert_eq!(milli("5.2"), Some(5_200));
    assert_eq!(milli(" 40 "), Some(40_000));
    assert_eq!(milli("0"), Some(0));
    assert_eq!(milli("0.0004"), Some(0));
}

#[test]
fn other_texts_are_no_limit() {
    for text in ["", ".", "-1", "+5", "1e3", "inf", "NaN", "5,2", "5.2.1", "99999999999999999999"] {
        assert_eq!(Rate::parse(text), None, "{text}");
    }
}

/// A limit of five a second.
const RATE: Rate = Rate::from_milli_per_s(5_000);

/// Counts the turns of each millisecond in which requests come faster than the limit.
fn turns(limiter: &mut RateLimiter, from_ms: u64, for_ms: u64, max_wait_ms: u64) -> Vec<u64> {
    let mut turns = Vec::new();
    for now_ms in from_ms..from_ms + for_ms {
        while let Turn::In { wait_ms } = limiter.take(now_ms, max_wait_ms, RATE) {
            turns.push(now_ms + wait_ms);
        }
    }
    turns
}

#[test]
fn turns_keep_to_the_rate() {
    let mut limiter = RateLimiter::new(10_000, RATE, 0);
    let turns = turns(&mut limiter, 10_000, 4_000, 0);
    assert!((20..=21).contains(&turns.len()), "{turns:?}");
}

#[test]
fn unused_time_allows_only_a_short_burst() {
    let mut limiter = RateLimiter::new(0, RATE, 0);
    let turns = turns(&mut limiter, 60_000, 4_000, 0);
    assert!((22..=23).contains(&turns.len()), "half a second's requests more: {turns:?}");
}

#[test]
fn waiting_requests_get_turns_of_their_own() {
    let mut limiter = RateLimiter::new(1_000, RATE, 0);
    assert_eq!(limiter.take(1_000, 450, RATE), Turn::In { wait_ms: 0 });
    assert_eq!(limiter.take(1_000, 450, RATE), Turn::In { wait_ms: 200 });
    assert_eq!(limiter.take(1_000, 450, RATE), Turn::In { wait_ms: 400 });
    assert_eq!(limiter.take(1_000, 450, RATE), Turn::Full { remaining_ms: 150 });
    assert_eq!(limiter.take(1_150, 450, RATE), Turn::In { wait_ms: 450 });
}

#[test]
fn limiters_of_many_daemons_do_not_start_together() {
    const DAEMONS: u32 = 80;
    let share = RATE.part(DAEMONS);
    let mut first_second = 0;
    for daemon in 0..DAEMONS {
        let random = daemon * (u32::MAX / DAEMONS);
        let mut limiter = RateLimiter::new(0, share, random);
        let is_early = matches!(limiter.take(1_000, 0, share), Turn::In { .. });
        first_second += u32::from(is_early);
    }
    assert!(first_second <= 6, "{first_second} of {DAEMONS} in the first second");
}

#[test]
fn rate_of_zero_has_no_turns() {
    let none = Rate::from_milli_per_s(0);
    let mut limiter = RateLimiter::new(0, none, u32::MAX);
    assert!(matches!(limiter.take(60_000, 1_000, none), Turn::Full { .. }));
}
