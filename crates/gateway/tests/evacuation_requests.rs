//! Guards against evacuations that are missed, never end, or return with an outdated answer.

use document::{Name, Revision};
use gateway::{EvacuationReport, Evacuations};

fn name(text: &str) -> Name {
    Name::from(text)
}

fn requested(evacuations: &Evacuations) -> Vec<(&str, u64)> {
    evacuations.requested().map(|(name, learned_at_ms)| (name.as_str(), learned_at_ms)).collect()
}

/// Returns evacuations after a first listing at revision 5 that named none.
fn listed_without_any() -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.on_listing(50, &[], Revision(5));
    evacuations
}

#[test]
fn written_key_starts_and_removed_key_ends() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    assert_eq!(requested(&evacuations), [("b", 100)]);
    evacuations.on_change(200, &name("b"), Revision(7), false);
    assert!(requested(&evacuations).is_empty());
}

#[test]
fn repeated_write_does_not_delay_the_close() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    evacuations.on_change(900, &name("b"), Revision(7), true);
    assert_eq!(evacuations.learned_at_ms("b"), Some(100));
}

#[test]
fn listing_without_the_key_ends_the_evacuation() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    evacuations.on_listing(200, &[], Revision(8));
    assert!(requested(&evacuations).is_empty());
}

#[test]
fn listing_from_before_the_key_does_not_end_the_evacuation() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(9), true);
    evacuations.on_listing(200, &[], Revision(8));
    assert_eq!(requested(&evacuations), [("b", 100)]);
}

#[test]
fn outdated_answers_do_not_bring_a_removed_key_back() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    evacuations.on_change(200, &name("b"), Revision(9), false);
    evacuations.on_change(300, &name("b"), Revision(6), true);
    evacuations.on_listing(300, &[(name("b"), Revision(6))], Revision(8));
    assert!(requested(&evacuations).is_empty());
    evacuations.on_listing(400, &[], Revision(12));
    evacuations.on_change(500, &name("b"), Revision(6), true);
    evacuations.on_listing(500, &[(name("b"), Revision(6))], Revision(8));
    assert!(requested(&evacuations).is_empty());
}

#[test]
fn outdated_removal_does_not_end_a_later_request() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(9), true);
    evacuations.on_change(200, &name("b"), Revision(7), false);
    assert_eq!(requested(&evacuations), [("b", 100)]);
}

#[test]
fn request_in_the_first_listing_takes_effect_at_once() {
    let mut evacuations = Evacuations::default();
    evacuations.on_listing(9_000, &[(name("b"), Revision(3))], Revision(5));
    assert_eq!(requested(&evacuations), [("b", 0)]);
    evacuations.on_listing(
        9_500,
        &[(name("b"), Revision(3)), (name("c"), Revision(7))],
        Revision(8),
    );
    assert_eq!(requested(&evacuations), [("b", 0), ("c", 9_500)]);
}

#[test]
fn each_change_is_reported_once() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    let started = vec![EvacuationReport::Started(name("b"), Revision(6))];
    assert_eq!(evacuations.take_reports(|_| true), started);
    assert!(evacuations.take_reports(|_| true).is_empty());
    evacuations.on_change(200, &name("b"), Revision(7), false);
    let ended = vec![EvacuationReport::Ended(name("b"), Revision(7))];
    assert_eq!(evacuations.take_reports(|_| true), ended);
    assert!(evacuations.take_reports(|_| true).is_empty());
}

#[test]
fn unknown_data_centre_is_reported_once_and_starts_when_known() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name("b"), Revision(6), true);
    let unknown = vec![EvacuationReport::Unknown(name("b"), Revision(6))];
    assert_eq!(evacuations.take_reports(|_| false), unknown);
    assert!(evacuations.take_reports(|_| false).is_empty());
    let started = vec![EvacuationReport::Started(name("b"), Revision(6))];
    assert_eq!(evacuations.take_reports(|_| true), started);
}

#[test]
fn key_without_a_name_is_reported_and_evacuates_nothing() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(100, &name(""), Revision(6), true);
    assert!(requested(&evacuations).is_empty());
    let unknown = vec![EvacuationReport::Unknown(name(""), Revision(6))];
    assert_eq!(evacuations.take_reports(|name| !name.is_empty()), unknown);
}

#[test]
fn evacuation_ends_though_the_store_came_back_older() {
    let mut evacuations = listed_without_any();
    evacuations.on_change(1_000, &name("b"), Revision(500), true);
    evacuations.on_new_era();
    assert_eq!(requested(&evacuations), [("b", 1_000)], "until the store is listed");
    evacuations.on_listing(2_000, &[], Revision(20));
    assert!(requested(&evacuations).is_empty());
}
