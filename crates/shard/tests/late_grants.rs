//! Guards against a range that is given on before the time of a grant of it has passed.
//!
//! Neither an accepted higher fence nor the answer to a release shows that a server carries out no
//! earlier grant, and an answer may be a copy of that to another order.
mod fixture;

use crate::fixture::{Driver, SERVICE, TICK_MS, carry_out, incarnation};
use registry::Stage;
use shard::{Config, Event, Grant, OrderId, OrderKind, Output, Owner, Reply};

/// The key that is observed.
const KEY: u16 = 30_000;

/// Two servers, `s1` with all keys until it drains.
struct Harness {
    driver: Driver,
    /// Whether `s1` leaves grants unanswered.
    is_silent: bool,
    /// Whether answers may be copies of earlier ones: those to releases lack the token.
    is_repeating: bool,
    unanswered: Vec<(u64, OrderId)>,
    /// When the last grant of the key to `s1` ends at the latest.
    last_end_ms: u64,
    /// When `s2` got the key.
    given_on_at_ms: Option<u64>,
    releases: u32,
}

impl Harness {
    fn new(is_repeating: bool) -> Self {
        let mut harness = Self {
            driver: Driver::new(["s1"]),
            is_silent: false,
            is_repeating,
            unanswered: Vec::new(),
            last_end_ms: 0,
            given_on_at_ms: None,
            releases: 0,
        };
        harness.run(10_000);
        assert!(harness.is_owned_by("s1"));
        harness.driver.put("s2", Stage::Ready);
        harness
    }

    fn step(&mut self, event: Event) {
        let (now_ms, config) = (self.driver.now_ms, Config::default());
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind, connection, .. } = output else { continue };
            let is_first = server.incarnation == incarnation("s1");
            match &kind {
                OrderKind::Grant(grant) if is_first && self.is_silent => {
                    let timed_out_at_ms = now_ms + config.order_timeout_ms;
                    let last_arrival_ms = timed_out_at_ms + config.max_transit_ms;
                    self.note_end(grant, last_arrival_ms);
                    self.unanswered.push((timed_out_at_ms, id));
                    continue;
                }
                OrderKind::Grant(grant) if is_first => self.note_end(grant, now_ms),
                OrderKind::Grant(grant) if grant.range.contains(KEY) => {
                    self.given_on_at_ms.get_or_insert(now_ms);
                }
                OrderKind::Grant(_) => {}
                OrderKind::Release(_) => self.releases += 1,
            }
            let is_copy = self.is_repeating && connection.is_some();
            let reply = match (&kind, is_copy) {
                (OrderKind::Release(_), true) => Reply::Done(None),
                _ => carry_out(&kind, connection),
            };
            self.step(Event::Answered(id, reply));
        }
    }

    fn note_end(&mut self, grant: &Grant, arrived_at_ms: u64) {
        if grant.range.contains(KEY) {
            self.last_end_ms = self.last_end_ms.max(arrived_at_ms + grant.grant_ms);
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.driver.now_ms + for_ms;
        while self.driver.now_ms < until_ms {
            self.driver.now_ms += TICK_MS;
            self.step(Event::Tick);
            let now_ms = self.driver.now_ms;
            while let Some(at) = self.unanswered.iter().position(|(due_ms, _)| *due_ms <= now_ms) {
                let (_, id) = self.unanswered.remove(at);
                self.step(Event::Answered(id, Reply::Unknown));
            }
        }
    }

    fn is_owned_by(&self, name: &str) -> bool {
        let table = self.driver.leader.table(SERVICE, self.driver.now_ms).unwrap();
        table.spans.iter().all(|span| span.owner == Owner::Server(incarnation(name)))
    }

    /// Runs until the keys are given on, and returns how long after the end of the last grant.
    fn waited_ms(&mut self) -> u64 {
        let deadline_ms = self.driver.now_ms + 15_000;
        while self.given_on_at_ms.is_none() {
            assert!(self.driver.now_ms < deadline_ms, "the keys are given on");
            self.run(TICK_MS);
        }
        assert!(self.releases > 0, "the range is handed over");
        let given_on_at_ms = self.given_on_at_ms.unwrap();
        given_on_at_ms.checked_sub(self.last_end_ms).expect("all grants have ended")
    }
}

/// The clock of a server may be two percent slow; ticks and late timers come on top.
const MAX_WAIT_MS: u64 = 300;

/// Guards against an earlier answer that counts as that to a grant that the server has queued.
#[test]
fn grants_without_answers_of_their_own_are_waited_for() {
    let mut harness = Harness::new(true);
    harness.driver.put("s1", Stage::Draining);
    assert!(harness.waited_ms() <= MAX_WAIT_MS);
}

/// Guards against a higher fence that counts as proof that an earlier grant takes no effect.
#[test]
fn unanswered_grants_are_waited_for() {
    for silent_ms in [700, 1_500, 2_500] {
        let mut harness = Harness::new(false);
        harness.is_silent = true;
        harness.run(silent_ms);
        harness.is_silent = false;
        harness.run(200);
        harness.driver.put("s1", Stage::Draining);
        assert!(harness.waited_ms() <= MAX_WAIT_MS, "silent for {silent_ms} ms");
    }
}

/// Guards against keys without an owner while their move waits for the end of a grant.
#[test]
fn holder_serves_until_its_grant_ends() {
    let mut harness = Harness::new(false);
    harness.is_silent = true;
    while harness.unanswered.is_empty() {
        harness.run(TICK_MS);
    }
    harness.run(Config::default().order_timeout_ms);
    harness.is_silent = false;
    harness.run(200);
    let until_ms = harness.driver.now_ms + Config::default().grant_ms / 2;
    harness.driver.put("s1", Stage::Draining);
    while harness.driver.now_ms < until_ms {
        harness.run(TICK_MS);
        assert!(harness.is_owned_by("s1"), "at {}", harness.driver.now_ms);
    }
}

/// Guards against moves that wait although every grant was answered and the release shows it.
#[test]
fn released_range_moves_at_once() {
    let mut harness = Harness::new(false);
    harness.driver.put("s1", Stage::Draining);
    harness.run(100);
    assert!(harness.given_on_at_ms.is_some());
}
