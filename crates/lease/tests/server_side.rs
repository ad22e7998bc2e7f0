//! What a server does with orders and requests.
use document::Name;
use lease::{Admission, Epoch, Holder, LeaderEpoch, Order, ShardEpoch, ShardId, Term, Verdict};

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
fn runs_under_a_grant() {
    let mut holder = Holder::new(1);
    assert_eq!(holder.begin(0, target(1, 5)), Admission::NotOwner);
    holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(holder.begin(10, target(1, 5)), Admission::Run);
    assert_eq!(holder.begin(10, target(1, 4)), Admission::Stale);
    assert!(holder.end(20, target(1, 5)));
}

#[test]
fn lapse_drops_results() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(holder.begin(99, target(1, 5)), Admission::Run);
    assert_eq!(holder.begin(100, target(1, 5)), Admission::NotOwner);
    assert!(!holder.end(100, target(1, 5)));
}

#[test]
fn another_shards_renewal_revives_nothing() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    holder.follow(150, &order(1, 300, &[target(2, 6)], &[]));
    assert_eq!(holder.begin(160, target(1, 5)), Admission::NotOwner);
    assert_eq!(holder.begin(160, target(2, 6)), Admission::Run);
}

#[test]
fn late_grant_is_over() {
    let mut holder = Holder::new(1);
    holder.follow(500, &order(1, 400, &[target(1, 5)], &[]));
    assert_eq!(holder.begin(500, target(1, 5)), Admission::NotOwner);
}

#[test]
fn release_waits_for_requests() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(holder.begin(1, target(1, 5)), Admission::Run);
    let report = holder.follow(2, &order(1, 100, &[], &[target(1, 5)]));
    assert!(report.shards[0].is_closing);
    assert_eq!(holder.begin(3, target(1, 5)), Admission::NotOwner);
    assert!(holder.end(4, target(1, 5)));
    let report = holder.follow(5, &order(1, 200, &[target(1, 5)], &[]));
    assert!(report.shards[0].is_released, "a released epoch never comes back");
}

#[test]
fn lower_epoch_is_not_taken() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    holder.follow(1, &order(1, 200, &[target(1, 4)], &[]));
    assert_eq!(holder.is_owner(2, ShardId(1)), Some(Epoch(5)));
    assert_eq!(holder.begin(2, target(1, 4)), Admission::Stale);
}

#[test]
fn earlier_term_is_refused() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(2, 100, &[target(1, 5)], &[]));
    let report = holder.follow(1, &order(1, 900, &[target(2, 6)], &[]));
    assert_eq!(report.verdict, Verdict::Outdated);
    assert_eq!(holder.is_owner(2, ShardId(2)), None);
}

#[test]
fn other_leader_epoch_of_a_term_is_refused() {
    let mut holder = Holder::new(1);
    holder.follow(0, &order(2, 100, &[target(1, 5)], &[]));
    let other = Order { leader_epoch: LeaderEpoch(77), ..order(2, 100, &[target(2, 6)], &[]) };
    assert_eq!(holder.follow(1, &other).verdict, Verdict::Outdated);
}

#[test]
fn order_for_another_process_only_reports() {
    let mut holder = Holder::new(2);
    let report = holder.follow(0, &order(1, 100, &[target(1, 5)], &[]));
    assert_eq!(report.verdict, Verdict::Reported);
    assert_eq!(holder.is_owner(1, ShardId(1)), None);
}
