//! Guards against a grant that counts as ruled out after an answer that may be another order's.
mod fixture;

use crate::fixture::{Driver, TICK_MS};
use shard::{Event, Grant, LogEvent, OrderId, OrderKind, Output, Reply};

struct Harness {
    driver: Driver,
    /// Grants without an answer.
    grants: Vec<(OrderId, Grant)>,
    ruled_out: u32,
}

impl Harness {
    fn new() -> Self {
        Self { driver: Driver::new(["s1"]), grants: Vec::new(), ruled_out: 0 }
    }

    fn step(&mut self, event: Event) {
        for output in self.driver.step(event) {
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
            self.driver.now_ms += TICK_MS;
            assert!(self.driver.now_ms < 60_000, "a grant is sent");
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
