//! The promises that one instance gives.

use crate::{LeaderEpoch, Term, slower_ms};

/// Gives promises to candidates, one at a time.
///
/// A voter has no disk. After a start it promises nothing until every promise
/// that it may have forgotten is over.
#[derive(Clone, Debug)]
pub struct Voter {
    promise_ms: u64,
    silent_until_ms: u64,
    highest_term: Term,
    promise: Option<Promise>,
}

/// The answer to a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Vote {
    /// The voter helps no other candidate for the length of a promise.
    Promised,
    /// The voter has seen this later term.
    Outdated(Term),
    /// The voter is bound to another candidate, or has just started.
    Bound,
}

#[derive(Clone, Debug)]
struct Promise {
    leader_epoch: LeaderEpoch,
    deadline_ms: u64,
}

impl Voter {
    /// Creates the voter of an instance that starts now.
    #[must_use]
    pub fn new(now_ms: u64, promise_ms: u64) -> Self {
        let silent_until_ms = now_ms + slower_ms(promise_ms);
        Self { promise_ms, silent_until_ms, highest_term: Term(0), promise: None }
    }

    /// Returns the highest term that was seen.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Returns the leader epoch that holds this voter's promise.
    #[must_use]
    pub fn bound_to(&self, now_ms: u64) -> Option<LeaderEpoch> {
        let promise = self.promise.as_ref()?;
        (now_ms < promise.deadline_ms).then_some(promise.leader_epoch)
    }

    /// Returns whether the voter still waits for forgotten promises to end.
    #[must_use]
    pub fn is_silent(&self, now_ms: u64) -> bool {
        now_ms < self.silent_until_ms
    }

    /// Tells what the answer to a candidate would be, without a promise.
    #[must_use]
    pub fn probe(&self, now_ms: u64, leader_epoch: LeaderEpoch, term: Term) -> Vote {
        if term < self.highest_term {
            return Vote::Outdated(self.highest_term);
        }
        if self.is_silent(now_ms) {
            return Vote::Bound;
        }
        if self.bound_to(now_ms).is_some_and(|bound| bound != leader_epoch) {
            return Vote::Bound;
        }
        // A promise is renewed in its own term; any other promise needs a later term.
        let is_renewal = self.bound_to(now_ms) == Some(leader_epoch);
        if term == self.highest_term && self.promise.is_some() && !is_renewal {
            return Vote::Outdated(self.highest_term);
        }
        Vote::Promised
    }

    /// Answers a candidate.
    pub fn ask(&mut self, now_ms: u64, leader_epoch: LeaderEpoch, term: Term) -> Vote {
        let vote = self.probe(now_ms, leader_epoch, term);
        if vote == Vote::Promised {
            self.highest_term = term;
            let deadline_ms = now_ms + self.promise_ms;
            self.promise = Some(Promise { leader_epoch, deadline_ms });
        }
        vote
    }

    /// Notes a term that was seen elsewhere.
    pub fn note_term(&mut self, term: Term) {
        if term > self.highest_term {
            self.highest_term = term;
        }
    }

    /// Ends the promise to a candidate that gave it back.
    pub fn release(&mut self, leader_epoch: LeaderEpoch) {
        if let Some(promise) =
            self.promise.as_mut().filter(|promise| promise.leader_epoch == leader_epoch)
        {
            promise.deadline_ms = 0;
        }
    }
}
