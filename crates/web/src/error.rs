//! The errors of HTTP calls.

use std::fmt;

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

/// An error of a failed call.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: Box<str>,
}

impl Error {
    /// Returns the category of the failure.
    #[must_use]
    pub fn category(&self) -> Category {
        self.category
    }

    pub(crate) fn report(category: Category, message: impl fmt::Display) -> Report<Self> {
        Report::new(Self { category, message: message.to_string().into() })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
