//! Whole sessions, from a fault until everything has settled, as golden files.
//!
//! `VERBENA_GOLDEN=1` writes the files anew.
mod world;

use std::path::PathBuf;

use world::{Faults, World};

const NO_FAULTS: Faults =
    Faults { lose: 0, apply_late: 0, cut: 0, crash: 0, drain: 0, depose: 0, store_down: 0 };
const SEED: u64 = 42;
/// How long the first assignment takes, with margin.
const BEGIN_MS: u64 = 2_000;
/// How long a session goes on after its fault: a lost leader's grants run out within it.
const SESSION_MS: u64 = 13_000;

/// A session whose servers hold all keys, without a trace of how that came.
fn session() -> World {
    let mut world = World::new(SEED, NO_FAULTS);
    world.set_loaded(false);
    world.run(BEGIN_MS).unwrap();
    world.trace.clear();
    world
}

#[track_caller]
fn assert_golden(file: &str, world: &mut World) {
    world.run(SESSION_MS).unwrap();
    let trace = std::mem::take(&mut world.trace);
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if std::env::var("VERBENA_GOLDEN").is_ok() {
        std::fs::write(&path, &trace).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("there is a golden file");
    for (number, (line, expected)) in (1..).zip(trace.lines().zip(golden.lines())) {
        assert_eq!(line, expected, "{file}:{number}");
    }
    assert_eq!(trace.lines().count(), golden.lines().count(), "{file}");
}

#[test]
fn first_assignment() {
    let mut world = World::new(SEED, NO_FAULTS);
    world.set_loaded(false);
    assert_golden("first_assignment.txt", &mut world);
}

#[test]
fn server_drains() {
    let mut world = session();
    world.drain("s2");
    assert_golden("server_drains.txt", &mut world);
}

#[test]
fn server_starts_again() {
    let mut world = session();
    world.crash("s2");
    assert_golden("server_starts_again.txt", &mut world);
}

#[test]
fn server_cut_off() {
    let mut world = session();
    world.cut("s2", true);
    assert_golden("server_cut_off.txt", &mut world);
}

#[test]
fn leader_lost() {
    let mut world = session();
    world.depose();
    assert_golden("leader_lost.txt", &mut world);
}

#[test]
fn store_down_and_server_cut_off() {
    let mut world = session();
    world.take_store_down(1_500);
    world.run(2_200).unwrap();
    world.cut("s2", true);
    assert_golden("store_down_and_server_cut_off.txt", &mut world);
}
