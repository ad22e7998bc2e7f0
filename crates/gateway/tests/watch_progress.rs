//! Guards against changes lost when a store holds them back before it compacts its history.
//!
//! Such a store answers watches with its newest revision, but without the changes. A watch that
//! started from that revision would miss them for good.

use document::Revision;
use gateway::Progress;
use googletest::prelude::*;

/// A store that holds a change back for a second, then compacts its history.
struct LaggingStore {
    /// When the change was made, and its revision.
    change: (u64, u64),
    /// When the history up to the change is compacted.
    compacted_at_ms: u64,
}

/// The result of a watch.
#[derive(Debug, Eq, PartialEq)]
enum Answer {
    NoChanges { revision: u64 },
    Compacted,
}

impl LaggingStore {
    fn watch(&self, now_ms: u64, after: Revision) -> Answer {
        let (changed_at_ms, revision) = self.change;
        if now_ms >= self.compacted_at_ms && after.0 < revision {
            return Answer::Compacted;
        }
        Answer::NoChanges { revision: if now_ms >= changed_at_ms { revision } else { 10 } }
    }
}

/// Watches at an interval; returns when a watch first fails with compacted history, if one
/// does.
fn first_compacted(interval_ms: u64) -> Option<u64> {
    let store = LaggingStore { change: (5_000, 11), compacted_at_ms: 6_000 };
    let mut progress = Progress::new(0, Revision(10));
    for now_ms in (interval_ms..30_000).step_by(usize::try_from(interval_ms).unwrap()) {
        match store.watch(now_ms, progress.after()) {
            Answer::NoChanges { revision } => progress.on_answer(now_ms, Revision(revision), None),
            Answer::Compacted => return Some(now_ms),
        }
    }
    None
}

#[googletest::test]
fn frequent_watches_detect_compaction() {
    for interval_ms in [200, 350, 500, 850, 900] {
        expect_that!(
            first_compacted(interval_ms),
            some(le(7_000)),
            "a watch every {interval_ms} ms"
        );
    }
}

#[googletest::test]
fn rare_watches_detect_compaction() {
    // One watch may end while the change is held back; the next one still starts before the change.
    for interval_ms in [5_500, 9_000] {
        expect_that!(
            first_compacted(interval_ms),
            some(anything()),
            "a watch every {interval_ms} ms"
        );
    }
}

#[googletest::test]
fn received_changes_advance_at_once() {
    let mut progress = Progress::new(0, Revision(10));
    progress.on_answer(100, Revision(15), Some(Revision(14)));
    expect_that!(progress.after(), eq(Revision(14)));
}

#[googletest::test]
fn revisions_of_answers_advance_when_old_enough() {
    let mut progress = Progress::new(0, Revision(10));
    for now_ms in (350..10_000).step_by(350) {
        progress.on_answer(now_ms, Revision(now_ms), None);
    }
    // History older than a few seconds may be compacted.
    expect_that!(progress.after(), gt(Revision(5_000)));
}
