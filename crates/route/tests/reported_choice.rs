//! Guards against pooled requests that wait at slow or full servers although these report it, and
//! against daemons that all choose the same server.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of the play are small"
)]

use std::collections::VecDeque;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Candidate, LoadHistory, RemotePenalty, ServerLoad, pick};

const SLOTS: u32 = 4;
/// How long a request takes at a usual server.
const WORK_MS: f64 = 60.0;
/// How long a server is slow, or not, at a time; it is slow for one in five of these times.
const STRETCH_MS: u64 = 400;
/// How many times as long work takes meanwhile.
const SLOW: u32 = 3;
const PLAY_MS: u64 = 20_000;
/// Time for the daemons to get to know the servers, which does not count.
const WARMUP_MS: u64 = 4_000;

/// A request with the daemon that sent it, when that was and the work that is left.
struct Request {
    daemon: usize,
    sent_at_ms: u64,
    left_ms: f64,
}

struct Server {
    rest_percent: u32,
    is_slow: bool,
    phase_ms: u64,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    answers: u32,
}

/// What one daemon knows of one server.
#[derive(Clone, Copy)]
struct Known {
    occupied: u32,
    slowness: f32,
    history: Option<LoadHistory>,
}

#[derive(Debug)]
struct Outcome {
    mean_ms: f64,
    p99_ms: u64,
    /// The most answers of a server, as a multiple of the mean for its speed.
    most: f64,
}

impl Server {
    fn percent(&self) -> u32 {
        self.rest_percent * if self.is_slow { SLOW } else { 1 }
    }

    /// Works for a millisecond; returns the requests that have ended.
    fn work(&mut self, now_ms: u64, random: &mut StdRng) -> Vec<Request> {
        if now_ms % STRETCH_MS == self.phase_ms {
            self.is_slow = random.random_range(0..5) == 0;
        }
        while self.running.len() < SLOTS as usize
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push(request);
        }
        let done_ms = 100.0 / f64::from(self.percent());
        self.running.iter_mut().for_each(|request| request.left_ms -= done_ms);
        self.running.extract_if(.., |request| request.left_ms <= 0.0).collect()
    }

    fn load(&self) -> ServerLoad {
        ServerLoad {
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
            slots: SLOTS,
            work_percent: self.percent(),
        }
    }
}

impl Known {
    fn on_answer(&mut self, latency: f32, report: Option<ServerLoad>, now_ms: u64) {
        self.slowness = (self.slowness + 0.08 * (latency.min(8.0) - self.slowness)).max(0.3);
        if let Some(load) = report {
            match &mut self.history {
                Some(history) => history.add(load, now_ms, self.occupied),
                None => self.history = Some(LoadHistory::new(load, now_ms, self.occupied)),
            }
        }
        self.occupied -= 1;
    }

    fn candidate(&self, now_ms: u64) -> Candidate {
        Candidate {
            occupied: self.occupied,
            slots: SLOTS,
            slowness: self.slowness,
            is_near: true,
            is_preferred: true,
            is_avoided: false,
            expected: self.history.map(|history| history.expected(now_ms, self.occupied)),
        }
    }
}

fn play(daemons: usize, servers: usize, load: f64, reports: bool, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<Server> = (0..servers)
        .map(|number| Server {
            rest_percent: [60, 100, 140][number % 3],
            is_slow: false,
            phase_ms: random.random_range(0..STRETCH_MS),
            running: Vec::new(),
            waiting: VecDeque::new(),
            answers: 0,
        })
        .collect();
    let unknown = Known { occupied: 0, slowness: 1.0, history: None };
    let mut known = vec![vec![unknown; servers]; daemons];
    let mut mean_ms = vec![WORK_MS; daemons];
    // A slow server does a third of its work for a fifth of the time.
    let speed_of = |server: &Server| 100.0 / f64::from(server.rest_percent) * (0.8 + 0.2 / 3.0);
    let speeds: f64 = fleet.iter().map(speed_of).sum();
    let per_ms = load * speeds * f64::from(SLOTS) / WORK_MS;
    let mut took_ms: Vec<u64> = Vec::new();
    for now_ms in 0..PLAY_MS {
        let arrivals = per_ms.floor() + f64::from(random.random_bool(per_ms.fract()));
        for _ in 0..arrivals as u64 {
            let daemon = random.random_range(0..daemons);
            let candidates: Vec<_> =
                known[daemon].iter().map(|known| known.candidate(now_ms)).collect();
            let chosen = pick(&candidates, RemotePenalty::SMALL, random.random()).unwrap();
            known[daemon][chosen].occupied += 1;
            let left_ms = WORK_MS * random.random_range(0.5..1.5);
            fleet[chosen].waiting.push_back(Request { daemon, sent_at_ms: now_ms, left_ms });
        }
        for (index, server) in fleet.iter_mut().enumerate() {
            for request in server.work(now_ms, &mut random) {
                let latency_ms = now_ms + 1 - request.sent_at_ms;
                let mean_ms = &mut mean_ms[request.daemon];
                let latency = latency_ms as f64 / *mean_ms;
                *mean_ms += (latency_ms as f64 - *mean_ms) / 32.0;
                let report = reports.then(|| server.load());
                known[request.daemon][index].on_answer(latency as f32, report, now_ms);
                if now_ms >= WARMUP_MS {
                    took_ms.push(latency_ms);
                    server.answers += 1;
                }
            }
        }
    }
    took_ms.sort_unstable();
    let answers = took_ms.len() as f64;
    let shares = fleet.iter().map(|server| f64::from(server.answers) * speeds / speed_of(server));
    Outcome {
        mean_ms: took_ms.iter().sum::<u64>() as f64 / answers,
        p99_ms: took_ms[took_ms.len() * 99 / 100],
        most: shares.fold(0.0, f64::max) / answers,
    }
}

/// Asserts that the reported choice answers sooner than the choice by latencies, and that no
/// server gets more than twice the mean for its speed.
fn assert_reports_help(daemons: usize, servers: usize, load: f64) {
    for seed in 1..=2 {
        let present = play(daemons, servers, load, false, seed);
        let reported = play(daemons, servers, load, true, seed);
        println!("{daemons} x {servers}, load {load}: {present:.2?}, then {reported:.2?}");
        expect_that!(reported.mean_ms, lt(present.mean_ms));
        expect_that!(reported.p99_ms, lt(present.p99_ms));
        expect_that!(reported.most, lt(2.0));
    }
}

#[googletest::test]
fn few_daemons_answer_sooner_by_reports() {
    assert_reports_help(5, 16, 0.6);
    assert_reports_help(5, 16, 0.85);
}

#[googletest::test]
fn many_daemons_answer_sooner_by_reports() {
    assert_reports_help(33, 57, 0.6);
    assert_reports_help(33, 57, 0.85);
    assert_reports_help(33, 24, 0.6);
    assert_reports_help(33, 24, 0.85);
}

#[googletest::test]
fn daemons_that_see_a_server_once_a_second_answer_sooner_by_reports() {
    assert_reports_help(83, 57, 0.6);
    assert_reports_help(83, 57, 0.85);
}

/// Returns how many of 1,000 daemons with the same figures choose each of `servers` servers, of
/// which the first is idle and the others are full.
fn same_figures(servers: usize, read_at_ms: u64) -> Vec<u32> {
    let mut random = StdRng::seed_from_u64(1);
    let mut chosen = vec![0; servers];
    let full = ServerLoad { running: SLOTS, waiting: 2, slots: SLOTS, work_percent: 100 };
    let candidate = |number: usize| {
        let load = if number == 0 { ServerLoad { running: 0, waiting: 0, ..full } } else { full };
        let history = Some(LoadHistory::new(load, read_at_ms, 0));
        Known { occupied: 0, slowness: 1.0, history }.candidate(1_000)
    };
    let candidates: Vec<_> = (0..servers).map(candidate).collect();
    for _ in 0..1_000 {
        chosen[pick(&candidates, RemotePenalty::SMALL, random.random()).unwrap()] += 1;
    }
    chosen
}

#[googletest::test]
fn daemons_with_the_same_figures_choose_several_servers() {
    for read_at_ms in [0, 900] {
        let chosen = same_figures(57, read_at_ms);
        expect_that!(chosen[0], lt(800), "{chosen:?}");
        expect_that!(chosen[1..].iter().filter(|count| **count > 0).count(), gt(28));
    }
}
