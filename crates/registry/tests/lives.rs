//! Lives of servers, late reports, and entries that lapse while the list is away.
use document::Name;
use registry::{Change, Life, Registration, Registry, Stage};

fn registration(born_ms: u64, heartbeat: u64, stage: Stage) -> Registration {
    Registration {
        life: life(born_ms),
        service: "ledger".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        stage,
        cold_until_ms: 0,
        heartbeat,
    }
}

fn life(born_ms: u64) -> Life {
    Life { server: "s".into(), born_ms }
}

#[test]
fn late_report_is_ignored() {
    let mut registry = Registry::default();
    assert_eq!(registry.put(0, "s", registration(1, 5, Stage::Draining)), Change::Server);
    assert_eq!(registry.put(0, "s", registration(1, 4, Stage::Ready)), Change::Nothing);
    assert!(!registry.is_welcome(&life(1)));
}

#[test]
fn heartbeat_changes_nothing() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    assert_eq!(registry.put(0, "s", registration(1, 6, Stage::Ready)), Change::Nothing);
    assert_eq!(registry.put(0, "s", registration(1, 5, Stage::Draining)), Change::Nothing);
}

#[test]
fn later_life_replaces() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 50, Stage::Ready));
    assert_eq!(registry.put(0, "s", registration(2, 1, Stage::Ready)), Change::Server);
    assert!(registry.has_later_life(&life(1)) && registry.get(&life(1)).is_none());
    assert_eq!(registry.put(0, "s", registration(1, 51, Stage::Ready)), Change::Nothing);
    assert!(registry.is_welcome(&life(2)));
}

#[test]
fn lapsed_entry_comes_back() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.list_returned(1_000);
    assert_eq!(registry.remove(1_500, "s"), Change::Server);
    assert_eq!(registry.remove(1_600, "s"), Change::Nothing);
    assert!(registry.is_welcome(&life(1)));
    // The only server of a service goes on until it is known to be gone.
    assert_eq!(registry.usable("ledger").count(), 1);
    assert_eq!(registry.put(2_500, "s", registration(1, 6, Stage::Ready)), Change::Server);
    assert_eq!(registry.expire(60_000), Change::Nothing);
}

#[test]
fn lapsed_entry_stays_away() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.list_returned(1_000);
    registry.remove(1_500, "s");
    assert_eq!(registry.expire(3_100), Change::Nothing);
    assert_eq!(registry.expire(3_300), Change::Server);
    assert!(registry.is_empty());
}

#[test]
fn missing_from_a_listing() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    assert_eq!(registry.keep_only(10, &[Name::from("s")]), [] as [Name; 0]);
    assert_eq!(registry.keep_only(10, &[]), [Name::from("s")]);
    assert!(registry.is_empty());
}

/// Seed 174378899 of a grown site: a daemon that had been cut off sent work to a server
/// that had left meanwhile, for as long as an entry may take to be back.
#[test]
fn missing_server_gets_no_work() {
    let mut registry = Registry::default();
    for name in ["a", "b", "c"] {
        let life = Life { server: name.into(), born_ms: 1 };
        registry.put(0, name, Registration { life, ..registration(1, 5, Stage::Ready) });
    }
    registry.list_returned(1_000);
    assert_eq!(registry.keep_only(1_100, &["a".into(), "c".into()]), [Name::from("b")]);
    let usable: Vec<&str> = registry.usable("ledger").map(|s| &*s.life.server).collect();
    assert_eq!(usable, ["a", "c"]);
    assert_eq!(registry.keep_only(1_200, &["a".into()]), [Name::from("c")]);
    assert_eq!(registry.usable("ledger").count(), 3);
}

#[test]
fn last_report_counts_heartbeats() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.put(0, "s", registration(1, 9, Stage::Ready));
    // Another daemon that has seen heartbeat 9 would take an earlier one for a late report.
    assert_eq!(registry.last_report("s").map(|report| report.heartbeat), Some(9));
    registry.list_returned(0);
    registry.remove(10, "s");
    assert_eq!(registry.last_report("s"), None);
    assert_eq!(registry.listed().count(), 0);
}

#[test]
fn heard_lapse_lasts_as_long() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.lapses_for(0, 700);
    assert_eq!(registry.lapse_left_ms(100), 600);
    registry.remove(100, "s");
    assert_eq!(registry.expire(699), Change::Nothing);
    assert_eq!(registry.expire(700), Change::Server);
}
