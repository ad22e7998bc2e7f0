//! The errors of an exchange.

use std::fmt;

use error_stack::Report;

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What a failed exchange means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The request was not sent.
    NotSent,
    /// The request may have arrived.
    Unclear,
}

/// An exchange that failed.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: Box<str>,
}

impl Error {
    /// Returns what the failure means.
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
