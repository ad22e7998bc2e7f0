//! How many retries a service may cause.

use std::sync::atomic::{AtomicU32, Ordering};

/// Lets retries be at most a part of the requests.
#[derive(Debug)]
pub struct Budget {
    tenths: AtomicU32,
}

/// What one request adds, in tenths of a retry.
const EARNED_TENTHS: u32 = 2;
/// What one retry costs, in tenths.
const COST_TENTHS: u32 = 10;
/// The most that can be saved up: 100 retries.
const MOST_TENTHS: u32 = 1_000;

impl Default for Budget {
    fn default() -> Self {
        Self { tenths: AtomicU32::new(MOST_TENTHS) }
    }
}

impl Budget {
    /// Notes a new request.
    pub fn earn(&self) {
        if self.tenths.load(Ordering::Relaxed) < MOST_TENTHS {
            self.tenths.fetch_add(EARNED_TENTHS, Ordering::Relaxed);
        }
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&self) -> bool {
        self.tenths
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |tenths| {
                tenths.checked_sub(COST_TENTHS)
            })
            .is_ok()
    }
}
