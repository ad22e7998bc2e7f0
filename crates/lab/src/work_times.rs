//! How long servers work on requests.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Duration;

/// The distribution of the time for which a server works on a request.
///
/// It is a Pareto distribution, which has a long tail, up to a longest time. The time of a request
/// follows from its id, so that runs with one seed have the same times.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    /// The seed of the distribution.
    pub seed: u64,
    /// The shortest time.
    pub min_ms: u64,
    /// The longest time.
    pub max_ms: u64,
}

/// The exponent of the distribution; the mean is about four times the shortest time if the longest
/// is 60 times the shortest.
const SHAPE: f64 = 1.1;
/// The time of all requests unless a distribution is set.
const DEFAULT_MS: u64 = 15;

impl Default for WorkTimes {
    fn default() -> Self {
        Self { seed: 0, min_ms: DEFAULT_MS, max_ms: DEFAULT_MS }
    }
}

impl WorkTimes {
    /// Returns how long the server works on a request.
    #[must_use]
    pub fn run_ms(&self, id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, id).hash(&mut hasher);
        let drawn: f64 = StdRng::seed_from_u64(hasher.finish()).random_range(0.0..1.0);
        let factor = (1.0 - drawn).powf(-1.0 / SHAPE);
        let longest = Duration::from_millis(self.max_ms);
        let time = Duration::from_millis(self.min_ms);
        let time = Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(longest);
        u64::try_from(time.min(longest).as_millis()).unwrap_or(self.max_ms)
    }
}
