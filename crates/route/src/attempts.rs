//! Whether a failed attempt is repeated.

use crate::{MOST_CRASHES, Reason, Refusal};

/// How one attempt to run a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made, or the request was never written.
    NotSent,
    /// The server refused the fence epoch before running anything.
    Fenced,
    /// The server said that it did not run the request.
    Shed,
    /// The connection broke after the request was written.
    Broken,
    /// The connection broke, and the server took no other one after that.
    Crashed,
    /// No answer came before the attempt's deadline.
    TimedOut,
    /// The server answered with a failure of its own.
    Failed,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send it again when there is something newer to route by.
    Reroute,
    /// Send it again, on another connection.
    Retry,
    /// Tell the caller.
    GiveUp,
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    deadline_ms: u64,
    failed: u32,
    most: u32,
    crashes: u32,
    may_have_run: bool,
    last: Option<Failure>,
}

/// The most attempts that one request gets, the first one included.
const MAX_ATTEMPTS: u32 = 4;
/// The least time that is worth another attempt.
const LEAST_LEFT_MS: u64 = 5;

impl Failure {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Fenced | Self::Shed)
    }
}

impl Attempts {
    /// Creates the record of a request that was not sent yet.
    #[must_use]
    pub fn new(is_idempotent: bool, deadline_ms: u64) -> Self {
        Self {
            is_idempotent,
            deadline_ms,
            failed: 0,
            most: MAX_ATTEMPTS,
            crashes: 0,
            may_have_run: false,
            last: None,
        }
    }

    /// Allows another number of attempts, the first one included.
    #[must_use]
    pub fn with_most(mut self, most: u32) -> Self {
        self.most = most;
        self
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns how many attempts failed.
    #[must_use]
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Notes a failed attempt and says what to do.
    pub fn next(&mut self, now_ms: u64, failure: Failure) -> Next {
        self.failed += 1;
        self.may_have_run |= !failure.is_not_run();
        self.crashes += u32::from(failure == Failure::Crashed);
        self.last = Some(failure);
        let has_time = now_ms + LEAST_LEFT_MS < self.deadline_ms;
        let is_allowed = self.is_idempotent || !self.may_have_run;
        let is_poison = self.crashes >= MOST_CRASHES;
        if !has_time || !is_allowed || is_poison || self.failed >= self.most {
            return Next::GiveUp;
        }
        match failure {
            Failure::Fenced => Next::Reroute,
            Failure::NotSent
            | Failure::Shed
            | Failure::Broken
            | Failure::Crashed
            | Failure::Failed
            | Failure::TimedOut => Next::Retry,
        }
    }

    /// Returns the deadline of the next attempt; an idempotent one leaves time for another.
    #[must_use]
    pub fn attempt_deadline_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let is_last = self.failed + 1 >= self.most;
        if self.is_idempotent && !is_last { now_ms + left_ms / 2 } else { self.deadline_ms }
    }

    /// Returns the answer for the caller, given why the last step failed.
    #[must_use]
    pub fn to_refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run {
            let reason = match self.last {
                Some(Failure::TimedOut) => Reason::TimedOut,
                _ => Reason::Broken,
            };
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason)
    }

    /// Returns the answer for the caller after a failure that is not repeated.
    #[must_use]
    pub fn to_last_refusal(&self) -> Refusal {
        let reason = match self.last {
            Some(Failure::NotSent) => Reason::Unreachable,
            Some(Failure::Fenced) => Reason::NoOwner,
            Some(Failure::Shed) => Reason::RefusedByServer,
            Some(Failure::TimedOut) => Reason::TimedOut,
            Some(Failure::Broken | Failure::Crashed | Failure::Failed) | None => Reason::Broken,
        };
        self.to_refusal(reason)
    }
}
