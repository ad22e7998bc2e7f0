//! Guards against leaders that send tables to every daemon, and against daemons that get none.

use std::collections::BTreeSet;

use document::Name;
use gateway::{Distribution, Role, daemon_groups, publication_transit_ms};
use googletest::prelude::*;

/// Returns daemons with their data centres.
fn fleet(count: usize, data_centres: usize) -> Vec<(Name, Name)> {
    let daemon = |number: usize| {
        let data_centre = number % data_centres;
        (Name::from(format!("edge-{number:04}")), Name::from(format!("dc-{data_centre}")))
    };
    (0..count).map(daemon).collect()
}

/// Returns the daemons that get a publication that the leader sends to `direct`.
fn reached(fleet: &[(Name, Name)], direct: &[Name]) -> BTreeSet<Name> {
    let mut reached: BTreeSet<Name> = direct.iter().cloned().collect();
    for name in direct {
        let data_centre = &fleet.iter().find(|(daemon, _)| daemon == name).unwrap().1;
        let neighbours = fleet.iter().filter(|(_, other)| other == data_centre);
        let neighbours = neighbours.map(|(daemon, _)| daemon.clone()).collect();
        if let Role::Reads { tells } = Role::of(name, neighbours) {
            reached.extend(tells);
        }
    }
    reached
}

#[googletest::test]
fn every_daemon_is_reached_by_few_messages() {
    for (count, data_centres) in [(4, 3), (26, 3), (79, 5), (300, 5), (1_000, 5)] {
        let fleet = fleet(count, data_centres);
        for leader in [0, count / 2, count - 1] {
            let leader = &fleet[leader].0;
            let next = Distribution::default().next(0, leader, fleet.iter().cloned());
            let mut reached = reached(&fleet, &next.publication);
            reached.insert(leader.clone());
            expect_that!(reached.len(), eq(count), "{count} daemons");
            // One daemon a group, and the leader's own group.
            let most = count.div_ceil(20) + data_centres + 24;
            expect_that!(next.publication.len(), le(most), "{count} daemons");
            expect_that!(next.publication.contains(leader), eq(false));
        }
    }
}

#[googletest::test]
fn groups_have_about_the_same_size() {
    for count in [1, 15, 24, 25, 60, 200] {
        let daemons = fleet(count, 1).into_iter().map(|(daemon, _)| daemon).collect();
        let sizes: Vec<usize> = daemon_groups(daemons).iter().map(Vec::len).collect();
        expect_that!(sizes.iter().sum::<usize>(), eq(count));
        expect_that!(sizes.iter().max().unwrap() - sizes.iter().min().unwrap(), le(sizes.len()));
        expect_that!(*sizes.iter().max().unwrap(), le(24));
    }
}

#[googletest::test]
fn daemon_that_asks_twice_gets_publications_directly() {
    let fleet = fleet(79, 5);
    let (leader, daemon) = (&fleet[0].0, &fleet[51].0);
    let mut distribution = Distribution::default();
    distribution.on_request(1_000, daemon);
    let next = distribution.next(1_000, leader, fleet.iter().cloned());
    expect_that!(next.complete, eq(&vec![daemon.clone()]));
    expect_that!(next.publication.contains(daemon), eq(false));
    distribution.on_request(2_000, daemon);
    let next = distribution.next(2_000, leader, fleet.iter().cloned());
    expect_that!(next.complete, eq(&vec![daemon.clone()]));
    expect_that!(next.publication.contains(daemon), eq(true));
    let next = distribution.next(20_000, leader, fleet.iter().cloned());
    expect_that!(next.publication.contains(daemon), eq(false), "its group is tried again");
}

#[googletest::test]
fn many_requests_are_answered_through_groups() {
    let fleet = fleet(300, 5);
    let mut distribution = Distribution::default();
    for (daemon, _) in &fleet[1..] {
        distribution.on_request(1_000, daemon);
    }
    let next = distribution.next(1_000, &fleet[0].0, fleet.iter().cloned());
    expect_that!(next.is_complete, eq(true));
    expect_that!(next.complete.len(), eq(0));
    expect_that!(next.publication.len(), le(45));
}

#[googletest::test]
fn releases_wait_for_larger_fleets_a_little() {
    let transits: Vec<u64> = [1, 4, 26, 79, 300, 14_000].map(publication_transit_ms).to_vec();
    expect_that!(transits.is_sorted(), eq(true), "{transits:?}");
    expect_that!(transits[1], le(8), "a handover of a small fleet is not held up");
    expect_that!(transits[3], ge(20), "a batch of changes and two hops");
    expect_that!(transits[5], le(50), "keys that move are not served meanwhile");
}
