//! Checks what the servers and the load of a run report against the rules of the router.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use document::{HashMap, Name};
use lease::{Epoch, ShardId};
use serde::Serialize;

/// Counts violations of the rules over all servers and callers of a process.
#[derive(Debug, Default)]
pub struct RuleChecker {
    history: Mutex<History>,
}

/// How often each rule was broken.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RuleViolations {
    /// Requests committed with a lower fence epoch than an earlier commit of the shard.
    pub two_owners: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Requests that started at a server more than 5 s after it was set to leave.
    pub late_work: u64,
    /// Requests that ran although the caller was told that they had not.
    pub false_not_run: u64,
    /// Answers that belong to another request.
    pub foreign_answers: u64,
    /// Answers that look complete but are too short.
    pub short_answers: u64,
    /// Answers that were cut off; 0 in runs of [`crate::Load`], which does not report them.
    pub cut_off: u64,
}

#[derive(Debug, Default)]
struct History {
    /// The highest epoch of a commit, by service and shard.
    highest_epochs: HashMap<(Name, ShardId), Epoch>,
    /// How often each request was started, by its id.
    runs: HashMap<u64, u32>,
    /// The ids of requests whose callers were told that they had not run.
    not_run_answers: Vec<u64>,
    leaving_since: HashMap<Name, Instant>,
    commits_by_server: HashMap<Name, u64>,
    violations: RuleViolations,
}

/// How long a server may get new requests after the document says that it leaves.
const LEAVE_GRACE_MS: u128 = 5_000;

impl RuleViolations {
    /// Returns whether no rule was broken.
    #[must_use]
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl RuleChecker {
    /// Records that a server committed a request, and checks the fence epoch.
    pub fn on_commit(&self, service: &Name, server: &Name, fence: Option<(ShardId, Epoch)>) {
        let mut history = self.lock();
        if let Some((shard, epoch)) = fence {
            let highest = history.highest_epochs.entry((service.clone(), shard)).or_default();
            if epoch < *highest {
                history.violations.two_owners += 1;
            } else {
                *highest = epoch;
            }
        }
        *history.commits_by_server.entry(server.clone()).or_default() += 1;
    }

    /// Records that a server started a request, and checks repeated runs and leaving servers.
    pub fn on_run(&self, server: &Name, request: u64, is_idempotent: bool) {
        let mut history = self.lock();
        let is_late = history
            .leaving_since
            .get(server)
            .is_some_and(|since| since.elapsed().as_millis() > LEAVE_GRACE_MS);
        history.violations.late_work += u64::from(is_late);
        let runs = history.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 && !is_idempotent {
            history.violations.double_runs += 1;
        }
    }

    /// Records that a caller was told that its request had not run.
    pub fn on_not_run_answer(&self, request: u64) {
        self.lock().not_run_answers.push(request);
    }

    /// Records an answer that belongs to another request.
    pub fn on_foreign_answer(&self) {
        self.lock().violations.foreign_answers += 1;
    }

    /// Records an answer that looks complete but is too short.
    pub fn on_short_answer(&self) {
        self.lock().violations.short_answers += 1;
    }

    /// Records an answer that was cut off.
    pub fn on_cut_off_answer(&self) {
        self.lock().violations.cut_off += 1;
    }

    /// Records that a document sets some servers to leave.
    pub fn on_servers_leaving(&self, servers: impl Iterator<Item = Name>) {
        let now = Instant::now();
        let mut history = self.lock();
        for server in servers {
            history.leaving_since.entry(server).or_insert(now);
        }
    }

    /// Returns how many requests each server committed, and resets the counts.
    pub fn take_commits(&self) -> HashMap<Name, u64> {
        std::mem::take(&mut self.lock().commits_by_server)
    }

    /// Returns how often each rule was broken.
    #[must_use]
    pub fn violations(&self) -> RuleViolations {
        let history = self.lock();
        let mut violations = history.violations.clone();
        let false_not_run =
            history.not_run_answers.iter().filter(|request| history.runs.contains_key(request));
        violations.false_not_run = u64::try_from(false_not_run.count()).unwrap_or(u64::MAX);
        violations
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
