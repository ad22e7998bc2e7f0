//! Conversions of counts to floating point.

/// Converts a count to `f64`; counts above `u32::MAX` become `u32::MAX`.
#[must_use]
pub fn f64_from_u64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a count to `f64`; counts above `u32::MAX` become `u32::MAX`.
#[must_use]
pub fn f64_from_usize(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
