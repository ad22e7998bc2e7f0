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
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<Fingerprint, Suspect>,
    others: HashMap<Name, Vec<Suspect>>,
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

impl Suspects {
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
        crashes.retain(|_, count| *count >= MOST_CRASHES);
        crashes.into_keys().collect()
    }

    fn forget(&mut self, now_ms: u64) {
        self.own.retain(|_, suspect| now_ms < suspect.deadline_ms);
    }
}
