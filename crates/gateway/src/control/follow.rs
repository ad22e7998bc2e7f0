//! Watches the platform's store and keeps this daemon's entry in it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use document::{Name, Revision};
use serde::{Deserialize, Serialize};
use shard::Record;
use store::{Category, Entry, Era, Expect, LeaseId, Store};
use telemetry::{Counter, Counters};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::control::input::{Input, ReadPosition, StoredRecord, Topic};
use crate::{BootClock, Progress};

/// The prefix of the keys of daemons and their leader.
pub(crate) const FLEET_PREFIX: &str = "fleet/";
/// The prefix of the keys of daemons.
pub(crate) const DAEMONS_PREFIX: &str = "fleet/daemons/";
/// The key of the leader's entry.
pub(crate) const LEADER_KEY: &str = "fleet/leader";
/// The prefix of the keys of records; a record holds the owners of one service's key ranges.
pub(crate) const RECORDS_PREFIX: &str = "ranges/";

/// The length of the lease on a daemon's entry.
const LEASE_MS: u64 = 6_000;
/// How often the lease is renewed. A store that stopped answering is noticed within this time.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// How often the lease is renewed while another daemon relays servers' entries.
///
/// That daemon notices whether the store answers, so renewals need only keep the lease: two fit
/// into it, and a failed one is retried soon.
const RELAYED_RENEW_INTERVAL_MS: u64 = 2_400;
/// The shortest and longest backoff after failed calls.
///
/// The backoff grows because failed calls cost as much as others. It stays well below three
/// seconds: that long after the store is back, a daemon counts as connected again, and must have
/// noticed by then.
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_200;
/// How much later than from another daemon a change may arrive by a watch. A long document takes
/// almost this long on a slow link.
const BEHIND_GRACE_MS: u64 = 500;
/// The longest backoff of renewals, which notice that the store is back.
const MAX_RENEW_BACKOFF_MS: u64 = 500;

/// A daemon's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct DaemonEntry {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: Name,
    /// The bandwidth of its link; 0 if unknown.
    #[serde(default)]
    pub(crate) link_mbps: u32,
    /// The address for callers; `None` in the entry of an earlier version.
    #[serde(default)]
    pub(crate) front: Option<SocketAddr>,
    /// Whether it sends a request that is passed on to it to one server at most; an earlier version
    /// sends it to as many as the route allows.
    #[serde(default)]
    pub(crate) sends_once: bool,
    /// What a request that is passed on to it has to name; `None` in the entry of an earlier version,
    /// which also names none itself.
    #[serde(default)]
    pub(crate) relay_token: Option<Name>,
}

/// Watches one topic of the store and passes changes to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct Follower<S> {
    pub(crate) store: S,
    pub(crate) topic: Topic,
    pub(crate) prefix: Name,
    /// The least time between two calls, so that frequent changes are batched.
    pub(crate) min_interval_ms: u64,
    /// How long one watch waits for changes; a shorter time also ends the watch that waits now.
    pub(crate) watch_timeout_ms: watch::Receiver<u64>,
    /// The revision of the newest change that another daemon has read.
    pub(crate) told: watch::Receiver<Revision>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inputs: mpsc::Sender<Input>,
    /// Changes when waiting calls have to be made again.
    pub(crate) restarts: watch::Receiver<u64>,
    /// The newest era of the store.
    pub(crate) era: watch::Receiver<Option<Era>>,
    /// How often listing has failed since it last succeeded.
    pub(crate) failed_lists: u32,
    /// Whether the topic has to be watched now.
    pub(crate) is_needed: watch::Receiver<bool>,
}

impl<S: Store> Follower<S> {
    /// Passes on all changes until the control thread stops receiving.
    pub(crate) async fn run(mut self) {
        let mut backoff_ms = MIN_BACKOFF_MS;
        let mut is_needed = self.is_needed.clone();
        loop {
            if is_needed.wait_for(|is_needed| *is_needed).await.is_err() {
                return;
            }
            let ended = tokio::select! {
                ended = self.list_and_watch() => ended,
                // The sender for a topic that is always needed is dropped: this branch is
                // disabled then.
                Ok(_) = is_needed.wait_for(|is_needed| !is_needed) => continue,
            };
            match ended {
                FollowEnd::Closed => return,
                FollowEnd::Failed => {
                    self.counters.count(Counter::StoreFailures);
                    let backoff = Duration::from_millis(jittered(backoff_ms));
                    if matches!(timeout(backoff, self.restarts.changed()).await, Ok(Err(_))) {
                        return;
                    }
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
                FollowEnd::Compacted | FollowEnd::Behind | FollowEnd::NewEra => {
                    backoff_ms = MIN_BACKOFF_MS;
                }
            }
        }
    }

    async fn list_and_watch(&mut self) -> FollowEnd {
        // The list has all changes that were told before, and all that earlier watches missed.
        self.restarts.mark_unchanged();
        let told_before = *self.told.borrow_and_update();
        let era_before = *self.era.borrow();
        let (entries, revision) = match list(&self.store, &self.prefix, &self.counters).await {
            Ok(listed) => listed,
            Err(report) => {
                if self.failed_lists == 0 {
                    let cause = report.current_context().to_string();
                    spdlog::warn!("cannot list entries of the store", kv: { prefix = self.prefix.as_str(), cause });
                }
                self.failed_lists += 1;
                return FollowEnd::Failed;
            }
        };
        let failed_lists = std::mem::take(&mut self.failed_lists);
        if failed_lists > 0 {
            spdlog::info!("entries of the store are listed again", kv: { prefix = self.prefix.as_str(), failed_lists });
        }
        let era = *self.era.borrow();
        if era_before.is_some() && era != era_before {
            return FollowEnd::NewEra;
        }
        let read = ReadPosition { era, revision, at_ms: BootClock.now_ms() };
        if self.inputs.send(Input::Listed(self.topic, entries, read)).await.is_err() {
            return FollowEnd::Closed;
        }
        let mut progress = Progress::new(read.at_ms, revision);
        let mut known = revision;
        let mut failures = 0;
        loop {
            sleep(Duration::from_millis(self.min_interval_ms)).await;
            self.counters.count(Counter::StoreCalls);
            let timeout_ms = *self.watch_timeout_ms.borrow_and_update();
            let watched = tokio::select! {
                watched = self.store.watch(&self.prefix, progress.after(), timeout_ms) => watched,
                // The senders for other topics are dropped: these branches are disabled then.
                Ok(_) = self.watch_timeout_ms.wait_for(|shorter_ms| *shorter_ms < timeout_ms) => continue,
                Ok(told) = wait_until_behind(&mut self.told, told_before, known) => {
                    spdlog::warn!(
                        "watch of the store returned no change that another daemon has read",
                        kv: { prefix = self.prefix.as_str(), known = known.0, told = told.0 }
                    );
                    return FollowEnd::Behind;
                }
                Ok(_) = self.era.wait_for(|newest| *newest != era) => return FollowEnd::NewEra,
                changed = self.restarts.changed() => {
                    if changed.is_err() {
                        return FollowEnd::Closed;
                    }
                    continue;
                }
            };
            if *self.era.borrow() != era {
                return FollowEnd::NewEra;
            }
            match watched {
                Ok(changes) => {
                    failures = 0;
                    let at_ms = BootClock.now_ms();
                    let newest_change = changes.entries.iter().map(|entry| entry.revision).max();
                    progress.on_answer(at_ms, changes.revision, newest_change);
                    known = known.max(newest_change.unwrap_or_default());
                    let read = ReadPosition { era, revision: progress.after(), at_ms };
                    let input = Input::Changed(self.topic, changes.entries, read);
                    if self.inputs.send(input).await.is_err() {
                        return FollowEnd::Closed;
                    }
                }
                Err(report) if report.current_context().category() == Category::Compacted => {
                    spdlog::info!("store forgot history", kv: { prefix = self.prefix.as_str(), after = progress.after().0 });
                    if self.inputs.send(Input::HistoryDropped).await.is_err() {
                        return FollowEnd::Closed;
                    }
                    return FollowEnd::Compacted;
                }
                Err(_unavailable) => {
                    self.counters.count(Counter::StoreFailures);
                    failures += 1;
                    let backoff_ms = (MIN_BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
                    let backoff = Duration::from_millis(jittered(backoff_ms));
                    // A restart of calls shows that the store is back.
                    if matches!(timeout(backoff, self.restarts.changed()).await, Ok(Err(_))) {
                        return FollowEnd::Closed;
                    }
                }
            }
        }
    }
}

/// Why watching ended.
enum FollowEnd {
    /// The control thread no longer receives inputs.
    Closed,
    /// A call failed.
    Failed,
    /// The store has compacted the history that the watch needs.
    Compacted,
    /// Another daemon has read a change that the watch did not return.
    Behind,
    /// The store has come back from an older copy.
    NewEra,
}

/// Waits until another daemon has read a change after the known ones and the watch had time to
/// return it; returns its revision.
async fn wait_until_behind(
    told: &mut watch::Receiver<Revision>,
    told_before: Revision,
    known: Revision,
) -> Result<Revision, watch::error::RecvError> {
    let newer = *told.wait_for(|told| *told > known && *told != told_before).await?;
    sleep(Duration::from_millis(BEHIND_GRACE_MS)).await;
    Ok(newer)
}

/// Lists all pages under a prefix; returns the entries and the revision of the first page.
///
/// # Errors
///
/// Fails when a call fails or a page does not advance.
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
        if let Err(report) = page.check_progress(after.as_deref()) {
            spdlog::warn!("invalid page of the store", kv: { prefix, cause = report.current_context().to_string() });
            return Err(report);
        }
        entries.extend(page.entries);
        if !page.is_truncated {
            return Ok((entries, revision));
        }
    }
}

/// Lists the records of all services and logs those that cannot be read.
pub(crate) async fn list_records<S: Store>(
    store: &S,
    counters: &Counters,
) -> store::Result<Vec<StoredRecord>> {
    let (entries, _) = list(store, RECORDS_PREFIX, counters).await?;
    let records = entries.into_iter().filter_map(|entry| {
        let service = entry.key.strip_prefix(RECORDS_PREFIX).map(Name::from)?;
        let record = entry.text.as_deref().and_then(Record::from_text);
        if record.is_none() {
            spdlog::error!("invalid record in the store", kv: { service = service.as_str(), revision = entry.revision.0 });
        }
        let era = entry.text.as_deref().map_or(0, Record::era_of);
        Some(StoredRecord { service, revision: entry.revision, era, record })
    });
    Ok(records.collect())
}

/// Keeps this daemon's entry in the store and reports whether the store answers.
///
/// `missing_since` is the last revision at which the entry was found to be missing. A call of an
/// earlier process or attempt that got no answer may remove the entry seconds later, or write it with
/// a lease that is not renewed.
pub(crate) async fn register<S: Store>(
    store: S,
    key: String,
    entry: DaemonEntry,
    counters: Arc<Counters>,
    inputs: mpsc::Sender<Input>,
    are_entries_needed: watch::Receiver<bool>,
    mut missing_since: watch::Receiver<Revision>,
) {
    let text = serde_json::to_string(&entry).unwrap_or_default();
    let mut era = store.era();
    let mut lease: Option<LeaseId> = None;
    // The number of a lease may be another daemon's in the next era.
    let mut lease_era = None;
    let mut written_at = Revision(0);
    let mut last_reported = None;
    let mut backoff_ms = MIN_BACKOFF_MS;
    loop {
        counters.count(Counter::StoreCalls);
        let era_before = *era.borrow();
        lease = lease.filter(|_| era_before == lease_era);
        let renewed = match lease {
            Some(lease) => store.renew_lease(lease).await.map(|()| lease),
            None => write_entry(&store, &key, &text).await.map(|(lease, revision)| {
                written_at = revision;
                lease
            }),
        };
        let has_answered = match renewed {
            Ok(renewed) => {
                lease = Some(renewed);
                lease_era = era_before.or(*era.borrow());
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
        if last_reported != Some(has_answered) {
            last_reported = Some(has_answered);
            if inputs.send(Input::StoreAnswers(has_answered)).await.is_err() {
                return;
            }
        }
        let delay_ms = match (lease, has_answered) {
            (Some(_), true) if *are_entries_needed.borrow() => RENEW_INTERVAL_MS,
            (Some(_), true) => RELAYED_RENEW_INTERVAL_MS,
            (None, true) => 0,
            (_, false) => {
                backoff_ms = (backoff_ms * 2).min(MAX_RENEW_BACKOFF_MS);
                backoff_ms
            }
        };
        if has_answered {
            backoff_ms = MIN_BACKOFF_MS;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(jittered(delay_ms))) => {}
            Ok(missing_since) = missing_since.wait_for(|missing_since| *missing_since > written_at),
                if lease.is_some() =>
            {
                spdlog::warn!(
                    "own entry is missing in the store",
                    kv: { key, missing_since = missing_since.0, written_at = written_at.0 }
                );
                lease = None;
            }
            Ok(_) = era.wait_for(|newest| *newest != lease_era), if lease.is_some() => {}
        }
    }
}

async fn write_entry<S: Store>(
    store: &S,
    key: &str,
    text: &str,
) -> store::Result<(LeaseId, Revision)> {
    let lease = store.open_lease(LEASE_MS).await?;
    let revision = store.write(key, Expect::Anything, text, Some(lease)).await?;
    Ok((lease, revision))
}

/// Varies a delay by up to a tenth either way, so that daemons spread out.
pub(crate) fn jittered(delay_ms: u64) -> u64 {
    delay_ms - delay_ms / 10 + rand::random_range(0..=delay_ms / 5)
}
