//! Random schedules of faults and edits over the real control parts.
//!
//! The safety rules are checked inside the world after every order that a server
//! follows. `VERBENA_CASES` sets the number of schedules, `VERBENA_SEED` the seed.
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use world::{World, document_text};

const DEFAULT_CASES: u32 = 96;
const DEFAULT_SEED: u64 = 20_261_204;
/// From the end of all faults until everything has settled.
const SETTLE_LIMIT_MS: u64 = 20_000;

const SERVERS: [&str; 6] = ["s1", "s2", "s3", "s4", "s5", "s6"];
const CENTRES: [&str; 3] = ["a", "b", "c"];
const PLACES: [&str; 4] = ["a", "b", "c", "store"];

#[derive(Clone, Debug)]
enum Step {
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

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1_u64..1_500).prop_map(Step::Run),
        1 => (0..SERVERS.len()).prop_map(Step::KillServer),
        2 => (0..SERVERS.len()).prop_map(Step::StartServer),
        2 => (0..SERVERS.len(), 10_u64..4_000).prop_map(|(s, ms)| Step::PauseServer(s, ms)),
        1 => (0..4_usize).prop_map(Step::KillDaemon),
        2 => (0..4_usize).prop_map(Step::StartDaemon),
        2 => (0..4_usize, 10_u64..4_000).prop_map(|(d, ms)| Step::PauseDaemon(d, ms)),
        1 => (0..4_usize, 0..4_usize).prop_map(|(a, b)| Step::Cut(a, b)),
        2 => Just(Step::Heal),
        2 => any::<bool>().prop_map(Step::StoreDown),
        1 => (0_u32..500).prop_map(Step::LostReplies),
        1 => (0_u32..100).prop_map(Step::Loss),
        1 => (0_u32..200, 1_u64..3_000).prop_map(|(chance, ms)| Step::Late(chance, ms)),
        2 => any::<u8>().prop_map(Step::Edit),
    ]
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
        Step::StartDaemon(_) => {}
        Step::PauseDaemon(at, ms) => world.pause_daemon(*at, *ms),
        Step::Cut(a, b) if a != b => world.cut(PLACES[*a], PLACES[*b]),
        Step::Cut(..) => {}
        Step::Heal => world.heal(),
        Step::StoreDown(is_down) => world.store.is_down = *is_down,
        Step::LostReplies(permille) => world.store.lost_reply_permille = *permille,
        Step::Loss(permille) => world.loss_permille = *permille,
        Step::Late(permille, ms) => {
            world.late_permille = *permille;
            world.late_ms = *ms;
        }
        Step::Edit(leaving) if !world.store.is_down => world.edit(&text(*leaving, all_check)),
        Step::Edit(_) => {}
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

fn run_schedule(seed: u64, all_check: bool, steps: &[Step]) {
    let mut world = World::new(seed);
    world.edit(&text(0, all_check));
    world.start_all();
    world.run_for(4_000);
    for step in steps {
        apply(&mut world, step, all_check);
    }
    end_faults(&mut world);
    world.run_until_settled(SETTLE_LIMIT_MS);
}

fn from_env(key: &str, default: u64) -> u64 {
    std::env::var(key).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_cases(all_check: bool) {
    let cases = from_env("VERBENA_CASES", DEFAULT_CASES.into());
    let seed = from_env("VERBENA_SEED", DEFAULT_SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: u32::try_from(cases).unwrap(),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), prop::collection::vec(step(), 1..60));
    let outcome = runner.run(&strategy, |(world_seed, steps)| {
        run_schedule(world_seed, all_check, &steps);
        Ok(())
    });
    if let Err(error) = outcome {
        let found = match error {
            TestError::Fail(reason, (world_seed, steps)) => {
                format!("{reason}; world seed {world_seed}, steps {steps:?}")
            }
            TestError::Abort(reason) => reason.to_string(),
        };
        panic!("VERBENA_SEED={seed} VERBENA_CASES={cases}: {found}");
    }
}

#[test]
fn servers_that_check() {
    run_cases(true);
}

#[test]
fn servers_that_do_not_check() {
    run_cases(false);
}
