//! Guards against a term whose end does not say which grants have no outcome.
mod fixture;

use crate::fixture::{Driver, TICK_MS, incarnation};
use shard::{Event, OrderId, OrderKind, Output, Reply};

/// Runs a leader of one server until its first grant.
fn first_grant(driver: &mut Driver) -> OrderId {
    for _ in 0..200 {
        driver.now_ms += TICK_MS;
        for output in driver.step(Event::Tick) {
            if let Output::Order { id, kind: OrderKind::Grant(_), .. } = output {
                return id;
            }
        }
    }
    panic!("no grant within {} ms", driver.now_ms);
}

#[test]
fn pending_and_given_up_grants_are_named() {
    let mut driver = Driver::new(["s1"]);
    assert!(driver.leader.unanswered_grants(0).is_empty());
    let id = first_grant(&mut driver);
    let pending = driver.leader.unanswered_grants(driver.now_ms);
    let [grant] = pending.as_slice() else { panic!("{pending:?}") };
    assert_eq!((&grant.to, grant.is_given_up), (&incarnation("s1"), false));
    assert!(grant.deadline_ms <= driver.leader.grants_deadline_ms(driver.now_ms));
    driver.step(Event::Answered(id, Reply::Unknown));
    let grants = driver.leader.unanswered_grants(driver.now_ms);
    let given_up = grants.iter().find(|given_up| given_up.fence == grant.fence);
    assert!(given_up.is_some_and(|given_up| given_up.is_given_up), "{grants:?}");
}

#[test]
fn answered_grants_are_not_named() {
    let mut driver = Driver::new(["s1"]);
    let mut unanswered = vec![first_grant(&mut driver)];
    while let Some(id) = unanswered.pop() {
        for output in driver.step(Event::Answered(id, Reply::Done(None))) {
            if let Output::Order { id, kind: OrderKind::Grant(_), .. } = output {
                unanswered.push(id);
            }
        }
    }
    assert_eq!(driver.leader.unanswered_grants(driver.now_ms), Vec::new());
}
