//! Tracks the revision from which the next watch of the store starts.

use document::Revision;

/// The revision up to which all changes are known.
///
/// A store that is about to compact its history may hold changes back for about a second. A
/// watch that ends in that time still returns the newest revision, and starting the next watch
/// there would lose the changes for good. So the revision of an answer is used only once it is
/// old enough: a watch from an earlier revision either returns the changes or fails, and then
/// everything is listed again.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    after: Revision,
    /// The revision of an earlier answer and when it arrived; not old enough to be used.
    pending: (Revision, u64),
}

/// The least age of an answer's revision: twice the time for which changes are held back.
const MIN_REVISION_AGE_MS: u64 = 2_000;

impl Progress {
    /// Starts at the revision of a complete listing.
    #[must_use]
    pub fn new(now_ms: u64, revision: Revision) -> Self {
        Self { after: revision, pending: (revision, now_ms) }
    }

    /// Returns the revision after which the next watch starts.
    #[must_use]
    pub fn after(&self) -> Revision {
        self.after
    }

    /// Handles an answer with the store's revision and the revision of the newest change in it.
    pub fn on_answer(&mut self, now_ms: u64, revision: Revision, newest_change: Option<Revision>) {
        self.after = self.after.max(newest_change.unwrap_or_default());
        let (earlier, at_ms) = self.pending;
        if now_ms >= at_ms + MIN_REVISION_AGE_MS {
            self.after = self.after.max(earlier);
            self.pending = (revision, now_ms);
        }
    }
}
