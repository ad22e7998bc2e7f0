//! The state that the request path and the control thread share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::{ArcSwap, Guard};
use document::{HashMap, Name};
use route::{CrashTracker, Service};
use telemetry::{Counters, Metrics};
use tokio::sync::Notify;

use crate::{BufferBudget, Clock, SharedCrashTracker, Stop, Upstream};

/// The services in force, by name.
pub type Services = HashMap<Name, Arc<Service<Upstream>>>;

/// The state that the control thread and the request path share.
#[derive(Debug)]
pub struct Traffic {
    /// The monotonic clock by which deadlines are measured.
    pub clock: Clock,
    /// The counters that the daemon's metrics report.
    pub counters: Arc<Counters>,
    /// The metrics in which the latency of requests is recorded.
    pub metrics: Metrics,
    /// The limits on requests and connections.
    pub limits: TrafficLimits,
    /// Counts the crashes that requests caused; a request is refused after two of them.
    pub crashes: SharedCrashTracker,
    /// Bounds the waits of requests while the process stops.
    pub stop: Stop,
    /// The memory for the bodies of all requests.
    pub buffers: Arc<BufferBudget>,
    services: ArcSwap<Services>,
    /// Notified when waiting requests should read the services again.
    changed: Notify,
    /// The number of requests that wait for an owner.
    waiting: AtomicU32,
}

/// Limits on requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct TrafficLimits {
    /// The largest head of a request.
    pub max_head_bytes: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The time in which a caller has to send a head.
    pub head_timeout_ms: u64,
    /// The time after which an answer without progress is cut off.
    pub progress_timeout_ms: u64,
    /// The largest number of connections from callers.
    pub max_connections: u32,
    /// The largest number of requests that wait for an owner.
    pub max_waiting: u32,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout_ms: 5_000,
            progress_timeout_ms: 10_000,
            max_connections: 4_096,
            max_waiting: 1_024,
        }
    }
}

/// The right of a request to wait for an owner; dropping it releases it.
#[derive(Debug)]
pub(crate) struct WaitPermit<'a>(&'a AtomicU32);

impl Traffic {
    /// Creates the shared state, with no services in force yet.
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
            crashes: SharedCrashTracker::new(clock, CrashTracker::default()),
            stop: Stop::new(clock),
            buffers: Arc::new(BufferBudget::for_memory(None)),
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

    /// Puts services in force and wakes the requests that wait for a change.
    pub fn replace(&self, services: Services) {
        self.services.store(Arc::new(services));
        self.changed.notify_waiters();
    }

    /// Wakes the requests that wait for a change.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the service with this name, if there is one.
    pub(crate) fn service(&self, name: &str) -> Option<Arc<Service<Upstream>>> {
        self.services.load().get(name).map(Arc::clone)
    }

    /// Returns the notification that [`Traffic::replace`] and [`Traffic::wake`] send.
    pub(crate) fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Returns the permit to wait for an owner, unless too many requests wait.
    pub(crate) fn try_wait_permit(&self) -> Option<WaitPermit<'_>> {
        // If too many requests wait, the permit is dropped, which undoes the increment.
        let permit = WaitPermit(&self.waiting);
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        (before < self.limits.max_waiting).then_some(permit)
    }
}

impl Drop for WaitPermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
