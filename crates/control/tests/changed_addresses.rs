//! A process at another address does not show that the one at the earlier address has ended.
mod world;

use world::{World, document_text};

const SERVERS: [(&str, &str, &str, bool); 3] =
    [("s1", "a", "serving", true), ("s2", "b", "serving", true), ("s3", "c", "serving", true)];

/// Guards against a second owner while the process at a server's earlier address has its grant.
#[test]
fn earlier_process_runs_on() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        let text = document_text(6, &SERVERS);
        world.edit(&text);
        world.start_all();
        world.run_until_settled(10_000);
        world.edit(&text.replace("127.0.0.1:9001", "127.0.0.1:9101"));
        world.run_for(3_000);
        world.run_until_settled(10_000);
    }
}
