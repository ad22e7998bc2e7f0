//! A planned move lets running requests finish, but no request holds its shard forever.
mod world;

use world::{World, document_text};

const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", true), ("s3", "c", "serving", true)];
/// The timeout of the request class of all requests (5 s) plus the length of a grant (1.5 s).
const MAX_MOVE_MS: u64 = 5_000 + 1_500;

/// Returns a world in which s1 has just started to leave, and a request that it still runs.
fn leaving_world() -> (World, (usize, lease::ShardEpoch)) {
    let mut world = World::new(5);
    world.edit(&document_text(6, &SERVERS));
    world.start_all();
    world.run_until_settled(10_000);
    let shard = world.shards_of("s1")[0];
    let request = world.begin_request(shard);
    let mut servers = SERVERS.to_vec();
    servers[0].2 = "leaving";
    world.edit(&document_text(6, &servers));
    (world, request)
}

#[test]
fn request_finishes_after_several_grants() {
    let (mut world, request) = leaving_world();
    world.run_for(4_000);
    assert!(world.end_request(request), "the request ran under a renewed grant");
    world.run_until_settled(2_000);
    assert!(world.shards_of("s1").is_empty());
}

#[test]
fn request_that_never_ends() {
    let (mut world, request) = leaving_world();
    world.run_until_settled(MAX_MOVE_MS + 1_000);
    assert!(world.shards_of("s1").is_empty());
    assert!(!world.end_request(request), "its result must not count any more");
}

/// Guards against a renewal that a server carries out after it reported that its grant had ended.
#[test]
fn late_renewal_while_releasing() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.edit(&document_text(6, &SERVERS));
        world.start_all();
        world.run_until_settled(10_000);
        world.begin_request(world.shards_of("s1")[0]);
        let mut servers = SERVERS;
        servers[0].2 = "leaving";
        world.edit(&document_text(6, &servers));
        world.run_for(4_500);
        world.late_permille = 800;
        world.max_delay_ms = 600;
        world.faults.queue_permille = 500;
        world.faults.max_queue_ms = 2_500;
        world.run_for(500 + seed % 600);
        world.late_permille = 0;
        world.faults.queue_permille = 0;
        world.run_for(3_000);
    }
}
