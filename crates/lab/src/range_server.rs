//! The stand-in for a server that holds ranges of keys under integer fences.
//!
//! What it checks is kept for all servers together in a [`Referee`]: nobody else may hold
//! a key that is granted, and a request that is not repeatable may run once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use registry::Incarnation;
use shard::{Fence, Grant, Handover, KeyRange, Release, Reply};
use tokio::sync::Semaphore;
use tokio::time::{Duration, Instant, sleep, sleep_until};

/// One life of a server.
#[derive(Debug)]
pub struct RangeServer {
    /// Which life it is.
    pub incarnation: Incarnation,
    /// Whether it checks keys at all.
    pub is_keyed: bool,
    slots: Semaphore,
    referee: Arc<Referee>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: Vec<Held>,
    seen: Vec<(KeyRange, Fence)>,
    running: HashMap<u64, u16>,
    next_run: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    range: KeyRange,
    fence: Fence,
    until: Instant,
}

/// A request as a server meets it.
#[derive(Clone, Debug)]
pub struct Work {
    /// What identifies it.
    pub id: Name,
    /// Its key, if it has one.
    pub key: Option<u16>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// How long it runs.
    pub run_ms: u64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// It ran to its end.
    Whole,
    /// It did not run: the server does not hold the key.
    NotHeld,
    /// It did not run: too many requests wait.
    Full,
    /// It ran, and the grant ended meanwhile.
    Cut,
}

/// What all servers together have seen.
#[derive(Debug, Default)]
pub struct Referee {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Who holds what: life, range and end.
    holds: Vec<(Incarnation, KeyRange, Instant)>,
    runs: HashMap<Name, u32>,
    broken: Vec<String>,
}

/// How many requests wait for a slot before more are shed, for each slot.
const WAITING_PER_SLOT: usize = 4;
/// How often a release looks whether the work on its keys has ended.
const LOOK_EVERY: Duration = Duration::from_millis(2);

impl RangeServer {
    /// Creates a server that holds nothing.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        is_keyed: bool,
        slots: usize,
        referee: Arc<Referee>,
    ) -> Arc<Self> {
        let slots = Semaphore::new(slots);
        Arc::new(Self { incarnation, is_keyed, slots, referee, state: Mutex::default() })
    }

    /// Takes a grant unless it has seen a higher fence on one of the keys.
    pub fn grant(&self, grant: &Grant) -> Reply {
        let now = Instant::now();
        let until = now + Duration::from_millis(grant.grant_ms);
        let mut state = self.lock();
        if state.is_fenced(grant.range, grant.fence) {
            return Reply::Fenced;
        }
        state.seen.push((grant.range, grant.fence));
        // A grant never takes back what an earlier one gave, whatever its fence.
        let earlier = state.held.iter().filter(|held| held.range.overlaps(grant.range));
        let earlier = earlier.map(|held| held.until).max();
        let until = earlier.map_or(until, |earlier| earlier.max(until));
        state.give_up(grant.range);
        state.held.retain(|held| held.until > now);
        state.held.push(Held { range: grant.range, fence: grant.fence, until });
        self.referee.note_grant(&self.incarnation, grant.range, now, until);
        Reply::Done(None)
    }

    /// Gives keys up, and answers when the work on them has ended.
    pub async fn release(&self, release: Release) -> Reply {
        if !self.lock().take_release(release) {
            return Reply::Done(None);
        }
        while self.lock().running.values().any(|key| release.range.contains(*key)) {
            sleep(LOOK_EVERY).await;
        }
        self.referee.note_release(&self.incarnation, release.range);
        Reply::Done(Some(Handover::from(format!("{}", release.fence))))
    }

    /// Runs a request.
    pub async fn run(&self, work: &Work) -> Ran {
        if self.is_keyed && self.held(work.key).is_none() {
            return Ran::NotHeld;
        }
        let waiting = WAITING_PER_SLOT * SLOTS;
        if self.slots.available_permits() == 0 && self.lock().running.len() > waiting {
            return Ran::Full;
        }
        let Ok(_slot) = self.slots.acquire().await else { return Ran::Full };
        // The key may have moved while the request waited.
        let held = self.held(work.key);
        if self.is_keyed && held.is_none() {
            return Ran::NotHeld;
        }
        let run = self.begin(work);
        sleep_until(Instant::now() + Duration::from_millis(work.run_ms)).await;
        drop(run);
        let is_over = held.is_some_and(|held| Instant::now() >= held.until)
            && self.held(work.key).is_none_or(|now| held.is_some_and(|was| was.fence != now.fence));
        if self.is_keyed && is_over { Ran::Cut } else { Ran::Whole }
    }

    fn begin(&self, work: &Work) -> Run<'_> {
        self.referee.note_run(work);
        let mut state = self.lock();
        state.next_run += 1;
        let number = state.next_run;
        state.running.insert(number, work.key.unwrap_or(0));
        Run { server: self, number }
    }

    fn held(&self, key: Option<u16>) -> Option<Held> {
        let now = Instant::now();
        let state = self.lock();
        let key = key?;
        state.held.iter().find(|held| held.range.contains(key) && now < held.until).copied()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slots that servers of the stand-in have.
pub const SLOTS: usize = 4;

/// A request that runs; it ends when dropped.
struct Run<'a> {
    server: &'a RangeServer,
    number: u64,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.server.lock().running.remove(&self.number);
    }
}

impl State {
    fn is_fenced(&self, range: KeyRange, fence: Fence) -> bool {
        self.seen.iter().any(|(seen, highest)| seen.overlaps(range) && *highest > fence)
    }

    /// Stops new work on a range; returns whether the fence is high enough for that.
    fn take_release(&mut self, release: Release) -> bool {
        let is_fenced = self.is_fenced(release.range, release.fence);
        if !is_fenced {
            self.seen.push((release.range, release.fence));
            self.give_up(release.range);
        }
        !is_fenced
    }

    fn give_up(&mut self, range: KeyRange) {
        let held = std::mem::take(&mut self.held);
        self.held = held
            .into_iter()
            .flat_map(|held| {
                let rest = held.range.without(range).into_iter();
                rest.map(move |range| Held { range, ..held })
            })
            .collect();
    }
}

impl Referee {
    /// Returns what was broken so far.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Returns how often a request ran.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Notes something that was broken.
    pub fn note_broken(&self, what: String) {
        self.lock().broken.push(what);
    }

    /// Notes that a life has ended: it holds nothing any more.
    pub fn note_end(&self, incarnation: &Incarnation) {
        self.lock().holds.retain(|(holder, _, _)| holder != incarnation);
    }

    fn note_grant(&self, incarnation: &Incarnation, range: KeyRange, now: Instant, until: Instant) {
        let mut seen = self.lock();
        seen.holds.retain(|(_, _, end)| *end > now);
        let other = seen
            .holds
            .iter()
            .find(|(holder, held, _)| holder != incarnation && held.overlaps(range));
        if let Some((holder, held, _)) = other {
            let broken = format!("{range} granted to {incarnation} while {holder} holds {held}");
            seen.broken.push(broken);
        }
        seen.forget(incarnation, range);
        seen.holds.push((incarnation.clone(), range, until));
    }

    fn note_release(&self, incarnation: &Incarnation, range: KeyRange) {
        self.lock().forget(incarnation, range);
    }

    fn note_run(&self, work: &Work) {
        let mut seen = self.lock();
        let runs = seen.runs.entry(work.id.clone()).or_default();
        *runs += 1;
        if *runs > 1 && !work.is_idempotent {
            let broken = format!("{} ran {runs} times", work.id);
            seen.broken.push(broken);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seen {
    fn forget(&mut self, incarnation: &Incarnation, range: KeyRange) {
        let holds = std::mem::take(&mut self.holds);
        self.holds = holds
            .into_iter()
            .flat_map(|(holder, held, until)| {
                let left = if holder == *incarnation { held.without(range) } else { vec![held] };
                left.into_iter().map(move |held| (holder.clone(), held, until))
            })
            .collect();
    }
}
