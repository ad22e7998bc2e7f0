//! Requests that crash the servers that run them.

use document::{HashMap, HashSet, Name};
use xxhash_rust::xxh3::Xxh3;

/// The identity of a request by its content: the same request sent again has the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

/// How often a request crashed servers, as one daemon counted it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How many of its runs crashed a server.
    pub crashes: u32,
    /// When this is forgotten.
    pub deadline_ms: u64,
}

/// The requests that crashed servers, here and at the other daemons.
///
/// The memory is bounded: when there are too many, the ones that would be forgotten
/// first make room.
#[derive(Debug)]
pub struct Suspects {
    own: HashMap<Fingerprint, Suspect>,
    others: HashMap<Name, Vec<Suspect>>,
    /// The requests that any other daemon counts.
    of_others: HashSet<Fingerprint>,
    /// The servers that each request crashed, as far as they are told apart.
    victims: HashMap<Fingerprint, HashSet<u64>>,
    /// Requests that a server has answered since, and until when that counts.
    cleared: HashMap<Fingerprint, u64>,
    most_crashes: u32,
}

/// How many crashes are enough to refuse a request.
pub const MOST_CRASHES: u32 = 2;
/// How long a crash is remembered.
const REMEMBERED_MS: u64 = 60_000;
/// How many requests are remembered for each daemon.
const MOST_REMEMBERED: usize = 256;

impl Fingerprint {
    /// Returns the identity of a request.
    #[must_use]
    pub fn new(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
            // The lengths keep parts apart that would run together.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new(MOST_CRASHES)
    }
}

impl Suspects {
    /// Creates a memory in which so many crashes are enough to refuse a request.
    #[must_use]
    pub fn new(most_crashes: u32) -> Self {
        Self {
            own: HashMap::default(),
            others: HashMap::default(),
            of_others: HashSet::default(),
            victims: HashMap::default(),
            cleared: HashMap::default(),
            most_crashes,
        }
    }

    /// Notes that a request crashed a server; several at once count as one crash.
    ///
    /// Whatever ran on a server when it crashed looks guilty; a request that really
    /// crashes servers does so on each of them.
    pub fn note_crash_of(&mut self, now_ms: u64, fingerprint: Fingerprint, server: u64) {
        let is_known =
            self.victims.get(&fingerprint).is_some_and(|victims| victims.contains(&server));
        if !is_known {
            self.note_crash(now_ms, fingerprint);
            self.victims.entry(fingerprint).or_default().insert(server);
        }
    }

    /// Notes that a server answered a request; one that had crashed others is not to blame.
    ///
    /// Returns whether the request was suspected.
    pub fn note_answer(&mut self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let is_own = self.own.remove(&fingerprint).is_some();
        let is_accused = self.of_others.contains(&fingerprint);
        let is_known = is_own || (is_accused && !self.cleared.contains_key(&fingerprint));
        if is_known {
            self.victims.remove(&fingerprint);
            self.cleared.insert(fingerprint, now_ms + REMEMBERED_MS);
        }
        is_known
    }

    /// Returns whether any request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.others.is_empty()
    }

    /// Notes that a request crashed the server that ran it.
    pub fn note_crash(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        self.forget(now_ms);
        let deadline_ms = now_ms + REMEMBERED_MS;
        let suspect =
            self.own.entry(fingerprint).or_insert(Suspect { fingerprint, crashes: 0, deadline_ms });
        suspect.crashes += 1;
        suspect.deadline_ms = deadline_ms;
        if self.own.len() > MOST_REMEMBERED {
            let oldest = self.own.values().min_by_key(|suspect| suspect.deadline_ms);
            if let Some(oldest) = oldest.map(|suspect| suspect.fingerprint) {
                self.own.remove(&oldest);
            }
        }
    }

    /// Notes what another daemon has counted.
    pub fn note_other(&mut self, from: &Name, mut suspects: Vec<Suspect>) {
        suspects.truncate(MOST_REMEMBERED);
        if suspects.is_empty() {
            self.others.remove(from);
        } else {
            self.others.insert(from.clone(), suspects);
        }
        self.index_others();
    }

    fn index_others(&mut self) {
        let others = self.others.values().flatten();
        self.of_others = others.map(|suspect| suspect.fingerprint).collect();
    }

    /// Returns what this daemon has counted, for the others.
    #[must_use]
    pub fn own(&self, now_ms: u64) -> Vec<Suspect> {
        let mut own: Vec<Suspect> =
            self.own.values().filter(|suspect| now_ms < suspect.deadline_ms).copied().collect();
        own.sort_unstable_by_key(|suspect| suspect.fingerprint);
        own
    }

    /// Returns the requests that no daemon sends on any more.
    #[must_use]
    pub fn refused(&self, now_ms: u64) -> HashSet<Fingerprint> {
        let mut crashes: HashMap<Fingerprint, u32> = HashMap::default();
        for suspect in self.own.values().chain(self.others.values().flatten()) {
            if now_ms < suspect.deadline_ms {
                *crashes.entry(suspect.fingerprint).or_default() += suspect.crashes;
            }
        }
        let is_cleared = |fingerprint: &Fingerprint| {
            self.cleared.get(fingerprint).is_some_and(|until_ms| now_ms < *until_ms)
        };
        crashes
            .retain(|fingerprint, count| *count >= self.most_crashes && !is_cleared(fingerprint));
        crashes.into_keys().collect()
    }

    /// Forgets what is long enough ago.
    pub fn forget(&mut self, now_ms: u64) {
        for suspects in self.others.values_mut() {
            suspects.retain(|suspect| now_ms < suspect.deadline_ms);
        }
        self.others.retain(|_, suspects| !suspects.is_empty());
        self.index_others();
        self.own.retain(|_, suspect| now_ms < suspect.deadline_ms);
        let own = &self.own;
        self.victims.retain(|fingerprint, _| own.contains_key(fingerprint));
        self.cleared.retain(|_, until_ms| now_ms < *until_ms);
    }
}
