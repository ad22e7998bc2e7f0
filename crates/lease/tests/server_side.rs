//! Guards against a server that runs or commits a request without a valid grant.
use document::Name;
use lease::{Admission, Epoch, GrantTable, LeaderEpoch, Order, ShardEpoch, ShardId, Term, Verdict};

fn target(shard: u32, epoch: u64) -> ShardEpoch {
    ShardEpoch { shard: ShardId(shard), epoch: Epoch(epoch) }
}

fn order(term: u64, deadline_ms: u64, grants: &[ShardEpoch], releases: &[ShardEpoch]) -> Order {
    Order {
        service: Name::from("ledger"),
        term: Term(term),
        leader_epoch: LeaderEpoch(term),
        number: 1,
        incarnation: Some(1),
        deadline_ms,
        grants: grants.to_vec(),
        releases: releases.to_vec(),
        prepares: Vec::new(),
    }
}

#[test]
fn request_runs_under_its_grant() {
    let mut table = GrantTable::new(1);
    assert_eq!(table.begin(0, target(1, 5)), Admission::NotOwner);
    table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(table.begin(10, target(1, 5)), Admission::Run);
    assert_eq!(table.begin(10, target(1, 4)), Admission::Stale);
    assert!(table.end(20, target(1, 5)));
}

#[test]
fn result_after_expiry_is_dropped() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(table.begin(99, target(1, 5)), Admission::Run);
    assert_eq!(table.begin(100, target(1, 5)), Admission::NotOwner);
    assert!(!table.end(100, target(1, 5)));
}

#[test]
fn renewal_of_one_shard_does_not_extend_another() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    table.on_order(150, &order(1, 300, &[target(2, 6)], &[]));
    assert_eq!(table.begin(160, target(1, 5)), Admission::NotOwner);
    assert_eq!(table.begin(160, target(2, 6)), Admission::Run);
}

#[test]
fn grant_that_arrives_after_its_deadline_is_ignored() {
    let mut table = GrantTable::new(1);
    table.on_order(500, &order(1, 400, &[target(1, 5)], &[]));
    assert_eq!(table.begin(500, target(1, 5)), Admission::NotOwner);
}

#[test]
fn release_waits_for_requests_in_flight() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(table.begin(1, target(1, 5)), Admission::Run);
    let report = table.on_order(2, &order(1, 100, &[], &[target(1, 5)]));
    assert!(report.shards[0].is_closing);
    assert_eq!(table.begin(3, target(1, 5)), Admission::NotOwner);
    assert!(table.end(4, target(1, 5)));
    let report = table.on_order(5, &order(1, 200, &[target(1, 5)], &[]));
    assert!(report.shards[0].is_released, "a released epoch is never granted again");
}

#[test]
fn lower_epoch_is_ignored() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    table.on_order(1, &order(1, 200, &[target(1, 4)], &[]));
    assert_eq!(table.owned_epoch(2, ShardId(1)), Some(Epoch(5)));
    assert_eq!(table.begin(2, target(1, 4)), Admission::Stale);
}

#[test]
fn order_of_an_earlier_term_is_refused() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(2, 100, &[target(1, 5)], &[]));
    let report = table.on_order(1, &order(1, 900, &[target(2, 6)], &[]));
    assert_eq!(report.verdict, Verdict::Outdated);
    assert_eq!(table.owned_epoch(2, ShardId(2)), None);
}

#[test]
fn order_of_another_controller_in_the_same_term_is_refused() {
    let mut table = GrantTable::new(1);
    table.on_order(0, &order(2, 100, &[target(1, 5)], &[]));
    let other = Order { leader_epoch: LeaderEpoch(77), ..order(2, 100, &[target(2, 6)], &[]) };
    assert_eq!(table.on_order(1, &other).verdict, Verdict::Outdated);
}

#[test]
fn order_for_another_server_process_only_reports() {
    let mut table = GrantTable::new(2);
    let report = table.on_order(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(report.verdict, Verdict::Reported);
    assert_eq!(table.owned_epoch(1, ShardId(1)), None);
}
