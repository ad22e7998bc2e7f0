//! Fences and the epochs that they come from.

use std::fmt;

/// The epoch of one leader: the store's revision at its election.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Epoch(pub u64);

/// What a server compares: it refuses a grant below the highest that it has seen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fence(pub u64);

/// How many fences one leader can use: 2 to this power.
///
/// A leader that moves 200 ranges a second uses them up after an hour and a half; it is
/// elected anew before that.
const FENCE_BITS: u32 = 20;

impl Fence {
    /// Returns the first fence of a leader; it is above all of earlier leaders.
    #[must_use]
    pub fn first(epoch: Epoch) -> Self {
        Self(epoch.0 << FENCE_BITS)
    }

    /// Returns the next fence.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns whether the fences of this fence's leader are nearly used up.
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
