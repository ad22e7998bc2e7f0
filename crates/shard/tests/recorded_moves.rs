//! Guards against records from which a later leader would take a server for done that may still
//! apply a grant.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, incarnation, registration, registry};
use document::HashMap;
use registry::{Registry, Stage};
use shard::{
    Config, Epoch, Event, KeyRange, Leader, OrderId, OrderKind, Output, Record, RecordedRange,
    Reply, Servers,
};

/// A leader of two servers, `s1` with all keys, that starts from a record.
struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    /// The grants and releases that `s1` has not answered.
    orders: Vec<(OrderId, OrderKind)>,
    writes: Vec<Record>,
    /// Whether `s2` was sent a grant.
    is_given_on: bool,
}

impl Harness {
    fn new(record: Record) -> Self {
        let records = [(SERVICE.into(), record)];
        let leader = Leader::new(Epoch(5), 0, u64::MAX, &records, Config::default());
        let registry = registry(["s1", "s2"].map(String::from));
        let (orders, writes) = (Vec::new(), Vec::new());
        Self { now_ms: 0, leader, registry, orders, writes, is_given_on: false }
    }

    fn step(&mut self, event: Event) {
        let speeds = HashMap::default();
        let servers = Servers { registry: &self.registry, speeds: &speeds };
        for output in self.leader.step(self.now_ms, servers, event) {
            match output {
                Output::Order { id, server, kind, .. }
                    if server.incarnation == incarnation("s1") =>
                {
                    self.orders.push((id, kind));
                }
                Output::Order { kind: OrderKind::Grant(_), .. } => self.is_given_on = true,
                Output::Write { record, .. } => self.writes.push(record),
                _ => {}
            }
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    /// Answers all orders that are pending now, not those that follow.
    fn answer(&mut self, reply: &Reply) {
        for (id, _) in std::mem::take(&mut self.orders) {
            self.step(Event::Answered(id, reply.clone()));
        }
    }

    /// Answers all grants until the next ones are not due for a while.
    fn settle(&mut self) {
        for _ in 0..5 {
            self.run(TICK_MS);
            self.answer(&Reply::Done(None));
        }
    }

    fn drain_first(&mut self) {
        self.registry.put(self.now_ms, "s1", registration("s1", Stage::Draining));
        self.run(TICK_MS);
    }

    /// Returns whether `s1` has an unanswered grant.
    fn has_grant(&self) -> bool {
        self.orders.iter().any(|(_, kind)| matches!(kind, OrderKind::Grant(_)))
    }
}

fn record(owner: &str, previous: &[&str], previous_are_quiescent: bool) -> Record {
    let previous = previous.iter().map(|name| incarnation(name)).collect();
    let range = RecordedRange { range: KeyRange::WHOLE, owner: incarnation(owner), previous };
    Record { epoch: 4, number: 1, previous_are_quiescent, ranges: vec![range] }
}

#[test]
fn move_waits_for_the_outcome_of_grants() {
    let mut harness = Harness::new(record("s1", &[], true));
    harness.run(TICK_MS);
    harness.drain_first();
    assert!(harness.has_grant());
    assert!(harness.writes.is_empty(), "{:?}", harness.writes);
    harness.settle();
    let [record] = harness.writes.as_slice() else { panic!("{:?}", harness.writes) };
    assert_eq!(record.ranges[0].owner, incarnation("s2"));
    assert_eq!(record.ranges[0].previous, [incarnation("s1")]);
    assert!(record.previous_are_quiescent);
}

#[test]
fn recorded_holder_gets_no_grants_until_the_write_is_ruled_out() {
    let mut harness = Harness::new(record("s1", &[], true));
    harness.settle();
    harness.drain_first();
    harness.settle();
    assert_eq!(harness.writes.len(), 1);
    harness.step(Event::RecordWriteFailed {
        service: SERVICE.into(),
        epoch: Epoch(5),
        is_ruled_out: false,
    });
    harness.run(1_000);
    assert!(!harness.has_grant(), "{:?}", harness.orders);
    assert_eq!(harness.writes.len(), 2, "the move is recorded again");
}

#[test]
fn release_does_not_count_after_a_record_of_an_earlier_version() {
    let mut harness = Harness::new(record("s2", &["s1"], false));
    let deadline_ms = Config::default().earlier_grants_deadline_ms(0);
    while harness.now_ms + TICK_MS < deadline_ms {
        harness.run(TICK_MS);
        harness.answer(&Reply::Done(None));
        assert!(!harness.is_given_on, "at {}", harness.now_ms);
    }
    harness.run(2 * TICK_MS);
    let number = harness.writes.last().expect("a record without s1").number;
    let epoch = Epoch(5);
    harness.step(Event::RecordWritten { service: SERVICE.into(), epoch, number });
    assert!(harness.is_given_on);
}

#[test]
fn release_counts_after_a_record_of_quiescent_holders() {
    let mut harness = Harness::new(record("s2", &["s1"], true));
    harness.run(TICK_MS);
    harness.answer(&Reply::Done(None));
    assert!(harness.is_given_on);
}

/// Guards against an earlier answer on the same connection that counts as the acceptance of the
/// grant that rules out those of the leader before.
#[test]
fn recorded_owner_is_quiescent_only_after_an_answer_of_its_own() {
    let mut harness = Harness::new(record("s1", &[], true));
    harness.run(TICK_MS);
    harness.drain_first();
    let mut have_own_answers = false;
    for _ in 0..5 {
        let mut orders = harness.orders.iter();
        have_own_answers |=
            orders.any(|(_, kind)| matches!(kind, OrderKind::Grant(_)) && kind.needs_own_answer());
        harness.answer(&Reply::Done(None));
        harness.run(TICK_MS);
    }
    assert_eq!(harness.writes.len(), 1);
    assert!(have_own_answers, "recorded after answers that may be those of other orders");
}
