//! A stand-in for the platform's service, with its limits and faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::{HashMap, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::{
    Category, Changes, Entry, Error, Expect, LeaseId, MAX_VALUE_BYTES, Page, Result, Store,
    Transaction, Value,
};

/// An in-memory service; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

/// What is wrong with the service now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether it answers nothing.
    pub is_down: bool,
    /// How much later it answers.
    pub delay_ms: u64,
    /// Every how manieth write takes effect without an answer; 0 for none.
    pub lose_reply_every: u64,
    /// The most writes a second; 0 for no limit.
    pub writes_per_s: u64,
    /// The most reads a second, waiting watches included; 0 for no limit.
    pub reads_per_s: u64,
    /// The most values on a page; 0 for no limit.
    pub page_items: usize,
}

/// How many calls were made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// Reads, waiting watches included.
    pub reads: u64,
    /// Writes, leases included.
    pub writes: u64,
    /// Calls refused because of a rate limit or an outage.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// Changes up to this revision are no longer known.
    compacted: u64,
    values: BTreeMap<String, Slot>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    faults: Faults,
    usage: Usage,
    window: Option<Window>,
}

#[derive(Debug)]
struct Slot {
    revision: u64,
    text: Option<String>,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    length_ms: u64,
    deadline: Instant,
}

#[derive(Debug)]
struct Window {
    end: Instant,
    reads: u64,
    writes: u64,
}

#[derive(Clone, Copy)]
enum Call {
    Read,
    Write,
}

impl MemoryStore {
    /// Sets what is wrong with the service from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns what is wrong with the service.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Forgets what changed up to now: a watch from before that fails.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
    }

    /// Returns how many calls were made so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, waits out the delay, and refuses it where the service would.
    async fn admit(&self, call: Call) -> Result<()> {
        let delay_ms = {
            let mut state = self.lock();
            state.end_leases();
            if !state.count(call) {
                state.usage.refused += 1;
                return Error::report(Category::Refused, "the store refused the call");
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
        self.admit(Call::Read).await?;
        let state = self.lock();
        Ok(state.values.get(key).and_then(|slot| {
            Some(Value { revision: Revision(slot.revision), text: slot.text.clone()? })
        }))
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        self.admit(Call::Read).await?;
        let mut state = self.lock();
        state.end_leases();
        let page_items = state.faults.page_items;
        let present = state
            .values
            .iter()
            .filter(|(key, slot)| key.starts_with(prefix) && slot.text.is_some())
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let mut entries: Vec<Entry> = present.map(|(key, slot)| slot.to_entry(key)).collect();
        let most = if page_items == 0 { entries.len() } else { page_items };
        let is_truncated = entries.len() > most;
        entries.truncate(most);
        Ok(Page { revision: Revision(state.revision), entries, is_truncated })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Revision> {
        if transaction.puts.iter().any(|put| put.text.len() > MAX_VALUE_BYTES) {
            return Error::report(Category::Refused, "value is longer than 1 MB");
        }
        self.admit(Call::Write).await?;
        let mut state = self.lock();
        let refuted =
            transaction.conditions.iter().find(|row| !state.is_expected(&row.key, row.expect));
        if let Some(condition) = refuted {
            let message = format!("{} has another revision", condition.key);
            return Error::report(Category::Conflict, message);
        }
        let mut leases = transaction.puts.iter().filter_map(|put| put.lease);
        if leases.any(|lease| !state.leases.contains_key(&lease)) {
            return Error::report(Category::Missing, "the lease has ended");
        }
        state.revision += 1;
        for put in &transaction.puts {
            state.put(&put.key, Some(put.text.clone()), put.lease);
        }
        for key in &transaction.removals {
            state.put(key, None, None);
        }
        let revision = state.revision;
        let every = state.faults.lose_reply_every;
        let is_lost = every > 0 && state.usage.writes.is_multiple_of(every);
        drop(state);
        self.shared.changed.notify_waiters();
        if is_lost {
            return Error::report(Category::Unclear, "the reply was lost");
        }
        Ok(Revision(revision))
    }

    async fn open_lease(&self, length_ms: u64) -> Result<LeaseId> {
        self.admit(Call::Write).await?;
        let mut state = self.lock();
        state.next_lease += 1;
        let id = LeaseId(state.next_lease);
        let deadline = Instant::now() + Duration::from_millis(length_ms);
        state.leases.insert(id, Lease { length_ms, deadline });
        Ok(id)
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<()> {
        self.admit(Call::Write).await?;
        let mut state = self.lock();
        let Some(known) = state.leases.get_mut(&lease) else {
            return Error::report(Category::Missing, "the lease has ended");
        };
        known.deadline = Instant::now() + Duration::from_millis(known.length_ms);
        Ok(())
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        self.admit(Call::Write).await?;
        let mut state = self.lock();
        let Some(known) = state.leases.get_mut(&lease) else {
            return Error::report(Category::Missing, "the lease has ended");
        };
        known.deadline = Instant::now();
        state.end_leases();
        drop(state);
        self.shared.changed.notify_waiters();
        Ok(())
    }

    async fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> Result<Changes> {
        self.admit(Call::Read).await?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if after.0 > 0 && after.0 < self.lock().compacted {
                return Error::report(Category::Compacted, "the changes are no longer known");
            }
            let woken = self.shared.changed.notified();
            let changes = self.lock().changes(prefix, after);
            if !changes.entries.is_empty() || Instant::now() >= deadline {
                return Ok(changes);
            }
            if timeout_at(deadline, woken).await.is_err() {
                return Ok(self.lock().changes(prefix, after));
            }
            if self.lock().faults.is_down {
                return Error::report(Category::Refused, "the store refused the call");
            }
        }
    }
}

impl Slot {
    fn to_entry(&self, key: &str) -> Entry {
        let (revision, text) = (Revision(self.revision), self.text.clone());
        Entry { key: key.to_owned(), revision, text }
    }
}

impl State {
    fn put(&mut self, key: &str, text: Option<String>, lease: Option<LeaseId>) {
        let slot = Slot { revision: self.revision, text, lease };
        self.values.insert(key.to_owned(), slot);
    }

    fn is_expected(&self, key: &str, expect: Expect) -> bool {
        let present = self.values.get(key).filter(|slot| slot.text.is_some());
        match expect {
            Expect::Anything => true,
            Expect::Missing => present.is_none(),
            Expect::At(revision) => present.is_some_and(|slot| slot.revision == revision.0),
        }
    }

    fn changes(&mut self, prefix: &str, after: Revision) -> Changes {
        self.end_leases();
        let entries = self
            .values
            .iter()
            .filter(|(key, slot)| key.starts_with(prefix) && slot.revision > after.0)
            .map(|(key, slot)| slot.to_entry(key))
            .collect();
        Changes { revision: Revision(self.revision), entries }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .values
                .iter()
                .filter(|(_, slot)| slot.lease == Some(id) && slot.text.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.put(&key, None, None);
            }
        }
    }

    /// Counts a call; returns whether the service takes it.
    fn count(&mut self, call: Call) -> bool {
        let now = Instant::now();
        let faults = self.faults;
        let fresh = Window { end: now + Duration::from_secs(1), reads: 0, writes: 0 };
        let window = self.window.get_or_insert(fresh);
        if now >= window.end {
            *window = Window { end: now + Duration::from_secs(1), reads: 0, writes: 0 };
        }
        let (total, recent, limit) = match call {
            Call::Read => (&mut self.usage.reads, &mut window.reads, faults.reads_per_s),
            Call::Write => (&mut self.usage.writes, &mut window.writes, faults.writes_per_s),
        };
        *total += 1;
        *recent += 1;
        !faults.is_down && (limit == 0 || *recent <= limit)
    }
}
