//! Selects which log lines about requests are written.
//!
//! Lines are offered for all requests that failed, were refused, retried or late. Of the other
//! requests, one in [`SAMPLE_INTERVAL`] is selected by its id, so that all daemons select the
//! same ones.
//!
//! Above [`TARGET_LINES_PER_S`], only the lines of a share of these requests are written. They
//! are selected by their ids too, so that either all lines of a request are written or none.
//! Dropped lines are counted.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// One in this many successful requests is logged.
const SAMPLE_INTERVAL: u64 = 256;
/// The average rate of lines about requests; about 40 KB per second.
const TARGET_LINES_PER_S: u64 = 150;
/// The largest number of lines about requests in one second.
///
/// The share of requests follows the rate of the second before, so one second can exceed the
/// average rate.
const MAX_LINES_PER_S: u64 = 2 * TARGET_LINES_PER_S;

/// Limits the rate of log lines about requests.
#[derive(Debug)]
pub struct LogSampler {
    second: AtomicU64,
    offered: AtomicU64,
    dropped: AtomicU64,
    /// Lines of requests whose hashed id is at most this are written.
    max_hash: AtomicU32,
}

impl LogSampler {
    /// Returns whether a line about a request may be written now.
    pub fn may_write(&self, now_ms: u64, id: &[u8]) -> bool {
        let second = now_ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.update_share(self.offered.swap(0, Ordering::Relaxed));
        }
        let is_selected = hash(id) <= self.max_hash.load(Ordering::Relaxed);
        let offered = self.offered.fetch_add(1, Ordering::Relaxed);
        let may_write = is_selected && offered < self.max_offered();
        if !may_write {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        may_write
    }

    /// Returns and resets the number of dropped lines.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Sets the share of requests that keeps to the rate if as many lines are offered again.
    fn update_share(&self, offered: u64) {
        let max_hash = u64::from(u32::MAX) * TARGET_LINES_PER_S / offered.max(TARGET_LINES_PER_S);
        self.max_hash.store(u32::try_from(max_hash).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// Returns after how many offered lines in one second no more are written.
    ///
    /// By then about [`MAX_LINES_PER_S`] of them have been written.
    fn max_offered(&self) -> u64 {
        let max_hash = u64::from(self.max_hash.load(Ordering::Relaxed)).max(1);
        MAX_LINES_PER_S * u64::from(u32::MAX) / max_hash
    }
}

impl Default for LogSampler {
    fn default() -> Self {
        Self {
            second: AtomicU64::new(0),
            offered: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            max_hash: AtomicU32::new(u32::MAX),
        }
    }
}

/// Returns whether a request is in the sample of successful requests that are logged.
#[must_use]
pub fn is_sampled(id: &[u8]) -> bool {
    xxh3_64(id).is_multiple_of(SAMPLE_INTERVAL)
}

/// Returns the upper bits of an id's hash, which are independent of those that [`is_sampled`]
/// uses.
fn hash(id: &[u8]) -> u32 {
    u32::try_from(xxh3_64(id) >> 32).unwrap_or(u32::MAX)
}
