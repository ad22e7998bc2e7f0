//! The bound on how far clock rates differ.

/// The largest difference between the clock rates of two processes.
pub const MAX_CLOCK_DRIFT_PERCENT: u64 = 1;

/// Returns a local wait in milliseconds after which `length_ms` have passed on any clock.
#[must_use]
pub fn plus_drift_ms(length_ms: u64) -> u64 {
    length_ms + length_ms.div_ceil(100) * MAX_CLOCK_DRIFT_PERCENT
}

/// Returns a local wait in milliseconds that ends before `length_ms` have passed on any clock.
#[must_use]
pub fn minus_drift_ms(length_ms: u64) -> u64 {
    length_ms - length_ms.div_ceil(100) * MAX_CLOCK_DRIFT_PERCENT
}
