//! Guards against a store that comes back from an older copy unnoticed.

use document::Revision;
use store::{Category, Era, EraTracker, Expect, MemoryStore, Store};
use tokio::time::{Duration, sleep};

#[test]
fn newest_era_counts() {
    let tracker = EraTracker::default();
    let era = tracker.clone().subscribe();
    for (answer, newest) in [
        ("", None),
        ("-1", None),
        ("7", Some(7)),
        ("8 and more", Some(7)),
        ("5", Some(7)),
        (" 9 ", Some(9)),
        ("99999999999999999999", Some(9)),
    ] {
        tracker.on_answer(answer);
        assert_eq!(*era.borrow(), newest.map(Era), "after {answer:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn restored_store_has_nothing_that_was_written_since() {
    let store = MemoryStore::default();
    let kept = store.write("k", Expect::Missing, "1", None).await.unwrap();
    let copy = store.copy();
    let lease = store.open_lease(60_000).await.unwrap();
    store.write("k", Expect::At(kept), "2", Some(lease)).await.unwrap();
    let era = store.current_era();
    store.restore(copy);
    assert_eq!(store.current_era(), Era(era.0 + 1));
    assert_eq!(store.read("k").await.unwrap().unwrap().text, "1");
    assert!(store.renew_lease(lease).await.is_err(), "the lease is left");
    let again = store.write("k", Expect::At(kept), "3", None).await.unwrap();
    assert_eq!(again, Revision(kept.0 + 1), "revisions are given out again");
}

#[tokio::test(start_paused = true)]
async fn watches_of_revisions_that_are_gone_fail() {
    let store = MemoryStore::default();
    let copy = store.copy();
    let revision = store.write("k", Expect::Missing, "1", None).await.unwrap();
    let watcher = store.clone();
    let waiting = tokio::spawn(async move { watcher.watch("k", revision, 60_000).await });
    sleep(Duration::from_millis(10)).await;
    store.restore(copy);
    for watched in [waiting.await.unwrap(), store.watch("k", revision, 0).await] {
        assert_eq!(watched.unwrap_err().current_context().category(), Category::Compacted);
    }
}
