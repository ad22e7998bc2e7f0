//! The state that the control thread and the traffic thread share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use document::{HashMap, HashSet, Name};
use proxy::{BufferBudget, Clock, SharedCrashTracker, Stop};
use registry::Incarnation;
use route::{CrashTracker, Fingerprint, Share};
use site::{Limits, Route};
use telemetry::{Counters, Metrics};
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::input::Input;
use crate::request::in_flight::InFlight;
use crate::request::reach::Reach;
use crate::request::report::RouteState;
use crate::{Dialect, LogSampler, View};

/// The state that the control thread and the traffic thread share.
#[derive(Debug)]
pub struct Shared {
    /// The clock for the arrivals and deadlines of requests.
    pub clock: Clock,
    /// The process's counters.
    pub counters: Arc<Counters>,
    /// The process's metrics.
    pub metrics: Metrics,
    pub(crate) dialect: Dialect,
    pub(crate) data_centre: Name,
    pub(crate) log_sampler: LogSampler,
    /// The requests that are under way.
    pub(crate) in_flight: Arc<InFlight>,
    /// Tracks requests that crash servers.
    pub(crate) crashes: SharedCrashTracker,
    view: ArcSwap<View>,
    view_changed: Notify,
    route_states: Mutex<HashMap<Name, Arc<RouteState>>>,
    /// Servers that said that they are leaving, until the control thread handles them.
    leaving: Mutex<HashSet<Incarnation>>,
    /// Which servers this daemon cannot reach.
    reach: Mutex<Reach>,
    /// The queue of the control thread.
    inputs: mpsc::Sender<Input>,
    /// The number of daemons.
    daemons: AtomicU32,
    /// This daemon's position among them, in the order of their names.
    position: AtomicU32,
    is_ready: AtomicBool,
    /// What a request that another daemon passes on has to name: callers can send any header, but only
    /// daemons read this one's entry in the store.
    pub(crate) relay_token: Name,
    /// Whether there may be daemons of an earlier version, which name no token.
    has_earlier_daemons: AtomicBool,
    /// Bounds the waits of requests while the process stops.
    pub(crate) stop: Stop,
    /// The memory for the bodies of all requests and answers.
    pub(crate) buffers: Arc<BufferBudget>,
}

/// How many servers a request may crash; after that it is refused.
const MAX_CRASHES: u32 = 3;

/// The largest number of routes whose mean latencies are kept.
const MAX_ROUTES: usize = 4_096;

impl Shared {
    /// Creates the shared state with an empty view.
    #[must_use]
    pub(crate) fn new(
        clock: Clock,
        counters: Arc<Counters>,
        metrics: Metrics,
        dialect: Dialect,
        data_centre: Name,
        buffers: Arc<BufferBudget>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            clock,
            counters,
            metrics,
            dialect,
            data_centre,
            log_sampler: LogSampler::default(),
            in_flight: Arc::new(InFlight::new(clock)),
            crashes: SharedCrashTracker::new(clock, CrashTracker::new(MAX_CRASHES)),
            view: ArcSwap::default(),
            view_changed: Notify::new(),
            route_states: Mutex::default(),
            leaving: Mutex::default(),
            reach: Mutex::default(),
            inputs,
            daemons: AtomicU32::new(1),
            position: AtomicU32::new(0),
            is_ready: AtomicBool::new(false),
            relay_token: format!("{:032x}", rand::random::<u128>()).into(),
            has_earlier_daemons: AtomicBool::new(true),
            stop: Stop::new(clock),
            buffers,
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view and wakes requests that wait for a change.
    pub fn replace_view(&self, view: View) {
        self.view.store(Arc::new(view));
        self.view_changed.notify_waiters();
    }

    /// Returns the notification that is sent when the view is replaced.
    pub(crate) fn view_changed(&self) -> &Notify {
        &self.view_changed
    }

    /// Returns whether there are other daemons, to which requests can be passed on.
    pub(crate) fn has_peers(&self) -> bool {
        !self.view.load().peers.is_empty()
    }

    /// Returns the limits on callers' connections and requests that are in force.
    pub(crate) fn limits(&self) -> Limits {
        self.view.load().site.as_ref().map_or_else(Limits::default, |site| site.limits())
    }

    /// Returns the state of a route, which is kept when the document changes.
    pub(crate) fn route_state(&self, route: &Route) -> Arc<RouteState> {
        let mut states = self.route_states.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = states.get(&route.name) {
            return Arc::clone(state);
        }
        if states.len() >= MAX_ROUTES {
            states.clear();
        }
        let state = Arc::new(RouteState::new(route.latency_target_ms));
        states.insert(route.name.clone(), Arc::clone(&state));
        state
    }

    /// Passes an input to the control thread; returns false if its queue is full.
    pub(crate) fn send_input(&self, input: Input) -> bool {
        self.inputs.try_send(input).is_ok()
    }

    /// Returns whether there may be daemons that pass requests on without a token.
    pub(crate) fn has_earlier_daemons(&self) -> bool {
        self.has_earlier_daemons.load(Ordering::Relaxed)
    }

    /// Sets whether there may be daemons that pass requests on without a token.
    pub(crate) fn set_earlier_daemons(&self, has_earlier_daemons: bool) {
        self.has_earlier_daemons.store(has_earlier_daemons, Ordering::Relaxed);
    }

    /// Returns the number of daemons, including this one.
    pub(crate) fn daemons(&self) -> u32 {
        self.daemons.load(Ordering::Relaxed)
    }

    /// Returns this daemon's equal part of a rate that all daemons share.
    pub(crate) fn share(&self) -> Share {
        Share { position: self.position.load(Ordering::Relaxed), daemons: self.daemons() }
    }

    /// Sets this daemon's position among all daemons, in the order of their names.
    pub(crate) fn set_position(&self, position: u32) {
        self.position.store(position, Ordering::Relaxed);
    }

    /// Sets the number of daemons, including this one.
    pub(crate) fn set_daemons(&self, daemons: u32) {
        self.daemons.store(daemons.max(1), Ordering::Relaxed);
    }

    /// Returns whether the platform should send callers to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Sets whether requests can be routed.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Records that a server said that it is leaving.
    pub(crate) fn on_leaving(&self, incarnation: &Incarnation) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        if !leaving.contains(incarnation) {
            leaving.insert(incarnation.clone());
        }
    }

    /// Returns the servers that have said since the last call that they are leaving.
    pub(crate) fn take_leaving(&self) -> HashSet<Incarnation> {
        std::mem::take(&mut self.leaving.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns which servers this daemon cannot reach.
    pub(crate) fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request crashed the server that ran it.
    pub(crate) fn on_crash(&self, fingerprint: Fingerprint, incarnation: &Incarnation) {
        let server = xxh3_64_with_seed(incarnation.server.as_bytes(), incarnation.born_ms);
        self.crashes.on_server_crash(fingerprint, server);
    }
}
