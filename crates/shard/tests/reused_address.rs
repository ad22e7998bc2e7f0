//! Guards against keys that wait for a grant of a server whose address another one has since, and
//! against keys that are taken from a running server because of another entry with its address.
mod fixture;

use crate::fixture::{
    SERVICE, TICK_MS, address, carry_out, incarnation, registration, registry, step_with_writes,
};
use document::HashMap;
use registry::{Incarnation, Registration, Registry, Stage};
use shard::{
    Config, Epoch, Event, Leader, OrderId, OrderKind, Output, Owner, Reply, Servers, Table,
};

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    /// What happens to orders for the first server.
    first: First,
    /// Orders without an answer, with the time and kind of their outcome.
    unanswered: Vec<(u64, OrderId, Reply)>,
}

/// What happens to orders for the first server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum First {
    /// It carries them out.
    Runs,
    /// They are lost.
    Lost,
    /// Another process has its address and refuses them.
    Replaced,
}

impl Harness {
    fn new() -> Self {
        let registry = registry(["s1", "s2"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        let speeds = HashMap::default();
        Self { now_ms: 0, leader, registry, speeds, first: First::Runs, unanswered: Vec::new() }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            let Output::Order { id, server, kind, deadline_ms, connection } = output else {
                continue;
            };
            let is_release = matches!(kind, OrderKind::Release(_));
            let done = carry_out(&kind, connection);
            let (first, now_ms) = (incarnation("s1"), self.now_ms);
            match self.first {
                _ if server.incarnation != first => self.step(Event::Answered(id, done)),
                First::Runs if is_release => self.unanswered.push((now_ms + WORK_MS, id, done)),
                First::Runs => self.step(Event::Answered(id, done)),
                First::Lost => self.unanswered.push((deadline_ms, id, Reply::Unknown)),
                First::Replaced => self.unanswered.push((now_ms + 1, id, Reply::Misdirected)),
            }
        }
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            let now_ms = self.now_ms;
            let due = self.unanswered.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms);
            for (_, id, reply) in due.collect::<Vec<_>>() {
                self.step(Event::Answered(id, reply));
            }
            self.step(Event::Tick);
        }
    }

    fn table(&self) -> Table {
        self.leader.table(SERVICE, self.now_ms).unwrap()
    }

    fn is_served_by_second(&self) -> bool {
        let owner = Owner::Server(incarnation("s2"));
        self.table().spans.iter().all(|span| span.owner == owner)
    }

    fn is_served(&self) -> bool {
        self.table().spans.iter().all(|span| matches!(span.owner, Owner::Server(_)))
    }

    /// Registers a later incarnation of the first server at an address.
    fn restart_at(&mut self, name: &str, first: First) {
        self.run(5_000);
        self.first = first;
        let later = Incarnation { server: "s1".into(), born_ms: 9 };
        let registration = registration("s1", Stage::Ready);
        let later = Registration { incarnation: later, address: address(name), ..registration };
        self.registry.put(self.now_ms, "s1", later);
        self.run(300);
    }

    /// Removes the first server's entry, and lets another one register at an address after 2 s.
    fn replace_at(&mut self, name: &str, before: First, after: First) {
        self.run(5_000);
        self.first = before;
        self.registry.remove(self.now_ms, "s1");
        if before == First::Lost {
            self.run(2_000);
            assert!(!self.is_served_by_second(), "the last grant may be valid");
        }
        self.first = after;
        let later = Registration {
            incarnation: Incarnation { server: "other".into(), born_ms: 9 },
            service: "archive".into(),
            address: address(name),
            ..registration("other", Stage::Ready)
        };
        self.registry.put(self.now_ms, "other", later);
        self.run(300);
    }
}

/// How long the first server works on requests whose keys it has to release.
const WORK_MS: u64 = 1_000;

#[test]
fn keys_of_replaced_server_move_at_once() {
    let mut harness = Harness::new();
    harness.replace_at("s1", First::Lost, First::Replaced);
    assert!(harness.is_served_by_second(), "{:?}", harness.table());
}

/// Guards against two owners after another writer registers the address of a running server.
#[test]
fn entry_at_address_of_running_server_proves_nothing() {
    let mut harness = Harness::new();
    harness.replace_at("s1", First::Runs, First::Runs);
    assert!(!harness.is_served_by_second(), "{:?}", harness.table());
    harness.run(WORK_MS);
    assert!(harness.is_served_by_second(), "{:?}", harness.table());
}

/// Guards against two owners after another writer registers the address of a silent server.
#[test]
fn entry_at_address_of_silent_server_proves_nothing() {
    let mut harness = Harness::new();
    harness.replace_at("s1", First::Lost, First::Lost);
    assert!(!harness.is_served_by_second(), "{:?}", harness.table());
}

#[test]
fn server_at_another_address_proves_nothing() {
    let mut harness = Harness::new();
    harness.replace_at("s7", First::Lost, First::Replaced);
    assert!(!harness.is_served_by_second(), "{:?}", harness.table());
}

#[test]
fn keys_of_restarted_server_move_at_once() {
    let mut harness = Harness::new();
    harness.restart_at("s1", First::Lost);
    assert!(harness.is_served(), "{:?}", harness.table());
}

/// Guards against two owners after another writer registers a running server at another address.
#[test]
fn later_entry_at_another_address_proves_nothing() {
    for first in [First::Runs, First::Lost] {
        let mut harness = Harness::new();
        harness.restart_at("s7", first);
        assert!(!harness.is_served(), "{first:?} {:?}", harness.table());
        harness.run(if first == First::Runs { WORK_MS } else { 2 * Config::default().grant_ms });
        assert!(harness.is_served(), "{first:?} {:?}", harness.table());
    }
}
