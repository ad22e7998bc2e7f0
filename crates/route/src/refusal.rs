//! What a caller is told when its request is not answered by a server.

use std::fmt;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was not answered by a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The path names no service.
    UnknownService,
    /// No document is known yet.
    NoSite,
    /// The document has no route for the host and path.
    NoRoute,
    /// The request names no host, or carries nothing that identifies it.
    NoIdentity,
    /// The request carries no key where the document expects it.
    NoKey,
    /// The key belongs to no key group.
    UnknownKeyGroup,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyIncomplete,
    /// The framing headers contradict each other.
    BadFraming,
    /// No server holds the key now.
    NoOwner,
    /// Too many requests wait.
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
    /// The request has crashed servers that ran it.
    Crashing,
}

/// The answer to a caller whose request no server answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// When it is worth asking again, counted from now.
    pub retry_after_ms: Option<u64>,
}

/// When a caller should come back after a refusal that passes by itself and of which
/// nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;

impl Refusal {
    /// Creates the refusal of a request that certainly did not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        let retry_after_ms = reason.is_passing().then_some(RETRY_AFTER_MS);
        Self { outcome: Outcome::NotRun, reason, retry_after_ms }
    }

    /// Creates the answer for a request that may have run.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after_ms: None }
    }

    /// Tells the caller to come back after some time, if the request did not run.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        if self.outcome == Outcome::NotRun {
            self.retry_after_ms = Some(retry_after_ms);
        }
        self
    }

    /// Returns the HTTP status.
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
            Reason::Broken => 502,
            Reason::Expired | Reason::TimedOut => 504,
        }
    }
}

impl Reason {
    /// Returns whether asking again later may help.
    fn is_passing(self) -> bool {
        matches!(
            self,
            Self::NoOwner
                | Self::NoSite
                | Self::Overloaded
                | Self::Expired
                | Self::Unreachable
                | Self::RefusedByServer
        )
    }

    /// Returns the machine-readable name.
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
