//! Counts as figures.

/// Returns a count as a figure.
#[must_use]
pub fn from_u64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns a count as a figure.
#[must_use]
pub fn from_usize(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
