//! The right of a candidate to act as the controller of a service.

use document::{HashMap, Name};

use crate::minus_drift_ms;

/// The instances that vote on a service; a decision needs a majority of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quorum {
    /// The current voters.
    pub voters: Vec<Name>,
    /// The previous voters, whose majority is needed as well while the voters change.
    pub old_voters: Vec<Name>,
}

/// The promises that one candidate holds, with their deadlines.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    promise_deadlines_ms: HashMap<Name, u64>,
}

impl Quorum {
    /// Returns whether the instances for which `agrees` holds are enough for a decision.
    pub fn is_reached(&self, agrees: impl Fn(&Name) -> bool) -> bool {
        has_majority(&self.voters, &agrees)
            && (self.old_voters.is_empty() || has_majority(&self.old_voters, &agrees))
    }

    /// Returns all current and previous voters, without duplicates.
    #[must_use]
    pub fn members(&self) -> Vec<Name> {
        let mut members = self.voters.clone();
        members.extend(self.old_voters.iter().filter(|name| !self.voters.contains(name)).cloned());
        members
    }

    /// Returns whether an instance is a current or previous voter.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.voters.contains(name) || self.old_voters.contains(name)
    }
}

impl Authority {
    /// Adds a voter's promise of `promise_ms`, counted from the time of the request.
    ///
    /// The promise counts for less than `promise_ms`, because the voter's clock may be
    /// faster than this one. An earlier promise that lasts longer stays.
    pub fn on_promise(&mut self, voter: &Name, requested_at_ms: u64, promise_ms: u64) {
        let deadline_ms = requested_at_ms + minus_drift_ms(promise_ms);
        let known_deadline_ms = self.promise_deadlines_ms.entry(voter.clone()).or_default();
        *known_deadline_ms = (*known_deadline_ms).max(deadline_ms);
    }

    /// Returns whether the candidate holds unexpired promises from enough voters.
    #[must_use]
    pub fn is_held(&self, now_ms: u64, quorum: &Quorum) -> bool {
        quorum.is_reached(|voter| self.has_promise(now_ms, voter))
    }

    /// Returns whether the candidate holds an unexpired promise from one voter.
    #[must_use]
    pub fn has_promise(&self, now_ms: u64, voter: &Name) -> bool {
        self.promise_deadlines_ms.get(voter).is_some_and(|deadline_ms| now_ms < *deadline_ms)
    }
}

fn has_majority(voters: &[Name], agrees: impl Fn(&Name) -> bool) -> bool {
    let count = voters.iter().filter(|voter| agrees(voter)).count();
    count > voters.len() / 2
}
