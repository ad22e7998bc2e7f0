//! The registered servers.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

use document::{HashMap, HashSet, Name};

use crate::{Field, Incarnation, Registration, Stage, Unusable};

/// All registered servers, by name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Name, Entry>,
    /// End of the grace period for missing entries.
    ///
    /// Until then, a missing entry may belong to a running server that has not registered again
    /// since the list was unavailable.
    grace_deadline_ms: u64,
    /// The latest incarnation of each server that has said that it is leaving.
    leaving: HashMap<Name, u64>,
    /// The data centres whose servers get no new work.
    evacuated: HashSet<Name>,
    /// The number of updates that changed something.
    version: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Arc<Registration>,
    /// The number of the incarnation's last report, which may be later than that of `registration`.
    heartbeat: u64,
    /// When this report was stored.
    reported_at_ms: u64,
    /// When the entry is dropped; `None` while the list has it.
    drop_at_ms: Option<u64>,
}

/// What an update of the registry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that affects where work goes.
    Nothing,
    /// A server's presence, incarnation, address, stage, capacity or warm-up.
    Server,
}

/// How much later than a newer report an older one may arrive.
///
/// A server whose reports still count as older after this time is running, so the known report was
/// not its own, or its clock went back before it started again.
const MAX_LATE_MS: u64 = 5_000;
/// By how much the number of a late report can be below that of the latest one.
///
/// Servers report about twice a second, so this is twice what they report in `MAX_LATE_MS`.
const MAX_LATE_REPORTS: u64 = 20;
/// Number of marks of leaving servers above which those of servers without an entry are dropped.
const MAX_LEAVING: usize = 16_384;
/// How long a running server may take to be listed again once the list is available.
///
/// The platform states about two seconds; a tenth is added for the transfer to this process.
const RELISTING_GRACE_MS: u64 = 2_200;
/// By how much a report has to prolong a server's warm-up to count as a change.
///
/// The end of the warm-up is computed when an entry is read, so it differs by the delay of that.
const MIN_PROLONGATION_MS: u64 = 100;

impl Registry {
    /// Checks that a registration describes a usable server and does not contradict an earlier one.
    ///
    /// # Errors
    ///
    /// Fails as [`Registration::check`] does, and when the same incarnation has registered for
    /// another service.
    pub fn check(&self, now_ms: u64, registration: &Registration) -> Result<(), Unusable> {
        registration.check(now_ms)?;
        let known = self.get(&registration.incarnation);
        if known.is_some_and(|known| known.service != registration.service) {
            let expected = "the service for which the same start of the server registered before";
            return Err(Unusable { field: Field::Service, expected });
        }
        Ok(())
    }

    /// Stores a listed registration, unless a later report of the server is known.
    pub fn put(&mut self, now_ms: u64, name: &str, mut registration: Registration) -> Change {
        let heartbeat = registration.heartbeat;
        if self.is_leaving(&registration.incarnation) {
            registration.stage = Stage::Draining;
        }
        if let Some(known) = self.entries.get_mut(name) {
            // A late report must not replace a newer one.
            let known_born_ms = known.registration.incarnation.born_ms;
            let may_be_late = now_ms < known.reported_at_ms.saturating_add(MAX_LATE_MS);
            let is_older = match registration.incarnation.born_ms.cmp(&known_born_ms) {
                Ordering::Less => true,
                Ordering::Equal => {
                    (1..=MAX_LATE_REPORTS).contains(&known.heartbeat.saturating_sub(heartbeat))
                }
                Ordering::Greater => false,
            };
            if is_older && may_be_late {
                return Change::Nothing;
            }
            let is_listed = known.drop_at_ms.is_none();
            if is_listed && is_equivalent(now_ms, &known.registration, &registration) {
                known.heartbeat = heartbeat;
                known.reported_at_ms = now_ms;
                return Change::Nothing;
            }
        }
        let registration = Arc::new(registration);
        let entry = Entry { registration, heartbeat, reported_at_ms: now_ms, drop_at_ms: None };
        self.version += 1;
        self.entries.insert(Name::from(name), entry);
        Change::Server
    }

    /// Marks an incarnation as leaving, whatever later reports of it say.
    ///
    /// Only a later incarnation gets new work again.
    pub fn mark_leaving(&mut self, incarnation: &Incarnation) -> Change {
        if self.is_leaving(incarnation) {
            return Change::Nothing;
        }
        if self.leaving.len() >= MAX_LEAVING {
            let entries = &self.entries;
            self.leaving.retain(|name, _| entries.contains_key(name));
        }
        self.leaving.insert(incarnation.server.clone(), incarnation.born_ms);
        let entry = self.entries.get_mut(&incarnation.server);
        let Some(entry) = entry.filter(|entry| entry.registration.incarnation == *incarnation)
        else {
            return Change::Nothing;
        };
        let draining = Registration { stage: Stage::Draining, ..(*entry.registration).clone() };
        entry.registration = Arc::new(draining);
        self.version += 1;
        Change::Server
    }

    fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.leaving.get(&incarnation.server).is_some_and(|born_ms| incarnation.born_ms <= *born_ms)
    }

    /// Handles the absence of an entry from the list.
    ///
    /// The entry is dropped at once, or at the end of a grace period that is running.
    pub fn remove(&mut self, now_ms: u64, name: &str) -> Change {
        let Some(entry) = self.entries.get_mut(name) else { return Change::Nothing };
        if now_ms < self.grace_deadline_ms {
            let is_first_absence = entry.drop_at_ms.is_none();
            self.version += u64::from(is_first_absence);
            entry.drop_at_ms.get_or_insert(self.grace_deadline_ms);
            return if is_first_absence { Change::Server } else { Change::Nothing };
        }
        self.entries.remove(name);
        self.version += 1;
        Change::Server
    }

    /// Handles an entry that describes no usable server.
    ///
    /// The server that is known under the name counts as missing. A running server writes its entry
    /// again well within the grace period, as after an outage of the list; after that it is dropped,
    /// although the list still names it.
    pub fn on_unusable_entry(&mut self, now_ms: u64, name: &str) -> Change {
        let Some(entry) = self.entries.get_mut(name) else { return Change::Nothing };
        if entry.drop_at_ms.is_some() {
            return Change::Nothing;
        }
        entry.drop_at_ms = Some(now_ms + RELISTING_GRACE_MS);
        self.version += 1;
        Change::Server
    }

    /// Starts the grace period for missing entries, as the list is available again.
    pub fn on_list_restored(&mut self, now_ms: u64) {
        self.grace_deadline_ms = now_ms + RELISTING_GRACE_MS;
    }

    /// Extends the grace period so that at least `left_ms` of it are left, at most all of it.
    pub fn extend_grace(&mut self, now_ms: u64, left_ms: u64) {
        self.grace_deadline_ms =
            self.grace_deadline_ms.max(now_ms + left_ms.min(RELISTING_GRACE_MS));
    }

    /// Returns how much of the grace period for missing entries is left.
    #[must_use]
    pub fn grace_left_ms(&self, now_ms: u64) -> u64 {
        self.grace_deadline_ms.saturating_sub(now_ms)
    }

    /// Removes every entry whose name a complete listing does not contain.
    ///
    /// Returns the names of the entries that were dropped or newly marked as missing. Entries
    /// that were missing before are not returned as long as their grace period runs.
    pub fn keep_only(&mut self, now_ms: u64, listed: &[Name]) -> Vec<Name> {
        let listed: HashSet<&Name> = listed.iter().collect();
        let mut missing: Vec<Name> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        missing.retain(|name| self.remove(now_ms, name) == Change::Server);
        missing
    }

    /// Drops missing entries whose grace period has ended.
    pub fn expire(&mut self, now_ms: u64) -> Change {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.drop_at_ms.is_none_or(|drop_at_ms| now_ms < drop_at_ms));
        if self.entries.len() == before {
            return Change::Nothing;
        }
        self.version += 1;
        Change::Server
    }

    /// Returns a number that rises with every change of [`Change::Server`].
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the registration of an incarnation, if it is the server's latest.
    #[must_use]
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Arc<Registration>> {
        self.by_name(&incarnation.server)
            .filter(|registration| registration.incarnation == *incarnation)
    }

    /// Returns the registration of a server's latest incarnation.
    #[must_use]
    pub fn by_name(&self, server: &str) -> Option<&Arc<Registration>> {
        self.entries.get(server).map(|entry| &entry.registration)
    }

    /// Returns whether the list contains a server.
    #[must_use]
    pub fn is_listed(&self, server: &str) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.drop_at_ms.is_none())
    }

    /// Returns the names of the servers in the list.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        let listed = self.entries.iter().filter(|(_, entry)| entry.drop_at_ms.is_none());
        listed.map(|(name, _)| name)
    }

    /// Returns a server's registration with the number of its last report, if it is listed.
    #[must_use]
    pub fn last_report(&self, server: &str) -> Option<Registration> {
        let entry = self.entries.get(server).filter(|entry| entry.drop_at_ms.is_none())?;
        let registration = Registration::clone(&entry.registration);
        Some(Registration { heartbeat: entry.heartbeat, ..registration })
    }

    /// Replaces the set of data centres whose servers get no new work.
    ///
    /// Data centres without servers are kept too, so that a server that registers there later is
    /// excluded from its first registration on.
    pub fn set_evacuated(&mut self, data_centres: impl IntoIterator<Item = Name>) -> Change {
        let evacuated: HashSet<Name> = data_centres.into_iter().collect();
        if evacuated == self.evacuated {
            return Change::Nothing;
        }
        self.evacuated = evacuated;
        self.version += 1;
        Change::Server
    }

    /// Returns whether the servers of a data centre get no new work.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns whether an incarnation is registered and ready, but gets no new work because its
    /// data centre is evacuated.
    #[must_use]
    pub fn is_ready_but_evacuated(&self, incarnation: &Incarnation) -> bool {
        self.get(incarnation).is_some_and(|registration| {
            registration.stage == Stage::Ready && self.is_evacuated(&registration.data_centre)
        })
    }

    /// Returns whether an incarnation is registered and accepts new work.
    #[must_use]
    pub fn accepts_new_work(&self, incarnation: &Incarnation) -> bool {
        self.get(incarnation).is_some_and(|registration| {
            registration.stage == Stage::Ready && !self.is_evacuated(&registration.data_centre)
        })
    }

    /// Returns the servers of a service that can be given work.
    ///
    /// During the grace period a missing server may have left or may not have registered
    /// again yet. If at most half of the ready servers are missing, they are taken to have
    /// left and are excluded. If more are missing, the list is taken to have lost them, and
    /// all are included. Servers of evacuated data centres are never included.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Registration>> {
        let ready = self.entries.values().filter(move |entry| {
            let registration = &entry.registration;
            registration.service == *service
                && registration.stage == Stage::Ready
                && !self.is_evacuated(&registration.data_centre)
        });
        let missing = ready.clone().filter(|entry| entry.drop_at_ms.is_some()).count();
        let has_lost_most = missing * 2 > ready.clone().count();
        ready
            .filter(move |entry| has_lost_most || entry.drop_at_ms.is_none())
            .map(|entry| &entry.registration)
    }

    /// Returns whether a later incarnation is registered, so that this one holds nothing.
    #[must_use]
    pub fn has_later_incarnation(&self, incarnation: &Incarnation) -> bool {
        self.by_name(&incarnation.server)
            .is_some_and(|known| known.incarnation.born_ms > incarnation.born_ms)
    }

    /// Returns the servers of a service, ordered by name.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Registration>> + 'a {
        self.entries
            .values()
            .map(|entry| &entry.registration)
            .filter(move |registration| registration.service == *service)
    }

    /// Returns the servers of all services.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.entries.values().map(|entry| &entry.registration)
    }

    /// Returns the number of registered servers, including missing ones in the grace period.
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

/// Returns whether a new registration changes nothing that affects where work goes.
///
/// The report number and the end of the warm-up may differ, as long as both agree on whether
/// the server has warmed up by now, and the new one does not prolong the warm-up.
fn is_equivalent(now_ms: u64, known: &Registration, new: &Registration) -> bool {
    let is_cold = |registration: &Registration| now_ms < registration.warm_at_ms;
    Registration { warm_at_ms: 0, heartbeat: 0, ..known.clone() }
        == Registration { warm_at_ms: 0, heartbeat: 0, ..new.clone() }
        && is_cold(known) == is_cold(new)
        && !(is_cold(new) && new.warm_at_ms.saturating_sub(known.warm_at_ms) >= MIN_PROLONGATION_MS)
}
