//! Guards against keys that stay in an evacuated data centre, arrive there, or move without a
//! release.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, carry_out, registration};
use document::{HashMap, Name};
use registry::{Registration, Registry, Stage};
use shard::{
    Config, ConnectionId, Epoch, Event, Leader, LogEvent, MoveReason, OrderId, OrderKind, Output,
    Owner, Record, Servers,
};

/// Two fifths of the default bound: servers that still hold keys get no requests afterwards.
const CLOSE_MS: u64 = 2_000;
/// The time in which the first keys are assigned and evened out.
const SETTLE_MS: u64 = 2_000;

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    record: Option<Record>,
    /// Whether servers answer releases.
    answers_releases: bool,
    /// The reasons of planned moves with the load of the range at that time.
    moves: Vec<(MoveReason, f32)>,
    released: usize,
    /// The servers that were granted a range that they did not hold.
    granted: Vec<Name>,
}

fn new_leader(epoch: u64, now_ms: u64, records: &[(Name, Record)]) -> Leader {
    let mut leader = Leader::new(Epoch(epoch), now_ms, u64::MAX, records, Config::default());
    leader.add_service(&SERVICE.into());
    leader
}

impl Harness {
    /// Starts with two servers in each data centre; the names of servers start with that of it.
    fn new(data_centres: &[&str]) -> Self {
        let mut harness = Self {
            now_ms: 0,
            leader: new_leader(5, 0, &[]),
            registry: Registry::default(),
            record: None,
            answers_releases: true,
            moves: Vec::new(),
            released: 0,
            granted: Vec::new(),
        };
        for data_centre in data_centres {
            harness.add_server(data_centre, 1);
            harness.add_server(data_centre, 2);
        }
        harness.run(SETTLE_MS);
        harness.moves.clear();
        harness.granted.clear();
        harness
    }

    fn add_server(&mut self, data_centre: &str, number: u32) {
        let name = format!("{data_centre}{number}");
        let server = registration(&name, Stage::Ready);
        let server = Registration { data_centre: data_centre.into(), ..server };
        self.registry.put(self.now_ms, &name, server);
    }

    fn evacuate(&mut self, data_centres: &[&str]) {
        self.registry.set_evacuated(data_centres.iter().map(|name| Name::from(*name)));
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    /// Runs with an even load, so that the balance is of use.
    fn run_loaded(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            let load = self.leader.load_mut(SERVICE).unwrap();
            (0..=u16::MAX).step_by(256).for_each(|key| load.add(key, 0.5));
            self.run(TICK_MS);
        }
    }

    /// Replaces the leader by one that knows only the record.
    fn replace_leader(&mut self) {
        let records: Vec<(Name, Record)> =
            self.record.iter().map(|record| (SERVICE.into(), record.clone())).collect();
        self.leader = new_leader(6, self.now_ms, &records);
    }

    fn step(&mut self, event: Event) {
        let speeds = HashMap::default();
        let servers = Servers { registry: &self.registry, speeds: &speeds };
        for output in self.leader.step(self.now_ms, servers, event) {
            match output {
                Output::Write { service, record } => {
                    let (epoch, number) = (Epoch(record.epoch), record.number);
                    self.record = Some(record);
                    self.step(Event::RecordWritten { service, epoch, number });
                }
                Output::Order { id, kind, connection, .. } => self.answer(id, &kind, connection),
                Output::Log(event) => self.note(event),
                Output::Publish { .. } | Output::Deposed => {}
            }
        }
    }

    fn answer(&mut self, id: OrderId, kind: &OrderKind, connection: Option<ConnectionId>) {
        let is_release = matches!(kind, OrderKind::Release(_));
        if is_release && !self.answers_releases {
            return;
        }
        self.step(Event::Answered(id, carry_out(kind, connection)));
    }

    fn note(&mut self, event: LogEvent) {
        match event {
            LogEvent::Planned { range, reason, .. } => {
                let load = self.leader.load_mut(SERVICE).unwrap().of(range);
                self.moves.push((reason, load));
            }
            LogEvent::Released { .. } => self.released += 1,
            LogEvent::Granted { to, .. } => self.granted.push(to.server),
            _ => {}
        }
    }

    /// Returns the servers that own keys now.
    fn owners(&self) -> Vec<Name> {
        let table = self.leader.table(SERVICE, self.now_ms).unwrap();
        let owner = |owner: &Owner| match owner {
            Owner::Server(owner) => owner.server.clone(),
            other => panic!("{other:?}"),
        };
        let mut owners: Vec<Name> = table.spans.iter().map(|span| owner(&span.owner)).collect();
        owners.sort();
        owners.dedup();
        owners
    }
}

#[test]
fn keys_move_with_a_handover_before_servers_close() {
    let mut harness = Harness::new(&["a", "b"]);
    assert_eq!(harness.owners(), ["a1", "a2", "b1", "b2"].map(Name::from));
    harness.evacuate(&["b"]);
    harness.run(CLOSE_MS);
    assert_eq!(harness.owners(), ["a1", "a2"].map(Name::from));
    let evacuated = harness.moves.iter().filter(|(reason, _)| *reason == MoveReason::Evacuated);
    let evacuated = evacuated.count();
    assert!(evacuated >= 2 && harness.released >= evacuated, "{evacuated} {}", harness.released);
}

#[test]
fn ranges_with_most_load_move_first() {
    let mut harness = Harness::new(&["a", "b"]);
    let load = harness.leader.load_mut(SERVICE).unwrap();
    (0..=u16::MAX).step_by(256).for_each(|key| load.add(key, 1.0 + f32::from(key) / 4_096.0));
    harness.run_loaded(SETTLE_MS);
    harness.moves.clear();
    harness.evacuate(&["b"]);
    harness.run(TICK_MS);
    let evacuated = harness.moves.iter().filter(|(reason, _)| *reason == MoveReason::Evacuated);
    let loads: Vec<f32> = evacuated.map(|(_, load)| *load).collect();
    assert!(loads.len() >= 2 && loads.is_sorted_by(|left, right| left >= right), "{loads:?}");
    assert!(loads[0] > *loads.last().unwrap(), "{loads:?}");
}

#[test]
fn next_leader_continues_an_evacuation() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.evacuate(&["b"]);
    harness.answers_releases = false;
    harness.run(5 * TICK_MS);
    assert!(!harness.moves.is_empty());
    harness.replace_leader();
    harness.answers_releases = true;
    harness.run(CLOSE_MS);
    assert_eq!(harness.owners(), ["a1", "a2"].map(Name::from));
}

#[test]
fn second_data_centre_leaves_keys_to_the_third() {
    let mut harness = Harness::new(&["a", "b", "c"]);
    harness.evacuate(&["b"]);
    harness.run(3 * TICK_MS);
    harness.evacuate(&["b", "c"]);
    harness.run(CLOSE_MS);
    assert_eq!(harness.owners(), ["a1", "a2"].map(Name::from));
}

/// Guards against callers that are refused for the length of a grant although a release is about to
/// be answered.
#[test]
fn keys_under_release_are_moving_when_their_successor_is_evacuated() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.answers_releases = false;
    harness.evacuate(&["a"]);
    harness.run(3 * TICK_MS);
    harness.evacuate(&["b"]);
    harness.run(TICK_MS);
    let table = harness.leader.table(SERVICE, harness.now_ms).unwrap();
    let has_moving = table.spans.iter().any(|span| matches!(span.owner, Owner::Moving(_)));
    let has_none = table.spans.iter().any(|span| matches!(span.owner, Owner::Nobody { .. }));
    assert!(has_moving && !has_none, "{table:?}");
}

#[test]
fn keys_of_the_only_data_centre_stay() {
    let mut harness = Harness::new(&["a"]);
    harness.evacuate(&["a"]);
    harness.run_loaded(CLOSE_MS);
    assert_eq!(harness.owners(), ["a1", "a2"].map(Name::from));
    assert!(harness.moves.is_empty() && harness.granted.is_empty(), "{:?}", harness.moves);
}

#[test]
fn server_that_registers_there_gets_no_keys() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.evacuate(&["b"]);
    harness.run(CLOSE_MS);
    harness.granted.clear();
    harness.add_server("b", 3);
    harness.run_loaded(CLOSE_MS);
    assert_eq!(harness.owners(), ["a1", "a2"].map(Name::from));
    assert!(!harness.granted.iter().any(|server| server.starts_with('b')));
}

#[test]
fn unknown_data_centre_moves_nothing() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.evacuate(&["nowhere"]);
    harness.run(CLOSE_MS);
    assert!(harness.moves.is_empty());
}

#[test]
fn servers_get_keys_again_when_it_ends() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.evacuate(&["b"]);
    harness.run_loaded(CLOSE_MS);
    harness.evacuate(&[]);
    harness.run_loaded(5_000);
    assert_eq!(harness.owners(), ["a1", "a2", "b1", "b2"].map(Name::from));
}
