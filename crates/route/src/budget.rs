//! The bound on the retries of a service.

use std::sync::atomic::{AtomicU32, Ordering};

/// Bounds retries to a fraction of the requests.
///
/// Each request earns a part of a retry, and each retry spends a whole one. This keeps
/// retries from multiplying the load of a service that fails.
#[derive(Debug)]
pub struct Budget {
    /// The retries that are left, in thousandths.
    left_milli: AtomicU32,
    /// What one request earns, in thousandths of a retry.
    earned_milli: u32,
    /// The largest number of unspent retries.
    max_retries: AtomicU32,
}

/// What one retry spends, in thousandths of a retry.
const COST_MILLI: u32 = 1_000;
/// The default for what one request earns: a fifth of a retry.
const DEFAULT_EARNED_MILLI: u32 = 200;
/// The default for the largest number of unspent retries.
const DEFAULT_MAX_RETRIES: u32 = 100;

impl Default for Budget {
    fn default() -> Self {
        Self {
            left_milli: AtomicU32::new(DEFAULT_MAX_RETRIES * COST_MILLI),
            earned_milli: DEFAULT_EARNED_MILLI,
            max_retries: AtomicU32::new(DEFAULT_MAX_RETRIES),
        }
    }
}

impl Budget {
    /// Creates an empty budget that earns `earned_milli` thousandths of a retry per request.
    ///
    /// It keeps up to `max_retries`. It starts empty: many processes may restart together, and
    /// full budgets would grant them again the retries that they spent before.
    #[must_use]
    pub fn new(earned_milli: u32, max_retries: u32) -> Self {
        Self {
            left_milli: AtomicU32::new(0),
            earned_milli,
            max_retries: AtomicU32::new(max_retries),
        }
    }

    /// Sets the largest number of unspent retries.
    pub fn set_max_retries(&self, max_retries: u32) {
        self.max_retries.store(max_retries, Ordering::Relaxed);
    }

    /// Adds what one new request earns.
    pub fn earn(&self) {
        let max_milli = self.max_retries.load(Ordering::Relaxed).saturating_mul(COST_MILLI);
        let left = self.left_milli.load(Ordering::Relaxed);
        if left < max_milli {
            self.left_milli.fetch_add(self.earned_milli.min(max_milli - left), Ordering::Relaxed);
        }
    }

    /// Spends one retry; returns whether the budget had one.
    pub fn spend(&self) -> bool {
        self.left_milli
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(COST_MILLI))
            .is_ok()
    }
}
