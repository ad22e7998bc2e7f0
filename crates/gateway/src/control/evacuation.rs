//! Which data centres operators have asked to evacuate.

use std::collections::BTreeMap;

use document::{Name, Revision};

/// The operators' requests to evacuate data centres, as read from the store.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// What is known of each data centre's key, including keys that were removed.
    keys: BTreeMap<Name, KeyState>,
    /// The revision of the newest listing; `None` before the first one.
    listed_revision: Option<Revision>,
}

#[derive(Clone, Copy, Debug)]
struct KeyState {
    /// The revision of the last change.
    revision: Revision,
    /// Since when this daemon knows of the request; `None` if the key was removed.
    learned_at_ms: Option<u64>,
    reported: Reported,
}

/// What was last reported about a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reported {
    Nothing,
    Unknown,
    Started,
}

/// A change that is logged once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationReport {
    /// The evacuation of a known data centre has started.
    Started(Name, Revision),
    /// An evacuation that had started has ended.
    Ended(Name, Revision),
    /// The key names no known data centre.
    Unknown(Name, Revision),
}

impl Evacuations {
    /// Handles a complete listing of the keys: those that it lacks were removed.
    ///
    /// What is known from a later revision stays. Requests in the first listing may be of any age,
    /// so they count as known since 0 and take effect at once.
    pub fn on_listing(&mut self, now_ms: u64, listed: &[(Name, Revision)], revision: Revision) {
        if self.listed_revision.is_some_and(|listed_revision| revision < listed_revision) {
            return;
        }
        let is_first = self.listed_revision.is_none();
        let learned_at_ms = if is_first { 0 } else { now_ms };
        let is_listed = |name: &Name| listed.iter().any(|(listed, _)| listed == name);
        for (name, state) in &mut self.keys {
            let is_older = state.revision <= revision;
            if is_older && state.learned_at_ms.is_some() && !is_listed(name) {
                state.learned_at_ms = None;
                state.revision = revision;
            }
        }
        for (name, key_revision) in listed {
            self.on_change(learned_at_ms, name, *key_revision, true);
        }
        self.listed_revision = Some(revision);
    }

    /// Forgets the revisions of an earlier era of the store, in which they meant other changes.
    pub fn on_new_era(&mut self) {
        for state in self.keys.values_mut() {
            state.revision = Revision::default();
        }
        self.listed_revision = self.listed_revision.map(|_| Revision::default());
    }

    /// Handles the change of one key; a change that is not newer than what is known is ignored.
    pub fn on_change(&mut self, now_ms: u64, name: &Name, revision: Revision, exists: bool) {
        let known = self.keys.get(name).copied();
        let known_revision =
            known.map(|known| known.revision).or(self.listed_revision).unwrap_or_default();
        if revision <= known_revision {
            return;
        }
        let learned_at_ms = known.and_then(|known| known.learned_at_ms).unwrap_or(now_ms);
        let learned_at_ms = exists.then_some(learned_at_ms);
        let reported = known.map_or(Reported::Nothing, |known| known.reported);
        self.keys.insert(name.clone(), KeyState { revision, learned_at_ms, reported });
    }

    /// Returns the data centres to evacuate, each with the time since when this daemon knows.
    pub fn requested(&self) -> impl Iterator<Item = (&Name, u64)> {
        let keys = self.keys.iter().filter(|(name, _)| !name.is_empty());
        keys.filter_map(|(name, state)| Some((name, state.learned_at_ms?)))
    }

    /// Returns since when this daemon knows that a data centre is to be evacuated.
    #[must_use]
    pub fn learned_at_ms(&self, data_centre: &str) -> Option<u64> {
        self.keys.get(data_centre).and_then(|state| state.learned_at_ms)
    }

    /// Returns the changes that were not reported yet; `is_known` tells which data centres exist.
    pub fn take_reports(&mut self, is_known: impl Fn(&Name) -> bool) -> Vec<EvacuationReport> {
        let mut reports = Vec::new();
        for (name, state) in &mut self.keys {
            let (name, revision) = (name.clone(), state.revision);
            match (state.learned_at_ms, state.reported) {
                (Some(_), Reported::Nothing | Reported::Unknown) if is_known(&name) => {
                    state.reported = Reported::Started;
                    reports.push(EvacuationReport::Started(name, revision));
                }
                (Some(_), Reported::Nothing) => {
                    state.reported = Reported::Unknown;
                    reports.push(EvacuationReport::Unknown(name, revision));
                }
                (None, Reported::Started) => {
                    state.reported = Reported::Nothing;
                    reports.push(EvacuationReport::Ended(name, revision));
                }
                (None, Reported::Unknown) => state.reported = Reported::Nothing,
                _ => {}
            }
        }
        reports
    }
}
