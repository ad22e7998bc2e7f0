//! The answer to a caller whose request no server answered.

use std::fmt;

/// Whether a request may have run on a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why no server answered a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The path names no known service.
    UnknownService,
    /// The daemon has no document yet.
    NoSite,
    /// The document has no route for the host and path.
    NoRoute,
    /// The request has no host, or no id by which it can be traced.
    NoIdentity,
    /// The request has no key where the document expects one.
    NoKey,
    /// The key belongs to no key group.
    UnknownKeyGroup,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body ended early.
    BodyIncomplete,
    /// The framing headers contradict each other.
    BadFraming,
    /// No server owns the key now.
    NoOwner,
    /// Too many requests wait for the server.
    Overloaded,
    /// The deadline passed before the request was sent.
    Expired,
    /// The server could not be reached.
    Unreachable,
    /// The server refused the request.
    RefusedByServer,
    /// The connection broke after the request was sent.
    Broken,
    /// The server did not answer before the deadline.
    TimedOut,
    /// The request crashed servers that ran it.
    Crashing,
    /// The daemon is stopping and no longer has the time for an answer.
    Stopping,
}

/// The answer to a caller whose request no server answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why no server answered the request.
    pub reason: Reason,
    /// How long the caller should wait before it sends the request again.
    pub retry_after_ms: Option<u64>,
}

/// The default wait before a retry after a refusal for a temporary reason.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

impl Refusal {
    /// Creates the refusal of a request that certainly did not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        let retry_after_ms = reason.is_temporary().then_some(DEFAULT_RETRY_AFTER_MS);
        Self { outcome: Outcome::NotRun, reason, retry_after_ms }
    }

    /// Creates the answer for a request that may have run.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after_ms: None }
    }

    /// Sets how long the caller should wait before a retry, if the request did not run.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        if self.outcome == Outcome::NotRun {
            self.retry_after_ms = Some(retry_after_ms);
        }
        self
    }

    /// Returns the HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.reason {
            Reason::UnknownService | Reason::NoRoute => 404,
            Reason::NoKey
            | Reason::NoIdentity
            | Reason::UnknownKeyGroup
            | Reason::BodyIncomplete
            | Reason::BadFraming => 400,
            Reason::BodyTooLarge => 413,
            Reason::NoOwner
            | Reason::NoSite
            | Reason::Overloaded
            | Reason::RefusedByServer
            | Reason::Crashing
            | Reason::Unreachable => 503,
            Reason::Stopping if self.outcome == Outcome::NotRun => 503,
            Reason::Broken | Reason::Stopping => 502,
            Reason::Expired | Reason::TimedOut => 504,
        }
    }
}

impl Reason {
    /// Returns whether a later retry may succeed without a change to the request.
    fn is_temporary(self) -> bool {
        matches!(
            self,
            Self::NoOwner
                | Self::NoSite
                | Self::Overloaded
                | Self::Expired
                | Self::Unreachable
                | Self::RefusedByServer
                | Self::Stopping
        )
    }

    /// Returns the value of the reason header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::NoSite => "no-site",
            Self::NoRoute => "no-route",
            Self::NoIdentity => "no-identity",
            Self::NoKey => "no-key",
            Self::UnknownKeyGroup => "unknown-key-group",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyIncomplete => "body-incomplete",
            Self::BadFraming => "bad-framing",
            Self::NoOwner => "no-owner",
            Self::Overloaded => "overloaded",
            Self::Expired => "expired",
            Self::Unreachable => "unreachable",
            Self::RefusedByServer => "refused-by-server",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Crashing => "crashing",
            Self::Stopping => "stopping",
        }
    }
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.outcome.as_str(), self.reason.as_str())
    }
}
