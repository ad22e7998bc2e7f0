//! The monotonic clock of a daemon.

use tokio::time::{Duration, Instant};

/// A monotonic clock that counts milliseconds; its first reading is 1000.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

/// The reading at the start, so that no reading is zero.
const START_MS: u64 = 1_000;

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current reading.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        START_MS + u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX / 2)
    }

    /// Converts a reading into an instant of the runtime.
    #[must_use]
    pub fn to_instant(&self, reading_ms: u64) -> Instant {
        self.origin + Duration::from_millis(reading_ms.saturating_sub(START_MS))
    }
}
