//! What a daemon knows of the speed of a server from its answers.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// The speed of a server, measured by its answers.
#[derive(Debug)]
pub(crate) struct Speed {
    /// The latency of the server relative to the mean of its routes, in thousandths.
    slowness_milli: AtomicU32,
    /// How many answers that was derived from.
    answers: AtomicU32,
    /// When the last of them came.
    answered_at_ms: AtomicU64,
    /// Whether the next answer replaces what is known.
    is_outdated: AtomicBool,
}

/// The slowness that is assumed of a server whose speed is not known.
const USUAL_SLOWNESS_MILLI: u32 = 1_000;
/// The weight of the latest answer in the moving average.
const SLOWNESS_WEIGHT: f32 = 0.08;
/// The largest slowness that a single answer counts with.
const MAX_SLOWNESS: f32 = 8.0;
/// The least slowness of a server: answers that are quick because they are small say little.
const MIN_SLOWNESS: f32 = 0.3;

impl Speed {
    /// Creates the speed of a server that has not answered yet.
    pub(crate) fn new() -> Self {
        Self {
            slowness_milli: AtomicU32::new(USUAL_SLOWNESS_MILLI),
            answers: AtomicU32::new(0),
            answered_at_ms: AtomicU64::new(0),
            is_outdated: AtomicBool::new(false),
        }
    }

    /// Returns the latency of the server relative to the mean of its routes.
    pub(crate) fn slowness(&self) -> f32 {
        to_f32(self.slowness_milli()) / 1_000.0
    }

    /// Returns the same in thousandths.
    pub(crate) fn slowness_milli(&self) -> u32 {
        self.slowness_milli.load(Ordering::Relaxed)
    }

    /// Returns how many answers the speed was derived from.
    pub(crate) fn answers(&self) -> u32 {
        self.answers.load(Ordering::Relaxed)
    }

    /// Returns when the latest answer came; 0 before the first one.
    pub(crate) fn answered_at_ms(&self) -> u64 {
        self.answered_at_ms.load(Ordering::Relaxed)
    }

    /// Handles an answer with its latency relative to the mean of its route.
    pub(crate) fn on_answer(&self, now_ms: u64, slowness: f32) {
        let known = self.slowness();
        let latest = slowness.clamp(0.0, MAX_SLOWNESS);
        let is_outdated = self.is_outdated.swap(false, Ordering::Relaxed);
        let weight = if is_outdated { 1.0 } else { SLOWNESS_WEIGHT };
        let mean = (known + weight * (latest - known)).max(MIN_SLOWNESS);
        self.slowness_milli.store(to_milli(mean), Ordering::Relaxed);
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.answered_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Forgets all answers so far.
    pub(crate) fn forget(&self) {
        self.slowness_milli.store(USUAL_SLOWNESS_MILLI, Ordering::Relaxed);
        self.answers.store(0, Ordering::Relaxed);
    }

    /// Lets the next answer replace what is known.
    pub(crate) fn set_outdated(&self) {
        self.is_outdated.store(true, Ordering::Relaxed);
    }
}

pub(crate) fn to_f32(milli: u32) -> f32 {
    f32::from(u16::try_from(milli).unwrap_or(u16::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "slowness is from 0 to 8"
)]
pub(crate) fn to_milli(slowness: f32) -> u32 {
    (slowness * 1_000.0) as u32
}
