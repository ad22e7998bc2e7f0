//! Which lines about requests are written.
//!
//! Requests that failed, were refused, repeated or late are always worth a line; of the
//! others one in [`SAMPLED`] is, chosen by its id, so that all daemons choose the same.
//! Where there would be more lines than a rate, a part of the requests is left out, again
//! by their ids, so that all lines of the others stay together. Lines left out are counted.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use xxhash_rust::xxh3::xxh3_64;

/// One in so many requests that went well has its lines written.
const SAMPLED: u64 = 256;
/// How many lines about requests are written in a second on average: about 40 KB.
const LINES_PER_S: u64 = 150;
/// How many lines about requests are written in a second at most, whatever the average: the
/// share of requests follows the rate of the second before.
const MOST_PER_S: u64 = 2 * LINES_PER_S;

/// Bounds the lines about requests.
#[derive(Debug)]
pub struct Lines {
    second: AtomicU64,
    offered: AtomicU64,
    dropped: AtomicU64,
    /// Requests whose hashed id is at most this have their lines written.
    most_hash: AtomicU32,
}

impl Lines {
    /// Returns whether a line about a request may be written at this time.
    pub fn may_write(&self, now_ms: u64, id: &[u8]) -> bool {
        let second = now_ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.choose_share(self.offered.swap(0, Ordering::Relaxed));
        }
        let is_chosen = hash(id) <= self.most_hash.load(Ordering::Relaxed);
        let offered = self.offered.fetch_add(1, Ordering::Relaxed);
        let may = is_chosen && offered < self.most_offered();
        if !may {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        may
    }

    /// Returns how many lines were not written since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Chooses the share of requests that keeps the rate if as many lines come again.
    fn choose_share(&self, offered: u64) {
        let most = u64::from(u32::MAX) * LINES_PER_S / offered.max(LINES_PER_S);
        self.most_hash.store(u32::try_from(most).unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// Returns after how many offered lines of a second the chosen ones reach the most.
    fn most_offered(&self) -> u64 {
        let most_hash = u64::from(self.most_hash.load(Ordering::Relaxed)).max(1);
        MOST_PER_S * u64::from(u32::MAX) / most_hash
    }
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            second: AtomicU64::new(0),
            offered: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            most_hash: AtomicU32::new(u32::MAX),
        }
    }
}

/// Returns whether a request that went well has its lines written.
#[must_use]
pub fn is_sampled(id: &[u8]) -> bool {
    xxh3_64(id).is_multiple_of(SAMPLED)
}

/// Returns a hash whose bits have nothing to do with those that [`is_sampled`] looks at.
fn hash(id: &[u8]) -> u32 {
    u32::try_from(xxh3_64(id) >> 32).unwrap_or(u32::MAX)
}
