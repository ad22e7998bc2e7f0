//! Leadership across the return of a store from an older copy of itself.
//!
//! The records of an earlier era are older than the grants. A leader that led until the store came
//! back passes on who may hold keys; no other leader has acted since then, apart from those of the
//! next era. Without its message a leader of the next era waits until all earlier grants have expired.

use std::sync::atomic::Ordering;

use document::Name;
use shard::Record;
use store::{Era, Store};

use crate::control::input::WonElection;
use crate::control::node::Node;
use crate::leader::election::lease_ms;
use crate::{Orders, Source};

/// The servers that may hold keys after a store came back, by service.
#[derive(Clone, Debug)]
pub(crate) struct PassedOn {
    /// The era that began when the store came back.
    pub(crate) era: Era,
    /// `None` for a service of which no key may be held.
    pub(crate) holders: Vec<(Name, Option<Record>)>,
}

impl PassedOn {
    /// Reads the holders that a leader elected in an era has told.
    ///
    /// A record that cannot be read says nothing of its service.
    pub(crate) fn from_message(elected_era: u64, holders: &[(Name, Name)]) -> Self {
        let holders = holders.iter().filter_map(|(service, text)| {
            let record = if text.is_empty() { None } else { Some(Record::from_text(text)?) };
            Some((service.clone(), record))
        });
        Self { era: Era(elected_era.saturating_add(1)), holders: holders.collect() }
    }

    /// Returns the holders as a message tells them.
    pub(crate) fn to_message(&self) -> Vec<(Name, Name)> {
        let holders = self.holders.iter().map(|(service, record)| {
            let text = record.as_ref().map(Record::to_text).unwrap_or_default();
            (service.clone(), Name::from(text))
        });
        holders.collect()
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles the newest era that an answer of the store has named, before what follows from the answer.
    pub(crate) fn check_era(&mut self) {
        let newest = *self.newest_era.borrow();
        if let Some(newest) = newest {
            self.on_era(newest);
        }
    }

    /// Stops leading as the store has come back in another era, and passes on who may hold keys.
    pub(crate) fn resign_in_new_era(&mut self, newest: Era) {
        let now_ms = self.clock.now_ms();
        let Some(leading) = &self.leading else { return };
        let leader = &leading.leader;
        let renewed_ms = leading.renewed_authority_ms.load(Ordering::Relaxed);
        let has_authority = now_ms < leader.authority_deadline_ms().max(renewed_ms);
        // Otherwise another leader may have acted before the store came back.
        let has_led_through =
            has_authority && leading.era.is_some_and(|era| era.0.checked_add(1) == Some(newest.0));
        if has_led_through {
            let holders = leader.holders(now_ms);
            self.passed_on = Some(PassedOn { era: newest, holders });
        }
        self.resign("the store came back from an older copy");
    }

    /// Handles the holders that a leader has told that led until the store came back.
    pub(crate) fn on_passed_on(&mut self, passed_on: PassedOn) {
        self.on_era(passed_on.era);
        let known = self.passed_on.as_ref();
        if known.is_none_or(|known| known.era < passed_on.era) {
            self.passed_on = Some(passed_on);
            self.continue_passed_on(self.clock.now_ms());
        }
    }

    /// Returns the time until which an earlier leader may act after a won election.
    ///
    /// The authority of one that was elected before the store came back may not have ended.
    pub(crate) fn earlier_leader_deadline_ms(&self, era: Option<Era>) -> u64 {
        let lease_ms = if is_first(era) { 0 } else { lease_ms(self.settings.min_lease_ms) };
        self.clock.now_ms() + lease_ms
    }

    /// Returns the era of the store as records and messages tell it.
    pub(crate) fn era_number(&self) -> u64 {
        self.era.map_or(0, |era| era.0)
    }

    /// Drops what records of earlier eras say: they do not tell who may hold keys.
    pub(crate) fn drop_older_records(&self, election: &mut WonElection) {
        let era = self.era_number();
        let older = election.records.iter_mut().filter(|stored| stored.era != era);
        let dropped = older.map(|stored| stored.record = None).count();
        if dropped > 0 {
            spdlog::warn!("records are older than the store's return", kv: { era, records = dropped });
        }
    }

    /// Has the leader continue with the holders that were passed on, or wait for those of older records.
    pub(crate) fn continue_in_era(&mut self, now_ms: u64) {
        let unknown_from_ms = self.earlier_leader_deadline_ms(self.era);
        let Some(leading) = &mut self.leading else { return };
        if is_first(leading.era) {
            return;
        }
        leading.unknown_from_ms = Some(unknown_from_ms);
        let services: Vec<Name> = leading.leader.services().cloned().collect();
        for service in services {
            if leading.leader.is_unknown_service(&service, now_ms) {
                leading.leader.add_unknown_service(unknown_from_ms, &service);
            }
        }
        self.continue_passed_on(now_ms);
    }

    /// Has the leader continue with the holders that were passed on.
    pub(crate) fn continue_passed_on(&mut self, now_ms: u64) {
        let (Some(leading), Some(passed_on)) = (&mut self.leading, &self.passed_on) else { return };
        if leading.era != Some(passed_on.era) {
            return;
        }
        for (service, record) in &passed_on.holders {
            leading.add_service(service);
            if leading.leader.continue_service(now_ms, service, record.as_ref()) {
                spdlog::info!(
                    "continues from passed on holders",
                    kv: { service = service.as_str(), epoch = leading.leader.epoch().0 }
                );
            }
        }
    }
}

/// Returns whether a store has never come back from a copy.
fn is_first(era: Option<Era>) -> bool {
    era.is_none_or(|era| era.0 == 0)
}
