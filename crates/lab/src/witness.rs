//! What all servers of one run saw, and which rules that breaks.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use document::{HashMap, Name};
use lease::{Epoch, ShardId};
use serde::Serialize;

/// Sees every request that a server runs; one for all servers of a process.
#[derive(Debug, Default)]
pub struct Witness {
    seen: Mutex<Seen>,
}

/// How often each rule was broken.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Broken {
    /// Requests committed by a server after another one took the shard over.
    pub two_owners: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Requests that ran at a leaving server too late.
    pub late_work: u64,
    /// Requests that the caller was told had not run, and that ran.
    pub false_not_run: u64,
    /// Answers that belong to another request.
    pub foreign_answers: u64,
    /// Answers that are shorter than they should be and look whole.
    pub short_answers: u64,
    /// Answers that were cut off.
    pub cut_off: u64,
}

#[derive(Debug, Default)]
struct Seen {
    highest: HashMap<(Name, ShardId), Epoch>,
    runs: HashMap<u64, u32>,
    not_run: Vec<u64>,
    leaving: HashMap<Name, Instant>,
    by_server: HashMap<Name, u64>,
    broken: Broken,
}

/// How long after the document says so a leaving server may still get work.
const LEAVE_LIMIT_MS: u128 = 5_000;

impl Broken {
    /// Returns whether no rule was broken.
    #[must_use]
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl Witness {
    /// Notes a request that a server committed.
    pub fn note_commit(&self, service: &Name, server: &Name, fence: Option<(ShardId, Epoch)>) {
        let mut seen = self.lock();
        if let Some((shard, epoch)) = fence {
            let highest = seen.highest.entry((service.clone(), shard)).or_default();
            if epoch < *highest {
                seen.broken.two_owners += 1;
            } else {
                *highest = epoch;
            }
        }
        *seen.by_server.entry(server.clone()).or_default() += 1;
    }

    /// Notes a request that a server started to run.
    pub fn note_run(&self, server: &Name, request: u64, is_idempotent: bool) {
        let mut seen = self.lock();
        let is_late =
            seen.leaving.get(server).is_some_and(|at| at.elapsed().as_millis() > LEAVE_LIMIT_MS);
        seen.broken.late_work += u64::from(is_late);
        let runs = seen.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && !is_idempotent {
            seen.broken.double_runs += 1;
        }
    }

    /// Notes that a caller was told that its request had not run.
    pub fn note_not_run(&self, request: u64) {
        self.lock().not_run.push(request);
    }

    /// Notes an answer that belongs to another request.
    pub fn note_foreign(&self) {
        self.lock().broken.foreign_answers += 1;
    }

    /// Notes an answer that is too short and looks whole.
    pub fn note_short(&self) {
        self.lock().broken.short_answers += 1;
    }

    /// Notes an answer that was cut off.
    pub fn note_cut_off(&self) {
        self.lock().broken.cut_off += 1;
    }

    /// Notes that the document says of some servers that they leave.
    pub fn note_leaving(&self, servers: impl Iterator<Item = Name>) {
        let now = Instant::now();
        let mut seen = self.lock();
        for server in servers {
            seen.leaving.entry(server).or_insert(now);
        }
    }

    /// Returns how many requests each server committed, and starts to count anew.
    pub fn take_commits(&self) -> HashMap<Name, u64> {
        std::mem::take(&mut self.lock().by_server)
    }

    /// Returns how often each rule was broken.
    #[must_use]
    pub fn broken(&self) -> Broken {
        let seen = self.lock();
        let mut broken = seen.broken.clone();
        let false_not_run = seen.not_run.iter().filter(|request| seen.runs.contains_key(request));
        broken.false_not_run = u64::try_from(false_not_run.count()).unwrap_or(u64::MAX);
        broken
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
