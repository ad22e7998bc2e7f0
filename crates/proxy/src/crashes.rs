//! Requests that crash servers, as the request path and the control thread share them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use document::{HashSet, Name};
use route::{CrashCount, CrashTracker, Fingerprint};

use crate::Clock;

/// Requests that crash servers, here and at the other daemons.
#[derive(Debug)]
pub struct Crashes {
    clock: Clock,
    refused: ArcSwap<HashSet<Fingerprint>>,
    // Taken only when a server has crashed, when another daemon tells of that, and for
    // answers while any request is suspected.
    suspects: Mutex<CrashTracker>,
    has_news: AtomicBool,
    /// Whether any request is suspected; answers are looked at only then.
    is_suspicious: AtomicBool,
}

impl Crashes {
    /// Creates a memory in which nothing has crashed.
    #[must_use]
    pub fn new(clock: Clock, suspects: CrashTracker) -> Self {
        Self {
            clock,
            refused: ArcSwap::default(),
            suspects: Mutex::new(suspects),
            has_news: AtomicBool::new(false),
            is_suspicious: AtomicBool::new(false),
        }
    }

    /// Returns the requests that are not sent on any more.
    #[must_use]
    pub fn refused(&self) -> Arc<HashSet<Fingerprint>> {
        self.refused.load_full()
    }

    /// Returns whether a request is not sent on any more; it is looked at only if one is.
    pub fn is_refused(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let refused = self.refused.load();
        !refused.is_empty() && refused.contains(&fingerprint())
    }

    /// Notes that a request crashed the server that ran it.
    pub fn note_crash(&self, fingerprint: Fingerprint) {
        let mut suspects = self.lock();
        suspects.on_crash(self.clock.now_ms(), fingerprint);
        self.note_change(&suspects);
        self.has_news.store(true, Ordering::Relaxed);
    }

    /// Notes that a request crashed a server; a request is blamed once for each of them.
    pub fn note_crash_of(&self, fingerprint: Fingerprint, server: u64) {
        let mut suspects = self.lock();
        suspects.on_server_crash(self.clock.now_ms(), fingerprint, server);
        self.note_change(&suspects);
        self.has_news.store(true, Ordering::Relaxed);
    }

    /// Notes that a server answered a request.
    pub fn note_answer(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.is_suspicious.load(Ordering::Relaxed) {
            let mut suspects = self.lock();
            if suspects.on_answer(self.clock.now_ms(), fingerprint()) {
                self.note_change(&suspects);
            }
        }
    }

    /// Returns whether a server has crashed since the last call.
    pub fn take_news(&self) -> bool {
        self.has_news.swap(false, Ordering::Relaxed)
    }

    /// Notes what another daemon has counted; deadlines are lengths from now on.
    pub fn hear(&self, from: &Name, suspects: Vec<CrashCount>) {
        let now_ms = self.clock.now_ms();
        let to_deadline = |suspect: CrashCount| CrashCount {
            deadline_ms: now_ms + suspect.deadline_ms,
            ..suspect
        };
        let mut known = self.lock();
        known.on_peer_counts(from, suspects.into_iter().map(to_deadline).collect());
        self.note_change(&known);
    }

    /// Returns what this daemon has counted; deadlines are lengths from now on.
    #[must_use]
    pub fn to_tell(&self) -> Vec<CrashCount> {
        let now_ms = self.clock.now_ms();
        let to_length = |suspect: CrashCount| CrashCount {
            deadline_ms: suspect.deadline_ms.saturating_sub(now_ms),
            ..suspect
        };
        self.lock().own_counts(now_ms).into_iter().map(to_length).collect()
    }

    /// Lets requests through again whose crashes are long enough ago.
    pub fn forget_old(&self) {
        let mut suspects = self.lock();
        suspects.forget_expired(self.clock.now_ms());
        self.note_change(&suspects);
    }

    fn note_change(&self, suspects: &CrashTracker) {
        let refused = suspects.refused(self.clock.now_ms());
        if refused != **self.refused.load() {
            self.refused.store(Arc::new(refused));
        }
        self.is_suspicious.store(!suspects.is_empty(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, CrashTracker> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
