//! Guards against callers that repeat refused requests at once and are served instead of those
//! that wait as told.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{
    Admission, Arrival, Caller, FairShare, Limit, Limiter, MAX_BUSY_RETRY_AFTER_MS,
    MIN_BUSY_RETRY_AFTER_MS, busy_retry_after_ms,
};

const SLOTS: u32 = 4;
/// The mean time of a request; the server's capacity is 20 requests per second.
const MEAN_WORK_MS: u32 = 200;
/// 55 % of the capacity, as on the measured day.
const USUAL_PER_S: f64 = 11.0;
/// The largest burst that the page names.
const BURST: f64 = 2.1;
const CALLERS: u32 = 40;
/// How many of the callers repeat refused requests at once.
const REPEATING: u32 = 10;
const REPEAT_AFTER_MS: u64 = 20;
/// How often a caller that waits as told comes back.
const MAX_RETURNS: u32 = 3;
const CALLER_WAITS_MS: u64 = 5_000;
const TIMEOUT_MS: u64 = 2_500;
const TARGET_MS: u64 = 1_200;
const LOAD_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { request: usize },
    End { request: usize },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    caller: u32,
    started_at_ms: u64,
    returns: u32,
    is_served: bool,
}

/// A server with one daemon, and its callers.
struct Simulation {
    random: StdRng,
    limiter: Limiter<usize>,
    fair_share: FairShare,
    is_shared_fairly: bool,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    requests: Vec<Request>,
}

/// The share of requests that were served, of callers that wait as told and of those that repeat.
#[derive(Debug)]
struct Served {
    waiting: f64,
    repeating: f64,
}

fn repeats(caller: u32) -> bool {
    caller < REPEATING
}

impl Simulation {
    fn new(seed: u64, is_shared_fairly: bool) -> Self {
        let mut limiter = Limiter::new(Limit::new(SLOTS, 1), 256);
        limiter.order_by_target();
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            limiter,
            fair_share: FairShare::default(),
            is_shared_fairly,
            events: BinaryHeap::new(),
            requests: Vec::new(),
        };
        simulation.add_arrivals();
        simulation
    }

    fn add_arrivals(&mut self) {
        let mut at = Duration::ZERO;
        loop {
            let gap_s = -(1.0 - self.random.random::<f64>()).ln() / (USUAL_PER_S * BURST);
            at += Duration::from_secs_f64(gap_s);
            let started_at_ms = u64::try_from(at.as_millis()).unwrap();
            if started_at_ms >= LOAD_MS {
                return;
            }
            let caller = self.random.random_range(0..CALLERS);
            let request = self.requests.len();
            self.requests.push(Request { caller, started_at_ms, returns: 0, is_served: false });
            self.events.push(Reverse((started_at_ms, Event::Arrival { request })));
        }
    }

    fn run(mut self) -> Served {
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            match event {
                Event::Arrival { request } => self.on_arrival(now_ms, request),
                Event::End { request } => self.on_end(now_ms, request),
            }
        }
        Served { waiting: self.served_share(false), repeating: self.served_share(true) }
    }

    fn on_arrival(&mut self, now_ms: u64, request: usize) {
        let caller = Caller(u64::from(self.requests[request].caller));
        let caller_deadline_ms = self.requests[request].started_at_ms + CALLER_WAITS_MS;
        let arrival = Arrival {
            deadline_ms: caller_deadline_ms.min(now_ms + TIMEOUT_MS),
            target_deadline_ms: now_ms + TARGET_MS,
            priority: 0,
            max_waiting: 64,
            typical_latency_ms: MEAN_WORK_MS,
            is_over_share: self.is_shared_fairly && self.fair_share.is_over_share(now_ms, caller),
        };
        match self.limiter.admit(now_ms, arrival, request) {
            Admission::Admit => self.start(now_ms, request),
            Admission::Wait(_) => self.fair_share.on_unserved(now_ms, caller),
            Admission::WaitDisplacing(_, displaced) => {
                self.fair_share.on_unserved(now_ms, caller);
                self.on_refusal(now_ms, displaced, 0);
            }
            Admission::Refuse { late_ms } => {
                self.fair_share.on_unserved(now_ms, caller);
                self.on_refusal(now_ms, request, late_ms);
            }
            Admission::Paused { .. } => panic!("nothing is shed"),
        }
    }

    fn on_refusal(&mut self, now_ms: u64, request: usize, late_ms: u64) {
        let Request { caller, started_at_ms, returns, .. } = self.requests[request];
        let left_ms = (started_at_ms + CALLER_WAITS_MS).saturating_sub(now_ms);
        let room_ms = self.limiter.queue_ms(MEAN_WORK_MS).max(late_ms);
        let told_ms = busy_retry_after_ms(room_ms, left_ms, self.random.random());
        let is_repeating = repeats(caller);
        let wait_ms = if is_repeating { REPEAT_AFTER_MS } else { told_ms };
        let may_return = is_repeating || returns < MAX_RETURNS;
        if may_return && wait_ms < left_ms {
            self.requests[request].returns += 1;
            self.events.push(Reverse((now_ms + wait_ms, Event::Arrival { request })));
        }
    }

    fn start(&mut self, now_ms: u64, request: usize) {
        let work_ms = self.random.random_range(MEAN_WORK_MS / 2..=MEAN_WORK_MS * 3 / 2);
        self.limiter.on_answer(f64::from(work_ms));
        self.events.push(Reverse((now_ms + u64::from(work_ms), Event::End { request })));
    }

    fn on_end(&mut self, now_ms: u64, request: usize) {
        self.requests[request].is_served = true;
        for admitted in self.limiter.release(now_ms) {
            self.start(now_ms, admitted);
        }
    }

    fn served_share(&self, is_repeating: bool) -> f64 {
        let requests = || self.requests.iter().filter(|it| repeats(it.caller) == is_repeating);
        let count = |count: usize| f64::from(u32::try_from(count).unwrap());
        count(requests().filter(|request| request.is_served).count()) / count(requests().count())
    }
}

#[test]
fn callers_that_wait_as_told_are_served_no_less_in_a_burst() {
    for seed in 0..10 {
        let served = Simulation::new(seed, true).run();
        println!("{seed}: {served:?}, without fair share {:?}", Simulation::new(seed, false).run());
        assert!(served.waiting >= served.repeating, "seed {seed}: {served:?}");
    }
}

#[test]
fn repeating_caller_is_over_its_share() {
    let mut fair_share = FairShare::default();
    for now_ms in (0..2_000).step_by(20) {
        fair_share.on_unserved(now_ms, Caller(0));
    }
    (1..10).for_each(|caller| fair_share.on_unserved(1_000, Caller(caller)));
    assert!(fair_share.is_over_share(2_000, Caller(0)));
    assert!((1..11).all(|caller| !fair_share.is_over_share(2_000, Caller(caller))));
    assert!(!fair_share.is_over_share(30_000, Caller(0)), "it has waited since");
}

#[test]
fn callers_with_equal_counts_are_within_their_share() {
    let mut fair_share = FairShare::default();
    for now_ms in 0..1_000 {
        fair_share.on_unserved(now_ms, Caller(now_ms % 5));
    }
    assert!((0..5).all(|caller| !fair_share.is_over_share(1_000, Caller(caller))));
}

#[test]
fn single_address_is_never_over_its_share() {
    let mut fair_share = FairShare::default();
    for now_ms in 0..10_000 {
        fair_share.on_unserved(now_ms, Caller(1));
        assert!(!fair_share.is_over_share(now_ms, Caller(1)));
    }
}

#[test]
fn memory_is_bounded_and_freed() {
    let mut fair_share = FairShare::default();
    for caller in 0..100_000 {
        fair_share.on_unserved(caller / 100, Caller(caller));
        assert!(fair_share.callers() <= 4_096);
    }
    fair_share.on_unserved(60_000, Caller(0));
    assert_eq!(fair_share.callers(), 1, "the others have decayed");
}

#[test]
fn caller_over_its_share_gets_free_room() {
    let mut limiter: Limiter<()> = Limiter::new(Limit::new(1, 1), 256);
    limiter.order_by_target();
    let arrival = Arrival {
        deadline_ms: 60_000,
        target_deadline_ms: 60_000,
        priority: 0,
        max_waiting: 64,
        typical_latency_ms: 100,
        is_over_share: true,
    };
    assert!(matches!(limiter.admit(0, arrival, ()), Admission::Admit));
    assert!(matches!(limiter.admit(0, arrival, ()), Admission::Wait(_)), "a short queue");
    assert!(matches!(limiter.admit(200, arrival, ()), Admission::Refuse { .. }), "a sustained one");
    let fair = Arrival { is_over_share: false, ..arrival };
    assert!(matches!(limiter.admit(200, fair, ()), Admission::Wait(_)));
}

#[test]
fn one_address_in_two_notations_is_one_caller() {
    let caller = |text: &str| Caller::new(text.parse::<IpAddr>().unwrap());
    assert_eq!(caller("10.0.0.1"), caller("::ffff:10.0.0.1"));
    assert_ne!(caller("10.0.0.1"), caller("10.0.0.2"));
}

#[test]
fn time_to_retry_is_spread_within_its_bounds() {
    for room_ms in [0, 100, 400, 1_000, 10_000] {
        for random in [0, u32::MAX / 2, u32::MAX] {
            let told_ms = busy_retry_after_ms(room_ms, CALLER_WAITS_MS, random);
            let expected_ms = room_ms.clamp(MIN_BUSY_RETRY_AFTER_MS, MAX_BUSY_RETRY_AFTER_MS);
            assert!((expected_ms..=expected_ms * 3 / 2).contains(&told_ms), "{room_ms}: {told_ms}");
            assert!(told_ms <= MAX_BUSY_RETRY_AFTER_MS);
        }
    }
    assert!(busy_retry_after_ms(400, 5_000, 0) < busy_retry_after_ms(400, 5_000, u32::MAX));
}

#[test]
fn time_to_retry_exceeds_a_third_of_the_callers_time_only_if_room_comes_later() {
    assert_eq!(busy_retry_after_ms(1_600, 5_000, u32::MAX), 1_666);
    assert_eq!(busy_retry_after_ms(2_000, 5_000, u32::MAX), 2_000, "the true figure");
}
