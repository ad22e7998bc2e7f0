//! A server that is registered and does not answer gets no ranges until it does.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, incarnation, registry};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{Epoch, Event, Leader, Note, OrderId, OrderKind, Output, Reply, Servers, Tuning};

struct Play {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    /// Whether the last server is out of the leader's reach.
    is_cut: bool,
    /// How many ranges were meant to go to it.
    planned: usize,
    /// How many orders it answered.
    answered: usize,
}

impl Play {
    fn new() -> Self {
        let registry = registry(["s1", "s2", "s3"].map(String::from));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Tuning::default());
        leader.add_service(&SERVICE.into());
        let speeds = HashMap::default();
        Self { now_ms: 0, leader, registry, speeds, is_cut: false, planned: 0, answered: 0 }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        let outputs = self.leader.step(self.now_ms, servers, event);
        for output in outputs {
            match output {
                Output::Order { id, server, kind, .. } => self.send(id, &server.incarnation, &kind),
                Output::Write { service, record } => {
                    self.step(Event::Recorded { service, number: record.number });
                }
                Output::Note(Note::Planned { to, .. }) => {
                    self.planned += usize::from(to == incarnation("s3"));
                }
                _ => {}
            }
        }
    }

    /// Delivers an order to its server and answers it.
    fn send(&mut self, id: OrderId, to: &Incarnation, kind: &OrderKind) {
        let is_lost = self.is_cut && *to == incarnation("s3");
        self.answered += usize::from(*to == incarnation("s3") && !is_lost);
        let token = matches!(kind, OrderKind::Release(_)).then(|| "token".into());
        let reply = if is_lost { Reply::NotSent } else { Reply::Done(token) };
        self.step(Event::Answered(id, reply));
    }

    /// Runs under a load on all keys.
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
fn nothing_goes_to_a_silent_server() {
    let mut play = Play::new();
    play.run(5_000);
    play.is_cut = true;
    // Its last grant runs out meanwhile, and its keys are with the others.
    play.run(6_000);
    play.planned = 0;
    play.run(30_000);
    assert_eq!(play.planned, 0, "each range would be without a holder for seconds");
}

#[test]
fn it_is_used_again_once_it_answers() {
    let mut play = Play::new();
    play.run(5_000);
    play.is_cut = true;
    play.run(20_000);
    (play.is_cut, play.planned, play.answered) = (false, 0, 0);
    play.run(3_000);
    assert!(play.answered > 0, "it is asked");
    assert!(play.planned > 0, "its share comes back");
}
