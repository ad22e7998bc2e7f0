//! The error for a text that was refused.

use std::fmt;

use error_stack::Report;

/// The result of reading a document or a settings text.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not valid INI.
    Syntax,
    /// A section or key is unknown, missing or duplicated.
    Structure,
    /// A value does not have the expected format.
    Value,
    /// The values contradict each other.
    Consistency,
}

/// An error in a text: the file, the line, what was found and what was expected.
#[derive(Debug)]
pub struct Error {
    category: Category,
    file: Box<str>,
    line: u32,
    message: Box<str>,
}

impl Error {
    /// Creates an error at a line of a file, counted from 1.
    ///
    /// Line 0 stands for the whole file. The message is shortened to about 400 characters.
    #[must_use]
    pub fn new(category: Category, file: &str, line: u32, message: impl Into<Box<str>>) -> Self {
        Self { category, file: file.into(), line, message: shorten(message.into()) }
    }

    /// Returns the category of the error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the line of the error, counted from 1; 0 stands for the whole file.
    #[must_use]
    pub fn line(&self) -> u32 {
        self.line
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: {}", self.file, self.message);
        }
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for Error {}

/// The largest length of a message; the middle of a longer one is cut out.
///
/// Messages quote the text, whose lines can have any length.
const MAX_MESSAGE_CHARS: usize = 400;

fn shorten(message: Box<str>) -> Box<str> {
    let count = message.chars().count();
    if count <= MAX_MESSAGE_CHARS {
        return message;
    }
    let start: String = message.chars().take(MAX_MESSAGE_CHARS / 2).collect();
    let end: String = message.chars().skip(count - MAX_MESSAGE_CHARS / 2).collect();
    format!("{start} [...] {end}").into()
}
