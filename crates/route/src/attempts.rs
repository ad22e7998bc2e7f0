//! The decision whether a failed attempt is retried.

use crate::{MAX_CRASHES, Reason, Refusal};

/// How one attempt to run a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be made, or the request was never written.
    NotSent,
    /// The server refused the fence epoch and did not run the request.
    Fenced,
    /// The server answered that it did not run the request.
    Shed,
    /// The connection broke after the request was written.
    Broken,
    /// The server reset the connection after the request was written, because it was full.
    Reset,
    /// The connection broke, and the server accepted no further connection.
    Crashed,
    /// No answer came before the attempt's deadline.
    TimedOut,
    /// The server answered with an error status.
    Failed,
    /// The process is stopping, and no answer came before its end.
    Stopping,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Wait for a newer routing table, then send the request again.
    Reroute,
    /// Send the request again on another connection.
    Retry,
    /// Answer the caller with a refusal.
    GiveUp,
}

/// Counts the attempts to run one request and decides whether it is sent again.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    deadline_ms: u64,
    failed: u32,
    max: u32,
    /// How many of the failed attempts were sent to a server.
    sent: u32,
    max_sent: u32,
    crashes: u32,
    may_have_run: bool,
    last_failure: Option<Failure>,
}

const ALL_FAILURES: [Failure; 9] = [
    Failure::NotSent,
    Failure::Fenced,
    Failure::Shed,
    Failure::Broken,
    Failure::Reset,
    Failure::Crashed,
    Failure::TimedOut,
    Failure::Failed,
    Failure::Stopping,
];
/// The default for the largest number of attempts, including the first.
const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// The time before the deadline in which no further attempt is made.
const MIN_REMAINING_MS: u64 = 5;

impl Failure {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Fenced | Self::Shed)
    }

    /// Returns the name by which daemons tell each other of the failure.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Fenced => "fenced",
            Self::Shed => "shed",
            Self::Broken => "broken",
            Self::Reset => "reset",
            Self::Crashed => "crashed",
            Self::TimedOut => "timed-out",
            Self::Failed => "failed",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the failure with this name, if there is one.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        ALL_FAILURES.into_iter().find(|failure| failure.as_str() == name)
    }
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub fn new(is_idempotent: bool, deadline_ms: u64) -> Self {
        Self {
            is_idempotent,
            deadline_ms,
            failed: 0,
            max: DEFAULT_MAX_ATTEMPTS,
            sent: 0,
            max_sent: DEFAULT_MAX_ATTEMPTS,
            crashes: 0,
            may_have_run: false,
            last_failure: None,
        }
    }

    /// Sets the largest number of attempts, including the first.
    #[must_use]
    pub fn with_max_attempts(mut self, max_attempts: u32) -> Self {
        self.max = max_attempts;
        self.max_sent = max_attempts;
        self
    }

    /// Sets the largest number of attempts that are sent to a server, including the first.
    ///
    /// A daemon that was passed a request sends it once: the daemon that passed it on counts the
    /// attempts.
    #[must_use]
    pub fn with_max_sent(mut self, max_sent: u32) -> Self {
        self.max_sent = max_sent;
        self
    }

    /// Returns whether any attempt may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns how many attempts failed.
    #[must_use]
    pub fn failed_attempts(&self) -> u32 {
        self.failed
    }

    /// Returns whether a failed attempt was sent to a server.
    #[must_use]
    pub fn has_sent(&self) -> bool {
        self.sent > 0
    }

    /// Counts all attempts that are left as sent, because another process may have made them.
    pub fn use_up(&mut self) {
        self.sent = self.max_sent;
    }

    /// Handles a failed attempt and returns what to do next.
    pub fn on_failure(&mut self, now_ms: u64, failure: Failure) -> Next {
        self.failed += 1;
        self.sent += u32::from(failure != Failure::NotSent);
        self.may_have_run |= !failure.is_certainly_not_run();
        self.crashes += u32::from(failure == Failure::Crashed);
        self.last_failure = Some(failure);
        let has_time = now_ms + MIN_REMAINING_MS < self.deadline_ms;
        let is_repeatable = self.is_idempotent || !self.may_have_run;
        let is_crashing = self.crashes >= MAX_CRASHES;
        let has_attempts = self.failed < self.max && self.sent < self.max_sent;
        if !has_time || !is_repeatable || is_crashing || !has_attempts {
            return Next::GiveUp;
        }
        match failure {
            Failure::Stopping => Next::GiveUp,
            Failure::Fenced => Next::Reroute,
            Failure::NotSent
            | Failure::Shed
            | Failure::Broken
            | Failure::Reset
            | Failure::Crashed
            | Failure::Failed
            | Failure::TimedOut => Next::Retry,
        }
    }

    /// Returns the deadline of the next attempt.
    ///
    /// For an idempotent request this is after half of the remaining time, except in the last
    /// attempt, so that there is time for a retry.
    #[must_use]
    pub fn attempt_deadline_ms(&self, now_ms: u64) -> u64 {
        let left_ms = self.deadline_ms.saturating_sub(now_ms);
        let is_last = self.failed + 1 >= self.max || self.sent + 1 >= self.max_sent;
        if self.is_idempotent && !is_last { now_ms + left_ms / 2 } else { self.deadline_ms }
    }

    /// Returns the refusal to send to the caller for `reason`.
    ///
    /// If the request may have run, the reason becomes [`Reason::TimedOut`], [`Reason::Stopping`] or
    /// [`Reason::Broken`], depending on how the last attempt failed.
    #[must_use]
    pub fn to_refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run {
            let reason = match self.last_failure {
                Some(Failure::TimedOut) => Reason::TimedOut,
                Some(Failure::Stopping) => Reason::Stopping,
                _ => Reason::Broken,
            };
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason)
    }

    /// Returns the refusal to send to the caller after the last attempt failed.
    #[must_use]
    pub fn to_last_refusal(&self) -> Refusal {
        let reason = match self.last_failure {
            Some(Failure::NotSent) => Reason::Unreachable,
            Some(Failure::Fenced) => Reason::NoOwner,
            Some(Failure::Shed) => Reason::RefusedByServer,
            Some(Failure::TimedOut) => Reason::TimedOut,
            Some(Failure::Stopping) => Reason::Stopping,
            Some(Failure::Broken | Failure::Reset | Failure::Crashed | Failure::Failed) | None => {
                Reason::Broken
            }
        };
        self.to_refusal(reason)
    }
}
