//! A grant that was made long while the store was away stands until it ends, whatever shorter
//! ones follow.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, incarnation, registry};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{
    Epoch, Event, Grant, KeyRange, Leader, OrderId, OrderKind, Output, Record, Reply, Servers,
    Tuning,
};

struct Play {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    /// A server that answers no order any more.
    silent: Option<Incarnation>,
    record: Option<Record>,
    /// The grants that each server took.
    taken: HashMap<Incarnation, Vec<Grant>>,
}

impl Play {
    fn new() -> Self {
        let registry = registry(["s1", "s2"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Tuning::default());
        leader.add_service(&SERVICE.into());
        let (speeds, taken) = (HashMap::default(), HashMap::default());
        Self { now_ms: 0, leader, registry, speeds, silent: None, record: None, taken }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        let outputs = self.leader.step(self.now_ms, servers, event);
        for output in outputs {
            match output {
                Output::Order { id, server, kind, .. } => self.send(id, &server.incarnation, kind),
                Output::Write { service, record } => {
                    let number = record.number;
                    self.record = Some(record);
                    self.step(Event::Recorded { service, number });
                }
                _ => {}
            }
        }
    }

    /// Delivers an order to its server and answers it.
    fn send(&mut self, id: OrderId, incarnation: &Incarnation, kind: OrderKind) {
        if self.silent.as_ref() == Some(incarnation) {
            return self.step(Event::Answered(id, Reply::NotSent));
        }
        if let OrderKind::Grant(grant) = kind {
            self.taken.entry(incarnation.clone()).or_default().push(grant);
        }
        self.step(Event::Answered(id, Reply::Done(None)));
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    fn last_of(&self, name: &str) -> &Grant {
        self.taken[&incarnation(name)].last().unwrap()
    }

    /// Has another leader go on with the last record; returns when.
    fn take_over(&mut self) -> u64 {
        let records = [(SERVICE.into(), self.record.clone().unwrap())];
        let tuning = Tuning::default();
        self.leader = Leader::new(Epoch(9), self.now_ms, u64::MAX, &records, tuning);
        self.now_ms
    }

    /// Runs until a server is granted some of a range; returns when.
    fn granted_at_ms(&mut self, name: &str, range: KeyRange) -> u64 {
        for _ in 0..2_000 {
            self.run(TICK_MS);
            if self.taken[&incarnation(name)].iter().any(|grant| grant.range.overlaps(range)) {
                return self.now_ms;
            }
        }
        panic!("nobody got the range within 40 s");
    }
}

#[test]
fn long_grant_is_waited_for() {
    let mut play = Play::new();
    play.run(5_000);
    play.step(Event::StoreAnswers(false));
    play.run(1_000);
    let long_at_ms = play.now_ms;
    // The server is cut off before a shorter grant reaches it.
    let range = play.last_of("s1").range;
    play.silent = Some(incarnation("s1"));
    play.step(Event::StoreAnswers(true));
    let granted_ms = play.granted_at_ms("s2", range);
    // The last long grant was taken at most a renewal before.
    let tuning = Tuning::default();
    assert!(granted_ms + tuning.renew_every_ms >= long_at_ms + tuning.long_hold_ms);
}

#[test]
fn shorter_grants_take_nothing_back() {
    let mut play = Play::new();
    play.run(5_000);
    play.step(Event::StoreAnswers(false));
    play.run(1_000);
    let long_at_ms = play.now_ms;
    play.step(Event::StoreAnswers(true));
    play.run(1_000);
    assert_eq!(play.last_of("s1").hold_ms, Tuning::default().hold_ms);
    let range = play.last_of("s1").range;
    play.silent = Some(incarnation("s1"));
    let granted_ms = play.granted_at_ms("s2", range);
    let tuning = Tuning::default();
    assert!(granted_ms + tuning.renew_every_ms >= long_at_ms + tuning.long_hold_ms);
}

#[test]
fn earlier_leaders_grants_are_waited_for() {
    let mut play = Play::new();
    play.run(5_000);
    let range = play.last_of("s1").range;
    let taken_over_ms = play.take_over();
    play.run(1_000);
    // The server took a short grant of the new leader; the earlier one may have given the
    // longest there is, up to its end.
    assert_eq!(play.last_of("s1").hold_ms, Tuning::default().hold_ms);
    play.silent = Some(incarnation("s1"));
    let granted_ms = play.granted_at_ms("s2", range);
    assert!(granted_ms >= taken_over_ms + Tuning::default().longest_hold_ms);
}

#[test]
fn lost_server_is_replaced_soon_in_calm_times() {
    let mut play = Play::new();
    play.run(15_000);
    let (range, lost_ms) = (play.last_of("s1").range, play.now_ms);
    play.silent = Some(incarnation("s1"));
    let granted_ms = play.granted_at_ms("s2", range);
    let tuning = Tuning::default();
    assert!(granted_ms <= lost_ms + tuning.stands_until_ms(0, tuning.hold_ms) + 2 * TICK_MS);
}
