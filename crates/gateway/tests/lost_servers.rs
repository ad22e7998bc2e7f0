//! Guards against a daemon that takes itself for cut off while it reaches servers, or the
//! opposite.

mod fixture;

use gateway::{Reach, ReachChange};

use crate::fixture::{registry, server};

#[test]
fn several_lost_servers_in_a_row_are_a_cut() {
    let mut reach = Reach::default();
    for number in 0..3 {
        assert!(!reach.is_cut_off());
        reach.on_lost(&server(number));
    }
    assert!(reach.is_cut_off());
    reach.on_connected(&server(1));
    assert!(!reach.is_cut_off());
    assert!(reach.has_all(), "the others can most likely be reached too");
}

#[test]
fn one_server_lost_again_and_again_is_no_cut() {
    let mut reach = Reach::default();
    for _ in 0..10 {
        reach.on_lost(&server(1));
    }
    assert!(!reach.is_cut_off());
}

#[test]
fn servers_that_crash_while_others_answer_are_no_cut() {
    let mut reach = Reach::default();
    for number in 0..10 {
        reach.on_lost(&server(number));
        reach.on_answer();
    }
    assert!(!reach.is_cut_off());
    assert!(!reach.has_all());
}

#[test]
fn changes_are_told_once() {
    let mut reach = Reach::default();
    reach.on_lost(&server(1));
    reach.on_lost(&server(1));
    let change = ReachChange { newly_lost: 1, newly_reached: 0, lost: 1, is_cut_off: false };
    assert_eq!(reach.take_change(), Some(change));
    assert_eq!(reach.take_change(), None);
    reach.retain(|known| *known != server(1));
    assert!(reach.has_all());
}

#[test]
fn answers_on_open_connections_do_not_show_that_new_ones_succeed() {
    let mut reach = Reach::default();
    reach.on_lost(&server(1));
    reach.on_answer();
    assert!(reach.is_lost(&server(1)));
    reach.on_connected(&server(1));
    assert!(!reach.is_lost(&server(1)));
}

#[test]
fn only_lost_servers_are_probed_while_others_answer() {
    let registry = registry(20);
    let mut reach = Reach::default();
    assert!(reach.to_probe(&registry, 7).is_empty());
    for number in 0..10 {
        reach.on_lost(&server(number));
        reach.on_answer();
    }
    for start in [0, 3, 9, usize::MAX] {
        let probed = reach.to_probe(&registry, start);
        assert_eq!(probed.len(), 4);
        assert!(probed.iter().all(|(server, _)| reach.is_lost(server)));
    }
}

#[test]
fn daemon_that_has_met_only_crashed_servers_finds_the_others() {
    let registry = registry(20);
    let mut reach = Reach::default();
    for number in 0..3 {
        reach.on_lost(&server(number));
    }
    assert!(reach.is_cut_off());
    for start in [0, 3, 9, usize::MAX] {
        let probed = reach.to_probe(&registry, start);
        assert!(probed.iter().any(|(server, _)| !reach.is_lost(server)), "{probed:?}");
    }
}
