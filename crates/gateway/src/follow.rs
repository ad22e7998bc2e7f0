//! What a daemon follows in the platform's store, and its own entry there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use document::{Name, Revision};
use serde::{Deserialize, Serialize};
use shard::Record;
use store::{Category, Entry, Expect, LeaseId, Store};
use telemetry::{Counter, Counters};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::input::{Input, Read, StoredRecord, Topic};
use crate::{BootClock, Progress};

/// The start of the keys that daemons and their leader have.
pub(crate) const FLEET: &str = "fleet/";
/// The start of the keys of daemons.
pub(crate) const DAEMONS: &str = "fleet/daemons/";
/// The key of the leader.
pub(crate) const LEADER: &str = "fleet/leader";
/// The start of the keys of records.
pub(crate) const RECORDS: &str = "ranges/";

/// The length of the lease of a daemon's entry.
const LEASE_MS: u64 = 6_000;
/// How often that lease is kept; a store that does not answer shows within this time.
const KEEP_MS: u64 = 1_000;
/// How often it is kept by a daemon that hears of servers from another one, which knows
/// whether the store answers: twice before the lease ends, and soon again after a failure.
const KEEP_TOLD_MS: u64 = 2_400;
/// The pauses between failed calls. Refused calls are paid for too; a store that is back
/// has to be found before its daemons count as in touch with it, three seconds later.
const LEAST_PAUSE_MS: u64 = 100;
const MOST_PAUSE_MS: u64 = 1_200;
/// How often at least it is looked whether the store is back.
const MOST_LOOK_MS: u64 = 500;

/// A daemon's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct DaemonEntry {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Name,
}

/// What one follower needs.
#[derive(Clone, Debug)]
pub(crate) struct Follower<S> {
    pub(crate) store: S,
    pub(crate) topic: Topic,
    pub(crate) prefix: Name,
    /// The least time between two calls, so that frequent changes come together.
    pub(crate) pace_ms: u64,
    /// How long one watch waits.
    pub(crate) wait_ms: u64,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inputs: mpsc::Sender<Input>,
    /// Changes when calls that wait should be made anew.
    pub(crate) renewed: watch::Receiver<u64>,
    /// Whether the topic needs to be followed.
    pub(crate) is_needed: watch::Receiver<bool>,
}

impl<S: Store> Follower<S> {
    /// Passes on every change, as long as somebody listens.
    pub(crate) async fn run(mut self) {
        let mut pause_ms = LEAST_PAUSE_MS;
        let mut is_needed = self.is_needed.clone();
        loop {
            if is_needed.wait_for(|is_needed| *is_needed).await.is_err() {
                return;
            }
            let ended = tokio::select! {
                ended = self.list_and_watch() => ended,
                // Nobody can end the need of a topic that is always followed.
                Ok(_) = is_needed.wait_for(|is_needed| !is_needed) => continue,
            };
            match ended {
                Ended::Closed => return,
                Ended::Failed => {
                    self.counters.count(Counter::StoreFailures);
                    let pause = Duration::from_millis(jittered(pause_ms));
                    if matches!(timeout(pause, self.renewed.changed()).await, Ok(Err(_))) {
                        return;
                    }
                    pause_ms = (pause_ms * 2).min(MOST_PAUSE_MS);
                }
                Ended::Compacted => pause_ms = LEAST_PAUSE_MS,
            }
        }
    }

    async fn list_and_watch(&mut self) -> Ended {
        let Ok((entries, revision)) = list(&self.store, &self.prefix, &self.counters).await else {
            return Ended::Failed;
        };
        let read = Read { revision, at_ms: BootClock.now_ms() };
        if self.inputs.send(Input::Listed(self.topic, entries, read)).await.is_err() {
            return Ended::Closed;
        }
        let mut progress = Progress::new(read.at_ms, revision);
        let mut failures = 0;
        loop {
            sleep(Duration::from_millis(self.pace_ms)).await;
            self.counters.count(Counter::StoreCalls);
            let watched = tokio::select! {
                watched = self.store.watch(&self.prefix, progress.after(), self.wait_ms) => watched,
                changed = self.renewed.changed() => {
                    if changed.is_err() {
                        return Ended::Closed;
                    }
                    continue;
                }
            };
            match watched {
                Ok(changes) => {
                    failures = 0;
                    let at_ms = BootClock.now_ms();
                    let newest_change = changes.entries.iter().map(|entry| entry.revision).max();
                    progress.note(at_ms, changes.revision, newest_change);
                    let read = Read { revision: progress.after(), at_ms };
                    let input = Input::Changed(self.topic, changes.entries, read);
                    if self.inputs.send(input).await.is_err() {
                        return Ended::Closed;
                    }
                }
                Err(report) if report.current_context().category() == Category::Compacted => {
                    spdlog::info!("store forgot history", kv: { prefix = self.prefix.as_str(), after = progress.after().0 });
                    return Ended::Compacted;
                }
                Err(_unavailable) => {
                    self.counters.count(Counter::StoreFailures);
                    failures += 1;
                    let pause_ms = (LEAST_PAUSE_MS << failures.min(8)).min(MOST_PAUSE_MS);
                    let pause = Duration::from_millis(jittered(pause_ms));
                    // A change tells that the store is back.
                    if matches!(timeout(pause, self.renewed.changed()).await, Ok(Err(_))) {
                        return Ended::Closed;
                    }
                }
            }
        }
    }
}

/// Why following ended.
enum Ended {
    /// Nobody listens any more.
    Closed,
    /// A call failed.
    Failed,
    /// The store no longer knows what changed.
    Compacted,
}

/// Reads all pages under a prefix; returns the revision before the first one.
pub(crate) async fn list<S: Store>(
    store: &S,
    prefix: &str,
    counters: &Counters,
) -> store::Result<(Vec<Entry>, Revision)> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut first = None;
    loop {
        counters.count(Counter::StoreCalls);
        let after = entries.last().map(|entry| entry.key.clone());
        let page = store.list(prefix, after.as_deref()).await?;
        let revision = *first.get_or_insert(page.revision);
        let is_last = !page.is_truncated || page.entries.is_empty();
        entries.extend(page.entries);
        if is_last {
            return Ok((entries, revision));
        }
    }
}

/// Reads the records of all services; one that cannot be read is left out.
pub(crate) async fn records<S: Store>(
    store: &S,
    counters: &Counters,
) -> store::Result<Vec<StoredRecord>> {
    let (entries, _) = list(store, RECORDS, counters).await?;
    let records = entries.into_iter().filter_map(|entry| {
        let service = entry.key.strip_prefix(RECORDS).map(Name::from)?;
        let record = entry.text.as_deref().and_then(Record::from_text);
        if record.is_none() {
            spdlog::error!("record cannot be read", kv: { service = service.as_str(), revision = entry.revision.0 });
        }
        Some(StoredRecord { service, revision: entry.revision, record: record? })
    });
    Ok(records.collect())
}

/// Keeps this daemon's entry in the store, and tells whether the store answers.
pub(crate) async fn register<S: Store>(
    store: S,
    key: String,
    entry: DaemonEntry,
    counters: Arc<Counters>,
    inputs: mpsc::Sender<Input>,
    are_entries_needed: watch::Receiver<bool>,
) {
    let text = serde_json::to_string(&entry).unwrap_or_default();
    let mut lease: Option<LeaseId> = None;
    let mut answers = None;
    let mut failed_pause_ms = LEAST_PAUSE_MS;
    loop {
        counters.count(Counter::StoreCalls);
        let kept = match lease {
            Some(lease) => store.renew_lease(lease).await.map(|()| lease),
            None => enter(&store, &key, &text).await,
        };
        let is_answer = match kept {
            Ok(kept) => {
                lease = Some(kept);
                true
            }
            Err(report) => match report.current_context().category() {
                Category::Missing | Category::Conflict => {
                    lease = None;
                    true
                }
                Category::Compacted | Category::Refused | Category::Unknown => {
                    counters.count(Counter::StoreFailures);
                    false
                }
            },
        };
        if answers != Some(is_answer) {
            answers = Some(is_answer);
            if inputs.send(Input::StoreAnswers(is_answer)).await.is_err() {
                return;
            }
        }
        let pause_ms = match (lease, is_answer) {
            (Some(_), true) if *are_entries_needed.borrow() => KEEP_MS,
            (Some(_), true) => KEEP_TOLD_MS,
            (None, true) => 0,
            (_, false) => {
                failed_pause_ms = (failed_pause_ms * 2).min(MOST_LOOK_MS);
                failed_pause_ms
            }
        };
        if is_answer {
            failed_pause_ms = LEAST_PAUSE_MS;
        }
        sleep(Duration::from_millis(jittered(pause_ms))).await;
    }
}

async fn enter<S: Store>(store: &S, key: &str, text: &str) -> store::Result<LeaseId> {
    let lease = store.open_lease(LEASE_MS).await?;
    store.write(key, Expect::Anything, text, Some(lease)).await?;
    Ok(lease)
}

/// Varies a pause by a fifth, so that daemons spread out.
pub(crate) fn jittered(pause_ms: u64) -> u64 {
    pause_ms - pause_ms / 10 + rand::random_range(0..=pause_ms / 5)
}
