//! Guards against servers that are flooded or left idle after they start or recover.

use std::collections::VecDeque;

use route::{Admission, Arrival, Limit, Limiter, Pace, PaceState};

const SLOTS: u32 = 8;
/// How long a request runs at a healthy server with a free slot.
const RUN_MS: u32 = 100;

/// A server with slots and a queue, and daemons that always have requests for it.
struct Play {
    paces: Vec<Option<Pace>>,
    in_flight: Vec<u32>,
    /// The requests at the server by daemon, with the time of sending, in the order of arrival.
    queue: VecDeque<(usize, u64)>,
    /// The requests in slots, with the time at which they end.
    running: Vec<(usize, u64, u64)>,
    /// The answers until each daemon's slow start ended.
    answers: Vec<u32>,
    most_in_flight: u32,
}

impl Play {
    fn new(daemons: u32) -> Self {
        let count = usize::try_from(daemons).unwrap();
        Self {
            paces: vec![Some(Pace::new(0, SLOTS, daemons, 1.0)); count],
            in_flight: vec![0; count],
            queue: VecDeque::new(),
            running: Vec::new(),
            answers: vec![0; count],
            most_in_flight: 0,
        }
    }

    /// Plays each millisecond; `slowness` is the time that work takes in percent of the usual.
    fn run(&mut self, from_ms: u64, to_ms: u64, slowness: u64) {
        for now_ms in from_ms..to_ms {
            let ended: Vec<_> = self.running.extract_if(.., |(_, _, at)| *at <= now_ms).collect();
            for (daemon, sent_at_ms, _) in ended {
                self.on_answer(daemon, now_ms, now_ms - sent_at_ms);
            }
            self.send(now_ms);
            while self.running.len() < SLOTS as usize {
                let Some((daemon, sent_at_ms)) = self.queue.pop_front() else { break };
                self.running.push((
                    daemon,
                    sent_at_ms,
                    now_ms + u64::from(RUN_MS) * slowness / 100,
                ));
            }
        }
    }

    fn on_answer(&mut self, daemon: usize, now_ms: u64, took_ms: u64) {
        self.in_flight[daemon] -= 1;
        let relative_time = f64::from(u32::try_from(took_ms).unwrap()) / f64::from(RUN_MS);
        let Some(pace) = &mut self.paces[daemon] else { return };
        self.answers[daemon] += 1;
        if pace.on_answer(now_ms, relative_time) == PaceState::Ended {
            self.paces[daemon] = None;
        }
    }

    fn send(&mut self, now_ms: u64) {
        let daemons = u32::try_from(self.paces.len()).unwrap();
        for daemon in 0..self.paces.len() {
            // Afterwards each daemon has its equal share.
            let share = SLOTS.div_ceil(daemons);
            let limit = self.paces[daemon].map_or(share, |pace| pace.limit());
            while self.in_flight[daemon] < limit {
                self.in_flight[daemon] += 1;
                self.queue.push_back((daemon, now_ms));
            }
        }
        self.most_in_flight = self.most_in_flight.max(self.in_flight.iter().sum());
    }

    fn limits(&self) -> Vec<Option<u32>> {
        self.paces.iter().map(|pace| pace.map(|pace| pace.limit())).collect()
    }

    fn assert_bound(&self) {
        let daemons = u32::try_from(self.paces.len()).unwrap();
        let most = self.most_in_flight;
        assert!(most <= SLOTS + daemons, "{most} in flight of {daemons} daemons");
    }
}

#[test]
fn healthy_server_gets_the_full_share_within_about_ten_answers() {
    for daemons in [1, 4] {
        let mut play = Play::new(daemons);
        play.run(0, 1_500, 100);
        assert!(play.paces.iter().all(Option::is_none), "{:?}", play.limits());
        assert!(play.answers.iter().all(|answers| *answers <= 12), "{:?}", play.answers);
        play.assert_bound();
    }
}

#[test]
fn share_of_twenty_slots_is_reached_within_about_ten_answers() {
    let mut pace = Pace::new(0, 20, 1, 1.0);
    let reached = (1..100).find(|answer| {
        pace.on_answer(answer * 100, 1.0);
        pace.limit() == 20
    });
    assert!(reached.is_some_and(|answers| answers <= 11), "{reached:?} answers");
}

#[test]
fn server_that_starts_cold_is_not_flooded() {
    for daemons in [1, 4] {
        let mut play = Play::new(daemons);
        play.run(0, 3_000, 200);
        assert!(play.limits().iter().all(|limit| *limit == Some(1)), "{:?}", play.limits());
        assert!(play.most_in_flight <= daemons, "{} in flight", play.most_in_flight);
        play.run(3_000, 5_000, 100);
        assert!(play.paces.iter().all(Option::is_none), "left idle: {:?}", play.limits());
        play.assert_bound();
    }
}

#[test]
fn eighty_daemons_send_one_request_at_a_time_each() {
    for slowness in [100, 200] {
        let mut play = Play::new(80);
        play.run(0, 20_000, slowness);
        assert!(play.most_in_flight <= 80, "{} in flight", play.most_in_flight);
        play.assert_bound();
    }
}

#[test]
fn share_below_one_slot_waits_for_normal_answers() {
    let mut pace = Pace::new(0, 4, 80, 1.0);
    for answer in 0..20 {
        assert_eq!(pace.on_answer(answer * 200, 2.0), PaceState::Limited(1));
    }
    let states = [4_000, 4_100, 4_200].map(|now_ms| pace.on_answer(now_ms, 1.0));
    assert_eq!(states[2], PaceState::Ended, "{states:?}");
}

#[test]
fn server_that_stays_slow_is_used_in_the_end() {
    for daemons in [1, 4] {
        let mut play = Play::new(daemons);
        play.run(0, 5_000, 200);
        assert!(play.limits().iter().all(|limit| *limit == Some(1)), "{:?}", play.limits());
        play.run(5_000, 10_000, 200);
        assert!(play.paces.iter().all(Option::is_none), "left idle: {:?}", play.limits());
        play.assert_bound();
    }
}

#[test]
fn server_that_slows_down_with_more_requests_is_not_flooded() {
    let mut pace = Pace::new(0, SLOTS, 1, 1.0);
    let mut most = 1;
    for answer in 0..200 {
        // It can run two requests at a time at its usual speed.
        let relative_time = f64::from(pace.limit().max(2)) / 2.0;
        let state = pace.on_answer(answer * 100, relative_time);
        assert_ne!(state, PaceState::Ended);
        most = most.max(pace.limit());
    }
    assert!(most <= 4, "{most} at a time");
}

#[test]
fn server_that_fails_again_starts_again() {
    let mut pace = Pace::new(0, SLOTS, 1, 1.0);
    for answer in 0..4 {
        pace.on_answer(answer * 100, 1.0);
    }
    assert_eq!(pace.limit(), 5);
    assert_eq!(pace.on_refused(), PaceState::Limited(2));
    assert_eq!(pace.on_lost(500), PaceState::Limited(1));
    // The time in which slow answers count as a warm-up begins again.
    assert_eq!(pace.on_answer(5_400, 2.0), PaceState::Limited(1));
    assert_eq!(pace.on_answer(5_450, 2.0), PaceState::Limited(1));
}

#[test]
fn single_slow_answers_do_not_stop_the_growth() {
    let mut pace = Pace::new(0, SLOTS, 1, 1.0);
    let times = [1.0, 0.7, 2.0, 0.9, 1.2, 1.0, 0.6, 1.9, 1.0, 1.0, 0.8, 1.1, 1.0, 0.9, 1.0];
    let mut times = times.iter().cycle().take(30).zip(0..);
    let ended = times.any(|(time, answer)| pace.on_answer(answer * 100, *time) == PaceState::Ended);
    assert!(ended, "limit {}", pace.limit());
}

#[test]
fn higher_limit_admits_requests_that_wait() {
    let mut limiter = Limiter::new(Limit::new(SLOTS, 1), 16);
    let arrival = Arrival {
        deadline_ms: 10_000,
        target_deadline_ms: 10_000,
        priority: 0,
        max_waiting: 16,
        typical_latency_ms: 10,
        is_over_share: false,
    };
    assert!(limiter.set_cap(0, 1).is_empty());
    assert!(matches!(limiter.admit(0, arrival, 0), Admission::Admit));
    for waker in 1..4 {
        assert!(matches!(limiter.admit(0, arrival, waker), Admission::Wait(_)));
    }
    assert_eq!(limiter.set_cap(1, 3), [1, 2]);
    assert_eq!(limiter.set_cap(2, u32::MAX), [3]);
    assert_eq!((limiter.in_flight(), limiter.limit()), (4, SLOTS));
}
