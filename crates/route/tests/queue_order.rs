//! Guards against queues that serve requests which miss their latency target before others that
//! can still meet it, and that hold requests which can no longer be answered.

use std::rc::Rc;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Admission, Arrival, Limit, Limiter};

/// A request that arrives at a time, with the measured day's latency target and timeout.
fn arrival(now_ms: u64) -> Arrival {
    Arrival {
        deadline_ms: now_ms + 2_500,
        target_deadline_ms: now_ms + 1_200,
        priority: 1,
        max_waiting: 64,
        typical_latency_ms: 100,
        is_over_share: false,
    }
}

/// A limiter for a server that takes 100 ms for a request, with one request in flight.
fn busy_limiter(is_target_ordered: bool) -> Limiter<u64> {
    let mut limiter = Limiter::new(Limit::new(1, 1), 256);
    limiter.admit(0, arrival(0), 0);
    (0..200).for_each(|_| limiter.on_answer(100.0));
    if is_target_ordered {
        limiter.order_by_target();
    }
    limiter
}

fn is_queued(admission: &Admission<u64>) -> bool {
    matches!(admission, Admission::Wait(_) | Admission::WaitDisplacing(..))
}

#[test]
fn earlier_targets_go_first() {
    let mut limiter = busy_limiter(true);
    assert!(is_queued(&limiter.admit(0, arrival(0), 1)));
    let urgent = Arrival { target_deadline_ms: 600, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, urgent, 2)));
    assert_eq!(limiter.release(100), [2]);
    assert_eq!(limiter.release(200), [1]);
}

#[test]
fn requests_past_their_target_follow_the_others() {
    let mut limiter = busy_limiter(true);
    let late = Arrival { target_deadline_ms: 150, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, late, 1)));
    assert!(is_queued(&limiter.admit(0, arrival(0), 2)));
    // At 100 ms the first would be answered at 200 ms, after its target.
    assert_eq!(limiter.release(100), [2]);
    assert_eq!(limiter.release(200), [1], "it can still be answered before its deadline");
}

#[test]
fn late_request_of_a_higher_priority_goes_before_a_lower_one() {
    let mut limiter = busy_limiter(true);
    assert!(is_queued(&limiter.admit(0, arrival(0), 1)));
    let late = Arrival { priority: 0, target_deadline_ms: 50, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, late, 2)));
    assert_eq!(limiter.release(100), [2]);
}

#[test]
fn requests_past_their_deadline_are_dropped_with_the_next_end() {
    let mut limiter = busy_limiter(true);
    let short = Arrival { deadline_ms: 320, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, arrival(0), 1)));
    assert!(is_queued(&limiter.admit(0, short, 2)));
    // The request in flight took twice as long as usual; the second has 120 ms left, behind one
    // that takes 100 ms.
    assert_eq!(limiter.release(200), [1]);
    assert_eq!(limiter.waiting(), 0, "its wait ends 120 ms before its deadline");
}

#[test]
fn wait_ends_while_an_answer_is_still_possible() {
    assert_eq!(busy_limiter(true).wait_deadline_ms(2_500), 2_400);
    assert_eq!(busy_limiter(false).wait_deadline_ms(2_500), 2_500, "as in earlier deployments");
}

#[test]
fn late_request_makes_room_in_a_full_queue() {
    let mut limiter = busy_limiter(true);
    let late = Arrival { target_deadline_ms: 50, max_waiting: 2, ..arrival(0) };
    let timely = Arrival { max_waiting: 2, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, timely, 1)));
    assert!(is_queued(&limiter.admit(0, late, 2)));
    assert!(matches!(limiter.admit(0, timely, 3), Admission::WaitDisplacing(_, 2)));
    assert!(matches!(limiter.admit(0, timely, 4), Admission::Refuse { .. }));
}

#[test]
fn request_that_became_late_can_be_cancelled() {
    let mut limiter = busy_limiter(true);
    let late = Arrival { target_deadline_ms: 150, ..arrival(0) };
    let Admission::Wait(ticket) = limiter.admit(0, late, 1) else { panic!("there is room") };
    assert!(is_queued(&limiter.admit(100, arrival(100), 2)));
    assert!(limiter.cancel(ticket), "it was moved behind the other");
    assert!(!limiter.cancel(ticket));
    assert_eq!(limiter.release(100), [2]);
}

#[test]
fn queue_of_a_server_that_reports_nothing_keeps_the_order_of_arrival() {
    let mut limiter = busy_limiter(false);
    let late = Arrival { target_deadline_ms: 150, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, late, 1)));
    assert!(is_queued(&limiter.admit(0, arrival(0), 2)));
    let urgent = Arrival { target_deadline_ms: 600, ..arrival(0) };
    assert!(is_queued(&limiter.admit(0, urgent, 3)));
    let served: Vec<u64> = [100, 200, 300].into_iter().flat_map(|at| limiter.release(at)).collect();
    assert_eq!(served, [1, 2, 3]);
}

#[test]
fn requests_of_one_target_keep_the_order_of_arrival() {
    let (mut by_arrival, mut by_target) = (busy_limiter(false), busy_limiter(true));
    for number in 1..=20 {
        let now_ms = number * 7;
        let expected = is_queued(&by_arrival.admit(now_ms, arrival(now_ms), number));
        assert_eq!(is_queued(&by_target.admit(now_ms, arrival(now_ms), number)), expected);
    }
    // Until 1,000 ms, no request has waited so long that it misses its target.
    for now_ms in (200..=1_000).step_by(100) {
        assert_eq!(by_target.release(now_ms), by_arrival.release(now_ms));
    }
}

#[test]
fn queue_of_a_server_that_keeps_resetting_is_ordered_by_target() {
    let mut limiter = busy_limiter(false);
    limiter.on_reset(10, 5);
    assert!(!limiter.is_target_ordered(), "a network fault also resets connections once");
    limiter.on_reset(20, 15);
    assert!(limiter.is_target_ordered());
    let mut limiter = busy_limiter(false);
    limiter.on_shed(0);
    assert!(!limiter.is_target_ordered(), "as in earlier deployments");
}

/// Admits, releases and cancels at random; returns how each request ended, by its number.
fn run_random_queue(seed: u64) -> Vec<u32> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut limiter = Limiter::new(Limit::new(2, 1), 16);
    limiter.order_by_target();
    let requests: Vec<Rc<()>> = (0..500).map(|_| Rc::default()).collect();
    let mut ends = vec![0; requests.len()];
    let mut tickets = Vec::new();
    for (number, request) in requests.iter().enumerate() {
        let now_ms = u64::try_from(number).unwrap() * 20;
        let arrival = Arrival {
            target_deadline_ms: now_ms + random.random_range(50..1_200),
            priority: random.random_range(0..3),
            max_waiting: 8,
            ..arrival(now_ms)
        };
        let mut admitted = Vec::new();
        match limiter.admit(now_ms, arrival, (number, Rc::clone(request))) {
            Admission::Admit | Admission::Refuse { .. } => ends[number] += 1,
            Admission::Paused { .. } => panic!("nothing is shed"),
            Admission::Wait(ticket) => tickets.push((number, ticket)),
            Admission::WaitDisplacing(ticket, (displaced, _)) => {
                tickets.push((number, ticket));
                ends[displaced] += 1;
            }
        }
        if random.random_bool(0.4) && limiter.in_flight() > 0 {
            limiter.on_answer(f64::from(random.random_range(20..200)));
            admitted = limiter.release(now_ms);
        }
        for (number, _request) in &admitted {
            ends[*number] += 1;
        }
        if random.random_bool(0.1) && !tickets.is_empty() {
            let (number, ticket) = tickets.swap_remove(random.random_range(0..tickets.len()));
            ends[number] += u32::from(limiter.cancel(ticket));
        }
    }
    // A request that waits, or whose waker was dropped, has no other end.
    for (number, request) in requests.iter().enumerate() {
        let is_waiting = Rc::strong_count(request) > 1;
        let is_dropped = !is_waiting && ends[number] == 0;
        ends[number] += u32::from(is_waiting) + u32::from(is_dropped);
    }
    assert_eq!(requests.iter().filter(|it| Rc::strong_count(it) > 1).count(), limiter.waiting());
    ends
}

#[test]
fn each_request_ends_once() {
    for seed in 0..200 {
        assert!(run_random_queue(seed).iter().all(|ends| *ends == 1), "seed {seed}");
    }
}

#[test]
#[cfg_attr(debug_assertions, ignore = "the bound is for optimised builds")]
fn admission_with_64_waiting_takes_less_than_a_microsecond() {
    const ADMISSIONS: u32 = 100_000;
    let mut limiter = Limiter::new(Limit::new(1, 1), 256);
    limiter.order_by_target();
    let patient = Arrival { deadline_ms: 1 << 40, target_deadline_ms: 1 << 40, ..arrival(0) };
    limiter.admit(0, patient, 0);
    for number in 0..63 {
        assert!(is_queued(&limiter.admit(0, patient, number)));
    }
    let started_at = Instant::now();
    for _ in 0..ADMISSIONS {
        let Admission::Wait(ticket) = limiter.admit(0, patient, 0) else { panic!("64 may wait") };
        limiter.cancel(ticket);
    }
    let mean_ns = started_at.elapsed().as_nanos() / u128::from(ADMISSIONS);
    println!("one admission and its cancellation: {mean_ns} ns");
    assert!(mean_ns < 1_000, "{mean_ns} ns");
}
