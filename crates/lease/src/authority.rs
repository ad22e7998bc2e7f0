//! The right to act for a service.

use document::{HashMap, Name};

use crate::faster_ms;

/// The instances whose majority decides.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Quorum {
    /// The voters.
    pub voters: Vec<Name>,
    /// The earlier voters, whose majority is needed too while voters change.
    pub old_voters: Vec<Name>,
}

/// The promises that one candidate holds.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    promised_until_ms: HashMap<Name, u64>,
}

impl Quorum {
    /// Returns whether the instances that pass the check decide.
    pub fn is_reached(&self, agrees: impl Fn(&Name) -> bool) -> bool {
        has_majority(&self.voters, &agrees)
            && (self.old_voters.is_empty() || has_majority(&self.old_voters, &agrees))
    }

    /// Returns every instance that may vote, each once.
    #[must_use]
    pub fn members(&self) -> Vec<Name> {
        let mut members = self.voters.clone();
        members.extend(self.old_voters.iter().filter(|name| !self.voters.contains(name)).cloned());
        members
    }

    /// Returns whether an instance may vote.
    #[must_use]
    pub fn contains(&self, name: &Name) -> bool {
        self.voters.contains(name) || self.old_voters.contains(name)
    }
}

impl Authority {
    /// Notes a promise that was asked for at `asked_ms`.
    pub fn note(&mut self, voter: &Name, asked_ms: u64, promise_ms: u64) {
        let until_ms = asked_ms + faster_ms(promise_ms);
        let known_ms = self.promised_until_ms.entry(voter.clone()).or_default();
        *known_ms = (*known_ms).max(until_ms);
    }

    /// Returns whether the promises suffice now.
    #[must_use]
    pub fn is_held(&self, now_ms: u64, quorum: &Quorum) -> bool {
        quorum.is_reached(|voter| self.has_promise(now_ms, voter))
    }

    /// Returns whether one voter's promise stands.
    #[must_use]
    pub fn has_promise(&self, now_ms: u64, voter: &Name) -> bool {
        self.promised_until_ms.get(voter).is_some_and(|until_ms| now_ms < *until_ms)
    }
}

fn has_majority(voters: &[Name], agrees: impl Fn(&Name) -> bool) -> bool {
    let count = voters.iter().filter(|voter| agrees(voter)).count();
    count > voters.len() / 2
}
