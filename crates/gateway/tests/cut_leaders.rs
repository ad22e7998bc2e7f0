//! Guards against a leader that keeps leading while servers answer other daemons but not it, and
//! against one that gives its servers' keys up before another daemon could lead.

mod fixture;

use document::HashMap;
use gateway::{ConnectionCheck, silent_servers};
use registry::{Incarnation, Registry};
use shard::{Config, Epoch, Event, Leader, Output, Reply, Servers};

use crate::fixture::{SERVICE, registry, server};

const SERVERS: u16 = 6;
const TICK_MS: u64 = 20;

/// A leader whose orders reach only some servers.
struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    lost: Vec<Incarnation>,
}

impl Harness {
    /// Returns a leader that has granted all ranges.
    fn new() -> Self {
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        let mut harness = Self {
            now_ms: 0,
            leader,
            registry: registry(SERVERS),
            speeds: HashMap::default(),
            lost: Vec::new(),
        };
        harness.run(5_000);
        harness
    }

    fn lose(&mut self, servers: std::ops::Range<u16>) {
        self.lost = servers.map(server).collect();
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in self.leader.step(self.now_ms, servers, event) {
            match output {
                Output::Order { id, server, .. } => {
                    let is_lost = self.lost.contains(&server.incarnation);
                    let reply = if is_lost { Reply::NotSent } else { Reply::Done(None) };
                    self.step(Event::Answered(id, reply));
                }
                Output::Write { service, record } => {
                    self.step(Event::RecordWritten {
                        service,
                        epoch: Epoch(record.epoch),
                        number: record.number,
                    });
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.step(Event::Tick);
        }
    }

    /// Returns how many servers other daemons would be asked about.
    fn asked_about(&self) -> usize {
        silent_servers(&self.leader, &self.registry).len()
    }

    /// Returns how many keys have a server that requests can be sent to.
    fn owned_keys(&self) -> usize {
        let table = self.leader.table(SERVICE, self.now_ms).unwrap();
        let owned = table.spans.iter().filter(|span| matches!(span.owner, shard::Owner::Server(_)));
        owned.map(|span| usize::from(span.range.to() - span.range.from()) + 1).sum()
    }
}

#[test]
fn other_daemons_are_asked_while_grants_are_valid() {
    let mut harness = Harness::new();
    harness.lose(0..SERVERS);
    harness.run(1_000);
    assert!(harness.asked_about() > 1);
}

#[test]
fn keys_keep_their_owners_until_the_handover() {
    let mut harness = Harness::new();
    harness.lose(0..SERVERS);
    harness.run(1_600);
    assert_eq!(harness.owned_keys(), 1 << 16);
}

#[test]
fn keys_of_lost_servers_move_when_nobody_takes_over() {
    let mut harness = Harness::new();
    let lost = SERVERS * 2 / 3;
    harness.lose(0..lost);
    harness.run(9_000);
    assert_eq!(harness.owned_keys(), 1 << 16);
}

#[test]
fn loss_of_a_third_asks_nobody() {
    let mut harness = Harness::new();
    harness.lose(0..SERVERS / 3);
    for _ in 0..100 {
        harness.run(100);
        assert_eq!(harness.asked_about(), 0);
    }
}

#[test]
fn nobody_is_asked_once_servers_answer_again() {
    let mut harness = Harness::new();
    harness.lose(0..SERVERS);
    harness.run(1_000);
    harness.lose(0..0);
    harness.run(1_500);
    assert_eq!(harness.asked_about(), 0);
}

/// Guards against a leader that does not notice that it gets no new connections, or that asks others
/// because of a server that has crashed.
#[test]
fn most_of_a_sample_has_to_accept_no_connection() {
    let mut harness = Harness::new();
    let mut check = ConnectionCheck::default();
    let mut try_next = |harness: &mut Harness, closed: &[u16]| {
        harness.now_ms += 1_000;
        let tried = check.to_try(harness.now_ms, &harness.leader, &harness.registry, 0);
        let count = tried.len();
        let unreached: Vec<Incarnation> = tried
            .into_iter()
            .map(|(tried, _)| tried)
            .filter(|tried| closed.iter().any(|number| server(*number) == *tried))
            .collect();
        (count, check.on_tried(count, unreached).len())
    };
    let all: Vec<u16> = (0..SERVERS).collect();
    assert_eq!(try_next(&mut harness, &[]), (1, 0));
    assert_eq!(try_next(&mut harness, &all), (1, 0));
    assert_eq!(try_next(&mut harness, &all[..4]), (6, 0));
    assert_eq!(try_next(&mut harness, &all), (1, 0));
    assert_eq!(try_next(&mut harness, &all), (6, 3));
    assert_eq!(try_next(&mut harness, &[]), (6, 0));
    assert_eq!(try_next(&mut harness, &[]), (1, 0));
}

#[test]
fn silent_servers_are_not_tried() {
    let mut harness = Harness::new();
    harness.lose(0..SERVERS / 3);
    harness.run(1_000);
    let mut check = ConnectionCheck::default();
    for start in 0..20 {
        harness.now_ms += 1_000;
        let tried = check.to_try(harness.now_ms, &harness.leader, &harness.registry, start);
        assert!(tried.iter().all(|(server, _)| !harness.lost.contains(server)), "{tried:?}");
        let unreached = tried.into_iter().map(|(tried, _)| tried).collect::<Vec<_>>();
        let _ = check.on_tried(unreached.len(), unreached);
    }
}
