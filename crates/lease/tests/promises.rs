//! What voters promise, and when a candidate may act.
use document::Name;
use lease::{Authority, LeaderEpoch, Quorum, Term, Vote, Voter};

const PROMISE_MS: u64 = 100;

fn voter() -> Voter {
    Voter::new(0, PROMISE_MS)
}

#[test]
fn silent_after_a_start() {
    let mut voter = voter();
    assert_eq!(voter.ask(50, LeaderEpoch(1), Term(1)), Vote::Bound);
    assert_eq!(voter.ask(101, LeaderEpoch(1), Term(1)), Vote::Promised);
}

#[test]
fn one_candidate_at_a_time() {
    let mut voter = voter();
    assert_eq!(voter.ask(200, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.ask(250, LeaderEpoch(2), Term(2)), Vote::Bound);
    assert_eq!(voter.ask(290, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.ask(389, LeaderEpoch(2), Term(2)), Vote::Bound);
    assert_eq!(voter.ask(390, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn term_is_taken_once() {
    let mut voter = voter();
    assert_eq!(voter.ask(200, LeaderEpoch(1), Term(1)), Vote::Promised);
    assert_eq!(voter.ask(400, LeaderEpoch(2), Term(1)), Vote::Outdated(Term(1)));
    assert_eq!(voter.ask(400, LeaderEpoch(1), Term(1)), Vote::Outdated(Term(1)));
    assert_eq!(voter.ask(400, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn probe_promises_nothing() {
    let mut voter = voter();
    assert_eq!(voter.probe(200, LeaderEpoch(1), Term(5)), Vote::Promised);
    assert_eq!(voter.ask(200, LeaderEpoch(2), Term(1)), Vote::Promised);
}

#[test]
fn returned_promise_ends() {
    let mut voter = voter();
    voter.ask(200, LeaderEpoch(1), Term(1));
    voter.release(LeaderEpoch(9));
    assert_eq!(voter.bound_to(201), Some(LeaderEpoch(1)));
    voter.release(LeaderEpoch(1));
    assert_eq!(voter.ask(201, LeaderEpoch(2), Term(2)), Vote::Promised);
}

#[test]
fn authority_ends_before_promises() {
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let quorum = Quorum { voters: names.clone(), old_voters: Vec::new() };
    let mut authority = Authority::default();
    authority.note(&names[0], 1_000, PROMISE_MS);
    assert!(!authority.is_held(1_000, &quorum));
    authority.note(&names[1], 1_000, PROMISE_MS);
    assert!(authority.is_held(1_098, &quorum));
    assert!(!authority.is_held(1_099, &quorum), "clocks may differ by 1 in 100");
}

#[test]
fn both_majorities_while_voters_change() {
    let name = |text: &str| Name::from(text);
    let quorum = Quorum {
        voters: vec![name("c"), name("d"), name("e")],
        old_voters: vec![name("a"), name("b"), name("c")],
    };
    assert!(!quorum.is_reached(|voter| ["c", "d", "e"].contains(&voter.as_str())));
    assert!(quorum.is_reached(|voter| ["b", "c", "d"].contains(&voter.as_str())));
}
