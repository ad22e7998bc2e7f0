//! Guards against overloaded servers, idle servers and needless moves.
//!
//! Each test simulates a load on servers that carry out every order at once.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, carry_out, registration, registry, step_with_writes};
use document::{HashMap, Name};
use registry::{Incarnation, Registry, Stage};
use shard::{Config, Epoch, Event, Leader, MoveReason, Output, Owner, Servers, Table};

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    moves: Vec<(MoveReason, u32)>,
}

impl Harness {
    fn new(servers: u64) -> Self {
        let registry = registry((0..servers).map(|number| format!("s{number}")));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        Self { now_ms: 0, leader, registry, speeds: HashMap::default(), moves: Vec::new() }
    }

    /// Runs with a load of `slots` busy slots that is spread evenly over the keys.
    fn run(&mut self, for_ms: u64, keys: &[u16], slots: f32) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            if let Some(load) = self.leader.load_mut(SERVICE) {
                let work_ms = slots * 20.0 / f32::from(u16::try_from(keys.len()).unwrap());
                for key in keys {
                    load.add(*key, work_ms);
                }
            }
            self.step(Event::Tick);
        }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            match output {
                Output::Order { id, kind, connection, .. } => {
                    self.step(Event::Answered(id, carry_out(&kind, connection)));
                }
                Output::Log(shard::LogEvent::Planned { range, reason, .. }) => {
                    self.moves.push((reason, range.count()));
                }
                Output::Write { .. }
                | Output::Publish { .. }
                | Output::Deposed
                | Output::Log(_) => {}
            }
        }
    }

    fn table(&self) -> Table {
        self.leader.table(SERVICE, self.now_ms).unwrap()
    }

    /// Returns how many of the keys each server has, in descending order.
    fn shares(&self, keys: &[u16]) -> Vec<usize> {
        let table = self.table();
        let mut shares: HashMap<Name, usize> = HashMap::default();
        for key in keys {
            if let Owner::Server(incarnation) = &table.find(*key).unwrap().owner {
                *shares.entry(incarnation.server.clone()).or_default() += 1;
            }
        }
        let mut shares: Vec<usize> = shares.into_values().collect();
        shares.sort_unstable_by(|a, b| b.cmp(a));
        shares
    }
}

fn spread_keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(64).collect()
}

#[test]
fn first_assignment_is_even() {
    let mut harness = Harness::new(8);
    harness.run(2_000, &[0], 0.0);
    let shares = harness.shares(&spread_keys());
    assert_eq!(shares.len(), 8);
    assert!(shares[0] <= shares[7] + 2, "{shares:?}");
}

#[test]
fn hot_neighbours_are_spread() {
    let mut harness = Harness::new(8);
    harness.run(2_000, &spread_keys(), 8.0);
    let hot: Vec<u16> = (30_000..30_060).collect();
    harness.run(3_000, &hot, 12.0);
    let shares = harness.shares(&hot);
    // Twelve busy slots on eight servers with four each: no server should have more than a third
    // of the hot keys.
    assert!(shares.len() >= 5 && shares[0] <= 20, "{shares:?}");
}

#[test]
fn server_of_hot_key_has_few_other_keys() {
    let mut harness = Harness::new(8);
    harness.run(2_000, &spread_keys(), 8.0);
    let before = harness.moves.len();
    harness.run(5_000, &[30_000], 6.0);
    let table = harness.table();
    let owner = table.find(30_000).unwrap().owner.clone();
    let others = spread_keys();
    let beside = others.iter().filter(|key| table.find(**key).unwrap().owner == owner).count();
    assert!(beside <= others.len() / 16, "its server has {beside} of {} other keys", others.len());
    let hot_key_moves = harness.moves[before..].iter().filter(|(_, keys)| *keys == 1).count();
    assert!(hot_key_moves <= 3, "moved {hot_key_moves} times");
}

#[test]
fn slow_server_gets_fewer_keys() {
    let mut harness = Harness::new(4);
    harness.speeds.insert(Incarnation { server: "s0".into(), born_ms: 1 }, 0.5);
    harness.run(4_000, &spread_keys(), 8.0);
    let table = harness.table();
    let slow = Owner::Server(Incarnation { server: "s0".into(), born_ms: 1 });
    let keys = spread_keys();
    let share = keys.iter().filter(|key| table.find(**key).unwrap().owner == slow).count();
    assert!(share < keys.len() / 5, "{share} of {}", keys.len());
}

#[test]
fn leaving_server_is_emptied() {
    let mut harness = Harness::new(6);
    harness.run(2_000, &spread_keys(), 6.0);
    harness.registry.put(harness.now_ms, "s2", registration("s2", Stage::Draining));
    harness.run(400, &spread_keys(), 6.0);
    let leaving = Owner::Server(Incarnation { server: "s2".into(), born_ms: 1 });
    assert!(harness.table().spans.iter().all(|span| span.owner != leaving));
    assert_eq!(harness.shares(&spread_keys()).len(), 5);
}

#[test]
fn steady_load_moves_few_keys() {
    let mut harness = Harness::new(8);
    harness.run(3_000, &spread_keys(), 8.0);
    let before = harness.moves.len();
    harness.run(10_000, &spread_keys(), 8.0);
    let moved: u32 = harness.moves[before..].iter().map(|(_, keys)| keys).sum();
    assert!(moved < 1 << 13, "{moved} keys moved");
}
