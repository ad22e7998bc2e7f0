//! No change is lost where a store keeps changes back before it drops its history.
use document::Revision;
use gateway::Progress;
use googletest::prelude::*;

/// A store that keeps changes back for a second, then forgets them.
struct Deaf {
    /// When a change was made, and its revision.
    change: (u64, u64),
    /// From when on the history up to the change is gone.
    forgets_at_ms: u64,
}

/// What a watch brings.
#[derive(Debug, Eq, PartialEq)]
enum Watched {
    Nothing { revision: u64 },
    Forgotten,
}

impl Deaf {
    fn watch(&self, now_ms: u64, after: Revision) -> Watched {
        let (changed_at_ms, revision) = self.change;
        if now_ms >= self.forgets_at_ms && after.0 < revision {
            return Watched::Forgotten;
        }
        Watched::Nothing { revision: if now_ms >= changed_at_ms { revision } else { 10 } }
    }
}

/// Watches every so often; returns when it shows that history is lost, if it does.
fn notice(every_ms: u64) -> Option<u64> {
    let store = Deaf { change: (5_000, 11), forgets_at_ms: 6_000 };
    let mut progress = Progress::new(0, Revision(10));
    for now_ms in (every_ms..30_000).step_by(usize::try_from(every_ms).unwrap()) {
        match store.watch(now_ms, progress.after()) {
            Watched::Nothing { revision } => progress.note(now_ms, Revision(revision), None),
            Watched::Forgotten => return Some(now_ms),
        }
    }
    None
}

#[googletest::test]
fn frequent_watches_notice() {
    for every_ms in [200, 350, 500, 850, 900] {
        expect_that!(notice(every_ms), some(le(7_000)), "a watch each {every_ms} ms");
    }
}

#[googletest::test]
fn rare_watches_notice() {
    // One of them ends within the second; the one after it asks from before.
    for every_ms in [5_500, 9_000] {
        expect_that!(notice(every_ms), some(anything()), "a watch each {every_ms} ms");
    }
}

#[googletest::test]
fn own_changes_count_at_once() {
    let mut progress = Progress::new(0, Revision(10));
    progress.note(100, Revision(15), Some(Revision(14)));
    expect_that!(progress.after(), eq(Revision(14)));
}

#[googletest::test]
fn revisions_count_in_the_end() {
    let mut progress = Progress::new(0, Revision(10));
    for now_ms in (350..10_000).step_by(350) {
        progress.note(now_ms, Revision(now_ms), None);
    }
    // History that is older than some seconds may be gone.
    expect_that!(progress.after(), gt(Revision(5_000)));
}
