//! Detection of requests that crash the servers that run them.

use document::{HashMap, HashSet, Name};
use xxhash_rust::xxh3::Xxh3;

/// A hash of a request's content; a request that is sent again has the same fingerprint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

/// The crashes that one daemon counted for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashCount {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How many runs of the request crashed a server.
    pub crashes: u32,
    /// When the count expires.
    pub deadline_ms: u64,
}

/// Counts the crashes that requests caused, as this daemon and the others saw them.
///
/// The memory is bounded for each daemon. When this daemon counts too many requests, the
/// count that expires first is removed; the lists of other daemons are truncated.
#[derive(Debug)]
pub struct CrashTracker {
    own: HashMap<Fingerprint, CrashCount>,
    peers: HashMap<Name, Vec<CrashCount>>,
    /// The requests for which any other daemon counted crashes.
    counted_by_peers: HashSet<Fingerprint>,
    /// The servers that each request crashed, where the server is known.
    crashed_servers: HashMap<Fingerprint, HashSet<u64>>,
    /// The requests that a server answered after crashes, and when each of these entries expires.
    cleared: HashMap<Fingerprint, u64>,
    max_crashes: u32,
}

/// The number of crashes at which a request is refused.
pub const MAX_CRASHES: u32 = 2;
/// How long the crashes of a request count after the last of them.
pub const CRASH_RETENTION_MS: u64 = 60_000;
/// The largest number of requests that are counted for each daemon.
const MAX_REQUESTS_PER_DAEMON: usize = 256;

impl Fingerprint {
    /// Hashes the content of a request.
    #[must_use]
    pub fn new(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
            // Without the lengths, a byte moved to the next part would not change the hash.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new(MAX_CRASHES)
    }
}

impl CrashTracker {
    /// Creates an empty tracker that refuses a request after `max_crashes` crashes.
    #[must_use]
    pub fn new(max_crashes: u32) -> Self {
        Self {
            own: HashMap::default(),
            peers: HashMap::default(),
            counted_by_peers: HashSet::default(),
            crashed_servers: HashMap::default(),
            cleared: HashMap::default(),
            max_crashes,
        }
    }

    /// Counts a crash of a server while it ran a request, once per request and server.
    ///
    /// Every request that was running when a server crashed is counted, not just the cause.
    /// Counting each server once singles out the cause, as it crashes server after server.
    pub fn on_server_crash(&mut self, now_ms: u64, fingerprint: Fingerprint, server: u64) {
        let is_counted =
            self.crashed_servers.get(&fingerprint).is_some_and(|servers| servers.contains(&server));
        if !is_counted {
            self.on_crash(now_ms, fingerprint);
            self.crashed_servers.entry(fingerprint).or_default().insert(server);
        }
    }

    /// Clears a request that a server answered, since it was not the cause of the crashes.
    ///
    /// Returns whether crashes were counted for the request and it was not cleared before.
    pub fn on_answer(&mut self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let is_own = self.own.remove(&fingerprint).is_some();
        let is_counted_by_peer = self.counted_by_peers.contains(&fingerprint);
        let was_counted =
            is_own || (is_counted_by_peer && !self.cleared.contains_key(&fingerprint));
        if was_counted {
            self.crashed_servers.remove(&fingerprint);
            self.cleared.insert(fingerprint, now_ms + CRASH_RETENTION_MS);
        }
        was_counted
    }

    /// Returns whether no crashes are counted for any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty()
    }

    /// Counts a crash for a request, even if the same server crashed for it before.
    pub fn on_crash(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.forget_expired(now_ms);
        let deadline_ms = now_ms + CRASH_RETENTION_MS;
        let count = self.own.entry(fingerprint).or_insert(CrashCount {
            fingerprint,
            crashes: 0,
            deadline_ms,
        });
        count.crashes += 1;
        count.deadline_ms = deadline_ms;
        if self.own.len() > MAX_REQUESTS_PER_DAEMON {
            let oldest = self.own.values().min_by_key(|count| count.deadline_ms);
            if let Some(oldest) = oldest.map(|count| count.fingerprint) {
                self.own.remove(&oldest);
            }
        }
    }

    /// Replaces the counts of another daemon; those beyond the bound are dropped.
    pub fn on_peer_counts(&mut self, from: &Name, mut counts: Vec<CrashCount>) {
        counts.truncate(MAX_REQUESTS_PER_DAEMON);
        if counts.is_empty() {
            self.peers.remove(from);
        } else {
            self.peers.insert(from.clone(), counts);
        }
        self.update_counted_by_peers();
    }

    fn update_counted_by_peers(&mut self) {
        let counts = self.peers.values().flatten();
        self.counted_by_peers = counts.map(|count| count.fingerprint).collect();
    }

    /// Returns the unexpired counts of this daemon, to send to the others.
    #[must_use]
    pub fn own_counts(&self, now_ms: u64) -> Vec<CrashCount> {
        let mut own: Vec<CrashCount> =
            self.own.values().filter(|count| now_ms < count.deadline_ms).copied().collect();
        own.sort_unstable_by_key(|count| count.fingerprint);
        own
    }

    /// Returns the requests to refuse, by the crashes that all daemons counted.
    #[must_use]
    pub fn refused(&self, now_ms: u64) -> HashSet<Fingerprint> {
        let mut crashes: HashMap<Fingerprint, u32> = HashMap::default();
        for count in self.own.values().chain(self.peers.values().flatten()) {
            if now_ms < count.deadline_ms {
                *crashes.entry(count.fingerprint).or_default() += count.crashes;
            }
        }
        let is_cleared = |fingerprint: &Fingerprint| {
            self.cleared.get(fingerprint).is_some_and(|deadline_ms| now_ms < *deadline_ms)
        };
        crashes.retain(|fingerprint, count| *count >= self.max_crashes && !is_cleared(fingerprint));
        crashes.into_keys().collect()
    }

    /// Removes expired counts.
    pub fn forget_expired(&mut self, now_ms: u64) {
        for counts in self.peers.values_mut() {
            counts.retain(|count| now_ms < count.deadline_ms);
        }
        self.peers.retain(|_, counts| !counts.is_empty());
        self.update_counted_by_peers();
        self.own.retain(|_, count| now_ms < count.deadline_ms);
        let own = &self.own;
        self.crashed_servers.retain(|fingerprint, _| own.contains_key(fingerprint));
        self.cleared.retain(|_, deadline_ms| now_ms < *deadline_ms);
    }
}
