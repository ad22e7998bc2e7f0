//! A stand-in for a server that owns ranges of keys and checks the fences of grants.
//!
//! All servers of a run report to one [`OwnershipChecker`]. It checks that a key is granted to
//! one server at a time, to each with a higher fence, and that a non-idempotent request runs at
//! most once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use registry::Incarnation;
use shard::{Fence, Grant, Handover, KeyRange, Release, Reply};
use tokio::sync::Semaphore;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::visits::OpenVisit;
use crate::{ServerProcess, VisitEnd, VisitLog};

/// One incarnation of a server.
#[derive(Debug)]
pub struct RangeServer {
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// Whether the server runs only requests whose key it holds.
    pub is_keyed: bool,
    /// Its process.
    pub process: ServerProcess,
    /// Permits for the requests that the server holds, running and waiting.
    room: Semaphore,
    slots: Semaphore,
    stopped: CancellationToken,
    checker: Arc<OwnershipChecker>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: Vec<Held>,
    /// The fence of every accepted grant.
    accepted_fences: Vec<(KeyRange, Fence)>,
    /// The keys of running requests by run number.
    running: HashMap<u64, u16>,
    last_run_number: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    range: KeyRange,
    fence: Fence,
    deadline: Instant,
}

/// A request to run at a server.
#[derive(Clone, Debug)]
pub struct Work {
    /// The identifier by which the checker recognises repeated runs.
    pub id: Name,
    /// The key, if the request has one.
    pub key: Option<u16>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// How long the request runs.
    pub run_ms: u64,
    /// When the server stops waiting and working, if the caller's time is limited.
    pub deadline: Option<Instant>,
}

/// Whether a server checks the fence of a grant that it applies late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// The fence is checked when the grant is applied.
    WhenApplied,
    /// The grant is applied whatever its fence.
    Never,
}

/// The result of running a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Execution {
    /// The request ran to its end.
    Completed,
    /// The request did not run: the server does not hold the key.
    NotHeld,
    /// The request did not run: the server has too many requests.
    Overloaded,
    /// The request did not run: its deadline passed while it waited.
    Expired,
    /// The request ran, but the grant of its key expired meanwhile.
    GrantLost,
    /// The request ran, but not to its end before its deadline.
    TimedOut,
}

/// Checks ownership of keys and runs of requests across all servers.
#[derive(Debug, Default)]
pub struct OwnershipChecker {
    history: Mutex<History>,
    /// When requests were at servers.
    pub visits: VisitLog,
}

#[derive(Debug, Default)]
struct History {
    /// The ranges that are granted: the holder, the range and the deadline of the grant.
    holds: Vec<(Incarnation, KeyRange, Instant)>,
    /// How often each request was started, by its identifier.
    runs: HashMap<Name, u32>,
    /// The highest fences with which servers took ranges.
    fences: Vec<(Incarnation, KeyRange, Fence)>,
    /// The keys of running requests, with the deadline of the grant under which each began.
    work: Vec<(Incarnation, u64, u16, Instant)>,
    /// The servers at which each request has arrived, by its identifier.
    reached: HashMap<Name, Vec<Incarnation>>,
    violations: Vec<String>,
}

/// A server without a free slot refuses requests when more than this times [`SLOTS`] run.
const MAX_RUNNING_FACTOR: usize = 4;
/// The interval at which a release checks whether requests for its keys still run.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl RangeServer {
    /// Creates a server that holds no keys.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        is_keyed: bool,
        slots: usize,
        checker: Arc<OwnershipChecker>,
    ) -> Arc<Self> {
        Self::with_queue(incarnation, is_keyed, slots, Semaphore::MAX_PERMITS - slots, checker)
    }

    /// Creates a server that holds no keys and in which at most `max_waiting` requests wait.
    #[must_use]
    pub fn with_queue(
        incarnation: Incarnation,
        is_keyed: bool,
        slots: usize,
        max_waiting: usize,
        checker: Arc<OwnershipChecker>,
    ) -> Arc<Self> {
        Arc::new(Self {
            incarnation,
            is_keyed,
            process: ServerProcess::default(),
            room: Semaphore::new(slots + max_waiting),
            slots: Semaphore::new(slots),
            stopped: CancellationToken::new(),
            checker,
            state: Mutex::default(),
        })
    }

    /// Records that the server stops; the requests that it holds end with it.
    pub fn stop(&self) {
        self.process.end();
        self.stopped.cancel();
    }

    /// Accepts a grant unless the server has seen a higher fence for one of the keys.
    pub fn grant(&self, grant: &Grant) -> Reply {
        self.grant_at(grant, Instant::now())
    }

    /// Applies a grant after a delay, unless the server has stopped by then.
    ///
    /// The time of the grant counts from its arrival. The fence is checked when the grant is applied,
    /// or not at all.
    pub async fn grant_late(
        &self,
        grant: &Grant,
        arrived_at: Instant,
        delay: Duration,
        fence_check: FenceCheck,
    ) {
        let waiting = async {
            sleep(delay).await;
            self.process.running().await;
        };
        if self.stopped.run_until_cancelled(waiting).await.is_some()
            && self.grant_at(grant, arrived_at) == Reply::Fenced
            && fence_check == FenceCheck::Never
        {
            self.apply_fenced_grant(grant, arrived_at);
        }
    }

    /// Applies a grant although a higher fence was seen: takes the keys that are not held, and
    /// leaves the fence and deadline of the others as they are.
    fn apply_fenced_grant(&self, grant: &Grant, arrived_at: Instant) {
        let now = Instant::now();
        let deadline = arrived_at + Duration::from_millis(grant.grant_ms);
        let mut state = self.lock();
        state.accepted_fences.push((grant.range, grant.fence));
        state.held.retain(|held| held.deadline > now);
        if deadline <= now {
            return;
        }
        for range in state.without_held(grant.range) {
            let held = Held { range, fence: grant.fence, deadline };
            state.held.push(held);
            self.checker.on_grant(&self.incarnation, held, now);
        }
    }

    /// Accepts a grant whose time counts from its arrival, unless the server has seen a higher fence
    /// for one of the keys.
    pub fn grant_at(&self, grant: &Grant, arrived_at: Instant) -> Reply {
        let now = Instant::now();
        let deadline = arrived_at + Duration::from_millis(grant.grant_ms);
        let mut state = self.lock();
        if state.is_fenced(grant.range, grant.fence) {
            return Reply::Fenced;
        }
        state.accepted_fences.push((grant.range, grant.fence));
        state.held.retain(|held| held.deadline > now);
        // A grant does not shorten an earlier grant, whatever its fence, and adds no time of an
        // earlier one to the keys that it does not share with it.
        let earlier: Vec<Held> = state.held.clone();
        let mut free = vec![grant.range];
        let mut granted = Vec::new();
        for held in &earlier {
            free = free.into_iter().flat_map(|part| part.without(held.range)).collect();
            let both = held.range.intersection(grant.range);
            granted.extend(both.map(|range| (range, held.deadline.max(deadline))));
        }
        granted.extend(free.into_iter().map(|range| (range, deadline)));
        state.remove_range(grant.range);
        for (range, deadline) in granted.into_iter().filter(|(_, deadline)| *deadline > now) {
            let held = Held { range, fence: grant.fence, deadline };
            state.held.push(held);
            self.checker.on_grant(&self.incarnation, held, now);
        }
        Reply::Done(None)
    }

    /// Gives up a range, whatever the fence, and answers when the requests that ran for its keys
    /// have ended.
    pub async fn release(&self, release: Release) -> Reply {
        let running = self.lock().on_release(release.range);
        while self.lock().running.keys().any(|run_number| running.contains(run_number)) {
            sleep(POLL_INTERVAL).await;
        }
        self.process.running().await;
        let state = self.lock();
        // The server may have been granted keys again meanwhile.
        for range in state.without_held(release.range) {
            self.checker.on_release(&self.incarnation, range);
        }
        Reply::Done(Some(Handover::from(format!("{}", release.fence))))
    }

    /// Records that a request has arrived, which may reach up to `max_servers` servers.
    pub fn on_arrival(&self, id: &Name, max_servers: usize) {
        self.checker.on_arrival(&self.incarnation, id, max_servers);
    }

    /// Runs a request when a slot is free.
    pub async fn run(&self, work: &Work) -> Execution {
        let mut visit = self.checker.visits.arrive(&work.id, &self.stopped);
        let execution = self.execute(work, &visit).await;
        visit.end(VisitEnd::Answered);
        execution
    }

    async fn execute(&self, work: &Work, visit: &OpenVisit<'_>) -> Execution {
        let Ok(_room) = self.room.try_acquire() else { return Execution::Overloaded };
        if self.is_keyed && self.find_held(work.key).is_none() {
            return Execution::NotHeld;
        }
        let max_running = MAX_RUNNING_FACTOR * SLOTS;
        if self.slots.available_permits() == 0 && self.lock().running.len() > max_running {
            return Execution::Overloaded;
        }
        let slot = match work.deadline {
            Some(deadline) => match timeout_at(deadline, self.slots.acquire()).await {
                Ok(slot) => slot,
                Err(_elapsed) => return Execution::Expired,
            },
            None => self.slots.acquire().await,
        };
        let Ok(_slot) = slot else { return Execution::Overloaded };
        self.process.running().await;
        // The key may have been released while the request waited.
        let held = self.find_held(work.key);
        if self.is_keyed && held.is_none() {
            return Execution::NotHeld;
        }
        let running = self.begin(work, held);
        visit.begin_work();
        let end_at = Instant::now() + Duration::from_millis(work.run_ms);
        let deadline = work.deadline.filter(|deadline| *deadline < end_at);
        sleep_until(deadline.unwrap_or(end_at)).await;
        self.process.running().await;
        drop(running);
        if deadline.is_some() {
            return Execution::TimedOut;
        }
        let has_lost_grant = held.is_some_and(|held| Instant::now() >= held.deadline)
            && self
                .find_held(work.key)
                .is_none_or(|current| held.is_some_and(|before| before.fence != current.fence));
        if self.is_keyed && has_lost_grant { Execution::GrantLost } else { Execution::Completed }
    }

    fn begin(&self, work: &Work, held: Option<Held>) -> RunningRequest<'_> {
        self.checker.on_run(work);
        let mut state = self.lock();
        state.last_run_number += 1;
        let run_number = state.last_run_number;
        state.running.insert(run_number, work.key.unwrap_or(0));
        if let (Some(key), Some(held)) = (work.key, held)
            && !self.stopped.is_cancelled()
        {
            self.checker.on_work_begin(&self.incarnation, run_number, key, held.deadline);
        }
        RunningRequest { server: self, run_number }
    }

    fn find_held(&self, key: Option<u16>) -> Option<Held> {
        let now = Instant::now();
        let state = self.lock();
        let key = key?;
        state.held.iter().find(|held| held.range.contains(key) && now < held.deadline).copied()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The usual number of slots of a [`RangeServer`], which is how many requests it runs at once.
pub const SLOTS: usize = 4;

/// A running request, which is removed from the server when dropped.
struct RunningRequest<'a> {
    server: &'a RangeServer,
    run_number: u64,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.server.lock().running.remove(&self.run_number);
        self.server.checker.on_work_end(&self.server.incarnation, self.run_number);
    }
}

impl State {
    fn is_fenced(&self, range: KeyRange, fence: Fence) -> bool {
        self.accepted_fences
            .iter()
            .any(|(seen, accepted)| seen.overlaps(range) && *accepted > fence)
    }

    /// Stops new requests for a range and returns the run numbers of those that run.
    fn on_release(&mut self, range: KeyRange) -> Vec<u64> {
        self.remove_range(range);
        let running = self.running.iter().filter(|(_, key)| range.contains(**key));
        running.map(|(run_number, _)| *run_number).collect()
    }

    /// Returns the parts of a range that are not held.
    fn without_held(&self, range: KeyRange) -> Vec<KeyRange> {
        self.held.iter().fold(vec![range], |parts, held| {
            parts.into_iter().flat_map(|part| part.without(held.range)).collect()
        })
    }

    /// Removes a range from the held ranges, which may split them.
    fn remove_range(&mut self, range: KeyRange) {
        let held = std::mem::take(&mut self.held);
        self.held = held
            .into_iter()
            .flat_map(|held| {
                let remaining = held.range.without(range).into_iter();
                remaining.map(move |range| Held { range, ..held })
            })
            .collect();
    }
}

impl OwnershipChecker {
    /// Returns a description of each violation so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns how many times a request was started.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Records a violation that another check found.
    pub fn add_violation(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    /// Records that an incarnation has ended, and forgets its granted ranges.
    pub fn on_incarnation_end(&self, incarnation: &Incarnation) {
        let mut history = self.lock();
        history.holds.retain(|(holder, _, _)| holder != incarnation);
        history.work.retain(|(server, ..)| server != incarnation);
    }

    fn on_grant(&self, incarnation: &Incarnation, granted: Held, now: Instant) {
        let Held { range, fence, deadline } = granted;
        let mut history = self.lock();
        history.holds.retain(|(_, _, deadline)| *deadline > now);
        let conflict = history
            .holds
            .iter()
            .find(|(holder, held, _)| holder != incarnation && held.overlaps(range));
        if let Some((holder, held, _)) = conflict {
            let violation = format!("{range} granted to {incarnation} while {holder} holds {held}");
            history.violations.push(violation);
        }
        let lower = history.fences.iter().find(|(server, taken, other)| {
            server.server != incarnation.server && taken.overlaps(range) && *other >= fence
        });
        if let Some((server, taken, other)) = lower {
            let violation = format!(
                "{range} taken by {incarnation} with {fence} after {server} had {taken} with {other}"
            );
            history.violations.push(violation);
        }
        let busy = history.work.iter().find(|(server, _, key, deadline)| {
            server != incarnation && range.contains(*key) && *deadline > now
        });
        if let Some((server, _, key, _)) = busy {
            let violation =
                format!("{range} granted to {incarnation} while {server} works on {key}");
            history.violations.push(violation);
        }
        history.remove_hold(incarnation, range);
        history.holds.push((incarnation.clone(), range, deadline));
        history.add_fence(incarnation, range, fence);
    }

    fn on_work_begin(&self, incarnation: &Incarnation, number: u64, key: u16, deadline: Instant) {
        self.lock().work.push((incarnation.clone(), number, key, deadline));
    }

    fn on_work_end(&self, incarnation: &Incarnation, number: u64) {
        let is_other = |server: &Incarnation, other: u64| server != incarnation || other != number;
        self.lock().work.retain(|(server, other, ..)| is_other(server, *other));
    }

    fn on_release(&self, incarnation: &Incarnation, range: KeyRange) {
        self.lock().remove_hold(incarnation, range);
    }

    fn on_arrival(&self, incarnation: &Incarnation, id: &Name, max_servers: usize) {
        let mut history = self.lock();
        let servers = history.reached.entry(id.clone()).or_default();
        if servers.contains(incarnation) {
            return;
        }
        servers.push(incarnation.clone());
        if servers.len() > max_servers {
            let count = servers.len();
            let violation =
                format!("{id} was sent to {count} servers, the last of them {incarnation}");
            history.violations.push(violation);
        }
    }

    fn on_run(&self, work: &Work) {
        let mut history = self.lock();
        let runs = history.runs.entry(work.id.clone()).or_default();
        *runs += 1;
        if *runs > 1 && !work.is_idempotent {
            let violation = format!("{} ran {runs} times", work.id);
            history.violations.push(violation);
        }
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl History {
    /// Records the fence with which a server took a range, in place of its lower ones.
    fn add_fence(&mut self, incarnation: &Incarnation, range: KeyRange, fence: Fence) {
        let fences = std::mem::take(&mut self.fences);
        self.fences = fences
            .into_iter()
            .flat_map(|(server, taken, other)| {
                let is_replaced = server.server == incarnation.server && other <= fence;
                let remaining = if is_replaced { taken.without(range) } else { vec![taken] };
                remaining.into_iter().map(move |taken| (server.clone(), taken, other))
            })
            .collect();
        self.fences.push((incarnation.clone(), range, fence));
    }

    fn remove_hold(&mut self, incarnation: &Incarnation, range: KeyRange) {
        let holds = std::mem::take(&mut self.holds);
        self.holds = holds
            .into_iter()
            .flat_map(|(holder, held, deadline)| {
                let remaining =
                    if holder == *incarnation { held.without(range) } else { vec![held] };
                remaining.into_iter().map(move |held| (holder.clone(), held, deadline))
            })
            .collect();
    }
}
