//! How long before the end of its grant a holder is sent a release.

/// The time that servers take to answer a release: until the work on its keys has ended.
///
/// A release that is sent so much earlier than the grant ends lets running requests finish under
/// it, and leaves the keys without an owner no longer than that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandoverTime {
    mean_ms: u64,
}

const INITIAL_MEAN_MS: u64 = 60;
/// The part of the mean that each answer replaces.
const ANSWER_DIVISOR: u64 = 8;
const MAX_HANDOVER_MS: u64 = 800;

impl Default for HandoverTime {
    fn default() -> Self {
        Self { mean_ms: INITIAL_MEAN_MS }
    }
}

impl HandoverTime {
    /// Adds the time that a release waited for its answer.
    pub(crate) fn add(&mut self, waited_ms: u64) {
        let rest_ms = self.mean_ms - self.mean_ms / ANSWER_DIVISOR;
        self.mean_ms = rest_ms + waited_ms.min(MAX_HANDOVER_MS) / ANSWER_DIVISOR;
    }

    /// Returns how long before the end of its grant a holder is sent a release.
    pub(crate) fn ms(self) -> u64 {
        self.mean_ms
    }
}
