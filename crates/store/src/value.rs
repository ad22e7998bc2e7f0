//! Values, revisions and what a write expects.

use document::Revision;
use serde::{Deserialize, Serialize};

/// The largest value that the service takes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value with the revision of its last write.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Value {
    /// The revision.
    pub revision: Revision,
    /// The value.
    pub text: String,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Expect {
    /// Anything.
    Anything,
    /// No value.
    Missing,
    /// The value with this revision.
    At(Revision),
}

/// The identity of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Some of the values under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Page {
    /// The revision of the service when the page was read.
    pub revision: Revision,
    /// The values, in the order of their keys.
    pub entries: Vec<Entry>,
    /// Whether there are more after the last one.
    pub is_truncated: bool,
}

/// The values under a prefix that changed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Changes {
    /// The revision up to which all changes are here.
    pub revision: Revision,
    /// The changed values.
    pub entries: Vec<Entry>,
}

/// One changed value.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
    /// The value; `None` when it was removed.
    pub text: Option<String>,
}

impl Entry {
    /// Returns the value, unless it was removed.
    #[must_use]
    pub fn into_value(self) -> Option<Value> {
        self.text.map(|text| Value { revision: self.revision, text })
    }
}
