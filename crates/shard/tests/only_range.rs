//! Guards against a second holder of a range that covers all keys.
//!
//! A service with one server, or with one that has all keys, has a single range. Without holder and
//! successor it looks like the range of a service whose keys were never assigned.
mod fixture;

use crate::fixture::{Driver, SERVICE, TICK_MS, incarnation, registration};
use registry::{Incarnation, Stage};
use shard::{
    Config, ConnectionId, Epoch, Event, Grant, KeyRange, Leader, OrderId, OrderKind, Output,
    Record, RecordedRange, Reply,
};

/// For how long `s1` has its last grant at least.
const HELD_MS: u64 = 2_000;

/// A leader whose record names `s1` as the owner of all keys.
struct Harness {
    driver: Driver,
    /// The grants to others than the first incarnation of `s1`.
    given_on: Vec<(u64, Incarnation, Grant)>,
}

impl Harness {
    fn new<const N: usize>(servers: [&str; N]) -> Self {
        let mut driver = Driver::new(servers);
        let range =
            RecordedRange { range: KeyRange::WHOLE, owner: incarnation("s1"), previous: vec![] };
        let record = Record { epoch: 4, number: 1, previous_left_ms: Some(0), ranges: vec![range] };
        let records = [(SERVICE.into(), record)];
        driver.leader = Leader::new(Epoch(5), 0, u64::MAX, &records, Config::default());
        let mut harness = Self { driver, given_on: Vec::new() };
        harness.run(500);
        harness
    }

    /// Runs for some time; all grants are accepted, and no release is answered.
    fn run(&mut self, for_ms: u64) {
        let until_ms = self.driver.now_ms + for_ms;
        while self.driver.now_ms < until_ms {
            self.driver.now_ms += TICK_MS;
            let mut accepted = self.step(Event::Tick);
            while let Some(id) = accepted.pop() {
                accepted
                    .extend(self.step(Event::Answered(id, Reply::DoneOn(ConnectionId(1), None))));
            }
        }
    }

    fn step(&mut self, event: Event) -> Vec<OrderId> {
        let mut accepted = Vec::new();
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind: OrderKind::Grant(grant), .. } = output else {
                continue;
            };
            if server.incarnation != incarnation("s1") {
                let now_ms = self.driver.now_ms;
                self.given_on.push((now_ms, server.incarnation.clone(), grant));
            }
            accepted.push(id);
        }
        accepted
    }
}

/// Starts `s1` again at another address; its earlier process runs on.
fn start_elsewhere(harness: &mut Harness) {
    let mut later = registration("s1", Stage::Ready);
    later.incarnation.born_ms = 400;
    later.address.set_port(5_001);
    later.heartbeat = 2;
    harness.driver.registry.put(harness.driver.now_ms, "s1", later);
}

#[test]
fn server_that_starts_again_elsewhere_waits_for_its_earlier_process() {
    let mut harness = Harness::new(["s1"]);
    start_elsewhere(&mut harness);
    harness.run(HELD_MS);
    assert!(harness.given_on.is_empty(), "{:?}", harness.given_on);
}

#[test]
fn server_that_joins_waits_for_one_that_starts_again_elsewhere() {
    let mut harness = Harness::new(["s1"]);
    harness.driver.put("s2", Stage::Ready);
    start_elsewhere(&mut harness);
    // The number of servers has to be stable for a while before a first assignment.
    harness.run(Config::default().settle_ms + HELD_MS / 4);
    assert!(harness.given_on.is_empty(), "{:?}", harness.given_on);
}
