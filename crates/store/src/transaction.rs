//! Transactions: changes that are made together or not at all.

use serde::{Deserialize, Serialize};

use crate::{Expect, LeaseId};

/// A set of changes that is made if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Transaction {
    /// The conditions that must hold.
    pub conditions: Vec<Condition>,
    /// The values to write.
    pub puts: Vec<Put>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

/// What a transaction expects of the value of one key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The expected value.
    pub expect: Expect,
}

/// A value that a transaction writes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The text of the value.
    pub text: String,
    /// The lease at whose end the value is removed.
    pub lease: Option<LeaseId>,
}

impl Transaction {
    /// Creates an empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition; [`Expect::Anything`] adds none.
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
