//! A clock that also counts the time while the instance was suspended.

use nix::time::ClockId;

/// The clock by which authority and grants expire.
///
/// The runtime's monotonic clock stands still while an instance is suspended; this clock does
/// not.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the milliseconds since the instance booted.
    ///
    /// # Panics
    ///
    /// Panics when the system has no such clock; Linux has had it since 2.6.39.
    #[must_use]
    pub fn now_ms(self) -> u64 {
        let now = ClockId::CLOCK_BOOTTIME.now().expect("the system has CLOCK_BOOTTIME");
        let seconds = u64::try_from(now.tv_sec()).unwrap_or(0);
        seconds * 1_000 + u64::try_from(now.tv_nsec()).unwrap_or(0) / 1_000_000
    }
}
