//! The faults of a stand-in server's answers, and how long it works.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use crate::{FenceCheck, WorkTimes};

/// The faults of a server's answers.
///
/// A value N makes one in N answers faulty on average; 0 means none.
#[derive(Debug, Default)]
pub struct ServerFaults {
    /// Answers to requests that ran, with the id of another request.
    pub wrong_id: AtomicU32,
    /// Answers with status 200, also those to orders, whose bodies go on without end.
    pub endless_answer: AtomicU32,
    /// Answers to requests that ran, in whose place the connection is reset.
    pub lost_answer: AtomicU32,
    /// Grants that are carried out and never answered.
    pub unanswered_grant: AtomicU32,
    /// Grants that are never answered and carried out up to `MAX_QUEUE_MS` later.
    pub queued_grant: AtomicU32,
    /// Whether queued grants are carried out whatever their fences.
    pub ignores_late_fences: AtomicBool,
    /// Queued grants in whose place the answer to an earlier order of the connection is written
    /// once more.
    pub repeated_answer: AtomicU32,
    /// Whether the server's clock runs slow, so that grants last longer.
    pub has_slow_clock: AtomicBool,
    /// Whether all answers say that the server is leaving.
    pub is_leaving: AtomicBool,
    /// If not 0, requests are turned away with this time in `Retry-After`.
    pub quiet_ms: AtomicU32,
    /// If not 0, the rate limit that all answers name, in thousandths of a request per second.
    pub rate_limit_milli: AtomicU32,
    /// If not 0, the time for which all answers say that the server stays cold.
    pub cold_ms: AtomicU32,
    /// If not 0, how many requests the server holds, running and waiting; it resets the connections
    /// of those beyond.
    pub max_held: AtomicU32,
    /// The number of requests that it holds.
    pub held: AtomicU32,
    /// The number of connections that it reset.
    pub resets: AtomicU32,
    /// If not empty, the load that all answers report.
    pub load: Mutex<String>,
    /// Whether all requests that run are answered with an error.
    pub is_failing: AtomicBool,
    /// If not 0, how long all requests run.
    pub run_ms: AtomicU32,
    /// The number of requests that have arrived.
    pub requests: AtomicU32,
    /// How long requests run if `run_ms` is 0.
    pub work_times: WorkTimes,
}

/// The longest time after which a queued grant is carried out, in milliseconds.
const MAX_QUEUE_MS: u64 = 5_000;
/// How much longer a grant lasts by a slow clock, as a divisor: the users' page allows two percent.
const CLOCK_DRIFT_DIVISOR: u64 = 49;

/// What a server writes on a connection on which it leaves a grant unanswered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Copies {
    /// Nothing.
    None,
    /// The earlier answer once more in place of that to the grant, then nothing.
    One,
    /// The earlier answer once more for the grant and for each later request.
    Many,
}

/// A request that a server holds, until this is dropped.
#[derive(Debug)]
pub struct HeldRequest<'a>(&'a ServerFaults);

impl ServerFaults {
    /// Counts a request that the server holds, or returns `None` if the server is full.
    pub fn hold(&self) -> Option<HeldRequest<'_>> {
        let max_held = self.max_held.load(Ordering::Relaxed);
        let held = self.held.fetch_add(1, Ordering::Relaxed);
        let request = HeldRequest(self);
        (max_held == 0 || held < max_held).then_some(request)
    }

    /// Returns how long the server works on a request.
    pub fn run_ms(&self, id: &str) -> u64 {
        match self.run_ms.load(Ordering::Relaxed) {
            0 => self.work_times.run_ms(id),
            run_ms => u64::from(run_ms),
        }
    }

    /// Draws whether the next answer has the id of another request.
    pub fn sends_wrong_id(&self) -> bool {
        should_fail(&self.wrong_id)
    }

    /// Draws whether the body of the next answer goes on without end.
    pub fn sends_endless_answer(&self) -> bool {
        should_fail(&self.endless_answer)
    }

    /// Draws whether the connection is reset in place of the next answer.
    pub fn loses_answer(&self) -> bool {
        should_fail(&self.lost_answer)
    }

    /// Draws whether the next grant is queued, and returns for how long.
    pub fn queue_time(&self) -> Option<Duration> {
        let is_queued = should_fail(&self.queued_grant);
        is_queued.then(|| Duration::from_millis(rand::random_range(0..MAX_QUEUE_MS)))
    }

    /// Returns whether the fences of queued grants are checked.
    pub fn late_fence_check(&self) -> FenceCheck {
        if self.ignores_late_fences.load(Ordering::Relaxed) {
            FenceCheck::Never
        } else {
            FenceCheck::WhenApplied
        }
    }

    /// Draws whether earlier answers are written in place of that to the next queued grant.
    pub fn draw_copies(&self) -> Copies {
        match should_fail(&self.repeated_answer) {
            false => Copies::None,
            true if rand::random() => Copies::One,
            true => Copies::Many,
        }
    }

    /// Returns how long a grant lasts by the server's clock.
    pub fn held_ms(&self, grant_ms: u64) -> u64 {
        let is_slow = self.has_slow_clock.load(Ordering::Relaxed);
        grant_ms + if is_slow { grant_ms.div_ceil(CLOCK_DRIFT_DIVISOR) } else { 0 }
    }

    /// Draws whether the next grant is left unanswered.
    pub fn leaves_grant_unanswered(&self) -> bool {
        should_fail(&self.unanswered_grant)
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns true at random, on average once in `one_in` calls; never if it is 0.
fn should_fail(one_in: &AtomicU32) -> bool {
    let one_in = one_in.load(Ordering::Relaxed);
    one_in > 0 && rand::random_range(0..one_in) == 0
}
