//! The bound on how far clock rates differ.

/// The largest difference between the clock rates of two processes.
pub const MAX_CLOCK_DRIFT_PERCENT: u64 = 1;

/// Lengthens a wait so that at least `length_ms` have passed on every clock when it ends.
#[must_use]
pub fn plus_drift_ms(length_ms: u64) -> u64 {
    length_ms + length_ms.div_ceil(100) * MAX_CLOCK_DRIFT_PERCENT
}

/// Shortens a wait so that at most `length_ms` have passed on any clock when it ends.
#[must_use]
pub fn minus_drift_ms(length_ms: u64) -> u64 {
    length_ms - length_ms.div_ceil(100) * MAX_CLOCK_DRIFT_PERCENT
}
