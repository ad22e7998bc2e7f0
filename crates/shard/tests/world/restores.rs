//! The return of the store from an older copy of itself, and what leaders do across it.

use std::collections::VecDeque;

use document::Name;
use rand::RngExt;
use shard::{Epoch, Record};

use super::{LEASE_MS, LOST_RESIGNATION_PER_MILLE, Message, SERVICE, World};

/// How often the content of the store is copied.
const COPY_INTERVAL_MS: u64 = 100;
/// How many copies are kept: those of some seconds.
const MAX_COPIES: usize = 60;
/// Longest time for which the store is away before it comes back older.
const MAX_AWAY_MS: u64 = 3_000;
/// Longest time until the holders that a leader passes on arrive.
const MAX_PASSED_ON_MS: u64 = 1_500;
/// An era adds 2^20 to epochs, as in daemons.
const ERA_SHIFT: u32 = 20;

/// What the store has: the record with the era of its leader, and the leader's entry and lease.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    pub(super) record: Option<(u64, Record)>,
    pub(super) revision: u64,
    pub(super) epoch: u64,
    pub(super) lease_deadline_ms: u64,
}

/// The holders that a leader passed on, for leaders of an era.
pub(super) type PassedOn = (u64, Vec<(Name, Option<Record>)>);

/// The eras of the store and of leaders.
#[derive(Debug, Default)]
pub(super) struct Eras {
    pub(super) current: u64,
    /// The eras in which leaders were elected, in the order of the elections.
    pub(super) of_leaders: Vec<u64>,
    copies: VecDeque<Content>,
    /// When the store comes back, and from which copy.
    restore: Option<(u64, Content)>,
    passed_on: Option<PassedOn>,
}

impl World {
    /// Copies the content of the store, and lets it go away to come back older.
    pub(super) fn draw_restore(&mut self) {
        if self.faults.restore_store == 0 || !self.now_ms.is_multiple_of(COPY_INTERVAL_MS) {
            return;
        }
        self.eras.copies.push_back(self.store.clone());
        if self.eras.copies.len() > MAX_COPIES {
            self.eras.copies.pop_front();
        }
        if self.eras.restore.is_none() && self.occurs(self.faults.restore_store) {
            let at = self.random.random_range(0..self.eras.copies.len());
            let away_ms = self.random.random_range(0..MAX_AWAY_MS);
            let copy = self.eras.copies[at].clone();
            self.eras.restore = Some((self.now_ms + away_ms, copy));
            self.stop_store(away_ms);
        }
    }

    /// Brings the store back from the copy that was drawn, when it is time or faults have ended.
    pub(super) fn restore_if_due(&mut self) {
        let Some((at_ms, _)) = &self.eras.restore else { return };
        if self.now_ms < *at_ms && !self.store_answers() {
            return;
        }
        let Some((_, copy)) = self.eras.restore.take() else { return };
        self.store = copy;
        self.eras.current += 1;
        // Later copies are of the earlier era.
        self.eras.copies.clear();
        self.resigned_grants_deadline_ms = None;
        self.store_outage_deadline_ms = 0;
        self.log(&format!("the store is back in era {}", self.eras.current));
    }

    /// Returns the epoch of a leader that is elected now.
    pub(super) fn next_epoch(&mut self) -> Epoch {
        self.store.revision += 1;
        self.store.epoch = (self.eras.current << ERA_SHIFT) + self.store.revision;
        Epoch(self.store.epoch)
    }

    /// Returns whether a leader was elected before the store came back.
    pub(super) fn is_of_earlier_era(&self, leader: usize) -> bool {
        self.eras.of_leaders[leader] != self.eras.current
    }

    /// Has a leader that was just elected wait for holders that no record tells it.
    pub(super) fn continue_in_era(&mut self, leader: usize) {
        if self.eras.current == 0 {
            return;
        }
        let has_record =
            self.store.record.as_ref().is_some_and(|(era, _)| *era == self.eras.current);
        if !has_record {
            let from_ms = self.now_ms + LEASE_MS;
            let known = self.leaders[leader].as_mut().expect("the elected leader");
            known.add_unknown_service(from_ms, &SERVICE.into());
        }
        self.continue_passed_on(leader);
    }

    fn continue_passed_on(&mut self, leader: usize) {
        let (Some(Some(known)), Some((era, holders))) =
            (self.leaders.get_mut(leader), &self.eras.passed_on)
        else {
            return;
        };
        if *era != self.eras.of_leaders[leader] {
            return;
        }
        let mut continues = false;
        for (service, record) in holders {
            continues |= known.continue_service(self.now_ms, service, record.as_ref());
        }
        if continues {
            self.log("the leader continues from passed on holders");
        }
    }

    /// Has a leader of an earlier era resign, which an answer has told of the later one.
    pub(super) fn on_era_named(&mut self, leader: usize, era: u64) {
        let elected = self.eras.of_leaders[leader];
        let Some(known) = self.leaders[leader].take_if(|_| elected < era) else { return };
        let has_led_through = self.now_ms < known.authority_deadline_ms() && elected + 1 == era;
        self.log(&format!("a leader hears of era {era}; it led until then: {has_led_through}"));
        if has_led_through && !self.occurs(LOST_RESIGNATION_PER_MILLE) {
            let delay_ms = self.random.random_range(1..MAX_PASSED_ON_MS);
            let holders = known.holders(self.now_ms);
            self.send(delay_ms, Message::PassedOn((era, holders)));
        }
    }

    /// Handles the holders that a leader passed on; those of the newest era count.
    pub(super) fn on_passed_on(&mut self, passed_on: PassedOn) {
        if self.eras.passed_on.as_ref().is_none_or(|(era, _)| *era < passed_on.0) {
            self.eras.passed_on = Some(passed_on);
            for leader in 0..self.leaders.len() {
                self.continue_passed_on(leader);
            }
        }
    }
}
