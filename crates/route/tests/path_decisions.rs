//! Retries, limits and admission.
use route::{Admission, Arrival, Attempts, Budget, Failure, Gate, Limit, Next, Outcome, Reason};

#[test]
fn booking_runs_once() {
    let mut attempts = Attempts::new(false, 1_000);
    assert_eq!(attempts.next(0, Failure::NotSent), Next::Retry);
    assert_eq!(attempts.next(0, Failure::Fenced), Next::Reroute);
    assert_eq!(attempts.next(0, Failure::TimedOut), Next::GiveUp);
    assert_eq!(attempts.to_last_refusal().outcome, Outcome::Unknown);
}

#[test]
fn idempotent_is_repeated() {
    let mut attempts = Attempts::new(true, 1_000);
    assert_eq!(attempts.next(0, Failure::Broken), Next::Retry);
    assert_eq!(attempts.next(0, Failure::TimedOut), Next::Retry);
    assert_eq!(attempts.next(996, Failure::TimedOut), Next::GiveUp);
}

#[test]
fn unknown_stays_unknown() {
    let mut attempts = Attempts::new(true, 1_000);
    attempts.next(0, Failure::Broken);
    attempts.next(0, Failure::Shed);
    assert_eq!(attempts.to_refusal(Reason::NoOwner).outcome, Outcome::Unknown);
}

#[test]
fn refused_means_not_run() {
    let mut attempts = Attempts::new(false, 10);
    assert_eq!(attempts.next(9, Failure::Shed), Next::GiveUp);
    let refusal = attempts.to_last_refusal();
    assert_eq!((refusal.outcome, refusal.status()), (Outcome::NotRun, 503));
    assert_eq!(refusal.retry_after_ms, Some(1_000));
}

#[test]
fn first_attempt_leaves_time() {
    let attempts = Attempts::new(true, 1_000);
    assert_eq!(attempts.attempt_deadline_ms(0), 500);
    assert_eq!(Attempts::new(false, 1_000).attempt_deadline_ms(0), 1_000);
}

#[test]
fn retries_are_a_part_of_requests() {
    let budget = Budget::default();
    while budget.spend() {}
    for _ in 0..50 {
        budget.earn();
    }
    let retries = std::iter::from_fn(|| budget.spend().then_some(())).count();
    assert_eq!(retries, 10);
}

#[test]
fn limit_follows_the_server() {
    let mut limit = Limit::new(8, 4);
    assert_eq!(limit.get(), 2);
    for _ in 0..100 {
        limit.on_answer(limit.get());
    }
    assert_eq!(limit.get(), 8);
    for _ in 0..20 {
        limit.on_overload();
    }
    assert_eq!(limit.get(), 1);
}

fn arrival(deadline_ms: u64, priority: u32) -> Arrival {
    Arrival { deadline_ms, aim_ms: deadline_ms, priority, queue: 100, usual_ms: 0 }
}

#[test]
fn queue_of_a_priority_is_bounded() {
    let mut gate = Gate::new(Limit::new(1, 1), 100);
    let short = Arrival { queue: 2, ..arrival(100, 1) };
    gate.arrive(0, short, 0);
    assert!(matches!(gate.arrive(0, short, 1), Admission::Wait(_)));
    assert!(matches!(gate.arrive(0, short, 2), Admission::Wait(_)));
    assert!(matches!(gate.arrive(0, short, 3), Admission::Refuse { .. }));
    assert!(matches!(gate.arrive(0, arrival(100, 0), 4), Admission::Wait(_)));
}

#[test]
fn urgent_goes_first() {
    let mut gate = Gate::new(Limit::new(1, 1), 2);
    assert!(matches!(gate.arrive(0, arrival(100, 0), "first"), Admission::Enter));
    assert!(matches!(gate.arrive(0, arrival(100, 2), "sheet"), Admission::Wait(_)));
    assert!(matches!(gate.arrive(0, arrival(100, 1), "swap"), Admission::Wait(_)));
    assert!(matches!(gate.arrive(0, arrival(100, 2), "late sheet"), Admission::Refuse { .. }));
    assert!(matches!(
        gate.arrive(0, arrival(100, 0), "balance"),
        Admission::WaitInstead(_, "sheet")
    ));
    assert_eq!(gate.leave(1), ["balance"]);
    assert_eq!(gate.leave(2), ["swap"]);
    assert!(gate.leave(3).is_empty());
    assert_eq!(gate.in_flight(), 0);
}

#[test]
fn abandoned_place_is_free() {
    let mut gate = Gate::new(Limit::new(1, 1), 1);
    gate.arrive(0, arrival(100, 0), 1);
    let Admission::Wait(ticket) = gate.arrive(0, arrival(100, 0), 2) else {
        panic!("there is room to wait")
    };
    assert!(gate.abandon(ticket));
    assert!(!gate.abandon(ticket));
    assert!(gate.leave(1).is_empty());
}

/// A gate before a server that takes 100 ms for a request, one at a time.
fn slow_gate() -> Gate<u32> {
    let mut gate = Gate::new(Limit::new(1, 1), 100);
    gate.arrive(0, arrival(1_000, 0), 0);
    for _ in 0..200 {
        gate.on_answer(100.0);
    }
    gate
}

#[test]
fn hopeless_is_refused_at_once() {
    let mut gate = slow_gate();
    assert!(matches!(gate.arrive(0, arrival(150, 0), 1), Admission::Refuse { .. }));
    let waiting =
        (0..20).filter(|n| matches!(gate.arrive(0, arrival(1_000, 0), *n), Admission::Wait(_)));
    assert_eq!(waiting.count(), 9, "the tenth would be answered after 1,100 ms");
}

#[test]
fn late_is_dropped() {
    let mut gate = slow_gate();
    gate.arrive(0, arrival(300, 0), 1);
    gate.arrive(0, arrival(1_000, 0), 2);
    assert_eq!(gate.leave(250), [2], "the first had 50 ms left and needs 100");
}

#[test]
fn sheds_say_nothing_of_the_time_that_work_takes() {
    let mut gate = slow_gate();
    for _ in 0..50 {
        gate.on_shed();
    }
    let refused = gate.arrive(0, arrival(150, 0), 1);
    assert!(matches!(refused, Admission::Refuse { .. }), "an answer still takes 100 ms");
}

#[test]
fn unknown_server_is_expected_to_be_usual() {
    let mut gate = Gate::new(Limit::new(1, 1), 100);
    let usual = Arrival { usual_ms: 100, ..arrival(1_000, 0) };
    gate.arrive(0, usual, 0);
    let waiting = (0..20).filter(|n| matches!(gate.arrive(0, usual, *n), Admission::Wait(_)));
    assert_eq!(waiting.count(), 9, "the tenth would be answered after 1,100 ms");
}

#[test]
fn refusal_says_when_there_is_room() {
    let mut gate = slow_gate();
    while matches!(gate.arrive(0, arrival(1_000, 0), 1), Admission::Wait(_)) {}
    let refused = gate.arrive(0, arrival(1_000, 0), 2);
    assert!(matches!(refused, Admission::Refuse { for_ms: 100 }), "{refused:?}");
}
