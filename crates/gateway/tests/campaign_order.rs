//! Guards against elections that take longer with more daemons.

use document::Name;
use gateway::{Candidate, campaign_order, campaign_wait_ms};
use googletest::prelude::*;

/// Returns daemons of which one in five has ten times the bandwidth of the others.
fn candidates(count: u32) -> Vec<Candidate> {
    let to_candidate = |number: u32| Candidate {
        instance: Name::from(format!("edge-{number:04}")),
        link_mbps: if number.is_multiple_of(5) { 200 } else { 20 },
    };
    (0..count).map(to_candidate).collect()
}

#[googletest::test]
fn first_daemons_wait_shortly_in_any_fleet() {
    for count in [4, 79, 300, 1_000] {
        let all = candidates(count);
        let order = campaign_order(7, all.clone());
        let mut waits: Vec<u64> = all
            .iter()
            .map(|candidate| campaign_wait_ms(&order, &candidate.instance, None, 0))
            .collect();
        waits.sort_unstable();
        expect_that!(waits[0], eq(0), "{count} daemons");
        expect_that!(waits[1], ge(20), "{count} daemons: the first is alone for a campaign");
        expect_that!(waits[3], le(200), "{count} daemons: the first three may be lost");
    }
}

#[googletest::test]
fn order_is_the_same_everywhere_and_differs_by_epoch() {
    let all = candidates(79);
    let mut reversed = all.clone();
    reversed.reverse();
    expect_that!(campaign_order(7, all.clone()), eq(&campaign_order(7, reversed)));
    expect_that!(campaign_order(7, all.clone())[0], not(eq(&campaign_order(8, all)[0])));
}

#[googletest::test]
fn well_connected_daemons_are_first() {
    let all = candidates(79);
    let first: Vec<Name> = campaign_order(7, all.clone()).into_iter().take(16).collect();
    let is_well_connected = |name: &Name| {
        all.iter().any(|candidate| candidate.instance == *name && candidate.link_mbps == 200)
    };
    expect_that!(first.iter().all(is_well_connected), eq(true));
    let unknown = all.into_iter().map(|candidate| Candidate { link_mbps: 0, ..candidate });
    expect_that!(
        campaign_order(7, unknown.collect()).len(),
        eq(79),
        "all may lead if none is known"
    );
}

#[googletest::test]
fn named_successor_goes_first() {
    let order = campaign_order(7, candidates(79));
    let last = order.last().unwrap();
    expect_that!(campaign_wait_ms(&order, last, Some(last), 0), eq(0));
    for other in &order[..78] {
        expect_that!(campaign_wait_ms(&order, other, Some(last), 0), ge(100));
    }
}

#[googletest::test]
fn refused_daemon_waits_longer_each_time() {
    let order = campaign_order(7, candidates(79));
    let waits: Vec<u64> = (0..6)
        .map(|failures| campaign_wait_ms(&order, &order[0], Some(&order[0]), failures))
        .collect();
    expect_that!(waits.is_sorted(), eq(true), "{waits:?}");
    expect_that!(waits[1], ge(100));
    expect_that!(waits[5], le(1_000));
}
