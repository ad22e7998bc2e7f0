//! What the control thread and the traffic thread share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use document::{HashMap, HashSet, Name};
use proxy::Clock;
use registry::Life;
use route::{Fingerprint, Suspect, Suspects};
use site::{Limits, Route};
use telemetry::{Counters, Metrics};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::report::RouteState;
use crate::{Dialect, Lines, View};

/// What the control thread and the traffic thread share.
#[derive(Debug)]
pub struct Shared {
    /// The clock of requests.
    pub clock: Clock,
    /// The process's counters.
    pub counters: Arc<Counters>,
    /// The process's metrics.
    pub metrics: Metrics,
    pub(crate) dialect: Dialect,
    pub(crate) data_centre: Name,
    pub(crate) lines: Lines,
    view: ArcSwap<View>,
    changed: Notify,
    routes: Mutex<HashMap<Name, Arc<RouteState>>>,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    refused: ArcSwap<HashSet<Fingerprint>>,
    // Taken only when a server has crashed, and when another daemon tells of that.
    suspects: Mutex<Suspects>,
    has_crash_news: AtomicBool,
    /// Whether any request is suspected; answers are looked at only then.
    is_suspicious: AtomicBool,
}

/// How many servers a request may crash: the third crash is the last.
const MOST_CRASHES: u32 = 3;

/// The most routes whose mean times are remembered.
const MOST_ROUTES: usize = 4_096;

impl Shared {
    /// Creates the shared state of a process that knows nothing yet.
    #[must_use]
    pub fn new(
        clock: Clock,
        counters: Arc<Counters>,
        metrics: Metrics,
        dialect: Dialect,
        data_centre: Name,
    ) -> Self {
        Self {
            clock,
            counters,
            metrics,
            dialect,
            data_centre,
            lines: Lines::default(),
            view: ArcSwap::default(),
            changed: Notify::new(),
            routes: Mutex::default(),
            is_ready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            refused: ArcSwap::default(),
            suspects: Mutex::new(Suspects::new(MOST_CRASHES)),
            is_suspicious: AtomicBool::new(false),
            has_crash_news: AtomicBool::new(false),
        }
    }

    /// Returns what requests are routed by now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces what requests are routed by, and wakes those that wait for a change.
    pub fn replace(&self, view: View) {
        self.view.store(Arc::new(view));
        self.changed.notify_waiters();
    }

    pub(crate) fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Returns the limits of callers that are in force.
    pub(crate) fn limits(&self) -> Limits {
        self.view.load().site.as_ref().map_or_else(Limits::default, |site| site.limits())
    }

    /// Returns the state of a route, which outlives documents.
    pub(crate) fn route_state(&self, route: &Route) -> Arc<RouteState> {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = routes.get(&route.name) {
            return Arc::clone(state);
        }
        if routes.len() >= MOST_ROUTES {
            routes.clear();
        }
        let state = Arc::new(RouteState::new(route.aim_ms));
        routes.insert(route.name.clone(), Arc::clone(&state));
        state
    }

    /// Returns whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Sets whether everything is known that requests need.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the process is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Notes that the process is about to end.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether a request is not sent on any more; it is looked at only if one is.
    pub(crate) fn is_refused(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let refused = self.refused.load();
        !refused.is_empty() && refused.contains(&fingerprint())
    }

    /// Notes that a request crashed the server that ran it.
    pub(crate) fn note_crash(&self, fingerprint: Fingerprint, life: &Life) {
        let mut suspects = self.suspects();
        let server = xxh3_64_with_seed(life.server.as_bytes(), life.born_ms);
        suspects.note_crash_of(self.clock.now_ms(), fingerprint, server);
        self.is_suspicious.store(true, Ordering::Relaxed);
        self.set_refused(&suspects);
        self.has_crash_news.store(true, Ordering::Relaxed);
    }

    /// Notes that a server answered a request.
    pub(crate) fn note_answer(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.is_suspicious.load(Ordering::Relaxed) {
            let mut suspects = self.suspects();
            if suspects.note_answer(self.clock.now_ms(), fingerprint()) {
                self.set_refused(&suspects);
                self.is_suspicious.store(!suspects.is_empty(), Ordering::Relaxed);
            }
        }
    }

    /// Returns whether a server has crashed since the last call.
    pub(crate) fn take_crash_news(&self) -> bool {
        self.has_crash_news.swap(false, Ordering::Relaxed)
    }

    /// Notes what another daemon has counted; deadlines are lengths from now on.
    pub(crate) fn note_suspects(&self, from: &Name, suspects: Vec<Suspect>) {
        let now_ms = self.clock.now_ms();
        let to_deadline =
            |suspect: Suspect| Suspect { deadline_ms: now_ms + suspect.deadline_ms, ..suspect };
        let mut known = self.suspects();
        known.note_other(from, suspects.into_iter().map(to_deadline).collect());
        self.is_suspicious.store(!known.is_empty(), Ordering::Relaxed);
        self.set_refused(&known);
    }

    /// Returns what this daemon has counted; deadlines are lengths from now on.
    pub(crate) fn own_suspects(&self) -> Vec<Suspect> {
        let now_ms = self.clock.now_ms();
        let to_length = |suspect: Suspect| Suspect {
            deadline_ms: suspect.deadline_ms.saturating_sub(now_ms),
            ..suspect
        };
        self.suspects().own(now_ms).into_iter().map(to_length).collect()
    }

    /// Lets requests through again whose crashes are long enough ago.
    pub(crate) fn forget_old_crashes(&self) {
        let mut suspects = self.suspects();
        suspects.forget(self.clock.now_ms());
        self.set_refused(&suspects);
        self.is_suspicious.store(!suspects.is_empty(), Ordering::Relaxed);
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
}
