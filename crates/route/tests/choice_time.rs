//! Measures the time of one choice among 240 servers, which the design bounds by 2 us.

use std::hint::black_box;
use std::time::Instant;

use route::{Candidate, ExpectedLoad, RemotePenalty, pick};

const SERVERS: u32 = 240;
const ROUNDS: u32 = 200;
const CHOICES: u32 = 1_000;

/// Prints the time; a bound would fail on a busy machine.
///
/// Run with `cargo test --release -p route --test choice_time -- --ignored --nocapture`.
#[test]
#[ignore = "measures time"]
fn time_of_one_choice() {
    let to_f32 = |number: u32| f32::from(u16::try_from(number).unwrap());
    let candidates: Vec<Candidate> = (0..SERVERS)
        .map(|number| Candidate {
            occupied: number % 3,
            slots: 4,
            slowness: 1.0,
            is_near: number % 4 == 0,
            is_preferred: number % 7 == 0,
            is_avoided: number % 50 == 0,
            expected: Some(ExpectedLoad {
                ahead: to_f32(number % 5),
                slots: 4,
                work: 0.6 + to_f32(number % 3) * 0.4,
            }),
        })
        .collect();
    let mut rounds_ns: Vec<u128> = (0..ROUNDS)
        .map(|_| {
            let started_at = Instant::now();
            for draw in 0..CHOICES {
                let draw = draw.wrapping_mul(0x9e37_79b9);
                black_box(pick(black_box(&candidates), RemotePenalty::SMALL, draw));
            }
            started_at.elapsed().as_nanos() / u128::from(CHOICES)
        })
        .collect();
    rounds_ns.sort_unstable();
    let (least, median) = (rounds_ns[0], rounds_ns[rounds_ns.len() / 2]);
    println!("one choice among {SERVERS}: {least} ns at the least, {median} ns in the median");
}
