//! Guards against a second holder while a grant is under way that was sent before its server was
//! cut off.
//!
//! The link to the server delivers late what it took before the cut, and drops what comes after
//! it: answers, and the reset of the connection. Other servers answer all the while.
mod fixture;

use crate::fixture::{Driver, TICK_MS, carry_out, incarnation};
use shard::{Config, Event, Grant, KeyRange, OrderId, OrderKind, Output, Reply};

/// When the link of `s1` is cut.
const CUT_FROM_MS: u64 = 10_000;
/// How long before that it gets slow at most: longer than the time between two renewals.
const MAX_SLOW_MS: u64 = 1_000;
/// By how much a server's clock may be slow, as a divisor.
const CLOCK_DRIFT_DIVISOR: u64 = 49;

struct Harness {
    driver: Driver,
    /// When the link of `s1` gets slow.
    slow_from_ms: u64,
    /// How long the slow link takes to deliver.
    delay_ms: u64,
    /// The longest grant that arrived late.
    late_ms: u64,
    /// Replies with the time at which the leader gets them.
    replies: Vec<(u64, OrderId, Reply)>,
    /// The ranges that `s1` holds at most, and until when.
    held: Vec<(KeyRange, u64)>,
    /// For how long other servers had keys that `s1` still held.
    overlap_ms: u64,
}

impl Harness {
    fn new(slow_from_ms: u64, delay_ms: u64) -> Self {
        Self {
            driver: Driver::new(["s1", "s2", "s3"]),
            slow_from_ms,
            delay_ms,
            late_ms: 0,
            replies: Vec::new(),
            held: Vec::new(),
            overlap_ms: 0,
        }
    }

    fn step(&mut self, event: Event) {
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind, connection, .. } = output else { continue };
            let done = carry_out(&kind, connection);
            if server.incarnation == incarnation("s1") {
                self.send_to_first(id, &kind, done);
            } else {
                self.send_to_other(id, &kind, done);
            }
        }
    }

    fn send_to_first(&mut self, id: OrderId, kind: &OrderKind, done: Reply) {
        let config = Config::default();
        let timed_out_at_ms = self.driver.now_ms + config.order_timeout_ms;
        if self.driver.now_ms >= CUT_FROM_MS {
            self.replies.push((timed_out_at_ms, id, Reply::NotSent));
        } else if self.driver.now_ms >= self.slow_from_ms {
            if let OrderKind::Grant(grant) = kind {
                self.late_ms = self.late_ms.max(grant.grant_ms);
            }
            self.accept(self.driver.now_ms + self.delay_ms, kind);
            self.replies.push((timed_out_at_ms, id, Reply::Unknown));
        } else {
            self.accept(self.driver.now_ms, kind);
            self.replies.push((self.driver.now_ms, id, done));
        }
    }

    fn accept(&mut self, arrived_at_ms: u64, kind: &OrderKind) {
        let OrderKind::Grant(Grant { range, grant_ms, .. }) = kind else { return };
        let held_ms = grant_ms + grant_ms / CLOCK_DRIFT_DIVISOR;
        self.held.push((*range, arrived_at_ms + held_ms));
    }

    fn send_to_other(&mut self, id: OrderId, kind: &OrderKind, done: Reply) {
        if let OrderKind::Grant(grant) = kind {
            let held = self.held.iter().filter(|(range, _)| range.overlaps(grant.range));
            let until_ms = held.map(|(_, until_ms)| *until_ms).max().unwrap_or(0);
            // What `s1` released before the cut does not count.
            if self.driver.now_ms >= CUT_FROM_MS {
                self.overlap_ms = self.overlap_ms.max(until_ms.saturating_sub(self.driver.now_ms));
            }
        }
        self.replies.push((self.driver.now_ms, id, done));
    }

    fn run(&mut self, until_ms: u64) {
        while self.driver.now_ms < until_ms {
            self.driver.now_ms += TICK_MS;
            self.step(Event::Tick);
            let now_ms = self.driver.now_ms;
            while let Some(at) = self.replies.iter().position(|(due_ms, ..)| *due_ms <= now_ms) {
                let (_, id, reply) = self.replies.remove(at);
                self.step(Event::Answered(id, reply));
            }
        }
    }
}

/// Returns for how long another server had keys that the one that was cut off still held, at most,
/// wherever in the time between two renewals its link gets slow.
fn overlap_ms(delay_ms: u64) -> u64 {
    let (mut overlap_ms, mut late_ms) = (0, 0);
    let step_ms = usize::try_from(TICK_MS).unwrap();
    for slow_from_ms in (CUT_FROM_MS - MAX_SLOW_MS..CUT_FROM_MS).step_by(step_ms) {
        let mut harness = Harness::new(slow_from_ms, delay_ms);
        harness.run(20_000);
        assert!(!harness.held.is_empty());
        overlap_ms = overlap_ms.max(harness.overlap_ms);
        late_ms = late_ms.max(harness.late_ms);
    }
    assert_eq!(late_ms, Config::default().grant_ms, "a grant of full length is late");
    overlap_ms
}

#[test]
fn grants_that_arrive_in_time_are_waited_for() {
    assert_eq!(overlap_ms(100), 0);
    assert_eq!(overlap_ms(400), 0);
}

#[test]
fn grants_that_a_link_delivers_after_the_timeout_are_waited_for() {
    for delay_ms in [700, 1_000, 1_500, 2_000] {
        assert_eq!(overlap_ms(delay_ms), 0, "delivered {delay_ms} ms late");
    }
}
