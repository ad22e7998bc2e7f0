//! What the request path reads.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, Guard};
use document::{HashMap, HashSet, Name};
use route::{Fingerprint, Service, Suspect, Suspects};
use telemetry::{Counters, Metrics};
use tokio::sync::Notify;

use crate::{Clock, Upstream};

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
    services: ArcSwap<Services>,
    changed: Notify,
    waiting: AtomicU32,
    refused: ArcSwap<HashSet<Fingerprint>>,
    // Taken only when a server has crashed, and when another daemon tells of that.
    suspects: Mutex<Suspects>,
    has_crash_news: AtomicBool,
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
            services: ArcSwap::default(),
            changed: Notify::new(),
            waiting: AtomicU32::new(0),
            refused: ArcSwap::default(),
            suspects: Mutex::default(),
            has_crash_news: AtomicBool::new(false),
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

    /// Returns the requests that are not sent on any more.
    #[must_use]
    pub fn refused(&self) -> Arc<HashSet<Fingerprint>> {
        self.refused.load_full()
    }

    /// Returns the requests that crashed servers, as this daemon counted them.
    #[must_use]
    pub fn own_suspects(&self) -> Vec<Suspect> {
        self.suspects().own(self.clock.now_ms())
    }

    /// Returns whether a server has crashed since the last call.
    pub fn take_crash_news(&self) -> bool {
        self.has_crash_news.swap(false, Ordering::Relaxed)
    }

    /// Lets requests through again whose crashes are long enough ago.
    pub fn forget_old_crashes(&self) {
        let mut suspects = self.suspects();
        suspects.forget(self.clock.now_ms());
        self.set_refused(&suspects);
    }

    /// Notes what another daemon has counted.
    pub fn note_suspects(&self, from: &Name, suspects: Vec<Suspect>) {
        let mut known = self.suspects();
        known.note_other(from, suspects);
        self.set_refused(&known);
    }

    /// Wakes the requests that wait for a change.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the service with a name.
    pub(crate) fn service(&self, name: &str) -> Option<Arc<Service<Upstream>>> {
        self.services.load().get(name).map(Arc::clone)
    }

    /// Returns whether a request is not sent on any more; it is looked at only if one is.
    pub(crate) fn is_refused(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let refused = self.refused.load();
        !refused.is_empty() && refused.contains(&fingerprint())
    }

    /// Notes that a request crashed the server that ran it; it is refused from the second
    /// time on, before anybody is answered.
    pub(crate) fn note_crash(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects();
        suspects.note_crash(self.clock.now_ms(), fingerprint);
        self.set_refused(&suspects);
        self.has_crash_news.store(true, Ordering::Relaxed);
    }

    fn set_refused(&self, suspects: &Suspects) {
        let refused = suspects.refused(self.clock.now_ms());
        if refused != **self.refused.load() {
            self.refused.store(Arc::new(refused));
        }
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
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
