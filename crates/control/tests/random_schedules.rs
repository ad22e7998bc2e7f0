//! Runs random schedules of faults and edits against the real control state machines.
//!
//! The simulated world checks the safety rules after every order that a server handles, and
//! everything must settle after the faults end.
//!
//! `VERBENA_CASES` sets the number of schedules and `VERBENA_SEED` the seed; the value
//! `random` draws a seed.
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use world::schedule::{SERVERS, Step, run_schedule};

const DEFAULT_CASES: u32 = 96;
const DEFAULT_SEED: u64 = 20_261_204;

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

/// Draws steps after which orders and grants of earlier controllers are still in force.
fn succession_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => step(),
        3 => (100_u32..600, 100_u64..5_000).prop_map(|(chance, ms)| Step::Queue(chance, ms)),
        3 => prop_oneof![Just(0), Just(u8::MAX), any::<u8>()].prop_map(Step::CheckOnArrival),
        1 => (0_u32..300).prop_map(Step::Copies),
        2 => Just(Step::StopController),
        2 => Just(Step::KillController),
        6 => (0..4_usize).prop_map(Step::StartDaemon),
        2 => (0..SERVERS.len(), 1_000_u64..9_000).prop_map(|(s, ms)| Step::PauseServer(s, ms)),
        4 => (0_u32..8, 10_u64..8_000).prop_map(|(shard, ms)| Step::Request(shard, ms)),
        4 => prop_oneof![Just(1), Just(2), Just(8)].prop_map(Step::GrantLength),
        1 => (0..SERVERS.len()).prop_map(Step::Relocate),
        1 => (0_u32..900).prop_map(Step::Batch),
    ]
}

fn from_env(key: &str, default: u64) -> u64 {
    std::env::var(key).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the seed, which is drawn for `VERBENA_SEED=random`.
///
/// It is printed before the run, so that it is known even if later output is lost.
fn seed() -> u64 {
    let seed = match std::env::var("VERBENA_SEED").as_deref() {
        Ok("random") => rand::random_range(0..1 << 32),
        _ => from_env("VERBENA_SEED", DEFAULT_SEED),
    };
    println!("VERBENA_SEED={seed}");
    seed
}

fn run_cases(all_fenced: bool, step: impl Strategy<Value = Step>) {
    let cases = from_env("VERBENA_CASES", DEFAULT_CASES.into());
    let seed = seed();
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
    let strategy = (any::<u64>(), prop::collection::vec(step, 1..60));
    let outcome = runner.run(&strategy, |(world_seed, steps)| {
        run_schedule(world_seed, all_fenced, &steps);
        Ok(())
    });
    if let Err(error) = outcome {
        let failure = match error {
            TestError::Fail(reason, (world_seed, steps)) => {
                format!("{reason}; world seed {world_seed}, steps {steps:?}")
            }
            TestError::Abort(reason) => reason.to_string(),
        };
        panic!("VERBENA_SEED={seed} VERBENA_CASES={cases}: {failure}");
    }
}

#[test]
fn servers_that_check_fences() {
    run_cases(true, step());
}

#[test]
fn servers_that_do_not_check_fences() {
    run_cases(false, step());
}

#[test]
fn new_controllers_and_queued_orders() {
    run_cases(true, succession_step());
}

#[test]
fn new_controllers_and_route_leases() {
    run_cases(false, succession_step());
}
