//! Changes that are made together or not at all.

use serde::{Deserialize, Serialize};

use crate::{Expect, LeaseId};

/// Changes under conditions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub puts: Vec<Put>,
    /// The keys that are removed.
    pub removals: Vec<String>,
}

/// What a transaction expects of one key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// What must be there.
    pub expect: Expect,
}

/// A value that a transaction writes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub text: String,
    /// The lease with whose end the value goes.
    pub lease: Option<LeaseId>,
}

impl Transaction {
    /// Creates a transaction without changes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition; expecting anything adds none.
    #[must_use]
    pub fn expect(mut self, key: &str, expect: Expect) -> Self {
        if expect != Expect::Anything {
            self.conditions.push(Condition { key: key.to_owned(), expect });
        }
        self
    }

    /// Adds a value to write.
    #[must_use]
    pub fn put(mut self, key: &str, text: &str, lease: Option<LeaseId>) -> Self {
        self.puts.push(Put { key: key.to_owned(), text: text.to_owned(), lease });
        self
    }

    /// Adds a key to remove.
    #[must_use]
    pub fn remove(mut self, key: &str) -> Self {
        self.removals.push(key.to_owned());
        self
    }
}
