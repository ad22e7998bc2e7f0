//! Requests that crash servers are refused everywhere, and nothing else is.
use document::Name;
use proptest::prelude::*;
use route::{Attempts, Failure, Fingerprint, Next, Suspect, Suspects};

fn poison() -> Fingerprint {
    Fingerprint::new("POST", "/ledger/a/swaps", b"liters=-1")
}

#[test]
fn refused_after_two() {
    let mut suspects = Suspects::default();
    suspects.note_crash(0, poison());
    assert!(suspects.refused(1).is_empty());
    suspects.note_crash(2, poison());
    assert!(suspects.refused(3).contains(&poison()));
}

#[test]
fn daemons_count_together() {
    let mut suspects = Suspects::default();
    suspects.note_crash(0, poison());
    let other = Suspect { fingerprint: poison(), crashes: 1, deadline_ms: 50_000 };
    suspects.note_other(&Name::from("entry-2"), vec![other]);
    assert!(suspects.refused(1).contains(&poison()));
    suspects.note_other(&Name::from("entry-2"), Vec::new());
    assert!(suspects.refused(1).is_empty());
}

#[test]
fn forgotten_after_a_while() {
    let mut suspects = Suspects::default();
    suspects.note_crash(0, poison());
    suspects.note_crash(0, poison());
    assert!(suspects.refused(59_999).contains(&poison()));
    assert!(suspects.refused(60_000).is_empty());
}

#[test]
fn one_crash_counts_once() {
    let mut suspects = Suspects::new(3);
    for _ in 0..5 {
        suspects.note_crash_of(0, poison(), 1);
    }
    suspects.note_crash_of(0, poison(), 2);
    assert!(suspects.refused(1).is_empty());
    suspects.note_crash_of(2, poison(), 3);
    assert!(suspects.refused(3).contains(&poison()));
}

#[test]
fn popular_requests_are_cleared() {
    let mut suspects = Suspects::new(3);
    for server in 0..3 {
        suspects.note_crash_of(0, poison(), server);
    }
    let other = Suspect { fingerprint: poison(), crashes: 9, deadline_ms: 50_000 };
    suspects.note_other(&Name::from("entry-2"), vec![other]);
    assert!(suspects.refused(1).contains(&poison()));
    suspects.note_answer(2, poison());
    assert!(suspects.refused(3).is_empty());
}

#[test]
fn look_alikes_are_not_punished() {
    let others = [
        Fingerprint::new("GET", "/ledger/a/swaps", b"liters=-1"),
        Fingerprint::new("POST", "/ledger/b/swaps", b"liters=-1"),
        Fingerprint::new("POST", "/ledger/a/swaps", b"liters=1"),
        Fingerprint::new("POST", "/ledger/a/swapsl", b"iters=-1"),
    ];
    assert!(others.iter().all(|other| *other != poison()));
}

#[test]
fn memory_is_bounded() {
    let mut suspects = Suspects::default();
    for number in 0..10_000_u32 {
        suspects.note_crash(u64::from(number), Fingerprint(u64::from(number)));
    }
    assert_eq!(suspects.own(10_000).len(), 256);
}

#[test]
fn one_request_crashes_two_servers_at_most() {
    let mut attempts = Attempts::new(true, 60_000);
    assert_eq!(attempts.next(0, Failure::Crashed), Next::Retry);
    assert_eq!(attempts.next(0, Failure::Crashed), Next::GiveUp);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default()
    })]

    #[test]
    fn others_cannot_fill_memory(count in 0_usize..2_000) {
        let mut suspects = Suspects::default();
        let many = (0..count as u64)
            .map(|n| Suspect { fingerprint: Fingerprint(n), crashes: 9, deadline_ms: 10 })
            .collect();
        suspects.note_other(&Name::from("x"), many);
        prop_assert!(suspects.refused(1).len() <= 256);
        prop_assert!(suspects.refused(10).is_empty());
    }
}

#[test]
fn answers_of_others_change_nothing() {
    let mut suspects = Suspects::default();
    suspects.note_crash(0, poison());
    let unrelated = Fingerprint::new("GET", "/balance", b"");
    assert!(!suspects.note_answer(1, unrelated), "the usual answer costs nothing more");
    assert!(suspects.note_answer(1, poison()));
    assert!(!suspects.note_answer(2, poison()), "it is known not to be to blame");
}

#[test]
fn nothing_is_suspected_for_ever() {
    let mut suspects = Suspects::default();
    suspects.note_crash(0, poison());
    let other = Suspect { fingerprint: poison(), crashes: 1, deadline_ms: 60_000 };
    suspects.note_other(&Name::from("edge-2"), vec![other]);
    suspects.forget(59_999);
    assert!(!suspects.is_empty());
    suspects.forget(60_000);
    assert!(suspects.is_empty(), "the other daemon may be gone and never say more");
}
