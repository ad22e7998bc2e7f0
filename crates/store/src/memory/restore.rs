//! Brings a memory store back from an older copy of itself.

use super::{MemoryStore, State};
use crate::Era;

/// A copy of all values, leases and the revision of a [`MemoryStore`].
#[derive(Debug)]
pub struct StoreCopy(State);

impl MemoryStore {
    /// Returns a copy of the store.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Goes on from a copy in the next era: what was written since is gone, leases too.
    ///
    /// Watches that wait fail. Faults and counts of calls stay as they are.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        let (era, faults, usage) = (Era(state.era.0 + 1), state.faults, state.usage);
        *state = State { era, faults, usage, ..copy.0 };
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the era, which counts how often the store was restored.
    #[must_use]
    pub fn current_era(&self) -> Era {
        self.lock().era
    }
}
