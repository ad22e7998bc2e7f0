//! Guards against planning ranges for a registered server that does not answer.
//!
//! Each such range would be without a holder until the server's grants count as lost. Once
//! the server answers again, it must get ranges.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, carry_out, incarnation, registry, step_with_writes};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{Config, Epoch, Event, Leader, LogEvent, OrderId, Output, Reply, Servers};

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    /// Whether the last server is unreachable for the leader.
    is_cut: bool,
    /// How many moves to it were planned.
    planned: usize,
    /// How many orders it answered.
    answered: usize,
}

impl Harness {
    fn new() -> Self {
        let registry = registry(["s1", "s2", "s3"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        let speeds = HashMap::default();
        Self { now_ms: 0, leader, registry, speeds, is_cut: false, planned: 0, answered: 0 }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            match output {
                Output::Order { id, server, kind, connection, .. } => {
                    self.send(id, &server.incarnation, carry_out(&kind, connection));
                }
                Output::Log(LogEvent::Planned { to, .. }) => {
                    self.planned += usize::from(to == incarnation("s3"));
                }
                _ => {}
            }
        }
    }

    /// Delivers an order to its server and answers it.
    fn send(&mut self, id: OrderId, to: &Incarnation, done: Reply) {
        let is_lost = self.is_cut && *to == incarnation("s3");
        self.answered += usize::from(*to == incarnation("s3") && !is_lost);
        let reply = if is_lost { Reply::NotSent } else { done };
        self.step(Event::Answered(id, reply));
    }

    /// Runs with load on keys all over the key space.
    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            if let Some(load) = self.leader.load_mut(SERVICE) {
                for key in (0..=u16::MAX).step_by(256) {
                    load.add(key, 0.5);
                }
            }
            self.step(Event::Tick);
        }
    }
}

#[test]
fn silent_server_gets_no_ranges() {
    let mut harness = Harness::new();
    harness.run(5_000);
    harness.is_cut = true;
    // Meanwhile its last grant expires and its keys go to the other servers.
    harness.run(6_000);
    harness.planned = 0;
    harness.run(30_000);
    assert_eq!(harness.planned, 0, "each range would be without a holder for seconds");
}

#[test]
fn server_is_used_again_once_it_answers() {
    let mut harness = Harness::new();
    harness.run(5_000);
    harness.is_cut = true;
    harness.run(20_000);
    (harness.is_cut, harness.planned, harness.answered) = (false, 0, 0);
    harness.run(3_000);
    assert!(harness.answered > 0, "no order reached the server");
    assert!(harness.planned > 0, "no range was planned for the server");
}
