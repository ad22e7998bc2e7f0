//! The in-memory store behaves like the real service and simulates its faults.
//!
//! If it accepted stale writes, kept values of expired leases or ignored its faults, tests that
//! run on it would pass with a daemon that fails on the real service.

use document::Revision;
use store::{Category, Expect, Faults, MAX_VALUE_BYTES, MemoryStore, Store};
use tokio::time::{Duration, sleep};

#[track_caller]
fn assert_category<T>(result: store::Result<T>, category: Category) {
    match result {
        Ok(_) => panic!("the call must fail"),
        Err(report) => assert_eq!(report.current_context().category(), category),
    }
}

#[tokio::test(start_paused = true)]
async fn conditions_guard_writes() {
    let store = MemoryStore::default();
    let first = store.write("k", Expect::Missing, "1", None).await.unwrap();
    assert_category(store.write("k", Expect::Missing, "2", None).await, Category::Conflict);
    let second = store.write("k", Expect::At(first), "2", None).await.unwrap();
    assert!(second > first);
    assert_category(store.write("k", Expect::At(first), "3", None).await, Category::Conflict);
}

#[tokio::test(start_paused = true)]
async fn expired_lease_removes_its_values() {
    let store = MemoryStore::default();
    let lease = store.open_lease(1_000).await.unwrap();
    store.write("k", Expect::Anything, "1", Some(lease)).await.unwrap();
    sleep(Duration::from_millis(900)).await;
    store.renew_lease(lease).await.unwrap();
    sleep(Duration::from_millis(900)).await;
    assert!(store.read("k").await.unwrap().is_some());
    sleep(Duration::from_millis(200)).await;
    assert!(store.read("k").await.unwrap().is_none());
    assert_category(store.renew_lease(lease).await, Category::Missing);
}

#[tokio::test(start_paused = true)]
async fn watch_waits_for_a_change() {
    let store = MemoryStore::default();
    let watcher = store.clone();
    let watch =
        tokio::spawn(async move { watcher.watch("docs/", Revision(0), 60_000).await.unwrap() });
    sleep(Duration::from_millis(10)).await;
    store.write("other/x", Expect::Anything, "0", None).await.unwrap();
    let revision = store.write("docs/x", Expect::Anything, "1", None).await.unwrap();
    let changes = watch.await.unwrap();
    assert_eq!(changes.entries[0].text.as_deref(), Some("1"));
    assert!(store.watch("docs/", revision, 50).await.unwrap().entries.is_empty());
}

#[tokio::test(start_paused = true)]
async fn write_with_lost_reply_takes_effect() {
    let store = MemoryStore::default();
    store.set_faults(Faults { lose_reply_every: 1, ..Faults::default() });
    assert_category(store.write("k", Expect::Missing, "1", None).await, Category::Unknown);
    assert_eq!(store.read("k").await.unwrap().unwrap().text, "1");
}

#[tokio::test(start_paused = true)]
async fn size_and_rate_limits() {
    let store = MemoryStore::default();
    let long = "x".repeat(MAX_VALUE_BYTES + 1);
    assert_category(store.write("k", Expect::Anything, &long, None).await, Category::Refused);
    store.set_faults(Faults { reads_per_s: 2, ..Faults::default() });
    store.read("k").await.unwrap();
    store.read("k").await.unwrap();
    assert_category(store.read("k").await, Category::Refused);
    sleep(Duration::from_secs(1)).await;
    store.read("k").await.unwrap();
    assert_eq!(store.usage().refused, 1);
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_calls() {
    let store = MemoryStore::default();
    store.set_faults(Faults { is_down: true, ..Faults::default() });
    assert_category(store.read("k").await, Category::Refused);
}
