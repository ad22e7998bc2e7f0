//! Guards against a request that crashes one server after another, and against refusals of
//! requests that caused no crash.
use document::Name;
use proptest::prelude::*;
use route::{Attempts, CrashCount, CrashTracker, Failure, Fingerprint, Next};

fn crashing_request() -> Fingerprint {
    Fingerprint::new("POST", "/ledger/a/swaps", b"liters=-1")
}

#[test]
fn refused_after_two_crashes() {
    let mut tracker = CrashTracker::default();
    tracker.on_crash(0, crashing_request());
    assert!(tracker.refused(1).is_empty());
    tracker.on_crash(2, crashing_request());
    assert!(tracker.refused(3).contains(&crashing_request()));
}

#[test]
fn crashes_of_all_daemons_add_up() {
    let mut tracker = CrashTracker::default();
    tracker.on_crash(0, crashing_request());
    let peer_count =
        CrashCount { fingerprint: crashing_request(), crashes: 1, deadline_ms: 50_000 };
    tracker.on_peer_counts(&Name::from("entry-2"), vec![peer_count]);
    assert!(tracker.refused(1).contains(&crashing_request()));
    tracker.on_peer_counts(&Name::from("entry-2"), Vec::new());
    assert!(tracker.refused(1).is_empty());
}

#[test]
fn crashes_expire() {
    let mut tracker = CrashTracker::default();
    tracker.on_crash(0, crashing_request());
    tracker.on_crash(0, crashing_request());
    assert!(tracker.refused(59_999).contains(&crashing_request()));
    assert!(tracker.refused(60_000).is_empty());
}

#[test]
fn each_server_counts_once() {
    let mut tracker = CrashTracker::new(3);
    for _ in 0..5 {
        tracker.on_server_crash(0, crashing_request(), 1);
    }
    tracker.on_server_crash(0, crashing_request(), 2);
    assert!(tracker.refused(1).is_empty());
    tracker.on_server_crash(2, crashing_request(), 3);
    assert!(tracker.refused(3).contains(&crashing_request()));
}

#[test]
fn answered_request_is_cleared() {
    let mut tracker = CrashTracker::new(3);
    for server in 0..3 {
        tracker.on_server_crash(0, crashing_request(), server);
    }
    let peer_count =
        CrashCount { fingerprint: crashing_request(), crashes: 9, deadline_ms: 50_000 };
    tracker.on_peer_counts(&Name::from("entry-2"), vec![peer_count]);
    assert!(tracker.refused(1).contains(&crashing_request()));
    tracker.on_answer(2, crashing_request());
    assert!(tracker.refused(3).is_empty());
}

#[test]
fn similar_requests_have_other_fingerprints() {
    let similar = [
        Fingerprint::new("GET", "/ledger/a/swaps", b"liters=-1"),
        Fingerprint::new("POST", "/ledger/b/swaps", b"liters=-1"),
        Fingerprint::new("POST", "/ledger/a/swaps", b"liters=1"),
        Fingerprint::new("POST", "/ledger/a/swapsl", b"iters=-1"),
    ];
    assert!(similar.iter().all(|fingerprint| *fingerprint != crashing_request()));
}

#[test]
fn own_counts_are_bounded() {
    let mut tracker = CrashTracker::default();
    for number in 0..10_000_u32 {
        tracker.on_crash(u64::from(number), Fingerprint(u64::from(number)));
    }
    assert_eq!(tracker.own_counts(10_000).len(), 256);
}

#[test]
fn request_is_not_retried_after_two_crashes() {
    let mut attempts = Attempts::new(true, 60_000);
    assert_eq!(attempts.on_failure(0, Failure::Crashed), Next::Retry);
    assert_eq!(attempts.on_failure(0, Failure::Crashed), Next::GiveUp);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default()
    })]

    #[test]
    fn peer_counts_are_bounded(count in 0_usize..2_000) {
        let mut tracker = CrashTracker::default();
        let counts = (0..count as u64)
            .map(|n| CrashCount { fingerprint: Fingerprint(n), crashes: 9, deadline_ms: 10 })
            .collect();
        tracker.on_peer_counts(&Name::from("x"), counts);
        prop_assert!(tracker.refused(1).len() <= 256);
        prop_assert!(tracker.refused(10).is_empty());
    }
}

#[test]
fn answer_to_another_request_clears_nothing() {
    let mut tracker = CrashTracker::default();
    tracker.on_crash(0, crashing_request());
    let unrelated = Fingerprint::new("GET", "/balance", b"");
    assert!(!tracker.on_answer(1, unrelated), "no crashes are counted for the request");
    assert!(tracker.on_answer(1, crashing_request()));
    assert!(!tracker.on_answer(2, crashing_request()), "the request is already cleared");
}

#[test]
fn peer_counts_expire() {
    let mut tracker = CrashTracker::default();
    tracker.on_crash(0, crashing_request());
    let peer_count =
        CrashCount { fingerprint: crashing_request(), crashes: 1, deadline_ms: 60_000 };
    tracker.on_peer_counts(&Name::from("edge-2"), vec![peer_count]);
    tracker.forget_expired(59_999);
    assert!(!tracker.is_empty());
    tracker.forget_expired(60_000);
    assert!(tracker.is_empty(), "counts must expire even if the other daemon is gone");
}
