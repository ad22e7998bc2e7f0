//! Guards against work for servers that left, restarted or drain, and against the loss of
//! running servers whose entries are missing after the list was unavailable.
use document::Name;
use registry::{Change, Field, Incarnation, Registration, Registry, Stage};

fn registration(born_ms: u64, heartbeat: u64, stage: Stage) -> Registration {
    Registration {
        incarnation: incarnation(born_ms),
        service: "ledger".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        stage,
        warm_at_ms: 0,
        heartbeat,
    }
}

fn incarnation(born_ms: u64) -> Incarnation {
    Incarnation { server: "s".into(), born_ms }
}

#[test]
fn late_report_is_ignored() {
    let mut registry = Registry::default();
    assert_eq!(registry.put(0, "s", registration(1, 5, Stage::Draining)), Change::Server);
    assert_eq!(registry.put(0, "s", registration(1, 4, Stage::Ready)), Change::Nothing);
    assert!(!registry.accepts_new_work(&incarnation(1)));
}

/// Guards against a server whose reports count as late for good after a number of another writer.
#[test]
fn report_far_below_the_latest_is_not_late() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 1 << 52, Stage::Ready));
    assert_eq!(registry.put(0, "s", registration(1, 7, Stage::Draining)), Change::Server);
    assert_eq!(registry.put(0, "s", registration(1, 6, Stage::Ready)), Change::Nothing);
    assert!(!registry.accepts_new_work(&incarnation(1)));
}

/// Guards against requests to a server whose entry now names another service.
#[test]
fn one_incarnation_serves_one_service() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 1, Stage::Ready));
    registry.check(0, &registration(1, 2, Stage::Ready)).unwrap();
    let other = Registration { service: "archive".into(), ..registration(1, 2, Stage::Ready) };
    assert_eq!(registry.check(0, &other).unwrap_err().field, Field::Service);
    let later = Registration { incarnation: incarnation(2), ..other };
    registry.check(0, &later).unwrap();
}

/// Guards against a sum that overflows for an entry that an earlier version relayed.
#[test]
fn endless_warm_up_is_unusable() {
    let mut registry = Registry::default();
    let endless = Registration { warm_at_ms: u64::MAX, ..registration(1, 1, Stage::Ready) };
    assert_eq!(registry.check(9, &endless).unwrap_err().field, Field::WarmAt);
    registry.put(9, "s", endless.clone());
    assert_eq!(registry.put(9, "s", endless), Change::Nothing);
}

#[test]
fn heartbeat_changes_nothing() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    assert_eq!(registry.put(0, "s", registration(1, 6, Stage::Ready)), Change::Nothing);
    assert_eq!(registry.put(0, "s", registration(1, 5, Stage::Draining)), Change::Nothing);
}

#[test]
fn later_incarnation_replaces_earlier_one() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 50, Stage::Ready));
    assert_eq!(registry.put(0, "s", registration(2, 1, Stage::Ready)), Change::Server);
    assert!(
        registry.has_later_incarnation(&incarnation(1)) && registry.get(&incarnation(1)).is_none()
    );
    assert_eq!(registry.put(0, "s", registration(1, 51, Stage::Ready)), Change::Nothing);
    assert!(registry.accepts_new_work(&incarnation(2)));
}

#[test]
fn missing_entry_returns_within_grace_period() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.on_list_restored(1_000);
    assert_eq!(registry.remove(1_500, "s"), Change::Server);
    assert_eq!(registry.remove(1_600, "s"), Change::Nothing);
    assert!(registry.accepts_new_work(&incarnation(1)));
    // The only server of a service stays usable for the grace period.
    assert_eq!(registry.usable("ledger").count(), 1);
    assert_eq!(registry.put(2_500, "s", registration(1, 6, Stage::Ready)), Change::Server);
    assert_eq!(registry.expire(60_000), Change::Nothing);
}

#[test]
fn missing_entry_is_dropped_after_grace_period() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.on_list_restored(1_000);
    registry.remove(1_500, "s");
    assert_eq!(registry.expire(3_100), Change::Nothing);
    assert_eq!(registry.expire(3_300), Change::Server);
    assert!(registry.is_empty());
}

#[test]
fn entry_missing_from_listing_is_removed() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    assert_eq!(registry.keep_only(10, &[Name::from("s")]), [] as [Name; 0]);
    assert_eq!(registry.keep_only(10, &[]), [Name::from("s")]);
    assert!(registry.is_empty());
}

/// Guards against sending work to a server that left while the daemon was cut off.
///
/// Missing entries are kept for a grace period once the list is back, and the daemon used
/// such an entry for that long. Seen with seed 174378899 at an enlarged site.
#[test]
fn missing_server_gets_no_work() {
    let mut registry = Registry::default();
    for name in ["a", "b", "c"] {
        let incarnation = Incarnation { server: name.into(), born_ms: 1 };
        registry.put(0, name, Registration { incarnation, ..registration(1, 5, Stage::Ready) });
    }
    registry.on_list_restored(1_000);
    assert_eq!(registry.keep_only(1_100, &["a".into(), "c".into()]), [Name::from("b")]);
    let usable: Vec<&str> = registry.usable("ledger").map(|s| &*s.incarnation.server).collect();
    assert_eq!(usable, ["a", "c"]);
    assert_eq!(registry.keep_only(1_200, &["a".into()]), [Name::from("c")]);
    assert_eq!(registry.usable("ledger").count(), 3);
}

/// Guards against work for a server that has left, whose entry another writer has replaced for good.
#[test]
fn server_with_unusable_entry_is_missing_and_then_gone() {
    let mut registry = Registry::default();
    for name in ["a", "b", "c"] {
        let incarnation = Incarnation { server: name.into(), born_ms: 1 };
        registry.put(0, name, Registration { incarnation, ..registration(1, 5, Stage::Ready) });
    }
    assert_eq!(registry.on_unusable_entry(1_000, "d"), Change::Nothing);
    assert_eq!(registry.on_unusable_entry(1_000, "b"), Change::Server);
    assert_eq!(registry.on_unusable_entry(1_500, "b"), Change::Nothing);
    let usable = |registry: &Registry| -> Vec<String> {
        registry.usable("ledger").map(|s| s.incarnation.server.to_string()).collect()
    };
    assert_eq!(usable(&registry), ["a", "c"]);
    // The list still names the entry.
    assert_eq!(registry.keep_only(2_000, &["a", "b", "c"].map(Name::from)), [] as [Name; 0]);
    assert_eq!(registry.expire(3_199), Change::Nothing);
    assert_eq!(registry.expire(3_200), Change::Server);
    assert_eq!(registry.len(), 2);
}

/// Guards against the loss of a running server whose entry another writer has replaced once.
#[test]
fn usable_entry_brings_a_server_back() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.on_unusable_entry(1_000, "s");
    assert!(registry.accepts_new_work(&incarnation(1)), "its keys stay until it is gone");
    assert_eq!(registry.put(1_600, "s", registration(1, 6, Stage::Ready)), Change::Server);
    assert_eq!(registry.expire(60_000), Change::Nothing);
    assert_eq!(registry.usable("ledger").count(), 1);
}

#[test]
fn last_report_has_latest_heartbeat() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.put(0, "s", registration(1, 9, Stage::Ready));
    // A daemon that has seen heartbeat 9 would ignore an earlier one as a late report.
    assert_eq!(registry.last_report("s").map(|report| report.heartbeat), Some(9));
    registry.on_list_restored(0);
    registry.remove(10, "s");
    assert_eq!(registry.last_report("s"), None);
    assert_eq!(registry.listed().count(), 0);
}

#[test]
fn extended_grace_period_lasts_until_its_deadline() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.extend_grace(0, 700);
    assert_eq!(registry.grace_left_ms(100), 600);
    registry.remove(100, "s");
    assert_eq!(registry.expire(699), Change::Nothing);
    assert_eq!(registry.expire(700), Change::Server);
}

#[test]
fn server_that_says_it_leaves_gets_no_work_whatever_its_entry_says() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 1, Stage::Ready));
    assert_eq!(registry.mark_leaving(&incarnation(1)), Change::Server);
    assert_eq!(registry.mark_leaving(&incarnation(1)), Change::Nothing);
    assert!(!registry.accepts_new_work(&incarnation(1)));
    // Later reports still say that it is ready, also after its entry was missing.
    registry.put(10, "s", registration(1, 2, Stage::Ready));
    assert!(!registry.accepts_new_work(&incarnation(1)));
    registry.remove(20, "s");
    registry.put(30, "s", registration(1, 3, Stage::Ready));
    assert!(!registry.accepts_new_work(&incarnation(1)));
    registry.put(40, "s", registration(2, 1, Stage::Ready));
    assert!(registry.accepts_new_work(&incarnation(2)));
}

/// Guards against a server that is lost for good after another writer gave its entry a later start.
#[test]
fn later_start_of_another_writer_does_not_hide_a_server() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1_000, 5, Stage::Ready));
    let odd = registration(253_402_300_799_999, 1, Stage::Ready);
    if registry.check(500, &odd).is_ok() {
        registry.put(500, "s", odd);
    }
    for report in 6..66 {
        registry.put(500 * (report - 4), "s", registration(1_000, report, Stage::Ready));
    }
    assert!(registry.accepts_new_work(&incarnation(1_000)), "not heard for 30 s");
}

/// Guards against work for a leaving server whose entry another writer gave a larger number.
#[test]
fn larger_number_of_another_writer_does_not_hide_a_leaving_server() {
    let mut registry = Registry::default();
    registry.put(0, "s", registration(1, 5, Stage::Ready));
    registry.put(500, "s", registration(1, 905, Stage::Ready));
    for report in 6..66 {
        registry.put(500 * (report - 4), "s", registration(1, report, Stage::Draining));
    }
    assert!(!registry.accepts_new_work(&incarnation(1)), "its leaving is not known after 30 s");
}
