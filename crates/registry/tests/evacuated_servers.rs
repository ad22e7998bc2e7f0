//! Guards against new work for servers of evacuated data centres.
use registry::{Change, Incarnation, Registration, Registry, Stage};

fn put(registry: &mut Registry, server: &str, data_centre: &str, stage: Stage) -> Incarnation {
    let incarnation = Incarnation { server: server.into(), born_ms: 1 };
    let registration = Registration {
        incarnation: incarnation.clone(),
        service: "ledger".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: 4,
        stage,
        warm_at_ms: 0,
        heartbeat: 1,
    };
    registry.put(0, server, registration);
    incarnation
}

fn usable(registry: &Registry) -> Vec<&str> {
    registry.usable("ledger").map(|server| &*server.incarnation.server).collect()
}

#[test]
fn evacuated_servers_are_not_offered_until_it_ends() {
    let mut registry = Registry::default();
    let near = put(&mut registry, "s1", "a", Stage::Ready);
    let evacuated = put(&mut registry, "s2", "b", Stage::Ready);
    assert_eq!(registry.set_evacuated(["b".into()]), Change::Server);
    assert!(registry.is_evacuated("b") && !registry.is_evacuated("a"));
    assert_eq!(usable(&registry), ["s1"]);
    assert!(registry.accepts_new_work(&near) && !registry.accepts_new_work(&evacuated));
    assert!(registry.is_ready_but_evacuated(&evacuated));
    assert_eq!(registry.set_evacuated([]), Change::Server);
    assert_eq!(usable(&registry), ["s1", "s2"]);
    assert!(registry.accepts_new_work(&evacuated));
}

#[test]
fn version_changes_only_with_the_set() {
    let mut registry = Registry::default();
    put(&mut registry, "s1", "a", Stage::Ready);
    let before = registry.version();
    assert_eq!(registry.set_evacuated([]), Change::Nothing);
    assert_eq!(registry.version(), before);
    registry.set_evacuated(["a".into(), "b".into()]);
    assert_eq!(registry.version(), before + 1);
    assert_eq!(registry.set_evacuated(["b".into(), "a".into()]), Change::Nothing);
    assert_eq!(registry.version(), before + 1);
}

#[test]
fn second_data_centre_is_excluded_too() {
    let mut registry = Registry::default();
    for (server, data_centre) in [("s1", "a"), ("s2", "b"), ("s3", "c")] {
        put(&mut registry, server, data_centre, Stage::Ready);
    }
    registry.set_evacuated(["b".into()]);
    registry.set_evacuated(["b".into(), "c".into()]);
    assert_eq!(usable(&registry), ["s1"]);
}

#[test]
fn only_data_centre_offers_no_server() {
    let mut registry = Registry::default();
    put(&mut registry, "s1", "a", Stage::Ready);
    registry.set_evacuated(["a".into()]);
    assert!(usable(&registry).is_empty());
}

#[test]
fn server_that_registers_during_an_evacuation_is_not_offered() {
    let mut registry = Registry::default();
    put(&mut registry, "s1", "a", Stage::Ready);
    registry.set_evacuated(["b".into()]);
    let late = put(&mut registry, "s2", "b", Stage::Ready);
    assert!(!registry.accepts_new_work(&late));
    assert_eq!(usable(&registry), ["s1"]);
}

#[test]
fn unknown_data_centre_changes_no_server() {
    let mut registry = Registry::default();
    let server = put(&mut registry, "s1", "a", Stage::Ready);
    registry.set_evacuated(["nowhere".into()]);
    assert!(registry.accepts_new_work(&server));
    assert_eq!(usable(&registry), ["s1"]);
}

#[test]
fn draining_server_stays_excluded_when_the_evacuation_ends() {
    let mut registry = Registry::default();
    let server = put(&mut registry, "s1", "a", Stage::Draining);
    registry.set_evacuated(["a".into()]);
    assert!(!registry.is_ready_but_evacuated(&server));
    registry.set_evacuated([]);
    assert!(!registry.accepts_new_work(&server));
}
