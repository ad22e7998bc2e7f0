//! Guards against keys that are given on while their last holder works on them, since the answer to
//! another release counts as that to the one that is awaited.
mod fixture;

use crate::fixture::{Driver, SERVICE, TICK_MS, carry_out, incarnation};
use registry::Stage;
use shard::{Config, ConnectionId, Event, KeyRange, OrderId, OrderKind, Output, Owner, Reply};

struct Harness {
    driver: Driver,
    /// Whether grants reach the first server.
    is_first_reached: bool,
    /// Releases that the first server has not answered.
    releases: Vec<(OrderId, KeyRange, Option<ConnectionId>)>,
}

impl Harness {
    fn step(&mut self, event: Event) {
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind, connection, .. } = output else { continue };
            let is_first = server.incarnation == incarnation("s1");
            let reply = match kind {
                OrderKind::Release(release) if is_first => {
                    self.releases.push((id, release.range, connection));
                    continue;
                }
                OrderKind::Grant(_) if is_first && !self.is_first_reached => Reply::NotSent,
                _ => carry_out(&kind, connection),
            };
            self.step(Event::Answered(id, reply));
        }
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.driver.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    fn owns_first_key(&self, name: &str) -> bool {
        let table = self.driver.leader.table(SERVICE, self.driver.now_ms).unwrap();
        table.spans[0].owner == Owner::Server(incarnation(name))
    }
}

#[test]
fn answer_to_probe_is_not_that_to_the_next_release() {
    let driver = Driver::new(["s1", "s2"]);
    let mut harness = Harness { driver, is_first_reached: false, releases: Vec::new() };
    while harness.releases.is_empty() {
        harness.run(TICK_MS);
        assert!(harness.driver.now_ms < 10_000, "the silent server is probed");
    }
    let (probe, range, _) = harness.releases.remove(0);
    assert_eq!(range, KeyRange::FIRST);
    let probe_deadline_ms = harness.driver.now_ms + Config::default().order_timeout_ms;
    harness.is_first_reached = true;
    harness.driver.put("s2", Stage::Draining);
    harness.run(100);
    assert!(harness.owns_first_key("s1"));
    harness.driver.put("s3", Stage::Ready);
    harness.driver.put("s1", Stage::Draining);
    while harness.releases.is_empty() {
        harness.run(TICK_MS);
        assert!(harness.driver.now_ms < probe_deadline_ms, "the probe is answered in time");
    }
    let (release, _, connection) = harness.releases[0];
    harness.step(Event::Answered(probe, Reply::Done(None)));
    harness.run(100);
    assert!(!harness.owns_first_key("s3"), "the first server still works on its keys");
    let connection = connection.expect("it follows the grants");
    let reply = Reply::DoneOn(connection, Some("token".into()));
    harness.step(Event::Answered(release, reply));
    harness.run(100);
    assert!(harness.owns_first_key("s3"));
}
