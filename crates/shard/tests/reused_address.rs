//! Guards against keys that wait for a grant of a server whose address another one has since.
//!
//! The process at an address has ended when a later one is registered there, so its grants need
//! not be waited for.
mod fixture;

use crate::fixture::{
    SERVICE, TICK_MS, address, incarnation, registration, registry, step_with_writes,
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
    /// Whether orders still reach the first server.
    is_lost: bool,
    unanswered: Vec<(u64, OrderId)>,
}

impl Harness {
    fn new() -> Self {
        let registry = registry(["s1", "s2"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        let speeds = HashMap::default();
        Self { now_ms: 0, leader, registry, speeds, is_lost: false, unanswered: Vec::new() }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            let Output::Order { id, server, kind, deadline_ms } = output else { continue };
            if self.is_lost && server.incarnation == incarnation("s1") {
                self.unanswered.push((deadline_ms, id));
                continue;
            }
            let token = matches!(kind, OrderKind::Release(_)).then(|| "token".into());
            self.step(Event::Answered(id, Reply::Done(token)));
        }
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            let now_ms = self.now_ms;
            for (_, id) in
                self.unanswered.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect::<Vec<_>>()
            {
                self.step(Event::Answered(id, Reply::Unknown));
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

    /// Loses the first server, and lets another one register at an address after 2 s.
    fn replace_at(&mut self, name: &str) {
        self.run(5_000);
        self.is_lost = true;
        self.registry.remove(self.now_ms, "s1");
        self.run(2_000);
        assert!(!self.is_served_by_second(), "the last grant may be valid");
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

#[test]
fn keys_of_ended_server_move_at_once() {
    let mut harness = Harness::new();
    harness.replace_at("s1");
    assert!(harness.is_served_by_second(), "{:?}", harness.table());
}

#[test]
fn server_at_another_address_proves_nothing() {
    let mut harness = Harness::new();
    harness.replace_at("s7");
    assert!(!harness.is_served_by_second(), "{:?}", harness.table());
}
