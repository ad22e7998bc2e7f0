//! From where on the next watch asks for changes.

use document::Revision;

/// Up to where changes are known for sure.
///
/// A store that is about to drop its history may keep changes back for about a second, and
/// still answer a watch that ends in that time with its newest revision. Going on from
/// there would lose them for good. So an answer's revision counts only once it is some time
/// old: a watch from before that either brings the changes or fails, and all is read anew.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    after: Revision,
    /// The revision that an answer named, and when that was.
    named: (Revision, u64),
}

/// How old an answer's revision has to be: twice as long as changes are kept back.
const SETTLED_MS: u64 = 2_000;

impl Progress {
    /// Starts after a whole reading at a revision.
    #[must_use]
    pub fn new(now_ms: u64, revision: Revision) -> Self {
        Self { after: revision, named: (revision, now_ms) }
    }

    /// Returns the revision after which the next watch asks for changes.
    #[must_use]
    pub fn after(&self) -> Revision {
        self.after
    }

    /// Notes an answer: the revision that it names, and the newest of its changes.
    pub fn note(&mut self, now_ms: u64, named: Revision, newest_change: Option<Revision>) {
        self.after = self.after.max(newest_change.unwrap_or_default());
        let (earlier, at_ms) = self.named;
        if now_ms >= at_ms + SETTLED_MS {
            self.after = self.after.max(earlier);
            self.named = (named, now_ms);
        }
    }
}
