//! Servers whose processes are stopped and continued, drawn from the seed.

use std::sync::Arc;

use lab::RangeServer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Duration, Instant};

use crate::cluster::Cluster;

/// Which servers' processes are stopped, and until when.
#[derive(Debug)]
pub(crate) struct ServerStops {
    random: StdRng,
    /// The longest time between two stops.
    max_interval_ms: u64,
    next_stop_at: Instant,
    stopped: Vec<(Instant, Arc<RangeServer>)>,
}

/// The shortest time between two stops.
const MIN_INTERVAL_MS: u64 = 200;
/// The longest time between two stops, of which each seed draws one.
const MAX_INTERVAL_MS: std::ops::Range<u64> = 1_000..5_000;
/// How long a process is stopped.
const STOP_MS: std::ops::Range<u64> = 300..6_000;
/// Keeps the draws apart from those of other faults of a seed.
const SEED_MASK: u64 = 0x7374_6f70_7300_0000;

impl ServerStops {
    /// Draws the faults of a seed, the first of which may begin at `first_stop_at`.
    pub(crate) fn new(seed: u64, first_stop_at: Instant) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ SEED_MASK);
        let max_interval_ms = random.random_range(MAX_INTERVAL_MS);
        Self { random, max_interval_ms, next_stop_at: first_stop_at, stopped: Vec::new() }
    }

    /// Continues the processes that are due, and stops the next one if it is time to.
    pub(crate) async fn step(&mut self, cluster: &Cluster) {
        let now = Instant::now();
        for (_, server) in self.stopped.extract_if(.., |(resume_at, _)| now >= *resume_at) {
            resume(cluster, &server);
        }
        if now < self.next_stop_at {
            return;
        }
        let interval_ms = self.random.random_range(MIN_INTERVAL_MS..self.max_interval_ms);
        self.next_stop_at = now + Duration::from_millis(interval_ms);
        let index = self.random.random_range(0..cluster.servers.len());
        let stop_time = Duration::from_millis(self.random.random_range(STOP_MS));
        let Some(server) = cluster.servers[index].process() else { return };
        if self.stopped.iter().all(|(_, stopped)| !Arc::ptr_eq(stopped, server)) {
            cluster.log_event(&format!("{} is suspended for {stop_time:?}", server.incarnation));
            server.process.suspend().await;
            self.stopped.push((now + stop_time, Arc::clone(server)));
        }
    }

    /// Continues all processes.
    pub(crate) fn undo_all(&mut self, cluster: &Cluster) {
        for (_, server) in self.stopped.drain(..) {
            resume(cluster, &server);
        }
    }
}

fn resume(cluster: &Cluster, server: &RangeServer) {
    cluster.log_event(&format!("{} is continued", server.incarnation));
    server.process.resume();
}
