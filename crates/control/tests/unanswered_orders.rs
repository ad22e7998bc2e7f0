//! A server may carry out an unanswered order after newer ones, without checking it again.
mod world;

use world::{World, document_text, name};

const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", true), ("s3", "c", "serving", true)];

fn text(state_of_s1: &str) -> String {
    let mut servers = SERVERS;
    servers[0].2 = state_of_s1;
    let text = document_text(6, &servers);
    text.replace("[service]\n", "[service]\nkeep_when_cut_off = 4s\n")
}

/// Returns a settled world in which all servers have just queued the orders that they got.
fn world_with_queued_orders(seed: u64) -> World {
    let mut world = World::new(seed);
    world.edit(&text("serving"));
    world.start_all();
    world.run_until_settled(10_000);
    world.faults.check_on_arrival = SERVERS.iter().map(|server| name(server.0)).collect();
    world.faults.queue_permille = 1_000;
    world.faults.max_queue_ms = 3_000;
    world.run_for(300);
    world.faults.queue_permille = 0;
    world
}

/// Guards against two owners when a grant of the controller is carried out after a release.
#[test]
fn unanswered_grant_after_release() {
    for seed in 0..40 {
        let mut world = world_with_queued_orders(seed);
        world.edit(&text("leaving"));
        world.run_for(5_000);
        world.run_until_settled(10_000);
    }
}

/// Guards against two owners when an earlier controller's grant is carried out after a release.
#[test]
fn unanswered_grant_of_earlier_controller() {
    for seed in 0..40 {
        let mut world = world_with_queued_orders(seed);
        let controller = world.controller().expect("a controller");
        world.stop_daemon(controller);
        world.edit(&text("leaving"));
        world.run_for(5_000);
        world.start_daemon(controller);
        world.run_until_settled(10_000);
    }
}

/// Guards against an epoch that falls when a successor is granted a shard after it reported none.
#[test]
fn unanswered_grant_of_earlier_controller_to_successor() {
    for seed in 0..100 {
        let mut world = World::new(seed);
        let servers = [("s1", "a", "serving", true), ("s2", "c", "serving", true)];
        world.edit(&document_text(6, &servers));
        world.start_all();
        world.run_until_settled(10_000);
        world.faults.check_on_arrival = servers.iter().map(|server| name(server.0)).collect();
        world.pause_server("s1", 2_700);
        world.run_for(1_290);
        world.store.is_down = true;
        world.faults.queue_permille = 1_000;
        world.faults.max_queue_ms = 1_400;
        world.run_for(60 + seed % 60);
        let controller = world.controller().expect("a controller");
        world.stop_daemon(controller);
        world.start_daemon(controller);
        world.faults.queue_permille = 0;
        world.run_for(300 + 10 * (seed % 40));
        world.cut("c", "a");
        world.cut("c", "b");
        world.run_for(3_000);
        world.heal();
        world.store.is_down = false;
        world.run_until_settled(20_000);
    }
}
