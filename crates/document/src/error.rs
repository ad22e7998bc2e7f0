//! The error of a refused text.

use std::fmt;

use error_stack::Report;

/// The result of reading a document or settings text.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What kind of fault a text has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not INI.
    Syntax,
    /// A section or key is unknown, missing or given twice.
    Structure,
    /// A value is not of the expected form.
    Value,
    /// The values contradict each other.
    Consistency,
}

/// A refused text, with the place and what was expected there.
#[derive(Debug)]
pub struct Error {
    category: Category,
    file: Box<str>,
    line: u32,
    message: Box<str>,
}

impl Error {
    /// Creates an error at a line of a file; line 0 stands for the whole file.
    #[must_use]
    pub fn new(category: Category, file: &str, line: u32, message: impl Into<Box<str>>) -> Self {
        Self { category, file: file.into(), line, message: shorten(message.into()) }
    }

    /// Returns the kind of fault.
    #[must_use]
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns the line of the fault, counted from 1, or 0 for the whole file.
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

/// What an error quotes of a text is cut in the middle beyond this many characters.
const MOST_QUOTED: usize = 400;

fn shorten(message: Box<str>) -> Box<str> {
    let count = message.chars().count();
    if count <= MOST_QUOTED {
        return message;
    }
    let start: String = message.chars().take(MOST_QUOTED / 2).collect();
    let end: String = message.chars().skip(count - MOST_QUOTED / 2).collect();
    format!("{start} [...] {end}").into()
}
