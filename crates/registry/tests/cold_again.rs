//! Guards against servers that turn cold again without other daemons learning of it.

use registry::{Change, Incarnation, Registration, Registry, Stage};

fn report(heartbeat: u64, warm_at_ms: u64) -> Registration {
    Registration {
        incarnation: Incarnation { server: "s1".into(), born_ms: 1 },
        service: "ledger".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "a".into(),
        slots: 4,
        stage: Stage::Ready,
        warm_at_ms,
        heartbeat,
    }
}

#[test]
fn server_that_turns_cold_again_is_a_change() {
    let mut registry = Registry::default();
    registry.put(0, "s1", report(1, 0));
    assert_eq!(registry.put(10_000, "s1", report(2, 13_000)), Change::Server);
    assert_eq!(registry.last_report("s1").unwrap().warm_at_ms, 13_000);
}

#[test]
fn prolonged_cold_phase_is_a_change() {
    let mut registry = Registry::default();
    registry.put(0, "s1", report(1, 3_000));
    assert_eq!(registry.put(1_000, "s1", report(2, 5_000)), Change::Server);
    assert_eq!(registry.by_name("s1").unwrap().warm_at_ms, 5_000);
}

#[test]
fn differences_of_the_reading_time_are_no_change() {
    let mut registry = Registry::default();
    registry.put(0, "s1", report(1, 3_000));
    assert_eq!(registry.put(500, "s1", report(2, 3_040)), Change::Nothing);
    assert_eq!(registry.put(1_000, "s1", report(3, 2_960)), Change::Nothing);
    assert_eq!(registry.put(4_000, "s1", report(4, 4_000)), Change::Nothing);
}
