//! Schedules of faults and edits, random ones and ones that once broke a rule.

use super::{World, document_text};

/// From the end of all faults until everything has settled.
pub const SETTLE_LIMIT_MS: u64 = 20_000;

pub const SERVERS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];
const CENTRES: [&str; 3] = ["a", "b", "c"];
const PLACES: [&str; 4] = ["a", "b", "c", "store"];

#[derive(Clone, Debug)]
pub enum Step {
    Run(u64),
    KillServer(usize),
    StartServer(usize),
    PauseServer(usize, u64),
    KillDaemon(usize),
    StartDaemon(usize),
    PauseDaemon(usize, u64),
    Cut(usize, usize),
    Heal,
    StoreDown(bool),
    LostReplies(u32),
    Loss(u32),
    Late(u32, u64),
    Edit(u8),
}

/// A document in which each bit of `leaving` makes one server leave; one always serves.
fn text(leaving: u8, all_check: bool) -> String {
    let servers: Vec<(&str, &str, &str, bool)> = SERVERS
        .iter()
        .enumerate()
        .map(|(at, server)| {
            let is_leaving = at > 0 && leaving & (1 << at) != 0;
            let state = if is_leaving { "leaving" } else { "serving" };
            (*server, CENTRES[at % 3], state, all_check || at % 3 != 1)
        })
        .collect();
    document_text(8, &servers)
}

fn apply(world: &mut World, step: &Step, all_check: bool) {
    match step {
        Step::Run(ms) => world.run_for(*ms),
        Step::KillServer(at) => world.kill_server(SERVERS[*at]),
        Step::StartServer(at) => world.start_server(SERVERS[*at]),
        Step::PauseServer(at, ms) => world.pause_server(SERVERS[*at], *ms),
        Step::KillDaemon(at) => world.kill_daemon(*at),
        Step::StartDaemon(at) if world.daemons[*at].control.is_none() => world.start_daemon(*at),
        Step::PauseDaemon(at, ms) => world.pause_daemon(*at, *ms),
        Step::Cut(a, b) if a != b => world.cut(PLACES[*a], PLACES[*b]),
        Step::Heal => world.heal(),
        Step::StoreDown(is_down) => world.store.is_down = *is_down,
        Step::LostReplies(permille) => world.store.lost_reply_permille = *permille,
        Step::Loss(permille) => world.loss_permille = *permille,
        Step::Late(permille, ms) => {
            world.late_permille = *permille;
            world.late_ms = *ms;
        }
        Step::Edit(leaving) if !world.store.is_down => world.edit(&text(*leaving, all_check)),
        Step::StartDaemon(_) | Step::Cut(..) | Step::Edit(_) => {}
    }
}

fn end_faults(world: &mut World) {
    world.heal();
    world.store.is_down = false;
    world.store.lost_reply_permille = 0;
    world.loss_permille = 0;
    world.late_permille = 0;
    for at in 0..world.daemons.len() {
        world.daemons[at].paused_until_ms = world.now_ms;
        if world.daemons[at].control.is_none() {
            world.start_daemon(at);
        }
    }
    for server in SERVERS {
        let at = world.server_at(server);
        world.servers[at].paused_until_ms = world.now_ms;
        if !world.servers[at].is_alive {
            world.start_server(server);
        }
    }
}

pub fn run_schedule(seed: u64, all_check: bool, steps: &[Step]) {
    let mut world = World::new(seed);
    let is_traced = std::env::var("VERBENA_TRACE").is_ok();
    if is_traced {
        world.trace = Some(Vec::new());
        world.traces_orders = true;
    }
    world.edit(&text(0, all_check));
    world.start_all();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        world.run_for(4_000);
        for step in steps {
            world.note(&format!("-- {step:?}"));
            apply(&mut world, step, all_check);
        }
        world.note("-- faults end");
        end_faults(&mut world);
        world.run_until_settled(SETTLE_LIMIT_MS);
    }));
    if let Err(panic) = outcome {
        for line in world.trace.iter().flatten() {
            println!("{line}");
        }
        std::panic::resume_unwind(panic);
    }
}
