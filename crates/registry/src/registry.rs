//! The servers that are registered.

use std::collections::BTreeMap;
use std::sync::Arc;

use document::Name;

use crate::{Life, Registration, Stage};

/// All registered servers, by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Name, Entry>,
    /// Until when a missing entry may only have lapsed while the list was out of reach.
    lapses_until_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Arc<Registration>,
    /// The number of the last report of this life.
    heartbeat: u64,
    /// When the entry counts as gone, for one that is missing from the list.
    gone_at_ms: Option<u64>,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that decides about work.
    Nothing,
    /// A server's life, place, stage or speed.
    Server,
}

/// How long a living server may take to be listed again once the list is back.
///
/// The platform states about two seconds; a tenth is added for the way here.
const RELIST_MS: u64 = 2_200;

impl Registry {
    /// Takes an entry of the list.
    pub fn put(&mut self, now_ms: u64, name: &str, registration: Registration) -> Change {
        let heartbeat = registration.heartbeat;
        if let Some(known) = self.entries.get_mut(name) {
            // Reports may arrive out of order.
            let last = (known.registration.life.born_ms, known.heartbeat);
            if (registration.life.born_ms, heartbeat) < last {
                return Change::Nothing;
            }
            let is_listed = known.gone_at_ms.is_none();
            if is_listed && is_alike(now_ms, &known.registration, &registration) {
                known.heartbeat = heartbeat;
                return Change::Nothing;
            }
        }
        let entry = Entry { registration: Arc::new(registration), heartbeat, gone_at_ms: None };
        self.entries.insert(Name::from(name), entry);
        Change::Server
    }

    /// Notes that an entry is missing from the list.
    pub fn remove(&mut self, now_ms: u64, name: &str) -> Change {
        let Some(entry) = self.entries.get_mut(name) else { return Change::Nothing };
        if now_ms < self.lapses_until_ms {
            let is_news = entry.gone_at_ms.is_none();
            entry.gone_at_ms.get_or_insert(self.lapses_until_ms);
            return if is_news { Change::Server } else { Change::Nothing };
        }
        self.entries.remove(name);
        Change::Server
    }

    /// Notes that the list can be read again; it may miss entries of living servers.
    pub fn list_returned(&mut self, now_ms: u64) {
        self.lapses_until_ms = now_ms + RELIST_MS;
    }

    /// Notes for how much longer the list may miss entries of living servers.
    pub fn lapses_for(&mut self, now_ms: u64, left_ms: u64) {
        self.lapses_until_ms = self.lapses_until_ms.max(now_ms + left_ms);
    }

    /// Returns for how much longer the list may miss entries of living servers.
    #[must_use]
    pub fn lapse_left_ms(&self, now_ms: u64) -> u64 {
        self.lapses_until_ms.saturating_sub(now_ms)
    }

    /// Notes the names of a whole listing: all others are missing.
    ///
    /// Returns those whose absence is news.
    pub fn keep_only(&mut self, now_ms: u64, listed: &[Name]) -> Vec<Name> {
        let mut missing: Vec<Name> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        missing.retain(|name| self.remove(now_ms, name) == Change::Server);
        missing
    }

    /// Lets go of entries whose time has come.
    pub fn expire(&mut self, now_ms: u64) -> Change {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.gone_at_ms.is_none_or(|gone_at| now_ms < gone_at));
        if self.entries.len() == before { Change::Nothing } else { Change::Server }
    }

    /// Returns the registration of a life.
    #[must_use]
    pub fn get(&self, life: &Life) -> Option<&Arc<Registration>> {
        self.by_name(&life.server).filter(|registration| registration.life == *life)
    }

    /// Returns the latest life of a server.
    #[must_use]
    pub fn by_name(&self, server: &str) -> Option<&Arc<Registration>> {
        self.entries.get(server).map(|entry| &entry.registration)
    }

    /// Returns whether the list has a server's entry.
    #[must_use]
    pub fn is_listed(&self, server: &str) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.gone_at_ms.is_none())
    }

    /// Returns the names of the servers that the list has.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        let listed = self.entries.iter().filter(|(_, entry)| entry.gone_at_ms.is_none());
        listed.map(|(name, _)| name)
    }

    /// Returns what a server last said of itself, if the list has it.
    #[must_use]
    pub fn last_report(&self, server: &str) -> Option<Registration> {
        let entry = self.entries.get(server).filter(|entry| entry.gone_at_ms.is_none())?;
        let registration = Registration::clone(&entry.registration);
        Some(Registration { heartbeat: entry.heartbeat, ..registration })
    }

    /// Returns whether a life may get new work.
    #[must_use]
    pub fn is_welcome(&self, life: &Life) -> bool {
        self.get(life).is_some_and(|registration| registration.stage == Stage::Ready)
    }

    /// Returns the servers of a service that may get new work.
    ///
    /// One whose entry is missing since the list came back may have lapsed or left. Where
    /// few are missing they have left, as far as anybody can tell, and get no work; where
    /// most are, the list has lost them, and work goes on.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Registration>> {
        let ready = self.entries.values().filter(move |entry| {
            let registration = &entry.registration;
            registration.service == *service && registration.stage == Stage::Ready
        });
        let missing = ready.clone().filter(|entry| entry.gone_at_ms.is_some()).count();
        let has_lost_most = missing * 2 > ready.clone().count();
        ready
            .filter(move |entry| has_lost_most || entry.gone_at_ms.is_none())
            .map(|entry| &entry.registration)
    }

    /// Returns whether a later life of the same server is known: this one holds nothing.
    #[must_use]
    pub fn has_later_life(&self, life: &Life) -> bool {
        self.by_name(&life.server).is_some_and(|known| known.life.born_ms > life.born_ms)
    }

    /// Returns the servers of a service in the order of their names.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Registration>> + 'a {
        self.entries
            .values()
            .map(|entry| &entry.registration)
            .filter(move |registration| registration.service == *service)
    }

    /// Returns how many servers are registered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no server is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns whether two registrations say the same but for their number and the end of a
/// slow start.
fn is_alike(now_ms: u64, known: &Registration, new: &Registration) -> bool {
    let is_cold = |registration: &Registration| now_ms < registration.cold_until_ms;
    Registration { cold_until_ms: 0, heartbeat: 0, ..known.clone() }
        == Registration { cold_until_ms: 0, heartbeat: 0, ..new.clone() }
        && is_cold(known) == is_cold(new)
}
