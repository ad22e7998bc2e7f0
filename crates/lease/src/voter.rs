//! The promises that one instance gives to candidates.

use crate::{LeaderEpoch, Term, plus_drift_ms};

/// Gives promises to candidates, to one candidate at a time.
///
/// A voter keeps its state in memory only. After a start it therefore promises nothing until
/// every promise that it may have given before the start has expired.
#[derive(Clone, Debug)]
pub struct Voter {
    promise_ms: u64,
    startup_wait_deadline_ms: u64,
    highest_term: Term,
    promise: Option<Promise>,
}

/// A voter's answer to a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Vote {
    /// The voter supports no other candidate until the promise expires.
    Promised,
    /// The voter has seen this later term, or has already given a promise in the same term.
    Outdated(Term),
    /// The voter has promised another candidate, or has just started.
    Bound,
}

#[derive(Clone, Debug)]
struct Promise {
    leader_epoch: LeaderEpoch,
    deadline_ms: u64,
}

impl Voter {
    /// Creates the voter of an instance that starts now; its promises last `promise_ms`.
    #[must_use]
    pub fn new(now_ms: u64, promise_ms: u64) -> Self {
        let startup_wait_deadline_ms = now_ms + plus_drift_ms(promise_ms);
        Self { promise_ms, startup_wait_deadline_ms, highest_term: Term(0), promise: None }
    }

    /// Returns the highest term that the voter has seen.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Returns the leader epoch to which the voter's unexpired promise was given.
    #[must_use]
    pub fn bound_to(&self, now_ms: u64) -> Option<LeaderEpoch> {
        let promise = self.promise.as_ref()?;
        (now_ms < promise.deadline_ms).then_some(promise.leader_epoch)
    }

    /// Returns whether a promise from before the start may still be in force.
    #[must_use]
    pub fn is_in_startup_wait(&self, now_ms: u64) -> bool {
        now_ms < self.startup_wait_deadline_ms
    }

    /// Returns what [`Voter::request`] would answer, without giving a promise.
    #[must_use]
    pub fn probe(&self, now_ms: u64, leader_epoch: LeaderEpoch, term: Term) -> Vote {
        if term < self.highest_term {
            return Vote::Outdated(self.highest_term);
        }
        if self.is_in_startup_wait(now_ms) {
            return Vote::Bound;
        }
        if self.bound_to(now_ms).is_some_and(|holder| holder != leader_epoch) {
            return Vote::Bound;
        }
        // A voter that has given a promise may give another one in the same term only as a
        // renewal. Any other promise needs a later term.
        let is_renewal = self.bound_to(now_ms) == Some(leader_epoch);
        if term == self.highest_term && self.promise.is_some() && !is_renewal {
            return Vote::Outdated(self.highest_term);
        }
        Vote::Promised
    }

    /// Answers a candidate's request for a promise, and gives the promise if it can.
    pub fn request(&mut self, now_ms: u64, leader_epoch: LeaderEpoch, term: Term) -> Vote {
        let vote = self.probe(now_ms, leader_epoch, term);
        if vote == Vote::Promised {
            self.highest_term = term;
            let deadline_ms = now_ms + self.promise_ms;
            self.promise = Some(Promise { leader_epoch, deadline_ms });
        }
        vote
    }

    /// Raises the highest term seen to the term of another message, if that is higher.
    pub fn on_term(&mut self, term: Term) {
        if term > self.highest_term {
            self.highest_term = term;
        }
    }

    /// Ends the promise to a candidate or controller that has returned it.
    pub fn on_promise_returned(&mut self, leader_epoch: LeaderEpoch) {
        if let Some(promise) =
            self.promise.as_mut().filter(|promise| promise.leader_epoch == leader_epoch)
        {
            promise.deadline_ms = 0;
        }
    }
}
