//! The errors of HTTP calls.

use std::fmt;
use std::io::{self, ErrorKind};

use error_stack::Report;

/// The result of an HTTP call.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Whether the request of a failed call may have been carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The request was not sent.
    NotSent,
    /// The outcome is unknown: the request may have arrived and been carried out.
    Unknown,
}

/// What ended a call that got no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The call's own deadline, at which the client resets the connection.
    Deadline,
    /// The kernel, because the peer has acknowledged nothing for too long. No reset of the client
    /// discards what it has sent.
    KernelTimeout,
    /// The peer, which closed or reset the connection or sent bytes that are no answer.
    Peer,
    /// A malformed call, or the lack of a resource on this machine.
    Local,
}

/// An error of a failed call.
#[derive(Debug)]
pub struct Error {
    category: Category,
    ending: Ending,
    message: Box<str>,
}

impl Error {
    /// Returns the category of the failure.
    #[must_use]
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns what ended the call.
    #[must_use]
    pub fn ending(&self) -> Ending {
        self.ending
    }

    /// Returns the name of what ended the call before its deadline, if it may have been carried out.
    #[must_use]
    pub fn early_ending(&self) -> Option<&'static str> {
        let is_early = self.category == Category::Unknown && self.ending != Ending::Deadline;
        is_early.then(|| self.ending.as_str())
    }

    /// Reports a call that its own deadline ended.
    pub(crate) fn elapsed(category: Category, message: &str) -> Report<Self> {
        Report::new(Self { category, ending: Ending::Deadline, message: message.into() })
    }

    /// Reports a call that an error ended.
    pub(crate) fn report(
        category: Category,
        error: impl std::error::Error + 'static,
    ) -> Report<Self> {
        let message = error.to_string().into();
        Report::new(Self { category, ending: Ending::of(&error), message })
    }
}

impl Ending {
    /// Returns the name of the ending in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::KernelTimeout => "kernel-timeout",
            Self::Peer => "peer",
            Self::Local => "local",
        }
    }

    /// Returns what an error or its causes tell of the end of a call.
    fn of(error: &(dyn std::error::Error + 'static)) -> Self {
        let mut causes = std::iter::successors(Some(error), |error| error.source());
        let kind = causes.find_map(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind);
        match kind {
            // Linux names the reason of a time-out instead if a router has told it.
            Some(
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable,
            ) => Self::KernelTimeout,
            Some(ErrorKind::AddrNotAvailable | ErrorKind::Other) => Self::Local,
            None if error.is::<http::Error>() => Self::Local,
            Some(_) | None => Self::Peer,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
