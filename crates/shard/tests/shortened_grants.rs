//! Guards against a second holder while a long grant of the first is still valid.
//!
//! Grants are longer during a store outage, and the shorter grants that follow do not shorten
//! them. A leader that counts only the last grant gives the range away too early.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, carry_out, incarnation, registry};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{
    Config, Epoch, Event, Grant, KeyRange, Leader, OrderId, OrderKind, Output, Record, Reply,
    Servers,
};

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    /// A server that orders no longer reach.
    silent: Option<Incarnation>,
    record: Option<Record>,
    /// The grants that each server accepted.
    accepted: HashMap<Incarnation, Vec<Grant>>,
}

impl Harness {
    fn new() -> Self {
        let registry = registry(["s1", "s2"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        let (speeds, accepted) = (HashMap::default(), HashMap::default());
        Self { now_ms: 0, leader, registry, speeds, silent: None, record: None, accepted }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        let outputs = self.leader.step(self.now_ms, servers, event);
        for output in outputs {
            match output {
                Output::Order { id, server, kind, connection, .. } => {
                    let done = carry_out(&kind, connection);
                    self.send(id, &server.incarnation, kind, done);
                }
                Output::Write { service, record } => {
                    let (epoch, number) = (Epoch(record.epoch), record.number);
                    self.record = Some(record);
                    self.step(Event::RecordWritten { service, epoch, number });
                }
                _ => {}
            }
        }
    }

    /// Delivers an order to its server and answers it.
    fn send(&mut self, id: OrderId, incarnation: &Incarnation, kind: OrderKind, done: Reply) {
        if self.silent.as_ref() == Some(incarnation) {
            return self.step(Event::Answered(id, Reply::NotSent));
        }
        if let OrderKind::Grant(grant) = kind {
            self.accepted.entry(incarnation.clone()).or_default().push(grant);
        }
        self.step(Event::Answered(id, done));
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    fn last_grant(&self, name: &str) -> &Grant {
        self.accepted[&incarnation(name)].last().unwrap()
    }

    /// Replaces the leader by one that starts from the last record, and returns the current time.
    fn take_over(&mut self) -> u64 {
        let records = [(SERVICE.into(), self.record.clone().unwrap())];
        let config = Config::default();
        self.leader = Leader::new(Epoch(9), self.now_ms, u64::MAX, &records, config);
        self.now_ms
    }

    /// Runs until a server is granted a part of a range, and returns the time of the grant.
    fn run_until_granted(&mut self, name: &str, range: KeyRange) -> u64 {
        for _ in 0..2_000 {
            self.run(TICK_MS);
            if self.accepted[&incarnation(name)].iter().any(|grant| grant.range.overlaps(range)) {
                return self.now_ms;
            }
        }
        panic!("{name} got no part of the range within 40 s");
    }
}

#[test]
fn long_grant_is_waited_for() {
    let mut harness = Harness::new();
    harness.run(5_000);
    harness.step(Event::StoreAnswers(false));
    harness.run(1_000);
    let outage_ended_at_ms = harness.now_ms;
    // The server is cut off before a shorter grant reaches it.
    let range = harness.last_grant("s1").range;
    harness.silent = Some(incarnation("s1"));
    harness.step(Event::StoreAnswers(true));
    let granted_at_ms = harness.run_until_granted("s2", range);
    // The last long grant was accepted at most one renewal interval before.
    let config = Config::default();
    assert!(
        granted_at_ms + config.renew_interval_ms >= outage_ended_at_ms + config.outage_grant_ms
    );
}

#[test]
fn shorter_grants_shorten_no_earlier_one() {
    let mut harness = Harness::new();
    harness.run(5_000);
    harness.step(Event::StoreAnswers(false));
    harness.run(1_000);
    let outage_ended_at_ms = harness.now_ms;
    harness.step(Event::StoreAnswers(true));
    harness.run(1_000);
    assert_eq!(harness.last_grant("s1").grant_ms, Config::default().grant_ms);
    let range = harness.last_grant("s1").range;
    harness.silent = Some(incarnation("s1"));
    let granted_at_ms = harness.run_until_granted("s2", range);
    let config = Config::default();
    assert!(
        granted_at_ms + config.renew_interval_ms >= outage_ended_at_ms + config.outage_grant_ms
    );
}

#[test]
fn earlier_leaders_grants_are_waited_for() {
    let mut harness = Harness::new();
    harness.run(5_000);
    let range = harness.last_grant("s1").range;
    let taken_over_at_ms = harness.take_over();
    harness.run(1_000);
    // The server accepted a short grant of the new leader; the earlier leader may have given
    // the longest one until it was replaced.
    assert_eq!(harness.last_grant("s1").grant_ms, Config::default().grant_ms);
    harness.silent = Some(incarnation("s1"));
    let granted_at_ms = harness.run_until_granted("s2", range);
    assert!(granted_at_ms >= taken_over_at_ms + Config::default().max_grant_ms);
}

#[test]
fn lost_server_is_replaced_soon_while_store_answers() {
    let mut harness = Harness::new();
    harness.run(15_000);
    let (range, lost_at_ms) = (harness.last_grant("s1").range, harness.now_ms);
    harness.silent = Some(incarnation("s1"));
    let granted_at_ms = harness.run_until_granted("s2", range);
    let config = Config::default();
    assert!(
        granted_at_ms <= lost_at_ms + config.grant_deadline_ms(0, config.grant_ms) + 2 * TICK_MS
    );
}
