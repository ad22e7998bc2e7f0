//! Measures how long shards have no serving owner.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use document::{HashMap, Name};
use hdrhistogram::Histogram;
use lease::{Epoch, ShardId};
use proxy::Traffic;
use serde::Serialize;

use crate::upstream::StandIn;

/// The [`Traffic`] of each running daemon, shared between threads.
pub type RunningDaemons = Arc<Mutex<Vec<Arc<Traffic>>>>;

/// Checks every millisecond which shards of a service have a serving owner.
///
/// A shard has one when its route is open in the table of every running daemon and leads to a
/// server that holds the shard with the route's epoch. Daemons without a table of the service
/// are ignored.
#[derive(Debug)]
pub struct Availability {
    service: Name,
    servers: Vec<Arc<StandIn>>,
    daemons: RunningDaemons,
    /// When the current gap of each shard without a serving owner began.
    unowned_since: HashMap<ShardId, Instant>,
    /// The last serving owner of each shard.
    owners: HashMap<ShardId, Name>,
    owner_changes: u64,
    gaps_us: Histogram<u64>,
}

/// How often and how long shards had no serving owner.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gaps {
    /// The number of gaps; a gap of several shards counts once for each of them.
    pub count: u64,
    /// The median length of a gap.
    pub p50_ms: f64,
    /// The 99th percentile of the lengths.
    pub p99_ms: f64,
    /// The longest gap.
    pub max_ms: f64,
    /// How often the owner of a shard changed.
    pub owner_changes: u64,
}

const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_GAP_US: u64 = 600_000_000;

impl Availability {
    /// Creates a measurement of the shards of one service.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants.
    #[must_use]
    pub fn new(service: Name, servers: Vec<Arc<StandIn>>, daemons: RunningDaemons) -> Self {
        let gaps_us =
            Histogram::new_with_max(MAX_GAP_US, 3).expect("the bounds of the histogram are valid");
        Self {
            service,
            servers,
            daemons,
            unowned_since: HashMap::default(),
            owners: HashMap::default(),
            owner_changes: 0,
            gaps_us,
        }
    }

    /// Checks the shards until `is_finished` is set, and returns the gaps.
    ///
    /// It blocks, so it is called on a thread of its own.
    #[must_use]
    pub fn watch(mut self, is_finished: &AtomicBool) -> Gaps {
        while !is_finished.load(Ordering::Relaxed) {
            self.check_shards();
            std::thread::sleep(POLL_INTERVAL);
        }
        let open_gaps: Vec<Instant> = self.unowned_since.drain().map(|(_, since)| since).collect();
        for since in open_gaps {
            self.record_gap(since);
        }
        let ms = |us: u64| std::time::Duration::from_micros(us).as_secs_f64() * 1_000.0;
        Gaps {
            count: self.gaps_us.len(),
            p50_ms: ms(self.gaps_us.value_at_quantile(0.5)),
            p99_ms: ms(self.gaps_us.value_at_quantile(0.99)),
            max_ms: ms(self.gaps_us.max()),
            owner_changes: self.owner_changes,
        }
    }

    fn check_shards(&mut self) {
        let mut live_shards: HashMap<(ShardId, Epoch), &Name> = HashMap::default();
        for server in &self.servers {
            for held in server.live_shards() {
                live_shards.insert((held.shard, held.epoch), &server.config.name);
            }
        }
        let now = Instant::now();
        let mut owners: HashMap<ShardId, Option<Name>> = HashMap::default();
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for daemon in &daemons {
            let services = daemon.services();
            let Some(table) = services.get(&self.service).and_then(|s| s.table.as_ref()) else {
                continue;
            };
            for route in &table.routes {
                let server = table.server_of(route).filter(|_| route.is_open);
                let owner = server.filter(|server| {
                    live_shards.get(&(route.shard, route.epoch)).is_some_and(|name| name == server)
                });
                let entry = owners.entry(route.shard).or_insert_with(|| owner.cloned());
                if owner.is_none() {
                    *entry = None;
                }
            }
        }
        for (shard, owner) in owners {
            self.update_owner(now, shard, owner);
        }
    }

    fn update_owner(&mut self, now: Instant, shard: ShardId, owner: Option<Name>) {
        let Some(owner) = owner else {
            self.unowned_since.entry(shard).or_insert(now);
            return;
        };
        if let Some(since) = self.unowned_since.remove(&shard) {
            self.record_gap(since);
        }
        let previous = self.owners.insert(shard, owner.clone());
        if previous.is_some_and(|previous| previous != owner) {
            self.owner_changes += 1;
        }
    }

    fn record_gap(&mut self, since: Instant) {
        let gap_us = u64::try_from(since.elapsed().as_micros()).unwrap_or(MAX_GAP_US);
        self.gaps_us.saturating_record(gap_us);
    }
}
