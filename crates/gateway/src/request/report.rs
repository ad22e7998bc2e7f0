//! Counts what the leader needs to know about requests.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use peer::{ServerLoad, ServiceLoad};
use registry::Incarnation;
use route::{Budget, Caller, FairShare, Rate};

/// The state of one service that is kept when the view is replaced.
#[derive(Debug)]
pub struct ServiceState {
    /// The service's name.
    pub name: Name,
    /// The remaining retries.
    pub budget: Budget,
    counts: Mutex<Counts>,
    fair_share: Mutex<FairShare>,
}

/// Counts since the last report.
#[derive(Debug, Default)]
struct Counts {
    /// The expected work of requests in microseconds, by key.
    keys: HashMap<u16, u32>,
    /// The answers of each server.
    servers: HashMap<Incarnation, ServerCounts>,
    /// The number of keyed requests and the sum of their expected work in microseconds.
    requests: u64,
    work_us: u64,
}

/// The answers of one server since the last report.
#[derive(Debug, Default)]
struct ServerCounts {
    answers: u32,
    /// The sum of their slowness in thousandths.
    slowness_milli: u64,
    /// The rate limit that the last one named.
    rate_limit: Option<Rate>,
}

/// The mean latency of a route.
#[derive(Debug)]
pub struct RouteState {
    /// The mean latency of answers in microseconds.
    mean_us: AtomicU32,
}

/// The weight of the latest answer in the mean, as a shift: 1/32.
const MEAN_WEIGHT_SHIFT: u32 = 5;
/// The initial mean latency is the latency target divided by this.
const INITIAL_MEAN_DIVISOR: u64 = 3;

impl ServiceState {
    /// Creates the state of a service without any counts.
    #[must_use]
    pub fn new(name: Name, budget: Budget) -> Self {
        Self { name, budget, counts: Mutex::default(), fair_share: Mutex::default() }
    }

    /// Handles a request for a key with its expected work.
    pub fn on_request(&self, key: u16, work_us: u32) {
        let mut counts = self.counts();
        *counts.keys.entry(key).or_default() += work_us;
        counts.requests += 1;
        counts.work_us += u64::from(work_us);
    }

    /// Handles a request that was refused for lack of room, or had to wait.
    pub(crate) fn on_unserved(&self, now_ms: u64, caller: Caller) {
        self.fair_share().on_unserved(now_ms, caller);
    }

    /// Returns whether a caller is refused before others.
    pub(crate) fn is_over_share(&self, now_ms: u64, caller: Caller) -> bool {
        self.fair_share().is_over_share(now_ms, caller)
    }

    /// Handles an answer of a server with its slowness, in thousandths, and the rate limit that it
    /// named.
    pub fn on_answer(
        &self,
        incarnation: &Incarnation,
        slowness_milli: u64,
        rate_limit: Option<Rate>,
    ) {
        let mut counts = self.counts();
        let of_server = match counts.servers.get_mut(incarnation) {
            Some(of_server) => of_server,
            None => counts.servers.entry(incarnation.clone()).or_default(),
        };
        of_server.answers += 1;
        of_server.slowness_milli += slowness_milli;
        of_server.rate_limit = rate_limit;
    }

    /// Returns and resets the counts.
    #[must_use]
    pub fn take_load(&self) -> ServiceLoad {
        let counts = std::mem::take(&mut *self.counts());
        let mean_work_us = counts.work_us / counts.requests.max(1);
        let servers = counts.servers.into_iter().map(|(incarnation, of_server)| ServerLoad {
            incarnation,
            answers: of_server.answers,
            slowness_milli: of_server.slowness_milli,
            max_load_milli: of_server.rate_limit.map(|rate| rate.load_milli(mean_work_us)),
        });
        ServiceLoad {
            service: self.name.clone(),
            keys: counts.keys.into_iter().collect(),
            servers: servers.collect(),
        }
    }

    fn fair_share(&self) -> MutexGuard<'_, FairShare> {
        self.fair_share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RouteState {
    /// Creates the state of a route from its latency target.
    #[must_use]
    pub fn new(latency_target_ms: u64) -> Self {
        let mean_us =
            u32::try_from(latency_target_ms * 1_000 / INITIAL_MEAN_DIVISOR).unwrap_or(u32::MAX);
        Self { mean_us: AtomicU32::new(mean_us.max(1)) }
    }

    /// Returns the mean latency of answers in microseconds.
    #[must_use]
    pub fn mean_us(&self) -> u32 {
        self.mean_us.load(Ordering::Relaxed)
    }

    /// Handles an answer; returns its latency relative to the mean, in thousandths.
    pub fn on_answer(&self, latency_us: u32) -> u64 {
        let mean_us = self.mean_us();
        let latest_us = latency_us.min(mean_us.saturating_mul(MAX_ANSWER_FACTOR));
        let next_us = mean_us - (mean_us >> MEAN_WEIGHT_SHIFT) + (latest_us >> MEAN_WEIGHT_SHIFT);
        self.mean_us.store(next_us.max(1), Ordering::Relaxed);
        u64::from(latency_us) * 1_000 / u64::from(mean_us)
    }
}

/// The largest multiple of the mean that a single answer counts with.
const MAX_ANSWER_FACTOR: u32 = 8;
