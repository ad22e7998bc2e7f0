//! The error of setting up logs or metrics.

use std::fmt;

use error_stack::Report;

/// The result of setting up logs or metrics.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// An error of setting up logs or metrics.
#[derive(Debug)]
pub struct Error {
    message: Box<str>,
}

impl Error {
    pub(crate) fn report(message: impl fmt::Display) -> Report<Self> {
        Report::new(Self { message: message.to_string().into() })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
