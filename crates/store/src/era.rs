//! How often a store has come back from an older copy of itself.

use std::sync::Arc;

use document::Revision;
use tokio::sync::watch;

/// A number that rises each time a store comes back from an older copy of itself.
///
/// Revisions rise only within an era; the store gives them out again in the next one, and what was
/// written since the copy is gone, with its leases.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

impl From<Era> for Revision {
    /// Returns the era as a number for messages that carry revisions.
    fn from(era: Era) -> Self {
        Self(era.0)
    }
}

/// Knows the newest era that any answer of a store has named; clones share it.
#[derive(Clone, Debug)]
pub struct EraTracker {
    newest: Arc<watch::Sender<Option<Era>>>,
}

impl Default for EraTracker {
    fn default() -> Self {
        Self { newest: Arc::new(watch::Sender::new(None)) }
    }
}

impl EraTracker {
    /// Handles the era that an answer names.
    ///
    /// A text that is not a number changes nothing, nor does an earlier era: its answer was under way
    /// when the store came back.
    pub fn on_answer(&self, era: &str) {
        let Ok(era) = era.trim().parse().map(Era) else { return };
        self.newest.send_if_modified(|newest| {
            let is_newer = newest.is_none_or(|newest| newest < era);
            if is_newer {
                *newest = Some(era);
            }
            is_newer
        });
    }

    /// Returns the newest era, and notices when it changes; `None` as long as no answer names one.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.newest.subscribe()
    }
}
