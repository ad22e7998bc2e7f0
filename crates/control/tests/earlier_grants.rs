//! A new controller waits for the longest grants that earlier controllers may have sent.
mod world;

use world::{World, document_text, name};

const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", true), ("s3", "c", "serving", true)];

fn text(grant_s: u64) -> String {
    let grant = format!("[service]\nkeep_when_cut_off = {grant_s}s\n");
    document_text(6, &SERVERS).replace("[service]\n", &grant)
}

/// Guards against a second owner while a longer grant of an earlier controller is in force.
///
/// The simulated world checks the rule `one-owner`.
#[test]
fn silent_server_has_longer_earlier_grant() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.edit(&text(8));
        world.start_all();
        world.run_until_settled(20_000);
        world.edit(&text(1));
        world.run_for(100);
        let controller = world.controller().expect("a controller");
        world.kill_daemon(controller);
        world.run_for(1_500);
        world.start_daemon(controller);
        world.run_for(1_000);
        world.cut("c", "a");
        world.cut("c", "b");
        world.run_for(10_000);
        world.heal();
        world.run_until_settled(20_000);
    }
}

/// Guards against a record that shortens grants while its writer sends longer ones again.
#[test]
fn shorter_record_takes_effect_late() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.edit(&text(8));
        world.start_all();
        world.run_until_settled(20_000);
        let controller = world.controller().expect("a controller");
        let data_centre = world.daemons[controller].data_centre.clone();
        world.partitions.insert((name("store"), data_centre));
        world.edit(&text(1));
        world.run_for(8_200);
        world.edit(&text(8));
        world.run_for(400);
        world.kill_daemon(controller);
        world.heal();
        world.edit(&text(1));
        world.pause_server("s3", 8_000);
        world.run_for(10_000);
        world.start_daemon(controller);
        world.run_until_settled(20_000);
    }
}
