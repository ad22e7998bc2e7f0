//! The error for a site document that cannot be used.

use std::fmt;

use error_stack::Report;

/// The result of building a site.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A site document that is inconsistent or cannot be parsed.
#[derive(Debug)]
pub struct Error(Box<str>);

impl Error {
    /// Creates an error; the message says what was found and what was expected.
    pub fn report(message: impl Into<Box<str>>) -> Report<Self> {
        Report::new(Self(message.into()))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}
