//! The state of one server for routing requests.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use document::{Server as Description, ServerState};
use proxy::{Clock, Upstream};
use registry::Registration;
use route::{
    ColdLimit, ColdTime, FailureShare, Familiarity, LoadHistory, Pace, PaceState, Rate,
    RateLimiter, ServerLoad, ServerState as _, Share, SharedTurns, Trial, Turn, Warmth,
};

use crate::request::speed::{Speed, to_f32, to_milli};

/// A server with its connections and its measured speed.
#[derive(Debug)]
pub struct Server {
    /// What the server reported when this daemon first saw it.
    pub registration: Arc<Registration>,
    /// Its connections and admission.
    pub upstream: Arc<Upstream>,
    clock: Clock,
    /// Its speed, measured by its answers.
    speed: Speed,
    /// The rate limit that its last answer named, in thousandths of a request per second;
    /// `NO_RATE_LIMIT` if it named none.
    rate_limit_milli: AtomicU64,
    /// The load that it reported; locked for a few instructions only.
    load: Mutex<Option<LoadHistory>>,
    failures: Mutex<FailureShare>,
    /// The share of its requests that it failed, in thousandths; 0 unless it counts as failing.
    failing_milli: AtomicU32,
    /// Until when it counts as failing without another failure.
    failing_deadline_ms: AtomicU64,
    /// When a request may next be sent to it as a probe.
    probe_at_ms: AtomicU64,
    /// The turns that this daemon takes while the keeper of the server's turns does not reply.
    own_turns: Mutex<RateLimiter>,
    /// The same while the server is cold.
    own_cold_turns: Mutex<SharedTurns>,
    /// How many requests it gets while it is cold; `None` if that is not limited.
    cold_limit: Mutex<Option<ColdLimit>>,
    /// How long it is cold after a start; 0 if unknown.
    warmup_ms: AtomicU64,
    /// Until when it is cold.
    cold_deadline_ms: AtomicU64,
    /// The limit on the requests in flight after it started or recovered; `None` after that.
    pace: Mutex<Option<Pace>>,
    /// Whether it starts slowly after it started or recovered.
    has_slow_start: AtomicBool,
    /// Whether there is a `pace`, read without taking its lock.
    is_paced: AtomicBool,
    /// Whether the log says that it starts slowly.
    is_pace_logged: AtomicBool,
    /// The number of daemons that share its slots.
    daemons: AtomicU32,
    /// Whether the log says that it is cold.
    is_cold_logged: AtomicBool,
    /// Until when the keeper of its turns is not asked.
    keeper_silence_deadline_ms: AtomicU64,
    /// Until when it has no turn for a request.
    full_deadline_ms: AtomicU64,
    /// When the server stops getting new work; `u64::MAX` while it stays.
    closes_at_ms: AtomicU64,
    /// Whether its data centre is evacuated.
    is_evacuated: AtomicBool,
}

/// The longest time for which a single report makes a server count as cold.
///
/// A report that is wrong does not limit a server for longer.
const MAX_COLD_MS: u64 = 600_000;
/// How long a report counts when further answers have none.
const LOAD_VALID_MS: u64 = 10_000;

/// The time between two probes of a server that fails many requests.
const PROBE_INTERVAL_MS: u64 = 1_000;

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
            speed: Speed::new(),
            rate_limit_milli: AtomicU64::new(NO_RATE_LIMIT),
            load: Mutex::default(),
            failures: Mutex::default(),
            failing_milli: AtomicU32::new(0),
            failing_deadline_ms: AtomicU64::new(0),
            probe_at_ms: AtomicU64::new(0),
            own_turns: Mutex::new(RateLimiter::default()),
            own_cold_turns: Mutex::default(),
            cold_limit: Mutex::default(),
            warmup_ms: AtomicU64::new(0),
            cold_deadline_ms: AtomicU64::new(0),
            pace: Mutex::default(),
            has_slow_start: AtomicBool::new(false),
            is_paced: AtomicBool::new(false),
            is_pace_logged: AtomicBool::new(false),
            daemons: AtomicU32::new(daemons),
            is_cold_logged: AtomicBool::new(false),
            keeper_silence_deadline_ms: AtomicU64::new(0),
            full_deadline_ms: AtomicU64::new(0),
            closes_at_ms: AtomicU64::new(u64::MAX),
            is_evacuated: AtomicBool::new(false),
        }
    }

    /// Returns how long work takes at a server that reports its load, relative to the usual time,
    /// or else the latency of the server relative to the mean of its routes.
    #[must_use]
    pub fn slowness(&self) -> f32 {
        let reported = self.load().map(|load| load.work(self.clock.now_ms()));
        reported.unwrap_or_else(|| self.speed.slowness())
    }

    /// Returns the figure for the leader in thousandths: the latest duration of work that the
    /// server reported, or else the mean latency relative to that of its routes.
    #[must_use]
    pub fn slowness_milli(&self) -> u32 {
        self.load()
            .map_or_else(|| self.speed.slowness_milli(), |load| load.latest().work_percent * 10)
    }

    /// Handles an answer with its latency relative to the mean of its route.
    pub fn on_slowness(&self, slowness: f32) {
        self.speed.on_answer(self.clock.now_ms(), slowness);
    }

    /// Returns whether a request that is drawn for the server goes to it, so that its speed becomes
    /// known.
    pub(crate) fn take_trial(&self) -> bool {
        let answered_ago_ms = self.clock.now_ms().saturating_sub(self.speed.answered_at_ms());
        let familiarity = Familiarity {
            occupied: self.occupied(),
            answers: self.speed.answers(),
            answered_ago_ms: self.has_slow_start().then_some(answered_ago_ms),
            slowness: self.speed.slowness(),
            is_paced: self.is_paced(),
            has_reports: self.has_load(),
        };
        let trial = familiarity.trial();
        if trial == Trial::None || self.cold_limit().is_some() {
            return false;
        }
        if trial == Trial::Again {
            self.speed.set_outdated();
        }
        true
    }

    /// Handles the load that an answer reported; `None` if it reported none.
    pub fn set_load(&self, reported: Option<ServerLoad>) {
        let now_ms = self.clock.now_ms();
        let own = self.upstream.load();
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        match (reported, &mut *load) {
            (Some(reported), Some(load)) => load.add(reported, now_ms, own),
            (Some(reported), None) => *load = Some(LoadHistory::new(reported, now_ms, own)),
            (None, Some(known)) if known.age_ms(now_ms) > LOAD_VALID_MS => *load = None,
            (None, _) => {}
        }
    }

    /// Returns whether the server reports its load.
    #[must_use]
    pub fn has_load(&self) -> bool {
        self.load().is_some()
    }

    /// Handles an answer of the server, or the lack of one.
    pub fn on_outcome(&self, is_failure: bool) {
        let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures.on_outcome(self.clock.now_ms(), is_failure);
        self.failing_deadline_ms.store(failures.deadline_ms(), Ordering::Relaxed);
        self.failing_milli.store(to_milli(failures.failing()), Ordering::Relaxed);
    }

    /// Returns the share of its requests that the server failed if it counts as failing, or else 0.
    pub(crate) fn failing_share(&self, now_ms: u64) -> f32 {
        let milli = self.failing_milli.load(Ordering::Relaxed);
        let is_valid = milli > 0 && now_ms < self.failing_deadline_ms.load(Ordering::Relaxed);
        if is_valid { to_f32(milli) / 1_000.0 } else { 0.0 }
    }

    /// Returns whether the server is to be probed now; then it is not for some time.
    pub(crate) fn take_probe(&self, now_ms: u64) -> bool {
        let probe_at_ms = self.probe_at_ms.load(Ordering::Relaxed);
        if now_ms < probe_at_ms || self.upstream.load() > 0 {
            return false;
        }
        let (next_ms, order) = (now_ms + PROBE_INTERVAL_MS, Ordering::Relaxed);
        self.probe_at_ms.compare_exchange(probe_at_ms, next_ms, order, order).is_ok()
    }

    fn load(&self) -> Option<LoadHistory> {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Sets how many requests the server gets while it is cold, and for how long it is after a
    /// start.
    pub fn set_cold_limit(&self, limit: Option<ColdLimit>, warmup_ms: u64) {
        self.warmup_ms.store(warmup_ms, Ordering::Relaxed);
        *self.cold_limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    /// Handles a report that the server stays cold for some time.
    ///
    /// An earlier report of a longer time stays in force, because reports may arrive out of order.
    pub fn on_cold(&self, for_ms: u64) {
        if for_ms > 0 {
            let deadline_ms = self.clock.now_ms() + for_ms.min(MAX_COLD_MS);
            self.cold_deadline_ms.fetch_max(deadline_ms, Ordering::Relaxed);
        }
    }

    /// Handles that no process listens at the server's address.
    ///
    /// The next one there is cold, and requests may reach it before its entry is known.
    pub fn on_down(&self) {
        self.on_cold(self.warmup_ms.load(Ordering::Relaxed));
    }

    /// Returns how many requests the server gets now from all daemons together because it is cold.
    #[must_use]
    pub fn cold_limit(&self) -> Option<ColdLimit> {
        let limit = || *self.cold_limit.lock().unwrap_or_else(PoisonError::into_inner);
        if self.warmth() == Warmth::Cold { limit() } else { None }
    }

    /// Returns whether the server may be cold again, and has not answered the request that is to
    /// tell.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let has_limit = || self.cold_limit.lock().unwrap_or_else(PoisonError::into_inner).is_some();
        self.cold_deadline_ms.load(Ordering::Relaxed) > 0
            && self.warmth() == Warmth::Unconfirmed
            && self.occupied() > 0
            && has_limit()
    }

    fn warmth(&self) -> Warmth {
        let cold_time = ColdTime {
            deadline_ms: self.cold_deadline_ms.load(Ordering::Relaxed),
            answered_at_ms: self.speed.answered_at_ms(),
        };
        cold_time.warmth(self.clock.now_ms())
    }

    /// Returns the limit that a service sets for a rate at which other daemons ask for turns.
    ///
    /// The keeper may learn later than they do that the server is cold.
    pub(crate) fn cold_limit_at(&self, rate: Rate) -> Option<ColdLimit> {
        let limit = *self.cold_limit.lock().unwrap_or_else(PoisonError::into_inner);
        let is_cold = self.clock.now_ms() < self.cold_deadline_ms.load(Ordering::Relaxed);
        limit.filter(|limit| is_cold || rate == limit.rate())
    }

    /// Returns whether the server is cold, if that differs from what the log says last.
    pub(crate) fn take_cold_change(&self) -> Option<bool> {
        let is_cold = self.cold_limit().is_some();
        let was_cold = self.is_cold_logged.swap(is_cold, Ordering::Relaxed);
        (is_cold != was_cold).then_some(is_cold)
    }

    /// Sets whether the server starts slowly, and how many daemons share its slots.
    pub fn set_slow_start(&self, has_slow_start: bool, daemons: u32) {
        self.has_slow_start.store(has_slow_start, Ordering::Relaxed);
        self.daemons.store(daemons, Ordering::Relaxed);
        if !has_slow_start && self.is_paced() {
            self.replace_pace(&mut self.pace(), None);
        }
    }

    /// Returns whether the server starts slowly after it started or recovered.
    pub(crate) fn has_slow_start(&self) -> bool {
        self.has_slow_start.load(Ordering::Relaxed)
    }

    /// Handles that the server began to serve during traffic, or may have been restarted.
    ///
    /// A rate that the server or its service names takes precedence.
    pub fn start_slowly(&self) {
        if !self.has_slow_start() || self.rate_limit().is_some() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut known = self.pace();
        if let Some(mut pace) = *known {
            pace.on_lost(now_ms);
            self.replace_pace(&mut known, Some(pace));
            return;
        }
        let daemons = self.daemons.load(Ordering::Relaxed);
        let usual = f64::from(self.slowness());
        let pace = Pace::new(now_ms, self.registration.slots, daemons, usual);
        self.replace_pace(&mut known, Some(pace));
    }

    /// Returns whether the server is in a slow start.
    #[must_use]
    pub fn is_paced(&self) -> bool {
        self.is_paced.load(Ordering::Relaxed)
    }

    /// Handles an event of a slow start, if there is one.
    pub fn update_pace(&self, on_event: impl FnOnce(&mut Pace, u64) -> PaceState) {
        if !self.is_paced() {
            return;
        }
        let mut known = self.pace();
        let Some(mut pace) = *known else { return };
        let state = on_event(&mut pace, self.clock.now_ms());
        if state == PaceState::Ended {
            // What was measured so far is the speed of a cold server.
            self.speed.forget();
        }
        let is_ended = state == PaceState::Ended || self.rate_limit().is_some();
        self.replace_pace(&mut known, (!is_ended).then_some(pace));
    }

    /// Replaces the slow start; its lock is held, so that the limit is always that of the latest.
    fn replace_pace(&self, known: &mut Option<Pace>, pace: Option<Pace>) {
        *known = pace;
        self.is_paced.store(pace.is_some(), Ordering::Relaxed);
        self.upstream.set_cap(pace.map_or(u32::MAX, |pace| pace.limit()));
    }

    fn pace(&self) -> MutexGuard<'_, Option<Pace>> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of slots that the choice between servers counts with: a part of them
    /// during a slow start.
    pub(crate) fn usable_slots(&self) -> u32 {
        let slots = self.registration.slots;
        let pace = if self.is_paced() { *self.pace() } else { None };
        pace.map_or(slots, |pace| {
            let usable = u64::from(slots) * u64::from(pace.limit()) / u64::from(pace.share());
            u32::try_from(usable).unwrap_or(slots).max(1)
        })
    }

    /// Returns whether the server starts slowly, if that differs from what the log says last.
    pub(crate) fn take_pace_change(&self) -> Option<bool> {
        let is_paced = self.is_paced();
        let was_paced = self.is_pace_logged.swap(is_paced, Ordering::Relaxed);
        (is_paced != was_paced).then_some(is_paced)
    }

    /// Returns whether this daemon may send the server another request at once.
    pub(crate) fn has_free_slot(&self) -> bool {
        let (in_flight, waiting, limit) = self.upstream.occupancy();
        waiting == 0 && in_flight < limit
    }

    /// Takes a turn at a cold server without the keeper of its turns.
    pub(crate) fn take_own_cold_turn(&self, rate: Rate, share: Share, max_wait_ms: u64) -> Turn {
        // Daemons have the time of day in common; if it differs, their turns are less even.
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now_ms = since_epoch.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0));
        let mut turns = self.own_cold_turns.lock().unwrap_or_else(PoisonError::into_inner);
        turns.take(now_ms, max_wait_ms, rate, share)
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
        let is_limited = self.rate_limit().is_some() || self.cold_limit().is_some();
        let full_deadline_ms =
            if is_limited { self.full_deadline_ms.load(Ordering::Relaxed) } else { 0 };
        let full_remaining_ms = full_deadline_ms.saturating_sub(self.clock.now_ms());
        self.upstream.pause_remaining_ms().max(full_remaining_ms)
    }

    /// Returns the time by the clock of requests.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
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
