//! Why a daemon did not do what an operator asked.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// What kind of failure it is.
    pub kind: FaultKind,
    /// What happened and what was expected.
    pub message: String,
}

/// What kind of failure a call met.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The document is not valid.
    Invalid,
    /// Another edit came first.
    Conflict,
    /// There is no such service, revision or key.
    Missing,
    /// The store did not take the call; nothing was changed.
    Unavailable,
    /// The store did not answer; look what is stored before trying again.
    Unclear,
}

impl Fault {
    /// Creates a fault.
    #[must_use]
    pub fn new(kind: FaultKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            FaultKind::Invalid => "invalid",
            FaultKind::Conflict => "conflict",
            FaultKind::Missing => "missing",
            FaultKind::Unavailable => "unavailable",
            FaultKind::Unclear => "unclear",
        };
        write!(f, "{kind}: {}", self.message)
    }
}

impl std::error::Error for Fault {}
