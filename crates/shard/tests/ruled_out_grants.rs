//! Guards against a grant that counts as ruled out after an answer that may be another order's.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, registry, step_with_writes};
use document::HashMap;
use shard::{
    Config, Epoch, Event, Grant, Leader, LogEvent, OrderId, OrderKind, Output, Reply, Servers,
};

struct Harness {
    now_ms: u64,
    leader: Leader,
    /// Grants without an answer.
    grants: Vec<(OrderId, Grant)>,
    ruled_out: u32,
}

impl Harness {
    fn new() -> Self {
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        Self { now_ms: 0, leader, grants: Vec::new(), ruled_out: 0 }
    }

    fn step(&mut self, event: Event) {
        let (registry, speeds) = (registry(["s1".to_owned()]), HashMap::default());
        let servers = Servers { registry: &registry, speeds: &speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            match output {
                Output::Order { id, kind: OrderKind::Grant(grant), .. } => {
                    self.grants.push((id, grant));
                }
                Output::Log(LogEvent::RuledOut { .. }) => self.ruled_out += 1,
                _ => {}
            }
        }
    }

    /// Runs until a grant is sent, answers it, and returns it.
    fn answer_next(&mut self, reply: Reply) -> Grant {
        while self.grants.is_empty() {
            self.now_ms += TICK_MS;
            assert!(self.now_ms < 60_000, "a grant is sent");
            self.step(Event::Tick);
        }
        let (id, grant) = self.grants.remove(0);
        self.step(Event::Answered(id, reply));
        grant
    }
}

#[test]
fn only_grants_sent_for_it_rule_out() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        assert!(!harness.answer_next(Reply::Done(None)).is_ruling_out);
    }
    harness.answer_next(Reply::Unknown);
    assert_eq!(harness.ruled_out, 0);
    assert!(harness.answer_next(Reply::Done(None)).is_ruling_out);
    assert_eq!(harness.ruled_out, 1);
    assert!(!harness.answer_next(Reply::Done(None)).is_ruling_out);
}

#[test]
fn grant_that_was_sent_before_rules_nothing_out() {
    let mut harness = Harness::new();
    harness.answer_next(Reply::Done(None));
    harness.answer_next(Reply::Done(None));
    harness.step(Event::StoreAnswers(false));
    harness.step(Event::StoreAnswers(true));
    assert_eq!(harness.grants.len(), 2);
    let (refused, _) = harness.grants.remove(1);
    harness.step(Event::Answered(refused, Reply::Fenced));
    harness.step(Event::Tick);
    let given_up = harness.answer_next(Reply::Unknown);
    let later = harness.answer_next(Reply::Done(None));
    assert!(later.fence > given_up.fence && !later.is_ruling_out);
    assert_eq!(harness.ruled_out, 0);
    assert!(harness.answer_next(Reply::Done(None)).is_ruling_out);
    assert_eq!(harness.ruled_out, 1);
}
