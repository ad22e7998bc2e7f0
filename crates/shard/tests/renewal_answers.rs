//! Guards against a pass over the assignment for every answer to a renewal.
//!
//! Such passes would be most of a leader's work, and would send renewals ahead of the next tick.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, registry, step_with_writes};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{
    Config, ConnectionId, Epoch, Event, Leader, OrderId, OrderKind, Output, Reply, Servers,
};

const SERVERS: u64 = 40;

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
}

impl Harness {
    fn new() -> Self {
        let registry = registry((0..SERVERS).map(|number| format!("s{number}")));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        Self { now_ms: 0, leader, registry, speeds: HashMap::default() }
    }

    /// Handles an event with writes carried out at once, and returns the grants sent.
    fn step(&mut self, event: Event) -> Vec<OrderId> {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        let outputs = step_with_writes(&mut self.leader, self.now_ms, servers, event);
        let mut grants = Vec::new();
        for output in outputs {
            if let Output::Order { id, kind: OrderKind::Grant(_), .. } = output {
                grants.push(id);
            }
        }
        grants
    }

    /// Ticks until grants are sent, and returns them.
    fn next_grants(&mut self) -> Vec<OrderId> {
        loop {
            self.now_ms += TICK_MS;
            let grants = self.step(Event::Tick);
            if !grants.is_empty() {
                return grants;
            }
        }
    }

    /// Answers grants after some time and returns the grants that follow.
    fn answer(&mut self, grants: Vec<OrderId>, passed_ms: u64) -> Vec<OrderId> {
        self.now_ms += passed_ms;
        let answers =
            grants.into_iter().map(|id| Event::Answered(id, Reply::DoneOn(ConnectionId(1), None)));
        answers.flat_map(|answer| self.step(answer)).collect()
    }

    /// Answers the first grants, and those that follow, until all ranges are held.
    fn hold_ranges(&mut self) {
        let mut grants = self.next_grants();
        while !grants.is_empty() {
            grants = self.answer(grants, 1);
        }
    }
}

#[test]
fn renewals_wait_for_the_tick() {
    let mut harness = Harness::new();
    harness.hold_ranges();
    let renewals = harness.next_grants();
    assert_eq!(u64::try_from(renewals.len()).unwrap(), SERVERS);
    // All are due again when the answers come, as after a suspension of the process. If each
    // answer started a pass over all ranges, the first would send the next renewals.
    let followed = harness.answer(renewals, Config::default().renew_interval_ms);
    assert_eq!(followed.len(), 0, "an answer that changes nothing starts no pass");
    harness.now_ms += TICK_MS;
    let due = harness.step(Event::Tick);
    assert_eq!(u64::try_from(due.len()).unwrap(), SERVERS, "the next tick renews all grants");
}

#[test]
fn late_passes_send_no_more_grants() {
    let mut harness = Harness::new();
    harness.hold_ranges();
    let (pass_ms, answer_ms, for_ms) = (150, 10, 6_000);
    let mut grants = 0;
    for _ in 0..for_ms / pass_ms {
        harness.now_ms += pass_ms - answer_ms;
        let due = harness.step(Event::Tick);
        grants += due.len();
        let followed = harness.answer(due, answer_ms);
        grants += followed.len();
    }
    // Two for each server and renewal: one that shows that it answers, and one for its range.
    let renewals = for_ms / Config::default().renew_interval_ms + 1;
    assert!(
        u64::try_from(grants).unwrap() <= 2 * SERVERS * renewals,
        "{grants} grants in {for_ms} ms"
    );
}
