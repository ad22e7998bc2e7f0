//! Why a document cannot be put in force.

use std::fmt;

use error_stack::Report;

/// The result of building a site.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A document that contradicts itself or cannot be read.
#[derive(Debug)]
pub struct Error(Box<str>);

impl Error {
    /// Creates the error with what was found and what was expected.
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
