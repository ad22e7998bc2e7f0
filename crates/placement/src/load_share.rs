//! How much of the total load each server carries.

use crate::Request;

/// The part of a shard's size that is the same for every shard; the rest follows its load.
const FIXED_SIZE_FRACTION: f64 = 0.1;

/// The sizes of the shards as fractions of the total; they add up to 1.
#[derive(Debug)]
pub(crate) struct ShardSizes {
    by_shard: Vec<f64>,
    has_load: bool,
}

/// The size that each server carries, compared with its fair share.
#[derive(Debug)]
pub(crate) struct LoadShares {
    carried: Vec<f64>,
    fair_shares: Vec<f64>,
}

impl ShardSizes {
    pub(crate) fn from_request(request: &Request) -> Self {
        let total: f64 = request.shards.iter().map(|shard| shard.load).sum();
        let even_size = 1.0 / to_float(request.shards.len().max(1));
        let has_load = total > 0.0;
        let size = |load: f64| {
            if has_load {
                FIXED_SIZE_FRACTION * even_size + (1.0 - FIXED_SIZE_FRACTION) * load / total
            } else {
                even_size
            }
        };
        Self { by_shard: request.shards.iter().map(|shard| size(shard.load)).collect(), has_load }
    }

    pub(crate) fn of(&self, shard: usize) -> f64 {
        self.by_shard[shard]
    }

    /// Returns whether any shard has load; otherwise all sizes are equal.
    pub(crate) fn has_load(&self) -> bool {
        self.has_load
    }
}

impl LoadShares {
    /// Creates the shares of servers that carry nothing; fair shares are proportional to slots.
    pub(crate) fn from_request(request: &Request) -> Self {
        let weight = |accepts: bool, slots: u32| {
            if accepts { f64::from(slots.max(1)) } else { 0.0 }
        };
        let total: f64 =
            request.servers.iter().map(|server| weight(server.accepts, server.slots)).sum();
        Self {
            carried: vec![0.0; request.servers.len()],
            fair_shares: request
                .servers
                .iter()
                .map(|server| weight(server.accepts, server.slots) / total)
                .collect(),
        }
    }

    pub(crate) fn add(&mut self, server: usize, size: f64) {
        self.carried[server] += size;
    }

    pub(crate) fn remove(&mut self, server: usize, size: f64) {
        self.carried[server] -= size;
    }

    /// Returns what the server would carry with `extra` more, as a multiple of its fair share.
    pub(crate) fn ratio_with(&self, server: usize, extra: f64) -> f64 {
        (self.carried[server] + extra) / self.fair_shares[server]
    }

    /// Returns what the server carries, as a multiple of its fair share.
    pub(crate) fn ratio(&self, server: usize) -> f64 {
        self.ratio_with(server, 0.0)
    }

    /// Returns the largest deviation from the fair share among some servers, as a fraction of it.
    pub(crate) fn max_deviation(&self, servers: impl Iterator<Item = usize>) -> f64 {
        servers.map(|server| (self.ratio(server) - 1.0).abs()).fold(0.0, f64::max)
    }
}

fn to_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
