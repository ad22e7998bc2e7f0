//! An in-memory stand-in for the platform's key-value service, with rate limits and faults.

mod restore;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::{HashMap, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout_at};

pub use self::restore::StoreCopy;
use crate::{
    Category, Changes, Entry, Era, Error, Expect, LeaseId, MAX_VALUE_BYTES, Page, Result, Store,
    Transaction, Value,
};

/// An in-memory store; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

/// The faults and limits that a [`MemoryStore`] simulates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the store refuses all calls.
    pub is_down: bool,
    /// The delay of every call.
    pub delay_ms: u64,
    /// The number of writes from one lost reply to the next; 0 means that none is lost.
    ///
    /// A transaction takes effect, but its reply is lost, when the number of writes counted so
    /// far is a multiple of this. [`Usage::writes`] says which calls are counted.
    pub lose_reply_every: u64,
    /// How many writes a second are allowed; 0 means no limit.
    pub writes_per_s: u64,
    /// How many reads a second are allowed, watches included; 0 means no limit.
    pub reads_per_s: u64,
    /// How many values a page of a list holds; 0 means no limit.
    pub page_items: usize,
}

/// The number of calls made, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Transactions, and calls that open, renew or end a lease.
    pub writes: u64,
    /// Calls refused because of a rate limit or an outage; also counted as reads or writes.
    ///
    /// A watch that fails because an outage begins while it waits is not counted here.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Clone, Debug, Default)]
struct State {
    era: Era,
    revision: u64,
    /// The revision up to which changes are discarded.
    ///
    /// A watch from an earlier revision fails, except from 0.
    compacted_revision: u64,
    /// Whether changes are held back from watches of a prefix, also from those that begin now.
    holds_changes: bool,
    /// The start of the prefixes of these watches.
    held_prefix: String,
    /// How often holding changes back has ended.
    held_periods: u64,
    values: BTreeMap<String, StoredValue>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: u64,
    faults: Faults,
    usage: Usage,
    window: Option<RateWindow>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    revision: u64,
    /// The text; `None` after a removal, which watches must see.
    text: Option<String>,
    lease: Option<LeaseId>,
}

#[derive(Clone, Debug)]
struct Lease {
    length_ms: u64,
    deadline: Instant,
}

/// The calls within the current second, for the rate limits.
#[derive(Clone, Debug)]
struct RateWindow {
    end: Instant,
    reads: u64,
    writes: u64,
}

/// The kind of a call, which selects its rate limit.
#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

impl MemoryStore {
    /// Replaces the simulated faults and limits.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Discards the changes up to now: a watch from an earlier revision fails, except from 0.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
    }

    /// Holds changes back from watches whose prefix begins with this, until [`Self::drop_history`].
    ///
    /// Other calls see the changes, and watches still return the newest revision.
    pub fn hold_changes(&self, prefix: &str) {
        let mut state = self.lock();
        state.holds_changes = true;
        prefix.clone_into(&mut state.held_prefix);
    }

    /// Discards the changes up to now and holds no more back.
    ///
    /// A watch from which they were held back neither fails nor returns changes, and ends when its
    /// time is over.
    pub fn drop_history(&self) {
        self.compact();
        let mut state = self.lock();
        state.holds_changes = false;
        state.held_periods += 1;
    }

    /// Returns the number of calls made so far, by kind.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, and refuses it or delays it according to the faults.
    async fn admit(&self, call: CallKind) -> Result<()> {
        let delay_ms = {
            let mut state = self.lock();
            state.expire_leases();
            if !state.count_and_check(call) {
                state.usage.refused += 1;
                return Error::fail(Category::Refused, "the store refused the call");
            }
            state.faults.delay_ms
        };
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        Ok(())
    }
}

impl Store for MemoryStore {
    async fn read(&self, key: &str) -> Result<Option<Value>> {
        self.admit(CallKind::Read).await?;
        let state = self.lock();
        Ok(state.values.get(key).and_then(|stored| {
            Some(Value { revision: Revision(stored.revision), text: stored.text.clone()? })
        }))
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        self.admit(CallKind::Read).await?;
        let mut state = self.lock();
        state.expire_leases();
        let page_items = state.faults.page_items;
        let present = state
            .values
            .iter()
            .filter(|(key, stored)| key.starts_with(prefix) && stored.text.is_some())
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let mut entries: Vec<Entry> = present.map(|(key, stored)| stored.to_entry(key)).collect();
        let limit = if page_items == 0 { entries.len() } else { page_items };
        let is_truncated = entries.len() > limit;
        entries.truncate(limit);
        Ok(Page { revision: Revision(state.revision), entries, is_truncated })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Revision> {
        if transaction.puts.iter().any(|put| put.text.len() > MAX_VALUE_BYTES) {
            return Error::fail(Category::Refused, "value is longer than 1 MB");
        }
        self.admit(CallKind::Write).await?;
        let mut state = self.lock();
        let failed = transaction
            .conditions
            .iter()
            .find(|condition| !state.meets(&condition.key, condition.expect));
        if let Some(condition) = failed {
            let message = format!("{} does not have the expected revision", condition.key);
            return Error::fail(Category::Conflict, message);
        }
        let mut leases = transaction.puts.iter().filter_map(|put| put.lease);
        if leases.any(|lease| !state.leases.contains_key(&lease)) {
            return Error::fail(Category::Missing, "the lease has ended");
        }
        state.revision += 1;
        for put in &transaction.puts {
            state.put(&put.key, Some(put.text.clone()), put.lease);
        }
        for key in &transaction.removals {
            state.put(key, None, None);
        }
        let revision = state.revision;
        let lose_every = state.faults.lose_reply_every;
        let is_reply_lost = lose_every > 0 && state.usage.writes.is_multiple_of(lose_every);
        drop(state);
        self.shared.changed.notify_waiters();
        if is_reply_lost {
            return Error::fail(Category::Unknown, "the reply was lost");
        }
        Ok(Revision(revision))
    }

    async fn open_lease(&self, length_ms: u64) -> Result<LeaseId> {
        self.admit(CallKind::Write).await?;
        let mut state = self.lock();
        state.last_lease += 1;
        let id = LeaseId(state.last_lease);
        let deadline = Instant::now() + Duration::from_millis(length_ms);
        state.leases.insert(id, Lease { length_ms, deadline });
        Ok(id)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<()> {
        self.admit(CallKind::Write).await?;
        let mut state = self.lock();
        let Some(open) = state.leases.get_mut(&lease) else {
            return Error::fail(Category::Missing, "the lease has ended");
        };
        open.deadline = Instant::now() + Duration::from_millis(open.length_ms);
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        self.admit(CallKind::Write).await?;
        let mut state = self.lock();
        let Some(open) = state.leases.get_mut(&lease) else {
            return Error::fail(Category::Missing, "the lease has ended");
        };
        open.deadline = Instant::now();
        state.expire_leases();
        drop(state);
        self.shared.changed.notify_waiters();
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> Result<Changes> {
        self.admit(CallKind::Read).await?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let held_periods = self.lock().held_periods;
        let era = self.lock().era;
        loop {
            let has_ended = self.lock().era != era;
            if has_ended || self.lock().lacks_history(prefix, after, held_periods) {
                return Error::fail(Category::Compacted, "the changes are no longer known");
            }
            let change = self.shared.changed.notified();
            let changes = self.lock().changes(prefix, after, held_periods);
            if !changes.entries.is_empty() || Instant::now() >= deadline {
                return Ok(changes);
            }
            if timeout_at(deadline, change).await.is_err() {
                return Ok(self.lock().changes(prefix, after, held_periods));
            }
            if self.lock().faults.is_down {
                return Error::fail(Category::Refused, "the store refused the call");
            }
        }
    }
}

impl StoredValue {
    fn to_entry(&self, key: &str) -> Entry {
        let (revision, text) = (Revision(self.revision), self.text.clone());
        Entry { key: key.to_owned(), revision, text }
    }
}

impl State {
    fn put(&mut self, key: &str, text: Option<String>, lease: Option<LeaseId>) {
        let stored = StoredValue { revision: self.revision, text, lease };
        self.values.insert(key.to_owned(), stored);
    }

    fn meets(&self, key: &str, expect: Expect) -> bool {
        let present = self.values.get(key).filter(|stored| stored.text.is_some());
        match expect {
            Expect::Anything => true,
            Expect::Missing => present.is_none(),
            Expect::At(revision) => present.is_some_and(|stored| stored.revision == revision.0),
        }
    }

    /// Returns whether changes are held back from a watch that began after so many held periods.
    fn holds_back(&self, prefix: &str, held_periods: u64) -> bool {
        let is_held = self.holds_changes || self.held_periods > held_periods;
        is_held && prefix.starts_with(&self.held_prefix)
    }

    fn lacks_history(&self, prefix: &str, after: Revision, held_periods: u64) -> bool {
        let is_compacted = after.0 > 0 && after.0 < self.compacted_revision;
        (is_compacted || after.0 > self.revision) && !self.holds_back(prefix, held_periods)
    }

    fn changes(&mut self, prefix: &str, after: Revision, held_periods: u64) -> Changes {
        self.expire_leases();
        let is_held_back = self.holds_back(prefix, held_periods);
        let entries = self
            .values
            .iter()
            .filter(|_| !is_held_back)
            .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after.0)
            .map(|(key, stored)| stored.to_entry(key))
            .collect();
        Changes { revision: Revision(self.revision), entries }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .values
                .iter()
                .filter(|(_, stored)| stored.lease == Some(id) && stored.text.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.put(&key, None, None);
            }
        }
    }

    /// Counts a call, and returns whether the store is up and the rate limit allows the call.
    fn count_and_check(&mut self, call: CallKind) -> bool {
        let now = Instant::now();
        let faults = self.faults;
        let new_window = RateWindow { end: now + Duration::from_secs(1), reads: 0, writes: 0 };
        let window = self.window.get_or_insert(new_window);
        if now >= window.end {
            *window = RateWindow { end: now + Duration::from_secs(1), reads: 0, writes: 0 };
        }
        let (total, in_window, limit) = match call {
            CallKind::Read => (&mut self.usage.reads, &mut window.reads, faults.reads_per_s),
            CallKind::Write => (&mut self.usage.writes, &mut window.writes, faults.writes_per_s),
        };
        *total += 1;
        *in_window += 1;
        !faults.is_down && (limit == 0 || *in_window <= limit)
    }
}
