//! A daemon may send to a server that checks no fence only under a lease and a current table.
mod world;

use world::{World, document_text, name};

const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", false), ("s3", "c", "serving", true)];

/// Guards against two owners when a partitioned daemon reconnects with an old table.
///
/// Messages get lost after the reconnection, so that the table stays old for a while.
///
/// The simulated world checks the rule `one-owner`.
#[test]
fn old_table_gets_no_lease() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        world.edit(&document_text(12, &SERVERS));
        world.start_all();
        world.run_until_settled(10_000);
        assert!(!world.shards_of("s2").is_empty());
        world.cut("b", "a");
        world.cut("b", "c");
        world.run_for(4_000);
        assert!((0..12).all(|shard| world.owner(shard) != Some(name("s2"))));
        world.heal();
        world.loss_permille = 400;
        world.run_for(3_000);
        world.loss_permille = 0;
        world.run_until_settled(20_000);
    }
}

/// Guards against a lease by the old table that is extended after its server has restarted.
#[test]
fn no_lease_between_restart_and_new_table() {
    for seed in 0..400 {
        let mut world = World::new(seed);
        world.edit(&document_text(12, &SERVERS));
        world.start_all();
        world.run_until_settled(10_000);
        let mut servers = SERVERS;
        servers[1].2 = "leaving";
        world.edit(&document_text(12, &servers));
        world.run_for(30);
        world.start_server("s2");
        world.faults.batch_permille = 900;
        world.run_for(1 + seed);
        world.cut("c", "a");
        world.cut("c", "b");
        world.faults.batch_permille = 0;
        world.run_for(3_000);
    }
}

/// Guards against a restarted daemon that gets no lease after a late heartbeat of its predecessor.
#[test]
fn lease_after_late_heartbeat_of_earlier_process() {
    for seed in [521, 718, 1508, 2183] {
        let mut world = World::new(seed);
        world.edit(&document_text(6, &SERVERS));
        world.start_all();
        world.run_until_settled(10_000);
        let controller = world.controller().expect("a controller");
        world.late_permille = 300;
        world.max_delay_ms = 1_500;
        world.stop_daemon(controller);
        world.run_for(100 + seed % 600);
        world.kill_daemon(0);
        world.start_daemon(0);
        world.run_for(1_600);
        world.late_permille = 0;
        world.start_daemon(controller);
        world.run_for(6_000);
        assert!(world.has_route_lease(0), "seed {seed}");
    }
}
