//! Ranges of keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A non-empty range of keys, both ends inclusive.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct KeyRange {
    from: u16,
    to: u16,
}

impl KeyRange {
    /// All keys.
    pub const WHOLE: Self = Self { from: 0, to: u16::MAX };

    /// The first key alone.
    pub const FIRST: Self = Self { from: 0, to: 0 };

    /// Creates a range; `None` if it would be empty.
    #[must_use]
    pub fn new(from: u16, to: u16) -> Option<Self> {
        (from <= to).then_some(Self { from, to })
    }

    /// Returns the first key.
    #[must_use]
    pub fn from(self) -> u16 {
        self.from
    }

    /// Returns the last key.
    #[must_use]
    pub fn to(self) -> u16 {
        self.to
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn count(self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Returns whether a key is in the range.
    #[must_use]
    pub fn contains(self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }

    /// Returns whether two ranges have keys in common.
    #[must_use]
    pub fn overlaps(self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }

    /// Returns the keys that are in both ranges; `None` if there are none.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.from.max(other.from), self.to.min(other.to))
    }

    /// Splits the range before a key; `None` if one of the parts would be empty.
    #[must_use]
    pub fn split_at(self, key: u16) -> Option<(Self, Self)> {
        let is_inside = self.from < key && key <= self.to;
        is_inside.then(|| (Self { from: self.from, to: key - 1 }, Self { from: key, to: self.to }))
    }

    /// Returns the parts of this range that are not in the other: none, one or two.
    #[must_use]
    pub fn without(self, other: Self) -> Vec<Self> {
        if !self.overlaps(other) {
            return vec![self];
        }
        let left = self.split_at(other.from).map(|(left, _)| left);
        let right = other.to.checked_add(1).and_then(|next| self.split_at(next));
        [left, right.map(|(_, right)| right)].into_iter().flatten().collect()
    }

    /// Joins this range with the one right after it; `None` if `next` starts elsewhere.
    #[must_use]
    pub fn join(self, next: Self) -> Option<Self> {
        (self.to.checked_add(1) == Some(next.from)).then_some(Self { from: self.from, to: next.to })
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}
