//! How many retries a service may cause.

use std::sync::atomic::{AtomicU32, Ordering};

/// Lets retries be at most a part of the requests.
#[derive(Debug)]
pub struct Budget {
    /// What is left, in thousandths of a retry.
    left_milli: AtomicU32,
    /// What one request adds, in thousandths of a retry.
    earned_milli: u32,
    /// The most retries that can be saved up.
    most: AtomicU32,
}

/// What one retry costs, in thousandths.
const COST_MILLI: u32 = 1_000;
/// What one request adds unless settings say otherwise: a fifth of a retry.
const EARNED_MILLI: u32 = 200;
/// The most retries that can be saved up unless settings say otherwise.
const MOST_RETRIES: u32 = 100;

impl Default for Budget {
    fn default() -> Self {
        Self {
            left_milli: AtomicU32::new(MOST_RETRIES * COST_MILLI),
            earned_milli: EARNED_MILLI,
            most: AtomicU32::new(MOST_RETRIES),
        }
    }
}

impl Budget {
    /// Creates a budget that starts empty, earns a part of a retry with each request and
    /// saves up some.
    ///
    /// A process that was just started may be one of many that were, and what they spent
    /// before still counts.
    #[must_use]
    pub fn new(earned_milli: u32, most_retries: u32) -> Self {
        Self { left_milli: AtomicU32::new(0), earned_milli, most: AtomicU32::new(most_retries) }
    }

    /// Changes how much can be saved up.
    pub fn set_most(&self, most_retries: u32) {
        self.most.store(most_retries, Ordering::Relaxed);
    }

    /// Notes a new request.
    pub fn earn(&self) {
        let most = self.most.load(Ordering::Relaxed).saturating_mul(COST_MILLI);
        let left = self.left_milli.load(Ordering::Relaxed);
        if left < most {
            self.left_milli.fetch_add(self.earned_milli.min(most - left), Ordering::Relaxed);
        }
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&self) -> bool {
        self.left_milli
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(COST_MILLI))
            .is_ok()
    }
}
