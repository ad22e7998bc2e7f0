//! What requests did, for the leader.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use peer::{ServerLoad, ServiceLoad};
use registry::Incarnation;
use route::Budget;

/// What outlives the snapshots of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// The name.
    pub name: Name,
    /// The retries that are left.
    pub budget: Budget,
    counts: Mutex<Counts>,
}

/// What requests did since the last report.
#[derive(Debug, Default)]
struct Counts {
    keys: HashMap<u16, u32>,
    servers: HashMap<Incarnation, (u32, u64)>,
}

/// How long a route's requests take.
#[derive(Debug)]
pub struct RouteState {
    /// The mean time of an answer, in microseconds.
    mean_us: AtomicU32,
}

/// How much the latest answer counts, as a shift: a 32nd.
const WEIGHT_SHIFT: u32 = 5;
/// The part of a route's aim that its answers are expected to take at first.
const AIM_PART: u64 = 3;

impl ServiceState {
    /// Creates the state of a service.
    #[must_use]
    pub fn new(name: Name, budget: Budget) -> Self {
        Self { name, budget, counts: Mutex::default() }
    }

    /// Notes a request for a key that is expected to take some time.
    pub fn note_request(&self, key: u16, work_us: u32) {
        *self.counts().keys.entry(key).or_default() += work_us;
    }

    /// Notes an answer that took some times as long as the route's mean, in thousandths.
    pub fn note_answer(&self, incarnation: &Incarnation, slowness_milli: u64) {
        let mut counts = self.counts();
        if let Some((answers, sum)) = counts.servers.get_mut(incarnation) {
            *answers += 1;
            *sum += slowness_milli;
        } else {
            counts.servers.insert(incarnation.clone(), (1, slowness_milli));
        }
    }

    /// Takes what was counted since the last call.
    #[must_use]
    pub fn take(&self) -> ServiceLoad {
        let counts = std::mem::take(&mut *self.counts());
        let servers = counts.servers.into_iter().map(|(incarnation, (answers, slowness_milli))| {
            ServerLoad { incarnation, answers, slowness_milli }
        });
        ServiceLoad {
            service: self.name.clone(),
            keys: counts.keys.into_iter().collect(),
            servers: servers.collect(),
        }
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouteState {
    /// Creates the state of a route that aims at some time.
    #[must_use]
    pub fn new(aim_ms: u64) -> Self {
        let mean_us = u32::try_from(aim_ms * 1_000 / AIM_PART).unwrap_or(u32::MAX);
        Self { mean_us: AtomicU32::new(mean_us.max(1)) }
    }

    /// Returns the mean time of an answer.
    #[must_use]
    pub fn mean_us(&self) -> u32 {
        self.mean_us.load(Ordering::Relaxed)
    }

    /// Notes an answer; returns its time against the mean, in thousandths.
    pub fn note_answer(&self, time_us: u32) -> u64 {
        let mean_us = self.mean_us();
        let latest_us = time_us.min(mean_us.saturating_mul(MOST_TIMES));
        let next_us = mean_us - (mean_us >> WEIGHT_SHIFT) + (latest_us >> WEIGHT_SHIFT);
        self.mean_us.store(next_us.max(1), Ordering::Relaxed);
        u64::from(time_us) * 1_000 / u64::from(mean_us)
    }
}

/// A single answer counts as at most this many times the mean.
const MOST_TIMES: u32 = 8;
