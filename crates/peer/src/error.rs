//! The error of reading a frame.

use std::fmt;

use error_stack::Report;

/// The result of reading a frame.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Tells why the bytes of a frame are not a valid message.
#[derive(Debug)]
pub struct Error {
    message: Box<str>,
}

impl Error {
    pub(crate) fn report(message: impl Into<Box<str>>) -> Report<Self> {
        Report::new(Self { message: message.into() })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
