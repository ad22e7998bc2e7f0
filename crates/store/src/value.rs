//! Values, pages, changes and the expectations of a write.

use document::Revision;
use serde::{Deserialize, Serialize};

use crate::{Category, Error, Result};

/// The largest size of a value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value with the revision of its last write.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Value {
    /// The revision of the last write.
    pub revision: Revision,
    /// The text of the value.
    pub text: String,
}

/// What a write expects of the current value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Expect {
    /// No expectation.
    Anything,
    /// No value.
    Missing,
    /// A value with this revision.
    At(Revision),
}

/// The identity of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A page of the values under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Page {
    /// The revision of the service when the page was read.
    pub revision: Revision,
    /// The values, sorted by key.
    pub entries: Vec<Entry>,
    /// Whether more values follow the last one.
    pub is_truncated: bool,
}

/// The values under a prefix that changed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    pub revision: Revision,
    /// The changed values.
    pub entries: Vec<Entry>,
}

/// A key with its value or its removal.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// The text of the value; `None` if it was removed.
    pub text: Option<String>,
}

impl Page {
    /// Checks that this page, which was read after a key, tells where the next one begins.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unknown`] when more values follow, but the last key of this page is
    /// not greater than `after`. The next call would return the same page, without end, and the
    /// values that follow are not known.
    pub fn check_progress(&self, after: Option<&str>) -> Result<()> {
        let last = self.entries.last().map(|entry| entry.key.as_str());
        if !self.is_truncated || last > after {
            return Ok(());
        }
        let message = format!("page after {after:?} ends at {last:?}, expected a greater key");
        Error::fail(Category::Unknown, message)
    }
}

impl Entry {
    /// Returns the value, or `None` if it was removed.
    #[must_use]
    pub fn into_value(self) -> Option<Value> {
        self.text.map(|text| Value { revision: self.revision, text })
    }
}
