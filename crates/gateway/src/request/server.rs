//! The state of one server for routing requests.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use document::{Server as Description, ServerState};
use proxy::{Clock, Upstream};
use registry::Registration;
use route::{Rate, RateLimiter, ServerState as _, Turn};

/// A server with its connections and its measured speed.
#[derive(Debug)]
pub struct Server {
    /// What the server reported when this daemon first saw it.
    pub registration: Arc<Registration>,
    /// Its connections and admission.
    pub upstream: Arc<Upstream>,
    clock: Clock,
    /// The latency of the server relative to the mean of its routes, in thousandths.
    slowness_milli: AtomicU32,
    /// The rate limit that its last answer named, in thousandths of a request per second;
    /// `NO_RATE_LIMIT` if it named none.
    rate_limit_milli: AtomicU64,
    /// The turns that this daemon takes while the keeper of the server's turns does not reply.
    own_turns: Mutex<RateLimiter>,
    /// Until when the keeper of its turns is not asked.
    keeper_silence_deadline_ms: AtomicU64,
    /// Until when it has no turn for a request.
    full_deadline_ms: AtomicU64,
    /// When the server stops getting new work; `u64::MAX` while it stays.
    closes_at_ms: AtomicU64,
    /// Whether its data centre is evacuated.
    is_evacuated: AtomicBool,
}

/// The weight of the latest answer in the moving average.
const SLOWNESS_WEIGHT: f32 = 0.08;
/// The largest slowness that a single answer counts with.
const MAX_SLOWNESS: f32 = 8.0;
/// The least slowness of a server: answers that are quick because they are small say little.
const MIN_SLOWNESS: f32 = 0.3;

/// The value of `rate_limit_milli` while there is no limit.
const NO_RATE_LIMIT: u64 = u64::MAX;

impl Server {
    /// Creates the state of a server that `daemons` daemons send requests to.
    #[must_use]
    pub fn new(
        registration: &Arc<Registration>,
        max_connections: u32,
        daemons: u32,
        clock: Clock,
    ) -> Self {
        let description = Description {
            name: registration.incarnation.server.clone(),
            address: registration.address,
            data_centre: registration.data_centre.clone(),
            slots: registration.slots,
            max_connections,
            key_groups: Vec::new(),
            state: ServerState::Serving,
            checks_fence: true,
        };
        Self {
            registration: Arc::clone(registration),
            upstream: Arc::new(Upstream::new(description, daemons, clock)),
            clock,
            slowness_milli: AtomicU32::new(1_000),
            rate_limit_milli: AtomicU64::new(NO_RATE_LIMIT),
            own_turns: Mutex::new(RateLimiter::default()),
            keeper_silence_deadline_ms: AtomicU64::new(0),
            full_deadline_ms: AtomicU64::new(0),
            closes_at_ms: AtomicU64::new(u64::MAX),
            is_evacuated: AtomicBool::new(false),
        }
    }

    /// Returns the latency of the server relative to the mean of its routes.
    #[must_use]
    pub fn slowness(&self) -> f32 {
        to_f32(self.slowness_milli()) / 1_000.0
    }

    /// Returns [`Server::slowness`] in thousandths.
    #[must_use]
    pub fn slowness_milli(&self) -> u32 {
        self.slowness_milli.load(Ordering::Relaxed)
    }

    /// Handles an answer with its latency relative to the mean of its route.
    pub fn on_slowness(&self, slowness: f32) {
        let known = self.slowness();
        let latest = slowness.clamp(0.0, MAX_SLOWNESS);
        let mean = (known + SLOWNESS_WEIGHT * (latest - known)).max(MIN_SLOWNESS);
        self.slowness_milli.store(to_milli(mean), Ordering::Relaxed);
    }

    /// Returns the rate limit that the server's last answer named.
    #[must_use]
    pub fn rate_limit(&self) -> Option<Rate> {
        let milli_per_s = self.rate_limit_milli.load(Ordering::Relaxed);
        (milli_per_s != NO_RATE_LIMIT).then_some(Rate::from_milli_per_s(milli_per_s))
    }

    /// Sets the rate limit that an answer named, and returns the previous one.
    pub fn set_rate_limit(&self, limit: Option<Rate>) -> Option<Rate> {
        let milli_per_s = limit.map_or(NO_RATE_LIMIT, Rate::milli_per_s);
        let previous = self.rate_limit_milli.swap(milli_per_s, Ordering::Relaxed);
        (previous != NO_RATE_LIMIT).then_some(Rate::from_milli_per_s(previous))
    }

    /// Takes a turn without the keeper of the server's turns.
    pub(crate) fn take_own_turn(&self, rate: Rate, max_wait_ms: u64) -> Turn {
        let now_ms = self.clock.now_ms();
        let mut turns = self.own_turns.lock().unwrap_or_else(PoisonError::into_inner);
        if turns.is_idle(now_ms, rate) {
            // Daemons that lose the keeper together do not start together.
            *turns = RateLimiter::new(now_ms, rate, rand::random());
        }
        turns.take(now_ms, max_wait_ms, rate)
    }

    /// Returns whether the keeper of the server's turns has not replied for a moment.
    pub(crate) fn is_keeper_silent(&self) -> bool {
        self.clock.now_ms() < self.keeper_silence_deadline_ms.load(Ordering::Relaxed)
    }

    /// Handles that the keeper of the server's turns did not reply; it is not asked for a while.
    pub(crate) fn on_silent_keeper(&self, for_ms: u64) {
        self.keeper_silence_deadline_ms.store(self.clock.now_ms() + for_ms, Ordering::Relaxed);
    }

    /// Sends no request to the server for some time, because there is no turn for it.
    pub(crate) fn refuse_turns(&self, for_ms: u64) {
        self.full_deadline_ms.store(self.clock.now_ms() + for_ms, Ordering::Relaxed);
    }

    /// Returns how much longer the server gets no request, because it asked for that or has no
    /// turn; 0 if it gets some.
    #[must_use]
    pub fn pause_remaining_ms(&self) -> u64 {
        let full_deadline_ms = match self.rate_limit() {
            Some(_) => self.full_deadline_ms.load(Ordering::Relaxed),
            None => 0,
        };
        let full_remaining_ms = full_deadline_ms.saturating_sub(self.clock.now_ms());
        self.upstream.pause_remaining_ms().max(full_remaining_ms)
    }

    /// Returns whether the server may get a request now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.clock.now_ms() < self.closes_at_ms.load(Ordering::Relaxed)
    }

    /// Returns whether the server failed recently.
    #[must_use]
    pub fn is_avoided(&self) -> bool {
        self.upstream.is_avoided(self.clock.now_ms())
    }

    /// Stops new work after a delay, unless it stops earlier already.
    pub fn close_in(&self, delay_ms: u64) {
        self.close_at(self.clock.now_ms() + delay_ms);
    }

    /// Stops new work at a time, unless it stops earlier already.
    pub fn close_at(&self, at_ms: u64) {
        self.closes_at_ms.fetch_min(at_ms, Ordering::Relaxed);
    }

    /// Sets whether the server's data centre is evacuated.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Returns whether the server's data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Allows new work again: the server is listed as ready.
    pub fn reopen(&self) {
        self.closes_at_ms.store(u64::MAX, Ordering::Relaxed);
    }

    /// Returns how many requests this daemon has at the server, including those that wait.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        let (in_flight, waiting, _) = self.upstream.occupancy();
        in_flight + u32::try_from(waiting).unwrap_or(u32::MAX)
    }
}

fn to_f32(milli: u32) -> f32 {
    f32::from(u16::try_from(milli).unwrap_or(u16::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "slowness is from 0 to 8"
)]
fn to_milli(slowness: f32) -> u32 {
    (slowness * 1_000.0) as u32
}
