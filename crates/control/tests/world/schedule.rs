//! Runs schedules of faults and edits, both random ones and those of known regressions.

use super::faults::Faults;
use super::{World, document_text, name};

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
    /// Sets the probability that a server queues an order, in 1/1000, and the longest such time.
    Queue(u32, u64),
    /// Makes the servers of the set bits check orders on arrival, but not when they carry them out.
    CheckOnArrival(u8),
    /// Sets the probability, in 1/1000, that a server's answer is a copy of its previous one.
    Copies(u32),
    /// Sets the probability, in 1/1000, that a daemon reconciles only after its next event.
    Batch(u32),
    /// Stops the controller, which returns its promises.
    StopController,
    KillController,
    /// Runs a request on a shard for this many milliseconds.
    Request(u32, u64),
    /// Sets the length of grants, in seconds.
    GrantLength(u64),
    /// Gives a server another address, where another process of it runs.
    Relocate(usize),
}

/// Returns the text of a document in which each bit of `leaving` makes one server leave.
///
/// The first server always serves. With `all_fenced`, every server checks fences; otherwise
/// those of data centre `b` do not.
fn ini_text(site: &Site, all_fenced: bool) -> String {
    let servers: Vec<(&str, &str, &str, bool)> = SERVERS
        .iter()
        .enumerate()
        .map(|(index, server)| {
            let is_leaving = index > 0 && site.leaving & (1 << index) != 0;
            let state = if is_leaving { "leaving" } else { "serving" };
            (*server, DATA_CENTRES[index % 3], state, all_fenced || index % 3 != 1)
        })
        .collect();
    let mut text = document_text(8, &servers);
    if let Some(grant_s) = site.grant_s {
        let section = "prepare = 200ms\n";
        text = text.replace(section, &format!("{section}keep_when_cut_off = {grant_s}s\n"));
    }
    for (index, count) in site.relocations.iter().enumerate() {
        let port = format!("127.0.0.1:{}", 9000 + index);
        text = text.replace(&port, &format!("127.0.0.1:{}", 9000 + index + 10 * count));
    }
    text
}

/// What the newest document says.
#[derive(Debug, Default)]
struct Site {
    leaving: u8,
    grant_s: Option<u64>,
    /// By server, how often its address has changed.
    relocations: [usize; SERVERS.len()],
}

fn apply(world: &mut World, site: &mut Site, step: &Step, all_fenced: bool) {
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
        Step::Edit(_) | Step::GrantLength(_) | Step::Relocate(_) if !world.store.is_down => {
            match step {
                Step::Edit(leaving) => site.leaving = *leaving,
                Step::GrantLength(grant_s) => site.grant_s = Some(*grant_s),
                Step::Relocate(index) => site.relocations[*index] += 1,
                _ => {}
            }
            world.edit(&ini_text(site, all_fenced));
        }
        Step::Queue(permille, ms) => {
            world.faults.queue_permille = *permille;
            world.faults.max_queue_ms = *ms;
        }
        Step::CheckOnArrival(bits) => {
            let servers = SERVERS.iter().enumerate().filter(|(index, _)| bits & (1 << index) != 0);
            world.faults.check_on_arrival = servers.map(|(_, server)| name(server)).collect();
        }
        Step::Copies(permille) => world.faults.copy_permille = *permille,
        Step::Batch(permille) => world.faults.batch_permille = *permille,
        Step::StopController | Step::KillController => match (world.controller(), step) {
            (Some(index), Step::StopController) => world.stop_daemon(index),
            (Some(index), _) => world.kill_daemon(index),
            (None, _) => {}
        },
        Step::Request(shard, ms) => world.run_request(*shard, *ms),
        Step::StartDaemon(_)
        | Step::Cut(..)
        | Step::Edit(_)
        | Step::GrantLength(_)
        | Step::Relocate(_) => {}
    }
}

fn end_faults(world: &mut World) {
    world.heal();
    world.store.is_down = false;
    world.store.lost_reply_permille = 0;
    world.loss_permille = 0;
    world.late_permille = 0;
    world.faults = Faults::default();
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
    let mut site = Site::default();
    world.edit(&ini_text(&site, all_fenced));
    world.start_all();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        world.run_for(4_000);
        for step in steps {
            world.trace_line(&format!("-- {step:?}"));
            apply(&mut world, &mut site, step, all_fenced);
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
