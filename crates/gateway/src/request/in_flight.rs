//! The requests that are under way, and what each of them waits for.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use http::HeaderValue;
use proxy::Clock;
use registry::Incarnation;
use site::Route;
use tokio::sync::Notify;

/// The requests that are under way in a process.
#[derive(Debug)]
pub(crate) struct InFlight {
    clock: Clock,
    next_number: AtomicU64,
    requests: Mutex<HashMap<u64, Arc<Progress>>>,
    /// Notified when no request is under way.
    idle: Notify,
    /// How many requests that the stop ended were named in the log.
    named: AtomicUsize,
}

/// How far a request is.
#[derive(Debug)]
pub(crate) struct Progress {
    id: Option<HeaderValue>,
    arrived_at_ms: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    route: Option<Arc<Route>>,
    key: Option<u16>,
    stage: Stage,
    since_ms: u64,
}

/// What a request waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// For the rest of its body.
    Body,
    /// For an owner of its key, or for a server to be chosen.
    Owner,
    /// For room at a server.
    Room(Incarnation),
    /// For a turn at a server that limits its rate.
    Turn(Incarnation),
    /// For the answer of a server.
    Server(Incarnation),
    /// For the answer of another daemon.
    Daemon(Name),
    /// For the caller to read the answer.
    Caller,
}

/// A request that is under way until this is dropped.
#[derive(Debug)]
pub(crate) struct Tracked {
    in_flight: Arc<InFlight>,
    number: u64,
    progress: Arc<Progress>,
}

/// The most requests that a stop names in the log.
const MAX_LOGGED: usize = 256;

impl InFlight {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            next_number: AtomicU64::new(0),
            requests: Mutex::default(),
            idle: Notify::new(),
            named: AtomicUsize::new(0),
        }
    }

    /// Tracks a request whose head has arrived.
    pub(crate) fn begin(self: &Arc<Self>, id: Option<HeaderValue>) -> Tracked {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let now_ms = self.clock.now_ms();
        let state = State { route: None, key: None, stage: Stage::Body, since_ms: now_ms };
        let progress = Arc::new(Progress { id, arrived_at_ms: now_ms, state: Mutex::new(state) });
        self.requests().insert(number, Arc::clone(&progress));
        Tracked { in_flight: Arc::clone(self), number, progress }
    }

    /// Waits until no request is under way.
    pub(crate) async fn ended(&self) {
        let idle = self.idle.notified();
        if !self.requests().is_empty() {
            idle.await;
        }
    }

    /// Returns whether the log may name another request that the stop ended.
    pub(crate) fn may_name_stopped(&self) -> bool {
        self.named.fetch_add(1, Ordering::Relaxed) < MAX_LOGGED
    }

    /// Logs what the requests that are left wait for; they end unanswered.
    pub(crate) fn log_cut_off(&self, connections: usize) {
        let requests = self.requests();
        let now_ms = self.clock.now_ms();
        spdlog::warn!(
            "requests cut off at the end of the graceful stop",
            kv: { connections, requests = requests.len() }
        );
        for request in requests.values().take(MAX_LOGGED) {
            request.log_cut_off(now_ms);
        }
    }

    fn requests(&self) -> MutexGuard<'_, HashMap<u64, Arc<Progress>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Progress {
    fn log_cut_off(&self, now_ms: u64) {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        let (waits_for, at, waited_ms) = self.describe(now_ms);
        let state = self.state();
        spdlog::warn!(
            "request cut off",
            kv: {
                request = id, route = state.route.as_ref().map_or("-", |route| route.name.as_str()),
                key:? = state.key, waits_for, at = at.as_str(),
                held_ms = now_ms.saturating_sub(self.arrived_at_ms),
                waited_ms
            }
        );
    }

    /// Returns what the request waits for, at which server or daemon, and for how long.
    fn describe(&self, now_ms: u64) -> (&'static str, String, u64) {
        let state = self.state();
        let (waits_for, at) = state.stage.describe();
        (waits_for, at, now_ms.saturating_sub(state.since_ms))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tracked {
    /// Records the route of the request, whose body has arrived.
    pub(crate) fn on_read(&self, route: &Arc<Route>, key: Option<u16>) {
        let mut state = self.progress.state();
        state.route = Some(Arc::clone(route));
        state.key = key;
    }

    /// Returns what the request waits for, at which server or daemon, and for how long.
    pub(crate) fn describe(&self) -> (&'static str, String, u64) {
        self.progress.describe(self.in_flight.clock.now_ms())
    }

    /// Records what the request waits for from now on.
    pub(crate) fn wait_for(&self, stage: Stage) {
        let now_ms = self.in_flight.clock.now_ms();
        let mut known = self.progress.state();
        known.stage = stage;
        known.since_ms = now_ms;
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let mut requests = self.in_flight.requests();
        requests.remove(&self.number);
        if requests.is_empty() {
            self.in_flight.idle.notify_waiters();
        }
    }
}

impl Stage {
    /// Returns what is waited for, and at which server or daemon.
    fn describe(&self) -> (&'static str, String) {
        match self {
            Self::Body => ("body", "-".to_owned()),
            Self::Owner => ("owner", "-".to_owned()),
            Self::Room(server) => ("room at the server", server.to_string()),
            Self::Turn(server) => ("turn at the server", server.to_string()),
            Self::Server(server) => ("answer of the server", server.to_string()),
            Self::Daemon(daemon) => ("answer of the daemon", daemon.to_string()),
            Self::Caller => ("caller", "-".to_owned()),
        }
    }
}
