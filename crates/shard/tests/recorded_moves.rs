//! Guards against records from which a later leader would take a server for done that may still
//! carry out a grant.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, carry_out, incarnation, registration, registry};
use document::HashMap;
use registry::{Registry, Stage};
use shard::{
    Config, ConnectionId, Epoch, Event, KeyRange, Leader, OrderId, OrderKind, Output, Record,
    RecordedRange, Reply, Servers,
};

/// Until when grants of the leader before may be valid.
const EARLIER_MS: u64 = 2_000;

/// A leader that starts from a record. `s2` joins when `s1` drains, unless the record names it.
struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    /// The grants and releases that `s1` has not answered.
    orders: Vec<(OrderId, OrderKind, Option<ConnectionId>)>,
    writes: Vec<Record>,
    /// Whether `s2` was sent a grant.
    is_given_on: bool,
}

impl Harness {
    fn new(record: Record) -> Self {
        Self::after(record, EARLIER_MS)
    }

    /// Returns a leader after one whose grants, or those of earlier ones, may be valid until then.
    fn after(record: Record, earlier_ms: u64) -> Self {
        let has_second = record.ranges[0].owner == incarnation("s2");
        let records = [(SERVICE.into(), record)];
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &records, Config::default());
        leader.limit_earlier_grants(earlier_ms);
        let names = if has_second { vec!["s1", "s2"] } else { vec!["s1"] };
        let registry = registry(names.into_iter().map(String::from));
        let (orders, writes) = (Vec::new(), Vec::new());
        Self { now_ms: 0, leader, registry, orders, writes, is_given_on: false }
    }

    fn step(&mut self, event: Event) {
        let speeds = HashMap::default();
        let servers = Servers { registry: &self.registry, speeds: &speeds };
        for output in self.leader.step(self.now_ms, servers, event) {
            match output {
                Output::Order { id, server, kind, connection, .. }
                    if server.incarnation == incarnation("s1") =>
                {
                    self.orders.push((id, kind, connection));
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

    /// Carries out all orders that are pending now, not those that follow.
    fn answer(&mut self) {
        for (id, kind, connection) in std::mem::take(&mut self.orders) {
            self.step(Event::Answered(id, carry_out(&kind, connection)));
        }
    }

    /// Answers all grants until the next ones are not due for a while.
    fn settle(&mut self) {
        for _ in 0..5 {
            self.run(TICK_MS);
            self.answer();
        }
    }

    fn drain_first(&mut self) {
        self.registry.put(self.now_ms, "s1", registration("s1", Stage::Draining));
        self.registry.put(self.now_ms, "s2", registration("s2", Stage::Ready));
        self.run(TICK_MS);
    }

    fn confirm_writes(&mut self) {
        for record in std::mem::take(&mut self.writes) {
            let (epoch, number) = (Epoch(record.epoch), record.number);
            self.step(Event::RecordWritten { service: SERVICE.into(), epoch, number });
        }
    }

    /// Answers all orders, and returns when `s2` gets its first grant if it gets none before
    /// `until_ms`; otherwise how much earlier.
    fn given_on_after(&mut self, until_ms: u64) -> u64 {
        while !self.is_given_on {
            assert!(self.now_ms <= until_ms + 2 * TICK_MS, "the range is given on");
            self.run(TICK_MS);
            self.answer();
            self.confirm_writes();
        }
        self.now_ms.min(until_ms)
    }

    /// Returns whether `s1` has an unanswered grant.
    fn has_grant(&self) -> bool {
        self.orders.iter().any(|(_, kind, _)| matches!(kind, OrderKind::Grant(_)))
    }
}

fn record(owner: &str, previous: &[&str], previous_left_ms: Option<u64>) -> Record {
    let previous = previous.iter().map(|name| incarnation(name)).collect();
    let range = RecordedRange { range: KeyRange::WHOLE, owner: incarnation(owner), previous };
    Record { epoch: 4, number: 1, previous_left_ms, ranges: vec![range] }
}

#[test]
fn move_waits_for_the_outcome_of_grants() {
    let mut harness = Harness::new(record("s1", &[], Some(0)));
    harness.run(TICK_MS);
    harness.drain_first();
    assert!(harness.has_grant());
    assert!(harness.writes.is_empty(), "{:?}", harness.writes);
    harness.settle();
    let [record] = harness.writes.as_slice() else { panic!("{:?}", harness.writes) };
    assert_eq!(record.ranges[0].owner, incarnation("s2"));
    assert_eq!(record.ranges[0].previous, [incarnation("s1")]);
    let config = Config::default();
    let renewed_ms = config.grant_deadline_ms(0, config.grant_ms);
    let left_ms = record.previous_left_ms.expect("no grant is awaited");
    assert!((renewed_ms - 200..=renewed_ms).contains(&left_ms), "{left_ms}");
}

#[test]
fn recorded_holder_gets_no_grants_until_the_write_is_ruled_out() {
    let mut harness = Harness::new(record("s1", &[], Some(0)));
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
fn grants_are_waited_for_after_a_record_of_an_earlier_version() {
    let mut harness = Harness::new(record("s2", &["s1"], None));
    assert_eq!(harness.given_on_after(EARLIER_MS), EARLIER_MS);
}

/// Guards against a resignation that leaves the time of its grants open and counts as one without grants.
#[test]
fn grants_of_unknown_time_are_waited_for_longest() {
    let config = Config::default();
    let deadline_ms = config.resigned_grants_deadline_ms(0, None);
    assert!(deadline_ms >= config.order_timeout_ms + config.max_transit_ms + config.max_grant_ms);
    let mut harness = Harness::after(record("s2", &["s1"], None), deadline_ms);
    assert_eq!(harness.given_on_after(deadline_ms), deadline_ms);
}

/// Guards against a release that counts as the end of a grant that it does not end.
#[test]
fn recorded_time_of_previous_holders_is_waited_for() {
    let mut harness = Harness::new(record("s2", &["s1"], Some(1_000)));
    assert_eq!(harness.given_on_after(1_020), 1_020);
}

/// Guards against an earlier answer on the same connection that counts as that to a grant: only one
/// of its own, or time, shows that the recorded owner carries out no grant.
#[test]
fn recorded_owner_is_quiescent_only_after_an_answer_of_its_own() {
    for has_own_answer in [false, true] {
        let mut harness = Harness::new(record("s1", &[], Some(0)));
        harness.run(TICK_MS);
        harness.drain_first();
        let (mut last_grant_end_ms, mut is_answered) = (EARLIER_MS, false);
        while !harness.is_given_on {
            assert!(harness.now_ms < 20_000, "the range is given on");
            for (id, kind, connection) in std::mem::take(&mut harness.orders) {
                if let OrderKind::Grant(grant) = &kind {
                    last_grant_end_ms = last_grant_end_ms.max(harness.now_ms + grant.grant_ms);
                }
                let is_release = matches!(kind, OrderKind::Release(_));
                is_answered |= is_release && has_own_answer;
                // Only the answer of its own has the token that a release returns.
                let is_copy = is_release && connection.is_some() && !has_own_answer;
                let copy = Reply::Done(None);
                let reply = if is_copy { copy } else { carry_out(&kind, connection) };
                harness.step(Event::Answered(id, reply));
            }
            harness.run(TICK_MS);
            harness.confirm_writes();
        }
        let have_ended = harness.now_ms >= last_grant_end_ms;
        assert!(is_answered || have_ended, "given on after answers that may be those of others");
    }
}

/// Guards against a server that keeps the keys it is to give up for as long as it goes on leaving
/// some grants unanswered.
#[test]
fn holder_that_leaves_grants_unanswered_again_and_again_gives_its_keys_up() {
    let config = Config::default();
    // The time that one unanswered grant may last, and the outcome of another.
    let longest_ms = config.unanswered_grant_deadline_ms(0, config.grant_ms)
        + config.order_timeout_ms
        + config.max_transit_ms;
    let mut harness = Harness::new(record("s1", &[], Some(0)));
    harness.settle();
    let (mut unanswered, mut next_unanswered_ms, mut is_draining) = (Vec::new(), 0, false);
    let drain_at_ms = harness.now_ms + 2 * longest_ms;
    let has_moved = |record: &Record| record.ranges[0].owner == incarnation("s2");
    while !harness.writes.iter().any(has_moved) {
        assert!(harness.now_ms < drain_at_ms + longest_ms, "the move is not recorded");
        harness.confirm_writes();
        if harness.now_ms >= drain_at_ms && !is_draining {
            is_draining = true;
            harness.drain_first();
        }
        for (id, kind, connection) in std::mem::take(&mut harness.orders) {
            let is_full =
                matches!(&kind, OrderKind::Grant(grant) if grant.grant_ms == config.grant_ms);
            if is_full && harness.now_ms >= next_unanswered_ms {
                next_unanswered_ms = harness.now_ms + config.renew_interval_ms;
                unanswered.push((harness.now_ms + config.order_timeout_ms, id));
            } else {
                harness.step(Event::Answered(id, carry_out(&kind, connection)));
            }
        }
        harness.run(TICK_MS);
        let now_ms = harness.now_ms;
        let timed_out: Vec<_> = unanswered.extract_if(.., |(at_ms, _)| now_ms >= *at_ms).collect();
        for (_, id) in timed_out {
            harness.step(Event::Answered(id, Reply::Unknown));
        }
    }
}
