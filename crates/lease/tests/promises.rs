//! Guards against two controllers at a time: voters that promise too much, or promises that
//! count too long or without a majority.
use document::Name;
use lease::{Authority, LeaderEpoch, Quorum, Term, Vote, Voter};

const PROMISE_MS: u64 = 100;

fn voter() -> Voter {
    Voter::new(0, PROMISE_MS)
}

#[test]
fn no_promise_right_after_a_start() {
    let mut voter = voter();
    assert_eq!(voter.request(50, LeaderEpoch(1), Term(1)), Vote::Bound);
    assert_eq!(voter.request(101, LeaderEpoch(1), Term(1)), Vote::Promised);
}

#[test]
fn one_promise_at_a_time() {
    let mut voter = voter();
    assert_eq!(voter.request(200, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.request(250, LeaderEpoch(2), Term(2)), Vote::Bound);
    assert_eq!(voter.request(290, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.request(389, LeaderEpoch(2), Term(2)), Vote::Bound);
    assert_eq!(voter.request(390, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn term_is_promised_once() {
    let mut voter = voter();
    assert_eq!(voter.request(200, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.request(400, LeaderEpoch(2), Term(1)), Vote::Outdated(Term(1)));
    assert_eq!(voter.request(400, LeaderEpoch(1), Term(1)), Vote::Outdated(Term(1)));
    assert_eq!(voter.request(400, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn probe_gives_no_promise() {
    let mut voter = voter();
    assert_eq!(voter.probe(200, LeaderEpoch(1), Term(5)), Vote::Promised);
    assert_eq!(voter.request(200, LeaderEpoch(2), Term(1)), Vote::Promised);
}

#[test]
fn returned_promise_ends() {
    let mut voter = voter();
    voter.request(200, LeaderEpoch(1), Term(1));
    voter.on_promise_returned(LeaderEpoch(9));
    assert_eq!(voter.bound_to(201), Some(LeaderEpoch(1)));
    voter.on_promise_returned(LeaderEpoch(1));
    assert_eq!(voter.request(201, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn authority_ends_before_the_promises_expire() {
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let quorum = Quorum { voters: names.clone(), old_voters: Vec::new() };
    let mut authority = Authority::default();
    authority.on_promise(&names[0], 1_000, PROMISE_MS);
    assert!(!authority.is_held(1_000, &quorum));
    authority.on_promise(&names[1], 1_000, PROMISE_MS);
    assert!(authority.is_held(1_098, &quorum));
    assert!(!authority.is_held(1_099, &quorum), "clock rates may differ by 1%");
}

#[test]
fn change_of_voters_needs_both_majorities() {
    let name = |text: &str| Name::from(text);
    let quorum = Quorum {
        voters: vec![name("c"), name("d"), name("e")],
        old_voters: vec![name("a"), name("b"), name("c")],
    };
    assert!(!quorum.is_reached(|voter| ["c", "d", "e"].contains(&voter.as_str())));
    assert!(quorum.is_reached(|voter| ["b", "c", "d"].contains(&voter.as_str())));
}
