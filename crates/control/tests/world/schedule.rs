//! Runs schedules of faults and edits, both random ones and those of known regressions.

use super::{World, document_text};

/// How long everything may take to settle after the faults end.
pub const SETTLE_TIMEOUT_MS: u64 = 20_000;

pub const SERVERS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const NETWORK_LOCATIONS: [&str; 4] = ["a", "b", "c", "store"];

/// One step of a schedule; indices refer to daemons, to [`SERVERS`] or to network locations.
#[derive(Clone, Debug)]
pub enum Step {
    /// Runs for this many milliseconds.
    Run(u64),
    KillServer(usize),
    StartServer(usize),
    /// Pauses a server for this many milliseconds.
    PauseServer(usize, u64),
    KillDaemon(usize),
    StartDaemon(usize),
    /// Pauses a daemon for this many milliseconds.
    PauseDaemon(usize, u64),
    /// Cuts the network between two locations.
    Cut(usize, usize),
    /// Ends all network cuts.
    Heal,
    StoreDown(bool),
    /// Sets the probability, in 1/1000, that the store's reply to a write is lost.
    LostReplies(u32),
    /// Sets the probability, in 1/1000, that a message is lost.
    Loss(u32),
    /// Sets the probability of message delays, in 1/1000, and their maximum in milliseconds.
    Late(u32, u64),
    /// Edits the document; each bit makes one server leave.
    Edit(u8),
}

/// Returns the text of a document in which each bit of `leaving` makes one server leave.
///
/// The first server always serves. With `all_fenced`, every server checks fences; otherwise
/// those of data centre `b` do not.
fn ini_text(leaving: u8, all_fenced: bool) -> String {
    let servers: Vec<(&str, &str, &str, bool)> = SERVERS
        .iter()
        .enumerate()
        .map(|(index, server)| {
            let is_leaving = index > 0 && leaving & (1 << index) != 0;
            let state = if is_leaving { "leaving" } else { "serving" };
            (*server, DATA_CENTRES[index % 3], state, all_fenced || index % 3 != 1)
        })
        .collect();
    document_text(8, &servers)
}

fn apply(world: &mut World, step: &Step, all_fenced: bool) {
    match step {
        Step::Run(ms) => world.run_for(*ms),
        Step::KillServer(index) => world.kill_server(SERVERS[*index]),
        Step::StartServer(index) => world.start_server(SERVERS[*index]),
        Step::PauseServer(index, ms) => world.pause_server(SERVERS[*index], *ms),
        Step::KillDaemon(index) => world.kill_daemon(*index),
        Step::StartDaemon(i) if world.daemons[*i].control.is_none() => world.start_daemon(*i),
        Step::PauseDaemon(index, ms) => world.pause_daemon(*index, *ms),
        Step::Cut(a, b) if a != b => world.cut(NETWORK_LOCATIONS[*a], NETWORK_LOCATIONS[*b]),
        Step::Heal => world.heal(),
        Step::StoreDown(is_down) => world.store.is_down = *is_down,
        Step::LostReplies(permille) => world.store.lost_reply_permille = *permille,
        Step::Loss(permille) => world.loss_permille = *permille,
        Step::Late(permille, ms) => {
            world.late_permille = *permille;
            world.max_delay_ms = *ms;
        }
        Step::Edit(leaving) if !world.store.is_down => world.edit(&ini_text(*leaving, all_fenced)),
        Step::StartDaemon(_) | Step::Cut(..) | Step::Edit(_) => {}
    }
}

fn end_faults(world: &mut World) {
    world.heal();
    world.store.is_down = false;
    world.store.lost_reply_permille = 0;
    world.loss_permille = 0;
    world.late_permille = 0;
    for index in 0..world.daemons.len() {
        world.daemons[index].resumes_at_ms = world.now_ms;
        if world.daemons[index].control.is_none() {
            world.start_daemon(index);
        }
    }
    for server in SERVERS {
        let index = world.server_index(server);
        world.servers[index].resumes_at_ms = world.now_ms;
        if !world.servers[index].is_alive {
            world.start_server(server);
        }
    }
}

/// Runs the steps, ends all faults, and fails unless everything settles in time.
///
/// With `VERBENA_TRACE` set, a failure prints the trace.
pub fn run_schedule(seed: u64, all_fenced: bool, steps: &[Step]) {
    let mut world = World::new(seed);
    let is_traced = std::env::var("VERBENA_TRACE").is_ok();
    if is_traced {
        world.trace = Some(Vec::new());
        world.traces_reports = true;
    }
    world.edit(&ini_text(0, all_fenced));
    world.start_all();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        world.run_for(4_000);
        for step in steps {
            world.trace_line(&format!("-- {step:?}"));
            apply(&mut world, step, all_fenced);
        }
        world.trace_line("-- faults end");
        end_faults(&mut world);
        world.run_until_settled(SETTLE_TIMEOUT_MS);
    }));
    if let Err(panic) = outcome {
        for line in world.trace.iter().flatten() {
            println!("{line}");
        }
        std::panic::resume_unwind(panic);
    }
}
