//! Fair shares of a service's free room between its callers.

use std::net::IpAddr;

use document::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A caller, as a hash of the address of its connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Caller(pub u64);

/// Counts the requests of each caller that were not served at once, to find the callers that
/// repeat them at once.
///
/// A caller that returns when it is told to has few such requests; one that returns immediately
/// has another one each time. The counts decay within seconds. The memory is bounded: while
/// `MAX_CALLERS` are counted, further callers are within their share.
#[derive(Debug, Default)]
pub struct FairShare {
    counts: HashMap<Caller, Count>,
    /// The sum of the counts.
    total: Count,
    next_removal_at_ms: u64,
}

/// A number that decays by half in `HALF_LIFE_MS`.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    as_of_ms: u64,
}

/// The largest number of callers that are counted.
const MAX_CALLERS: usize = 4_096;
/// The time in which a count decays by half.
///
/// It is close to the largest Retry-After, so that a caller that waits as told keeps a count of
/// about two, whatever the others do.
const HALF_LIFE_MS: f64 = 2_000.0;
/// The count below which a caller is no longer counted; one request decays to it in 7 s.
const MIN_COUNT: f64 = 0.1;
/// How often callers with small counts are removed.
const REMOVAL_INTERVAL_MS: u64 = 1_000;
/// The multiple of the other callers' mean count from which a caller is over its share.
const MAX_RATIO: f64 = 2.0;
/// The least count of a caller that is over its share.
///
/// A caller with one request under way that waits as told stays below it.
const MIN_OVER_SHARE: f64 = 3.0;

impl Caller {
    /// Returns the caller with an address.
    #[must_use]
    pub fn new(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(address) => Self(xxh3_64(&address.octets())),
            IpAddr::V6(address) => Self(xxh3_64(&address.octets())),
        }
    }
}

impl FairShare {
    /// Handles a request that was refused for lack of room, or had to wait.
    pub fn on_unserved(&mut self, now_ms: u64, caller: Caller) {
        if now_ms >= self.next_removal_at_ms {
            self.next_removal_at_ms = now_ms + REMOVAL_INTERVAL_MS;
            self.remove_small(now_ms);
        }
        if self.counts.len() >= MAX_CALLERS && !self.counts.contains_key(&caller) {
            return;
        }
        self.counts.entry(caller).or_default().add_one(now_ms);
        self.total.add_one(now_ms);
    }

    /// Returns whether a caller has more requests that were not served at once than the other
    /// callers have on average.
    ///
    /// A single caller is never over its share: all requests may come through one balancer.
    #[must_use]
    pub fn is_over_share(&self, now_ms: u64, caller: Caller) -> bool {
        let Some(own) = self.counts.get(&caller).map(|count| count.at(now_ms)) else {
            return false;
        };
        let others = u32::try_from(self.counts.len() - 1).unwrap_or(u32::MAX);
        if others == 0 || own < MIN_OVER_SHARE {
            return false;
        }
        let mean_of_others = (self.total.at(now_ms) - own).max(0.0) / f64::from(others);
        own > MAX_RATIO * mean_of_others
    }

    /// Returns the number of callers that are counted.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.counts.len()
    }

    fn remove_small(&mut self, now_ms: u64) {
        self.counts.retain(|_, count| count.at(now_ms) >= MIN_COUNT);
        // The sum is computed anew, so that it does not drift from the counts.
        let value = self.counts.values().map(|count| count.at(now_ms)).sum();
        self.total = Count { value, as_of_ms: now_ms };
    }
}

impl Count {
    #[expect(clippy::cast_precision_loss, reason = "a few seconds in milliseconds are exact")]
    fn at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        self.value * (-age_ms / HALF_LIFE_MS).exp2()
    }

    fn add_one(&mut self, now_ms: u64) {
        *self = Self { value: self.at(now_ms) + 1.0, as_of_ms: now_ms };
    }
}
