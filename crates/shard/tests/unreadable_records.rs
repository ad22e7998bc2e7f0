//! Guards against a second owner when the record of a service cannot be read, as that of a later
//! version.
mod fixture;

use crate::fixture::{SERVICE, TICK_MS, registry, step_with_writes};
use document::HashMap;
use shard::{Config, Epoch, Event, Leader, OrderKind, Output, Servers};

/// Returns when the first grant is sent, within `for_ms`.
fn first_grant_at_ms(leader: &mut Leader, for_ms: u64) -> Option<u64> {
    let registry = registry(["s1", "s2"].map(String::from));
    let speeds = HashMap::default();
    let servers = Servers { registry: &registry, speeds: &speeds };
    let mut now_ms = 0;
    while now_ms < for_ms {
        now_ms += TICK_MS;
        let outputs = step_with_writes(leader, now_ms, servers, Event::Tick);
        let is_grant =
            |output: &Output| matches!(output, Output::Order { kind: OrderKind::Grant(_), .. });
        if outputs.iter().any(is_grant) {
            return Some(now_ms);
        }
    }
    None
}

fn leader() -> Leader {
    Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default())
}

#[test]
fn earlier_grants_are_waited_for() {
    let mut leader = leader();
    leader.add_unknown_service(0, &SERVICE.into());
    leader.add_service(&SERVICE.into());
    let config = Config::default();
    let earliest_ms = config.grant_deadline_ms(config.order_timeout_ms, config.max_grant_ms);
    let granted_at_ms = first_grant_at_ms(&mut leader, 20_000).expect("a grant within 20 s");
    assert!(granted_at_ms >= earliest_ms, "granted after {granted_at_ms} ms");
    assert!(leader.grants_deadline_ms(20_000) >= earliest_ms);
}

#[test]
fn resignation_shortens_the_wait() {
    let mut leader = leader();
    leader.add_unknown_service(0, &SERVICE.into());
    leader.limit_earlier_grants(4_000);
    let granted_at_ms = first_grant_at_ms(&mut leader, 20_000).expect("a grant within 20 s");
    assert!((4_000..5_000).contains(&granted_at_ms), "granted after {granted_at_ms} ms");
}

#[test]
fn new_service_is_assigned_at_once() {
    let mut leader = leader();
    leader.add_service(&SERVICE.into());
    let granted_at_ms = first_grant_at_ms(&mut leader, 20_000).expect("a grant within 20 s");
    assert!(granted_at_ms <= 2 * Config::default().settle_ms, "granted after {granted_at_ms} ms");
}
