//! Fences and the epochs that they are derived from.

use std::fmt;

/// The epoch of a leader: the revision of the store at its election.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Epoch(pub u64);

/// The number by which a server recognizes outdated grants.
///
/// A server refuses a grant whose fence is below the highest that it has seen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fence(pub u64);

/// Number of low bits that count the fences within an epoch.
///
/// Each epoch has 2^20 fences. A leader that issues 200 fences a second uses them up after an
/// hour and a half; before that it resigns, and the next leader has a new epoch.
const FENCE_BITS: u32 = 20;

impl Fence {
    /// Returns the first fence of a leader, which is above all fences of earlier leaders.
    #[must_use]
    pub fn first(epoch: Epoch) -> Self {
        Self(epoch.0 << FENCE_BITS)
    }

    /// Returns the fence after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns whether less than a sixteenth of its leader's fences are left.
    #[must_use]
    pub fn is_nearly_last(self) -> bool {
        let used = self.0 & ((1 << FENCE_BITS) - 1);
        used > (1 << FENCE_BITS) - (1 << (FENCE_BITS - 4))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
