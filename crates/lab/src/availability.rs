//! How long keys have no serving owner.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use document::{HashMap, Name};
use hdrhistogram::Histogram;
use lease::{Epoch, ShardId};
use proxy::Traffic;
use serde::Serialize;

use crate::upstream::StandIn;

/// The daemons that run now.
pub type Running = Arc<Mutex<Vec<Arc<Traffic>>>>;

/// Looks, again and again, which shards are served at every daemon.
///
/// A shard counts as served when every daemon that runs routes it, and routes it to a
/// server that holds it with the epoch of the route.
#[derive(Debug)]
pub struct Availability {
    service: Name,
    servers: Vec<Arc<StandIn>>,
    daemons: Running,
    since: HashMap<ShardId, Instant>,
    owners: HashMap<ShardId, Name>,
    changes: u64,
    gaps_us: Histogram<u64>,
}

/// How long and how often keys had no serving owner.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gaps {
    /// How many gaps there were, one for each shard.
    pub count: u64,
    /// The median gap.
    pub p50_ms: f64,
    /// The gap that 99 in 100 do not exceed.
    pub p99_ms: f64,
    /// The longest gap.
    pub max_ms: f64,
    /// How often a shard changed its owner.
    pub owner_changes: u64,
}

const LOOK_EVERY: Duration = Duration::from_millis(1);
const LONGEST_GAP_US: u64 = 600_000_000;

impl Availability {
    /// Creates the measurement of one service.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants.
    #[must_use]
    pub fn new(service: Name, servers: Vec<Arc<StandIn>>, daemons: Running) -> Self {
        let gaps_us = Histogram::new_with_max(LONGEST_GAP_US, 3)
            .expect("the bounds of the histogram are valid");
        Self {
            service,
            servers,
            daemons,
            since: HashMap::default(),
            owners: HashMap::default(),
            changes: 0,
            gaps_us,
        }
    }

    /// Looks until `is_over`; meant for a thread of its own.
    #[must_use]
    pub fn watch(mut self, is_over: &AtomicBool) -> Gaps {
        while !is_over.load(Ordering::Relaxed) {
            self.look();
            std::thread::sleep(LOOK_EVERY);
        }
        let open: Vec<Instant> = self.since.drain().map(|(_, since)| since).collect();
        for since in open {
            self.note_gap(since);
        }
        let ms = |us: u64| std::time::Duration::from_micros(us).as_secs_f64() * 1_000.0;
        Gaps {
            count: self.gaps_us.len(),
            p50_ms: ms(self.gaps_us.value_at_quantile(0.5)),
            p99_ms: ms(self.gaps_us.value_at_quantile(0.99)),
            max_ms: ms(self.gaps_us.max()),
            owner_changes: self.changes,
        }
    }

    fn look(&mut self) {
        let mut live: HashMap<(ShardId, Epoch), &Name> = HashMap::default();
        for server in &self.servers {
            for held in server.live() {
                live.insert((held.shard, held.epoch), &server.config.name);
            }
        }
        let now = Instant::now();
        let mut seen: HashMap<ShardId, Option<Name>> = HashMap::default();
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for daemon in &daemons {
            let services = daemon.services();
            let Some(table) = services.get(&self.service).and_then(|s| s.table.as_ref()) else {
                continue;
            };
            for route in &table.routes {
                let server = table.server_of(route).filter(|_| route.is_open);
                let owner = server.filter(|server| {
                    live.get(&(route.shard, route.epoch)).is_some_and(|name| name == server)
                });
                let entry = seen.entry(route.shard).or_insert_with(|| owner.cloned());
                if owner.is_none() {
                    *entry = None;
                }
            }
        }
        for (shard, owner) in seen {
            self.note(now, shard, owner);
        }
    }

    fn note(&mut self, now: Instant, shard: ShardId, owner: Option<Name>) {
        let Some(owner) = owner else {
            self.since.entry(shard).or_insert(now);
            return;
        };
        if let Some(since) = self.since.remove(&shard) {
            self.note_gap(since);
        }
        let before = self.owners.insert(shard, owner.clone());
        if before.is_some_and(|before| before != owner) {
            self.changes += 1;
        }
    }

    fn note_gap(&mut self, since: Instant) {
        let gap_us = u64::try_from(since.elapsed().as_micros()).unwrap_or(LONGEST_GAP_US);
        self.gaps_us.saturating_record(gap_us);
    }
}
