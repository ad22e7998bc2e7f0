//! How much of the whole each server holds.

use crate::Request;

/// The part of a shard's size that counts the shard itself rather than its load.
const COUNT_PART: f64 = 0.1;

/// The sizes of the shards as parts of the whole; they add up to 1.
#[derive(Debug)]
pub(crate) struct Sizes {
    sizes: Vec<f64>,
    measured: bool,
}

/// What each server holds, relative to its fair share.
#[derive(Debug)]
pub(crate) struct Shares {
    used: Vec<f64>,
    fair: Vec<f64>,
}

impl Sizes {
    pub(crate) fn from_request(request: &Request) -> Self {
        let total: f64 = request.shards.iter().map(|shard| shard.load).sum();
        let even = 1.0 / to_float(request.shards.len().max(1));
        let measured = total > 0.0;
        let size = |load: f64| {
            if measured { COUNT_PART * even + (1.0 - COUNT_PART) * load / total } else { even }
        };
        Self { sizes: request.shards.iter().map(|shard| size(shard.load)).collect(), measured }
    }

    pub(crate) fn of(&self, shard: usize) -> f64 {
        self.sizes[shard]
    }

    /// Returns whether the sizes follow measured load.
    pub(crate) fn is_measured(&self) -> bool {
        self.measured
    }
}

impl Shares {
    /// Creates empty shares; a server's fair share follows its slots.
    pub(crate) fn from_request(request: &Request) -> Self {
        let slots = |accepts: bool, slots: u32| {
            if accepts { f64::from(slots.max(1)) } else { 0.0 }
        };
        let total: f64 = request.servers.iter().map(|s| slots(s.accepts, s.slots)).sum();
        Self {
            used: vec![0.0; request.servers.len()],
            fair: request.servers.iter().map(|s| slots(s.accepts, s.slots) / total).collect(),
        }
    }

    pub(crate) fn add(&mut self, server: usize, size: f64) {
        self.used[server] += size;
    }

    pub(crate) fn remove(&mut self, server: usize, size: f64) {
        self.used[server] -= size;
    }

    /// Returns what the server would hold with `extra` more; 1 is its fair share.
    pub(crate) fn ratio_with(&self, server: usize, extra: f64) -> f64 {
        (self.used[server] + extra) / self.fair[server]
    }

    /// Returns what the server holds; 1 is its fair share.
    pub(crate) fn ratio(&self, server: usize) -> f64 {
        self.ratio_with(server, 0.0)
    }

    /// Returns the largest distance of a server from its fair share.
    pub(crate) fn spread(&self, servers: impl Iterator<Item = usize>) -> f64 {
        servers.map(|server| (self.ratio(server) - 1.0).abs()).fold(0.0, f64::max)
    }
}

fn to_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
