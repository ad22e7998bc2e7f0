//! The errors of the platform's service.

use std::fmt;

use error_stack::Report;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What a failed call means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The present value is not the expected one.
    Conflict,
    /// The lease or value is not there.
    Missing,
    /// The changes since then are no longer known.
    Compacted,
    /// The service did nothing.
    Refused,
    /// The call may have taken effect.
    Unclear,
}

/// A failed call.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: Box<str>,
}

impl Error {
    /// Creates an error.
    #[must_use]
    pub fn new(category: Category, message: impl Into<Box<str>>) -> Self {
        Self { category, message: message.into() }
    }

    /// Returns what the failure means.
    #[must_use]
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns a failure.
    ///
    /// # Errors
    ///
    /// Always, with the category and message.
    pub fn report<T>(category: Category, message: impl Into<Box<str>>) -> Result<T> {
        Err(Report::new(Self::new(category, message)))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
