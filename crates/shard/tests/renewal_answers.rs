//! Answers to renewals cost a leader nothing more; answers that change something do.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, registry};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{Epoch, Event, Leader, OrderId, OrderKind, Output, Reply, Servers, Tuning};

const SERVERS: u64 = 40;

struct Play {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
}

impl Play {
    fn new() -> Self {
        let registry = registry((0..SERVERS).map(|number| format!("s{number}")));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Tuning::default());
        leader.add_service(&SERVICE.into());
        Self { now_ms: 0, leader, registry, speeds: HashMap::default() }
    }

    /// Takes an event; returns the grants, with writes carried out at once.
    fn step(&mut self, event: Event) -> Vec<OrderId> {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        let outputs = self.leader.step(self.now_ms, servers, event);
        let mut grants = Vec::new();
        for output in outputs {
            match output {
                Output::Order { id, kind: OrderKind::Grant(_), .. } => grants.push(id),
                Output::Write { service, record } => {
                    grants.extend(self.step(Event::Recorded { service, number: record.number }));
                }
                _ => {}
            }
        }
        grants
    }

    /// Ticks until something is granted.
    fn next_grants(&mut self) -> Vec<OrderId> {
        loop {
            self.now_ms += TICK_MS;
            let grants = self.step(Event::Tick);
            if !grants.is_empty() {
                return grants;
            }
        }
    }

    /// Returns how many orders follow from answers that come after some time.
    fn orders_after(&mut self, grants: Vec<OrderId>, passed_ms: u64) -> usize {
        self.now_ms += passed_ms;
        let answers = grants.into_iter().map(|id| Event::Answered(id, Reply::Done(None)));
        answers.map(|answer| self.step(answer).len()).sum()
    }
}

#[test]
fn renewals_wait_for_the_tick() {
    let mut play = Play::new();
    let first = play.next_grants();
    play.orders_after(first, 1);
    let renewals = play.next_grants();
    assert_eq!(u64::try_from(renewals.len()).unwrap(), SERVERS);
    // All are due again when the answers come, as after a pause of the process. A pass over
    // all ranges for each answer would send them from the first answer.
    let followed = play.orders_after(renewals, Tuning::default().renew_every_ms);
    assert_eq!(followed, 0, "an answer that changes nothing starts no pass");
    play.now_ms += TICK_MS;
    let due = play.step(Event::Tick);
    assert_eq!(u64::try_from(due.len()).unwrap(), SERVERS, "the next tick does");
}
