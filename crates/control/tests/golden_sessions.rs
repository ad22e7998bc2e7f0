//! Guards against unintended changes of the actions that follow an edit or a failure.
//!
//! The actions of each session, until all has settled, are compared with a golden file.
//! `VERBENA_GOLDEN=1` rewrites the golden files.
mod world;

use std::path::PathBuf;

use world::{World, document_text};

const SETTLE_TIMEOUT_MS: u64 = 20_000;
const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", true), ("s3", "c", "serving", true)];

#[track_caller]
fn assert_golden(file: &str, world: &mut World) {
    let trace = world.trace.take().expect("the session was traced").join("\n") + "\n";
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

/// Returns a world with six settled shards, whose actions are traced from now on.
fn settled_session() -> World {
    let mut world = World::new(42);
    world.edit(&document_text(6, &SERVERS));
    world.start_all();
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    world.trace = Some(Vec::new());
    world
}

/// Returns a session in which one server has just started to leave and another to arrive.
fn move_session() -> (World, Vec<(&'static str, &'static str, &'static str, bool)>) {
    let mut world = settled_session();
    world.trace_line("-- the document says that s2 leaves and s4 arrives");
    let mut servers = SERVERS.to_vec();
    servers[1].2 = "leaving";
    servers.push(("s4", "b", "arriving", true));
    world.edit(&document_text(6, &servers));
    (world, servers)
}

#[test]
fn first_document() {
    let mut world = World::new(42);
    world.trace = Some(Vec::new());
    world.edit(&document_text(6, &SERVERS));
    world.start_all();
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert_golden("first_document.txt", &mut world);
}

#[test]
fn one_leaves_one_arrives() {
    let (mut world, _) = move_session();
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert_golden("one_leaves_one_arrives.txt", &mut world);
}

#[test]
fn second_edit_takes_over() {
    let (mut world, mut servers) = move_session();
    world.run_for(245);
    world.trace_line("-- the document says that s2 stays and s3 leaves");
    servers[1].2 = "serving";
    servers[2].2 = "leaving";
    world.edit(&document_text(6, &servers));
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert!(world.shards_of("s3").is_empty());
    assert_golden("second_edit_takes_over.txt", &mut world);
}

#[test]
fn unfenced_server_leaves() {
    let mut servers = SERVERS.to_vec();
    servers[1].3 = false;
    let mut world = World::new(43);
    world.edit(&document_text(6, &servers));
    world.start_all();
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    world.trace = Some(Vec::new());
    world.trace_line("-- the document says that s2, which checks no fence, leaves");
    servers[1].2 = "leaving";
    world.edit(&document_text(6, &servers));
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert_golden("unfenced_server_leaves.txt", &mut world);
}

#[test]
fn server_lost_without_store() {
    let mut world = settled_session();
    world.trace_line("-- the store goes down, then s1 is lost");
    world.store.is_down = true;
    world.kill_server("s1");
    world.run_for(4_000);
    world.trace_line("-- the store is back");
    world.store.is_down = false;
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert_golden("server_lost_without_store.txt", &mut world);
}

#[test]
fn controller_lost() {
    let mut world = settled_session();
    let controller = world.controller().expect("there is a controller");
    world.trace_line("-- the controller is lost");
    world.kill_daemon(controller);
    world.run_for(500);
    world.run_until_settled(SETTLE_TIMEOUT_MS);
    assert_golden("controller_lost.txt", &mut world);
}
