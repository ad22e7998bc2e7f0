//! What the request path reads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::{ArcSwap, Guard};
use document::{HashMap, Name};
use route::{CrashTracker, Service};
use telemetry::{Counters, Metrics};
use tokio::sync::Notify;

use crate::{Clock, Crashes, Upstream};

/// The services in force, by name.
pub type Services = HashMap<Name, Arc<Service<Upstream>>>;

/// What the control thread and the request path share.
#[derive(Debug)]
pub struct Traffic {
    /// The process's clock.
    pub clock: Clock,
    /// The process's counters.
    pub counters: Arc<Counters>,
    /// The process's metrics.
    pub metrics: Metrics,
    /// Bounds of requests.
    pub limits: TrafficLimits,
    /// Requests that crash servers; they are refused from the second time on.
    pub crashes: Crashes,
    services: ArcSwap<Services>,
    changed: Notify,
    waiting: AtomicU32,
}

/// Bounds of requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct TrafficLimits {
    /// The longest head of a request.
    pub head_bytes: usize,
    /// The longest body of a request.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout_ms: u64,
    /// How long an answer's body may make no progress.
    pub progress_timeout_ms: u64,
    /// How many callers' connections are taken.
    pub connections: u32,
    /// How many requests may wait for an owner.
    pub waiting: u32,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout_ms: 5_000,
            progress_timeout_ms: 10_000,
            connections: 4_096,
            waiting: 1_024,
        }
    }
}

/// A place among the requests that wait; it is given back when dropped.
#[derive(Debug)]
pub(crate) struct WaitPlace<'a>(&'a AtomicU32);

impl Traffic {
    /// Creates the shared state of a process without services.
    #[must_use]
    pub fn new(
        clock: Clock,
        counters: Arc<Counters>,
        metrics: Metrics,
        limits: TrafficLimits,
    ) -> Self {
        Self {
            clock,
            counters,
            metrics,
            limits,
            crashes: Crashes::new(clock, CrashTracker::default()),
            services: ArcSwap::default(),
            changed: Notify::new(),
            waiting: AtomicU32::new(0),
        }
    }

    /// Returns the services in force.
    #[must_use]
    pub fn services(&self) -> Guard<Arc<Services>> {
        self.services.load()
    }

    /// Puts services in force, and wakes the requests that wait for a change.
    pub fn replace(&self, services: Services) {
        self.services.store(Arc::new(services));
        self.changed.notify_waiters();
    }

    /// Wakes the requests that wait for a change.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the service with a name.
    pub(crate) fn service(&self, name: &str) -> Option<Arc<Service<Upstream>>> {
        self.services.load().get(name).map(Arc::clone)
    }

    pub(crate) fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Takes a place among the requests that wait for an owner, if there is one.
    pub(crate) fn wait_place(&self) -> Option<WaitPlace<'_>> {
        let place = WaitPlace(&self.waiting);
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        (before < self.limits.waiting).then_some(place)
    }
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
