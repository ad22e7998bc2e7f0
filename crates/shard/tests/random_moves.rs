//! Guards against two holders of one key, and against keys without an owner after faults.
//!
//! The tests run random schedules of faults.
//! `VERBENA_CASES` sets the number of schedules, `VERBENA_SEED` the first seed; `random`
//! draws one. The seed is the first line of the output. `VERBENA_TRACE` prints the trace of a
//! schedule that fails.
mod world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{Faults, LateFences, World};

/// Number of schedules in CI.
const CASES: u64 = 60;
const SEED: u64 = 1;
/// Length of each schedule.
const SCHEDULE_MS: u64 = 25_000;
/// Time for recovery: the longest grant with clock drift, a takeover and a handover.
const RECOVERY_MS: u64 = 16_000;
/// The same after the store came back older: a lease that the copy has, the wait for earlier grants and
/// a leader that may still act, and the first assignment.
const RESTORE_RECOVERY_MS: u64 = 20_000;

fn recovery_ms(faults: Faults) -> u64 {
    if faults.restore_store > 0 { RESTORE_RECOVERY_MS } else { RECOVERY_MS }
}

fn cases() -> u64 {
    std::env::var("VERBENA_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn seed() -> u64 {
    let seed = match std::env::var("VERBENA_SEED").as_deref() {
        Ok("random") => rand::random_range(0..1 << 32),
        Ok(text) => text.parse().expect("VERBENA_SEED: expected a number or random"),
        Err(_) => SEED,
    };
    println!("VERBENA_SEED={seed}");
    seed
}

fn assert_schedules(faults: Faults) {
    let first = seed();
    for seed in first..first + cases() {
        let mut world = World::new(seed, faults);
        let result =
            world.run(SCHEDULE_MS).and_then(|()| world.check_recovery(recovery_ms(faults)));
        if let Err(error) = result {
            if std::env::var("VERBENA_TRACE").is_ok() {
                println!("{}", world.trace);
            }
            panic!("seed {seed}: {error}");
        }
    }
}

/// Seeds that failed once, with the cause of the failure.
const REGRESSIONS: [(u64, &str); 7] = [
    (6, "a recorded successor was assumed never to have held the range"),
    (11, "the same, after the leader was lost"),
    (38, "ranges of a single key were left after the loss of all servers"),
    (67, "a small range moved back and forth between two neighbours"),
    (106, "a shorter renewal was assumed to end a longer grant under the same fence"),
    (89, "a grant for an earlier incarnation was accepted by the later one"),
    (257, "the same, while the grant was not answered yet"),
];

const ONLY_DRAINS: Faults = Faults {
    lose_message: 0,
    apply_late: 0,
    cut: 0,
    crash: 0,
    drain: 10,
    stop_leader: 0,
    stop_store: 0,
    slow_link: 0,
    slow_server: 0,
    evacuate: 0,
    unlist: 0,
    queue_grant: 0,
    relocate: 0,
    resign: 0,
    slow_write: 0,
    suspend: 0,
    repeat_answer: 0,
    close_connection: 20,
    steady_unanswered: 0,
    restore_store: 0,
    late_fences: LateFences::CheckedBySome,
};

#[test]
fn calm_moves() {
    assert_schedules(ONLY_DRAINS);
}

#[test]
fn lost_messages() {
    assert_schedules(Faults { lose_message: 60, apply_late: 60, ..ONLY_DRAINS });
}

#[test]
fn lost_leaders() {
    assert_schedules(Faults { lose_message: 10, stop_leader: 30, cut: 20, ..ONLY_DRAINS });
}

#[test]
fn evacuations() {
    assert_schedules(Faults { evacuate: 40, lose_message: 20, stop_leader: 15, ..ONLY_DRAINS });
}

/// Guards against keys that are taken from a running server because of an entry with its address.
#[test]
fn addresses_of_unlisted_servers() {
    assert_schedules(Faults { unlist: 20, lose_message: 20, stop_leader: 10, ..ONLY_DRAINS });
}

/// Guards against keys that are taken from a running server because of a later entry of its name.
#[test]
fn later_processes_elsewhere() {
    assert_schedules(Faults { relocate: 20, lose_message: 20, stop_leader: 10, ..ONLY_DRAINS });
}

#[test]
fn slow_links() {
    assert_schedules(Faults { slow_link: 40, cut: 20, ..ONLY_DRAINS });
}

#[test]
fn slow_servers() {
    assert_schedules(Faults { slow_server: 60, cut: 30, ..ONLY_DRAINS });
}

#[test]
fn slow_servers_and_restarts() {
    assert_schedules(Faults { slow_server: 60, cut: 20, crash: 20, ..ONLY_DRAINS });
}

#[test]
fn slow_servers_and_lost_leaders() {
    assert_schedules(Faults { slow_server: 60, cut: 20, stop_leader: 20, ..ONLY_DRAINS });
}

/// Guards against keys that a server holds again after it has released them.
#[test]
fn queued_grants() {
    assert_schedules(Faults { queue_grant: 60, cut: 20, ..ONLY_DRAINS });
}

#[test]
fn queued_grants_and_restarts() {
    assert_schedules(Faults { queue_grant: 60, slow_server: 40, crash: 20, ..ONLY_DRAINS });
}

/// Guards against a grant that a server carries out after a release, whatever its fence.
#[test]
fn late_grants_with_low_fences() {
    let late_fences = LateFences::Ignored;
    assert_schedules(Faults { queue_grant: 60, cut: 20, late_fences, ..ONLY_DRAINS });
    let faults = Faults { queue_grant: 200, late_fences, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 30, stop_leader: 10, slow_write: 60, ..faults });
}

/// Guards against grants that a server has queued from an earlier leader.
#[test]
fn queued_grants_and_lost_leaders() {
    assert_schedules(Faults { queue_grant: 60, stop_leader: 20, ..ONLY_DRAINS });
}

/// Guards against grants of an earlier leader while leaders follow each other within seconds.
#[test]
fn queued_grants_and_resignations() {
    assert_schedules(Faults { queue_grant: 60, resign: 60, ..ONLY_DRAINS });
}

/// Guards against grants of an earlier leader to servers that start again or move elsewhere.
#[test]
fn queued_grants_restarts_and_lost_leaders() {
    let faults = Faults { queue_grant: 60, crash: 20, unlist: 10, relocate: 10, ..ONLY_DRAINS };
    assert_schedules(Faults { stop_leader: 15, resign: 30, ..faults });
}

/// Guards against holders that are sent grants after a record without an answer names them as
/// previous ones.
#[test]
fn slow_writes_and_queued_grants() {
    let faults = Faults { queue_grant: 100, slow_write: 300, drain: 20, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 30, stop_leader: 20, ..faults });
}

#[test]
fn slow_writes_restarts_and_cuts() {
    let faults = Faults { queue_grant: 60, slow_write: 200, crash: 20, cut: 20, ..ONLY_DRAINS };
    let faults = Faults { resign: 30, stop_leader: 20, stop_store: 10, ..faults };
    assert_schedules(Faults { evacuate: 20, unlist: 10, relocate: 10, ..faults });
}

#[test]
fn suspended_leaders_and_queued_grants() {
    let faults = Faults { queue_grant: 60, suspend: 40, slow_write: 100, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 20, stop_leader: 10, lose_message: 20, ..faults });
}

/// Guards against grants that reach a later process while the leader that sent them has ended.
#[test]
fn slow_servers_restarts_and_lost_leaders() {
    let faults = Faults { slow_server: 60, cut: 20, crash: 20, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 40, stop_leader: 15, ..faults });
}

#[test]
fn slow_servers_queued_grants_and_resignations() {
    let faults = Faults { slow_server: 60, queue_grant: 60, cut: 20, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 60, evacuate: 20, slow_link: 10, ..faults });
}

#[test]
fn all_new_faults() {
    let faults = Faults { queue_grant: 40, slow_write: 60, suspend: 15, resign: 20, ..ALL_FAULTS };
    assert_schedules(Faults { evacuate: 10, slow_link: 5, ..faults });
}

/// Guards against an earlier answer that counts as that of a grant that the server has queued.
#[test]
fn repeated_answers_and_lost_leaders() {
    let faults = Faults { repeat_answer: 20, ..ONLY_DRAINS };
    assert_schedules(Faults { resign: 30, stop_leader: 10, ..faults });
}

/// Guards against holders that leave single grants unanswered again and again, and against moves
/// that such a holder puts off or that end too early.
#[test]
fn steady_unanswered_grants() {
    let faults = Faults { steady_unanswered: 40, ..ONLY_DRAINS };
    assert_schedules(faults);
    assert_schedules(Faults { resign: 30, stop_leader: 10, evacuate: 20, ..faults });
}

/// Guards against two holders after the store came back from a copy that lacks moves.
#[test]
fn restores() {
    assert_schedules(Faults { restore_store: 15, drain: 20, ..ONLY_DRAINS });
}

/// Guards against two holders when a leader of before the return still acts, is lost or cannot pass on.
#[test]
fn restores_and_lost_leaders() {
    let faults = Faults { restore_store: 15, drain: 20, lose_message: 40, ..ONLY_DRAINS };
    assert_schedules(Faults { stop_leader: 15, resign: 20, suspend: 15, ..faults });
}

/// Guards against grants and writes of before the return that take effect after it.
#[test]
fn restores_queued_grants_and_slow_writes() {
    let faults = Faults { restore_store: 15, queue_grant: 60, slow_write: 100, ..ONLY_DRAINS };
    assert_schedules(Faults { crash: 20, cut: 20, unlist: 10, relocate: 10, resign: 10, ..faults });
}

/// Draws which faults occur in a schedule, and how often.
fn drawn_faults(seed: u64) -> Faults {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut rate = |max: u32| {
        if random.random_range(0..3) > 0 { 0 } else { random.random_range(1..=max) }
    };
    let faults = Faults {
        lose_message: rate(60),
        apply_late: rate(60),
        cut: rate(50),
        crash: rate(40),
        drain: rate(40),
        stop_leader: rate(30),
        stop_store: rate(20),
        slow_link: rate(30),
        slow_server: rate(80),
        evacuate: rate(40),
        unlist: rate(20),
        queue_grant: rate(400),
        relocate: rate(20),
        resign: rate(80),
        slow_write: rate(400),
        suspend: rate(40),
        repeat_answer: rate(20),
        close_connection: rate(60),
        late_fences: match random.random_range(0..3) {
            0 => LateFences::Checked,
            1 => LateFences::CheckedBySome,
            _ => LateFences::Ignored,
        },
        steady_unanswered: 0,
        restore_store: 0,
    };
    // Drawn last, so that the other faults of a seed stay the same.
    let steady_unanswered =
        if random.random_range(0..3) > 0 { 0 } else { random.random_range(1..=40) };
    let restore_store = if random.random_range(0..3) > 0 { 0 } else { random.random_range(1..=15) };
    Faults { steady_unanswered, restore_store, ..faults }
}

#[test]
fn drawn_fault_rates() {
    let first = seed();
    for seed in first..first + cases() {
        let faults = drawn_faults(seed);
        let mut world = World::new(seed, faults);
        let result =
            world.run(SCHEDULE_MS).and_then(|()| world.check_recovery(recovery_ms(faults)));
        if let Err(error) = result {
            if std::env::var("VERBENA_TRACE").is_ok() {
                println!("{}", world.trace);
            }
            panic!("seed {seed}: {error}, {faults:?}");
        }
    }
}

const ALL_FAULTS: Faults = Faults {
    lose_message: 40,
    apply_late: 40,
    cut: 40,
    crash: 20,
    drain: 10,
    stop_leader: 15,
    stop_store: 15,
    slow_link: 0,
    slow_server: 0,
    evacuate: 0,
    unlist: 0,
    queue_grant: 0,
    relocate: 0,
    resign: 0,
    slow_write: 0,
    suspend: 0,
    repeat_answer: 0,
    close_connection: 20,
    steady_unanswered: 0,
    restore_store: 0,
    late_fences: LateFences::Checked,
};

#[test]
fn all_faults() {
    assert_schedules(ALL_FAULTS);
}

#[test]
fn seeds_that_failed() {
    for (seed, cause) in REGRESSIONS {
        for faults in
            [ALL_FAULTS, Faults { lose_message: 10, stop_leader: 30, cut: 20, ..ONLY_DRAINS }]
        {
            let mut world = World::new(seed, faults);
            let result =
                world.run(SCHEDULE_MS).and_then(|()| world.check_recovery(recovery_ms(faults)));
            assert!(result.is_ok(), "seed {seed}, once failed because {cause}: {result:?}");
        }
    }
}
