//! Guards against more requests to a cold server than it survives, whatever happens to keepers.

use route::{ColdLimit, ColdTime, Rate, RateLimiter, Share, SharedTurns, Turn, Warmth};

const TOLERATED: Rate = Rate::from_milli_per_s(4_200);
const OVERAGE_MILLI: u32 = 1_500;
const SLACK: u32 = 8;
/// 4.2 x 1.5 + 8 requests, in thousandths.
const MAX_IN_A_SECOND_MILLI: usize = 14_300;
const DAEMONS: u32 = 33;
/// How long a request for a turn takes to reach the server after the turn was issued, at most.
const MAX_DELAY_MS: u64 = 100;

fn limit() -> ColdLimit {
    ColdLimit::new(TOLERATED, OVERAGE_MILLI, SLACK)
}

/// Returns the turns of a keeper that is asked in every millisecond.
fn keeper_turns(limiter: &mut RateLimiter, from_ms: u64, for_ms: u64) -> Vec<u64> {
    let limit = limit();
    let mut turns = Vec::new();
    for now_ms in from_ms..from_ms + for_ms {
        let mut take = || limiter.take_with_burst(now_ms, 0, limit.rate(), limit.burst_us());
        while let Turn::In { wait_ms } = take() {
            turns.push(now_ms + wait_ms);
        }
    }
    turns
}

fn keeper(now_ms: u64) -> RateLimiter {
    RateLimiter::new(now_ms, limit().rate(), 0)
}

/// Returns the turns of `daemons` of 33 daemons that have lost the keeper.
fn own_turns(
    daemons: std::ops::Range<u32>,
    from_ms: u64,
    for_ms: u64,
    max_wait_ms: u64,
) -> Vec<u64> {
    let rate = limit().rate().part(2);
    let mut turns = Vec::new();
    for position in daemons {
        let mut own = SharedTurns::default();
        let share = Share { position, daemons: DAEMONS };
        for now_ms in from_ms..from_ms + for_ms {
            while let Turn::In { wait_ms } = own.take(now_ms, max_wait_ms, rate, share) {
                turns.push(now_ms + wait_ms);
            }
        }
    }
    turns
}

/// Returns the largest number of requests that arrive in a second.
fn most_in_a_second(mut arrivals: Vec<u64>) -> usize {
    arrivals.sort_unstable();
    let in_window = |from: usize| {
        arrivals[from..].iter().take_while(|at_ms| **at_ms < arrivals[from] + 1_000).count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

fn assert_bound(arrivals: Vec<u64>) {
    let most = most_in_a_second(arrivals);
    assert!(most * 1_000 <= MAX_IN_A_SECOND_MILLI, "{most} requests in a second");
}

/// Delays each arrival by up to `MAX_DELAY_MS`, so that late ones meet early ones.
fn delayed(turns: &[u64]) -> Vec<u64> {
    let delay_ms = |number: usize| MAX_DELAY_MS - MAX_DELAY_MS * (number as u64 % 7) / 6;
    turns.iter().enumerate().map(|(number, at_ms)| at_ms + delay_ms(number)).collect()
}

#[test]
fn burst_is_at_most_a_third_of_the_slack() {
    for slack in [0, 1, 8, 50] {
        let limit = ColdLimit::new(TOLERATED, OVERAGE_MILLI, slack);
        let mut limiter = RateLimiter::new(0, limit.rate(), 0);
        let mut take = || limiter.take_with_burst(60_000, 0, limit.rate(), limit.burst_us());
        let at_once = (0..100).filter(|_| matches!(take(), Turn::In { .. })).count();
        assert!(at_once <= usize::try_from(slack / 3).unwrap().max(1), "{at_once} of {slack}");
    }
}

#[test]
fn one_keeper_uses_the_rate_and_keeps_the_bound() {
    let turns = keeper_turns(&mut keeper(10_000), 10_000, 10_000);
    assert!((63..=64).contains(&turns.len()), "{} in 10 s", turns.len());
    assert_bound(delayed(&turns));
}

#[test]
fn server_that_turns_cold_after_a_quiet_time_keeps_the_bound() {
    // The limiter has served the rate that the server named while it was warm.
    let named = Rate::from_milli_per_s(40_000);
    let mut limiter = RateLimiter::new(0, named, 0);
    assert!(matches!(limiter.take(1_000, 0, named), Turn::In { .. }));
    assert_bound(delayed(&keeper_turns(&mut limiter, 60_000, 5_000)));
}

#[test]
fn two_keepers_keep_the_bound() {
    for offset_ms in (0..400).step_by(7) {
        let mut turns = keeper_turns(&mut keeper(10_000), 10_000, 5_000);
        turns.extend(keeper_turns(&mut keeper(10_000), 10_000 + offset_ms, 5_000));
        assert_bound(delayed(&turns));
    }
}

#[test]
fn change_of_keeper_keeps_the_bound() {
    for changed_at_ms in (12_000..13_000).step_by(13) {
        let mut turns = keeper_turns(&mut keeper(10_000), 10_000, changed_at_ms - 10_000);
        turns.extend(keeper_turns(&mut keeper(0), changed_at_ms, 3_000));
        assert_bound(delayed(&turns));
    }
}

#[test]
fn daemons_that_all_lose_the_keeper_keep_the_bound() {
    for max_wait_ms in [0, 150, 700] {
        let mut turns = own_turns(1..DAEMONS, 10_000, 30_000, max_wait_ms);
        // The keeper still issues turns to itself.
        turns.extend(keeper_turns(&mut keeper(10_000), 10_000, 30_000));
        assert_bound(delayed(&turns));
    }
}

#[test]
fn daemons_without_a_keeper_use_half_of_the_rate() {
    let turns = own_turns(0..DAEMONS, 10_000, 60_000, 0);
    // 6.3 / 2 a second.
    assert!((180..=200).contains(&turns.len()), "{} in 60 s", turns.len());
    assert!(most_in_a_second(turns) <= 5);
}

#[test]
fn half_of_the_daemons_without_the_keeper_keep_the_bound() {
    for lost in [1, 5, 16, 32] {
        let mut turns = own_turns(0..lost, 10_000, 20_000, 0);
        turns.extend(keeper_turns(&mut keeper(10_000), 10_000, 20_000));
        assert_bound(delayed(&turns));
    }
}

#[test]
fn daemon_takes_one_turn_in_an_interval_of_its_share() {
    let mut own = SharedTurns::default();
    let share = Share { position: 0, daemons: 2 };
    let rate = Rate::from_milli_per_s(1_000);
    assert_eq!(own.take(10_000, 0, rate, share), Turn::In { wait_ms: 0 });
    assert_eq!(own.take(10_100, 0, rate, share), Turn::Full { remaining_ms: 1_900 });
    assert_eq!(own.take(11_500, 600, rate, share), Turn::In { wait_ms: 500 });
    // The daemons are more by now, and the used turn counts.
    let share = Share { position: 0, daemons: 4 };
    assert_eq!(own.take(12_100, 0, rate, share), Turn::Full { remaining_ms: 3_900 });
}

#[test]
fn server_whose_cold_time_is_over_is_warm_after_an_answer() {
    let warmth =
        |answered_at_ms, now_ms| ColdTime { deadline_ms: 3_000, answered_at_ms }.warmth(now_ms);
    assert_eq!(warmth(0, 2_999), Warmth::Cold);
    assert_eq!(warmth(2_999, 3_000), Warmth::Unconfirmed);
    assert_eq!(warmth(3_000, 3_000), Warmth::Warm);
    let never_cold = ColdTime { deadline_ms: 0, answered_at_ms: 0 };
    assert_eq!(never_cold.warmth(1_000), Warmth::Warm);
}
