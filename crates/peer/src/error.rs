//! The errors of frames.

use std::fmt;

use error_stack::Report;

/// The result of reading a frame.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A frame that is not a packet.
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
