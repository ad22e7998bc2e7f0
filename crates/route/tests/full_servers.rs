//! Guards against daemons that together send a server more than it has room for.

use route::{Admission, Arrival, Attempts, Failure, Limit, Limiter, Next, Outcome, Reason};

/// A request with the measured day's latency target and timeout.
const ARRIVAL: Arrival = Arrival {
    deadline_ms: 2_500,
    target_deadline_ms: 1_200,
    priority: 0,
    max_waiting: 64,
    typical_latency_ms: 100,
    is_over_share: false,
};

/// The limiter of one of 33 daemons for a server of 4 slots, with its limit at all slots.
fn raised_limiter() -> Limiter<()> {
    let mut limiter = Limiter::new(Limit::new(4, 33), 256);
    for _ in 0..100 {
        while limiter.in_flight() < limiter.limit() {
            limiter.admit(0, ARRIVAL, ());
        }
        limiter.on_answer(100.0);
    }
    assert_eq!(limiter.limit(), 4);
    limiter
}

#[test]
fn long_queue_at_the_server_lowers_the_limit_once_per_latency() {
    let mut limiter = raised_limiter();
    for now_ms in 1_000..1_100 {
        limiter.on_reported_queue(now_ms, 16, 4);
    }
    assert_eq!(limiter.limit(), 2, "100 reports within one latency lower it once");
    for now_ms in 1_100..1_300 {
        limiter.on_reported_queue(now_ms, 16, 4);
    }
    assert_eq!(limiter.limit(), 1);
}

#[test]
fn limit_rises_only_while_the_server_reports_a_short_queue() {
    let mut limiter = raised_limiter();
    limiter.on_reported_queue(1_000, 5, 4);
    let lowered = limiter.limit();
    for now_ms in 1_001..1_050 {
        limiter.on_reported_queue(now_ms, 5, 4);
        limiter.on_answer(100.0);
    }
    assert_eq!(limiter.limit(), lowered, "more wait than it has slots");
    for now_ms in 1_050..1_100 {
        limiter.on_reported_queue(now_ms, 4, 4);
        limiter.on_answer(100.0);
    }
    assert_eq!(limiter.limit(), 4);
}

#[test]
fn late_request_is_refused_at_once_while_the_server_reports_a_long_queue() {
    let mut limiter = raised_limiter();
    // One request takes as long as two thirds of the target, so that one that waits for another
    // misses it.
    (0..200).for_each(|_| limiter.on_answer(800.0));
    limiter.on_reported_queue(0, 4, 4);
    assert!(matches!(limiter.admit(0, ARRIVAL, ()), Admission::Wait(_)), "a short queue");
    limiter.on_reported_queue(0, 16, 4);
    assert!(matches!(limiter.admit(0, ARRIVAL, ()), Admission::Refuse { .. }));
    limiter.on_reported_queue(0, 4, 4);
    assert!(matches!(limiter.admit(0, ARRIVAL, ()), Admission::Wait(_)));
}

#[test]
fn free_room_is_used_while_the_server_reports_a_long_queue() {
    let mut limiter = raised_limiter();
    (0..4).for_each(|_| drop(limiter.release(0)));
    limiter.on_reported_queue(0, 16, 4);
    let over_share = Arrival { is_over_share: true, ..ARRIVAL };
    assert!(matches!(limiter.admit(0, over_share, ()), Admission::Admit));
}

#[test]
fn reported_queue_is_forgotten() {
    let mut limiter = raised_limiter();
    limiter.on_reported_queue(0, 16, 4);
    let over_share = Arrival { is_over_share: true, deadline_ms: 9_000, ..ARRIVAL };
    assert!(matches!(limiter.admit(999, over_share, ()), Admission::Refuse { .. }));
    let mut limiter = raised_limiter();
    limiter.on_reported_queue(0, 16, 4);
    assert!(matches!(limiter.admit(1_000, over_share, ()), Admission::Wait(_)));
}

#[test]
fn repeated_resets_pause_requests_as_sheds_do() {
    let (mut reset, mut shed) = (raised_limiter(), raised_limiter());
    for now_ms in 1_000..1_020 {
        reset.on_reset(now_ms, now_ms);
        shed.on_shed(now_ms);
        assert_eq!(reset.limit(), shed.limit());
        assert_eq!(reset.pause_deadline_ms(), shed.pause_deadline_ms());
    }
    assert!(reset.pause_deadline_ms() > 1_019);
}

#[test]
fn requests_reset_together_count_once() {
    let mut limiter = raised_limiter();
    (1_000..1_016).for_each(|now_ms| limiter.on_reset(now_ms, 900));
    assert_eq!(limiter.limit(), 2, "a network fault resets all connections at once");
    assert_eq!(limiter.pause_deadline_ms(), 0);
    limiter.on_reset(1_100, 1_050);
    assert_eq!(limiter.limit(), 1);
}

#[test]
fn reset_request_may_have_run() {
    let mut attempts = Attempts::new(false, 2_500);
    assert_eq!(attempts.on_failure(0, Failure::Reset), Next::GiveUp);
    assert_eq!(attempts.to_last_refusal().outcome, Outcome::Unknown);
    assert_eq!(attempts.to_last_refusal().reason, Reason::Broken);
}

#[test]
fn reset_idempotent_request_is_sent_again_and_not_blamed() {
    let mut attempts = Attempts::new(true, 2_500);
    for _ in 0..3 {
        // As many crashes would end the attempts earlier.
        assert_eq!(attempts.on_failure(0, Failure::Reset), Next::Retry);
    }
}
