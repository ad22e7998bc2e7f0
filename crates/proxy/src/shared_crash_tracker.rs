//! The crash tracker that the request path and the control thread share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use document::{HashSet, Name};
use route::{CrashCount, CrashTracker, Fingerprint};

use crate::Clock;

/// Counts the crashes that requests caused, here and at other daemons, behind a lock.
///
/// The request path reads the requests to refuse without taking the lock.
#[derive(Debug)]
pub struct SharedCrashTracker {
    clock: Clock,
    /// The requests to refuse, as of the latest change of the tracker.
    refused: ArcSwap<HashSet<Fingerprint>>,
    // Locked only after a crash, on counts from another daemon, in the periodic exchange of
    // counts, and after an answer if crashes are counted for any request.
    tracker: Mutex<CrashTracker>,
    /// Whether a crash was counted since the flag was last taken.
    has_new_crash: AtomicBool,
    /// Whether crashes are counted for any request; otherwise answers need not be checked.
    has_counts: AtomicBool,
}

impl SharedCrashTracker {
    /// Wraps a tracker in which no crashes are counted yet.
    #[must_use]
    pub fn new(clock: Clock, tracker: CrashTracker) -> Self {
        Self {
            clock,
            refused: ArcSwap::default(),
            tracker: Mutex::new(tracker),
            has_new_crash: AtomicBool::new(false),
            has_counts: AtomicBool::new(false),
        }
    }

    /// Returns the fingerprints of the requests to refuse.
    #[must_use]
    pub fn refused(&self) -> Arc<HashSet<Fingerprint>> {
        self.refused.load_full()
    }

    /// Returns whether a request is to be refused.
    ///
    /// The fingerprint is computed only if any request is to be refused.
    pub fn is_refused(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let refused = self.refused.load();
        !refused.is_empty() && refused.contains(&fingerprint())
    }

    /// Counts a crash for a request, even if the same server crashed for it before.
    pub fn on_crash(&self, fingerprint: Fingerprint) {
        let mut tracker = self.lock();
        tracker.on_crash(self.clock.now_ms(), fingerprint);
        self.update_shared(&tracker);
        self.has_new_crash.store(true, Ordering::Relaxed);
    }

    /// Counts a crash of a server while it ran a request, once per request and server.
    pub fn on_server_crash(&self, fingerprint: Fingerprint, server: u64) {
        let mut tracker = self.lock();
        tracker.on_server_crash(self.clock.now_ms(), fingerprint, server);
        self.update_shared(&tracker);
        self.has_new_crash.store(true, Ordering::Relaxed);
    }

    /// Clears a request that a server answered, since it was not the cause of the crashes.
    ///
    /// The fingerprint is computed only if crashes are counted for any request.
    pub fn on_answer(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.has_counts.load(Ordering::Relaxed) {
            let mut tracker = self.lock();
            if tracker.on_answer(self.clock.now_ms(), fingerprint()) {
                self.update_shared(&tracker);
            }
        }
    }

    /// Returns whether a crash was counted here since the last call.
    pub fn take_crash_flag(&self) -> bool {
        self.has_new_crash.swap(false, Ordering::Relaxed)
    }

    /// Replaces the counts of another daemon; their deadlines are relative to now.
    pub fn on_peer_counts(&self, from: &Name, counts: Vec<CrashCount>) {
        let now_ms = self.clock.now_ms();
        let to_deadline =
            |count: CrashCount| CrashCount { deadline_ms: now_ms + count.deadline_ms, ..count };
        let mut tracker = self.lock();
        tracker.on_peer_counts(from, counts.into_iter().map(to_deadline).collect());
        self.update_shared(&tracker);
    }

    /// Returns the counts of this daemon; their deadlines are relative to now.
    #[must_use]
    pub fn own_counts(&self) -> Vec<CrashCount> {
        let now_ms = self.clock.now_ms();
        let to_relative = |count: CrashCount| CrashCount {
            deadline_ms: count.deadline_ms.saturating_sub(now_ms),
            ..count
        };
        self.lock().own_counts(now_ms).into_iter().map(to_relative).collect()
    }

    /// Removes expired counts, so that their requests are no longer refused.
    pub fn forget_expired(&self) {
        let mut tracker = self.lock();
        tracker.forget_expired(self.clock.now_ms());
        self.update_shared(&tracker);
    }

    /// Updates the fields that are read without the lock.
    fn update_shared(&self, tracker: &CrashTracker) {
        let refused = tracker.refused(self.clock.now_ms());
        if refused != **self.refused.load() {
            self.refused.store(Arc::new(refused));
        }
        self.has_counts.store(!tracker.is_empty(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
