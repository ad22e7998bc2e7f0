//! Which lines about requests are written.
//!
//! Requests that failed, were refused, repeated or late are always worth a line; of the
//! others one in [`SAMPLED`] is, chosen by its id, so that all daemons choose the same.
//! Beyond a rate lines are counted instead.

use std::sync::atomic::{AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// One in so many requests that went well has its lines written.
const SAMPLED: u64 = 256;
/// How many lines about requests are written in a second at most: about 40 KB.
const MOST_PER_S: u64 = 150;

/// Bounds the lines about requests.
#[derive(Debug, Default)]
pub struct Lines {
    second: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Lines {
    /// Returns whether a line may be written at this time.
    pub fn may_write(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        let may = self.written.fetch_add(1, Ordering::Relaxed) < MOST_PER_S;
        if !may {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        may
    }

    /// Returns how many lines were not written since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Returns whether a request that went well has its lines written.
#[must_use]
pub fn is_sampled(id: &[u8]) -> bool {
    xxh3_64(id).is_multiple_of(SAMPLED)
}
