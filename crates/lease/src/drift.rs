//! The bound on how far clock rates differ.

/// How much faster or slower one process's clock may run than another's.
pub const CLOCK_DRIFT_PERCENT: u64 = 1;

/// Returns how long to wait here until `length_ms` have passed on any other clock.
#[must_use]
pub fn slower_ms(length_ms: u64) -> u64 {
    length_ms + length_ms.div_ceil(100) * CLOCK_DRIFT_PERCENT
}

/// Returns how much of `length_ms` may be used here before it ends on any other clock.
#[must_use]
pub fn faster_ms(length_ms: u64) -> u64 {
    length_ms - length_ms.div_ceil(100) * CLOCK_DRIFT_PERCENT
}
