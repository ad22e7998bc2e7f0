//! Guards against outcomes of an earlier term of the same daemon, which arrive while it leads
//! again: answers to orders, and records that were written.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, registry, step_with_writes};
use document::HashMap;
use shard::{Config, Epoch, Event, Leader, OrderId, OrderKind, Output, Owner, Reply, Servers};

/// Runs a new leader until its first grant; returns the leader and the identifier of the grant.
fn lead(epoch: Epoch) -> (Leader, OrderId, u64) {
    let registry = registry(["s1"].map(String::from));
    let speeds = HashMap::default();
    let servers = Servers { registry: &registry, speeds: &speeds };
    let mut leader = Leader::new(epoch, 0, u64::MAX, &[], Config::default());
    leader.add_service(&SERVICE.into());
    for tick in 1..200 {
        let now_ms = tick * TICK_MS;
        let outputs = step_with_writes(&mut leader, now_ms, servers, Event::Tick);
        let grant = outputs.iter().find_map(|output| match output {
            Output::Order { id, kind: OrderKind::Grant(_), .. } => Some(*id),
            _ => None,
        });
        if let Some(id) = grant {
            return (leader, id, now_ms);
        }
    }
    panic!("no grant within {} ms", 200 * TICK_MS);
}

/// Returns whether the first grant counts as accepted after an answer to an order.
fn is_accepted(leader: &mut Leader, id: OrderId, now_ms: u64) -> bool {
    let registry = registry(["s1"].map(String::from));
    let speeds = HashMap::default();
    let servers = Servers { registry: &registry, speeds: &speeds };
    leader.step(now_ms, servers, Event::Answered(id, Reply::Done(None)));
    let table = leader.table(SERVICE, now_ms).expect("an assignment");
    table.spans.iter().all(|span| matches!(span.owner, Owner::Server(_)))
}

#[test]
fn answers_of_an_earlier_term_are_ignored() {
    let (_, earlier_id, _) = lead(Epoch(5));
    let (mut leader, id, now_ms) = lead(Epoch(9));
    assert!(!is_accepted(&mut leader, earlier_id, now_ms), "the answer was to an earlier order");
    assert!(is_accepted(&mut leader, id, now_ms));
}

#[test]
fn records_of_an_earlier_term_are_ignored() {
    let registry = registry(["s1"].map(String::from));
    let speeds = HashMap::default();
    let servers = Servers { registry: &registry, speeds: &speeds };
    let mut leader = Leader::new(Epoch(9), 0, u64::MAX, &[], Config::default());
    leader.add_service(&SERVICE.into());
    let has_grant =
        |outputs: &[Output]| outputs.iter().any(|output| matches!(output, Output::Order { .. }));
    let (mut now_ms, mut number) = (0, None);
    while number.is_none() {
        now_ms += TICK_MS;
        let outputs = leader.step(now_ms, servers, Event::Tick);
        number = outputs.iter().find_map(|output| match output {
            Output::Write { record, .. } => Some(record.number),
            _ => None,
        });
    }
    let number = number.expect("a record");
    let written = |epoch| Event::RecordWritten { service: SERVICE.into(), epoch, number };
    assert!(!has_grant(&leader.step(now_ms, servers, written(Epoch(5)))), "not durable yet");
    assert!(has_grant(&leader.step(now_ms, servers, written(Epoch(9)))));
}
