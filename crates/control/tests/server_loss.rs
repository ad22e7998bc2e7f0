//! A key is served again within 3 s of the loss of its server, whatever else fails with it.
mod world;

use world::{World, document_text, name};

const SERVERS: [(&str, &str, &str, bool); 4] = [
    ("s1", "a", "serving", true),
    ("s2", "b", "serving", true),
    ("s3", "c", "serving", true),
    ("s4", "b", "serving", true),
];
const MAX_GAP_MS: u64 = 3_000;

fn settled_world(seed: u64) -> World {
    let mut world = World::new(seed);
    world.edit(&document_text(12, &SERVERS));
    world.start_all();
    world.run_until_settled(10_000);
    world
}

fn assert_served_within_limit(world: &mut World, shards: &[u32]) {
    let start_ms = world.now_ms;
    while shards.iter().any(|shard| world.owner(*shard).is_none()) {
        world.run_for(10);
        assert!(world.now_ms - start_ms <= MAX_GAP_MS, "a shard had no owner for {MAX_GAP_MS} ms");
    }
}

#[test]
fn first_assignment() {
    let world = settled_world(1);
    let held: usize = SERVERS.iter().map(|(server, ..)| world.shards_of(server).len()).sum();
    assert_eq!(held, 12);
}

#[test]
fn one_server() {
    let mut world = settled_world(2);
    let shards = world.shards_of("s2");
    world.kill_server("s2");
    assert_served_within_limit(&mut world, &shards);
    world.run_until_settled(10_000);
}

#[test]
fn one_server_without_store() {
    let mut world = settled_world(3);
    world.store.is_down = true;
    world.run_for(60_000);
    let shards = world.shards_of("s1");
    world.kill_server("s1");
    assert_served_within_limit(&mut world, &shards);
}

#[test]
fn controller_only() {
    let mut world = settled_world(4);
    let controller = world.controller().unwrap();
    world.reset_gaps();
    world.kill_daemon(controller);
    world.run_for(5_000);
    assert_eq!(world.gaps.max_ms, 0, "a change of controller must not stop a server");
    assert!(world.controller().is_some_and(|next| next != controller));
}

#[test]
fn controller_without_store() {
    let mut world = settled_world(5);
    world.store.is_down = true;
    world.run_for(10_000);
    world.reset_gaps();
    let controller = world.controller().unwrap();
    world.kill_daemon(controller);
    world.run_for(5_000);
    assert_eq!(world.gaps.max_ms, 0);
    let shards = world.shards_of("s3");
    world.kill_server("s3");
    assert_served_within_limit(&mut world, &shards);
}

#[test]
fn server_with_controller() {
    let mut world = settled_world(6);
    let controller = world.controller().unwrap();
    let shards = world.shards_of("s1");
    world.kill_daemon(controller);
    world.kill_server("s1");
    assert_served_within_limit(&mut world, &shards);
    world.run_until_settled(10_000);
}

#[test]
fn whole_data_centre() {
    for (seed, data_centre) in [(7, "a"), (8, "b"), (9, "c")] {
        let mut world = settled_world(seed);
        let mut shards = Vec::new();
        for (server, ..) in
            SERVERS.iter().filter(|(_, server_data_centre, ..)| *server_data_centre == data_centre)
        {
            shards.extend(world.shards_of(server));
            world.kill_server(server);
        }
        for index in 0..world.daemons.len() {
            if world.daemons[index].data_centre == name(data_centre) {
                world.kill_daemon(index);
            }
        }
        assert_served_within_limit(&mut world, &shards);
    }
}

#[test]
fn frozen_server_returns() {
    let mut world = settled_world(10);
    let shards = world.shards_of("s2");
    world.pause_server("s2", 8_000);
    world.run_for(7_000);
    for shard in &shards {
        assert_ne!(world.owner(*shard), Some(name("s2")));
    }
    world.run_for(1_000);
    world.run_until_settled(10_000);
}

#[test]
fn controller_lost_during_move() {
    for seed in 0..60 {
        let mut world = settled_world(100 + seed);
        let mut servers = SERVERS.to_vec();
        servers[0].2 = "leaving";
        servers.push(("s5", "a", "arriving", true));
        world.edit(&document_text(12, &servers));
        world.run_for(200 + seed * 2);
        let controller = world.controller().unwrap();
        world.kill_daemon(controller);
        let shards: Vec<u32> = (0..12).collect();
        world.run_for(MAX_GAP_MS);
        assert_served_within_limit(&mut world, &shards);
        assert!(world.gaps.max_ms <= MAX_GAP_MS, "seed {seed}");
        world.run_until_settled(10_000);
    }
}
