//! Guards against two holders after a leader was suspended while a grant had no answer.
mod fixture;

use crate::fixture::{Driver, TICK_MS, carry_out, incarnation};
use registry::Stage;
use shard::{Config, Event, OrderId, OrderKind, Output, Reply};

/// How long the leader runs before, and how long it is suspended: longer than a grant that arrives
/// late can be valid.
const RUN_MS: u64 = 5_000;
const SUSPENDED_MS: u64 = 6_000;

struct Harness {
    driver: Driver,
    is_first_cut: bool,
    /// Grants of the first server without an answer.
    unanswered: Vec<OrderId>,
    granted_to_second: usize,
}

impl Harness {
    fn step(&mut self, event: Event) {
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind, connection, .. } = output else { continue };
            if server.incarnation == incarnation("s1") && self.is_first_cut {
                self.unanswered.push(id);
                continue;
            }
            let is_grant = matches!(kind, OrderKind::Grant(_));
            self.granted_to_second +=
                usize::from(is_grant && server.incarnation == incarnation("s2"));
            self.step(Event::Answered(id, carry_out(&kind, connection)));
        }
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.driver.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }
}

#[test]
fn grant_without_an_outcome_may_arrive_after_a_suspension() {
    let config = Config::default();
    let mut harness = Harness {
        driver: Driver::new(["s1"]),
        is_first_cut: false,
        unanswered: Vec::new(),
        granted_to_second: 0,
    };
    harness.run(RUN_MS);
    harness.driver.put("s2", Stage::Ready);
    harness.is_first_cut = true;
    while harness.unanswered.is_empty() {
        harness.run(TICK_MS);
    }
    harness.driver.now_ms += SUSPENDED_MS;
    let grants_deadline_ms = harness.driver.leader.grants_deadline_ms(harness.driver.now_ms);
    assert!(
        grants_deadline_ms >= harness.driver.now_ms + config.max_transit_ms,
        "{grants_deadline_ms}"
    );
    harness.run(config.order_timeout_ms);
    assert_eq!(harness.granted_to_second, 0, "the connection of the grant is still open");
    for id in std::mem::take(&mut harness.unanswered) {
        harness.step(Event::Answered(id, Reply::Unknown));
    }
    harness.run(config.max_transit_ms);
    assert_eq!(harness.granted_to_second, 0, "the grant may arrive");
}
