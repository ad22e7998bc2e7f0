//! The error type for starting a daemon.

use std::fmt;

use error_stack::Report;

/// The result of starting a daemon.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason why a daemon cannot start.
#[derive(Debug)]
pub struct Error {
    message: Box<str>,
}

impl Error {
    pub(crate) fn new(message: impl Into<Box<str>>) -> Self {
        Self { message: message.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
