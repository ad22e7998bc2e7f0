//! Guards against two holders, and keys without one, after the store came back from an older copy: a
//! leader that led until then passes on who may hold keys.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, incarnation, registry};
use document::HashMap;
use registry::{Incarnation, Registry};
use shard::{
    Config, Epoch, Event, KeyRange, Leader, OrderKind, Output, Record, RecordedRange, Reply,
    Servers,
};

const EPOCH: Epoch = Epoch(1 << 20);

/// A leader with its orders answered at once.
struct Run {
    leader: Leader,
    registry: Registry,
    now_ms: u64,
    /// The servers that accepted a grant, in the order of the grants.
    granted: Vec<Incarnation>,
    records: Vec<Record>,
}

impl Run {
    fn new(leader: Leader) -> Self {
        let registry = registry(["s1", "s2"].map(String::from));
        Self { leader, registry, now_ms: 0, granted: Vec::new(), records: Vec::new() }
    }

    fn until(&mut self, end_ms: u64) {
        let speeds = HashMap::default();
        let servers = Servers { registry: &self.registry, speeds: &speeds };
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            let mut outputs = self.leader.step(self.now_ms, servers, Event::Tick);
            while let Some(output) = outputs.pop() {
                let event = match output {
                    Output::Order { id, server, kind, .. } => {
                        if matches!(kind, OrderKind::Grant(_)) {
                            self.granted.push(server.incarnation.clone());
                        }
                        Event::Answered(id, Reply::Done(None))
                    }
                    Output::Write { service, record } => {
                        let number = record.number;
                        self.records.push(record);
                        Event::RecordWritten { service, epoch: EPOCH, number }
                    }
                    _ => continue,
                };
                outputs.extend(self.leader.step(self.now_ms, servers, event));
            }
        }
    }

    fn first_holder(&self) -> Option<&Incarnation> {
        self.granted.first()
    }
}

fn held_by(owner: &str, previous: &[&str]) -> Record {
    let range = RecordedRange {
        range: KeyRange::WHOLE,
        owner: incarnation(owner),
        previous: previous.iter().map(|name| incarnation(name)).collect(),
    };
    Record { epoch: 7, number: 0, previous_left_ms: None, ranges: vec![range] }
}

/// Returns a leader that knows no holders, as the records are older than the grants.
fn waiting_leader() -> Run {
    let mut leader = Leader::new(EPOCH, 0, u64::MAX, &[], Config::default());
    leader.add_unknown_service(0, &SERVICE.into());
    Run::new(leader)
}

#[test]
fn keys_go_on_with_the_holder_that_was_passed_on() {
    let mut run = waiting_leader();
    run.until(400);
    assert_eq!(run.first_holder(), None, "granted before the holders are known");
    assert!(run.leader.continue_service(400, &SERVICE.into(), Some(&held_by("s2", &[]))));
    run.until(500);
    assert_eq!(run.first_holder(), Some(&incarnation("s2")));
}

#[test]
fn previous_holders_that_were_passed_on_are_waited_for() {
    let mut run = waiting_leader();
    assert!(run.leader.continue_service(0, &SERVICE.into(), Some(&held_by("s2", &["s1"]))));
    run.until(TICK_MS);
    assert_eq!(run.first_holder(), None, "granted while another server may hold the keys");
}

#[test]
fn later_leaders_get_a_record_of_this_one() {
    let mut run = waiting_leader();
    // With another server, keys would move to it.
    run.registry = registry(["s2".to_owned()]);
    run.leader.continue_service(0, &SERVICE.into(), Some(&held_by("s2", &[])));
    run.until(1_000);
    assert_eq!(run.records.first().map(|record| &record.ranges), Some(&held_by("s2", &[]).ranges));
}

#[test]
fn services_without_holders_are_assigned_at_once() {
    let mut run = waiting_leader();
    assert!(run.leader.continue_service(0, &SERVICE.into(), None));
    run.until(2 * Config::default().settle_ms);
    assert!(run.first_holder().is_some());
}

#[test]
fn late_holders_change_no_assignment() {
    let mut run = waiting_leader();
    let expired_ms = Config::default().earlier_grants_deadline_ms(0);
    run.until(expired_ms + 2 * Config::default().settle_ms);
    let now_ms = run.now_ms;
    assert!(!run.leader.continue_service(now_ms, &SERVICE.into(), Some(&held_by("s1", &[]))));
}

#[test]
fn leaders_that_wait_pass_nothing_on() {
    let mut run = waiting_leader();
    assert!(run.leader.holders(0).is_empty());
    run.leader.continue_service(0, &SERVICE.into(), Some(&held_by("s2", &["s1"])));
    let holders = run.leader.holders(0);
    let record = holders[0].1.as_ref().expect("holders");
    assert_eq!(record.ranges, held_by("s2", &["s1"]).ranges);
}
