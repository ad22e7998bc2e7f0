//! The error that a daemon returns to an operator.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a daemon could not carry out a call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Error {
    /// The kind of error.
    pub kind: ErrorKind,
    /// What was wrong and what was expected.
    pub message: String,
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The document is not valid.
    Invalid,
    /// Another edit was accepted first.
    Conflict,
    /// There is no such service, revision or key.
    Missing,
    /// The store failed or refused the call, or the daemon is stopping; nothing was changed.
    Unavailable,
    /// The store did not answer, so the edit may have been accepted.
    ///
    /// Read the stored document before trying again.
    #[serde(rename = "unclear")]
    Unknown,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ErrorKind::Invalid => "invalid",
            ErrorKind::Conflict => "conflict",
            ErrorKind::Missing => "missing",
            ErrorKind::Unavailable => "unavailable",
            ErrorKind::Unknown => "unclear",
        };
        write!(f, "{kind}: {}", self.message)
    }
}

impl std::error::Error for Error {}
