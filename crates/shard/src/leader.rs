//! The leader: who grants what to whom.

use std::collections::BTreeMap;

use document::Name;

use crate::assignment::Assignment;
use crate::order::Note;
use crate::turn::{Fences, Orders, Servers, Turn};
use crate::{Epoch, Event, KeyLoad, OrderId, Output, Record, Reply, Table, Tuning};

/// The assignment of all keyed services, under one epoch.
#[derive(Debug)]
pub struct Leader {
    epoch: Epoch,
    fences: Fences,
    authority_until_ms: u64,
    assignments: BTreeMap<Name, Assignment>,
    orders: Orders,
    tuning: Tuning,
    store_answers: bool,
    balance_at_ms: u64,
}

impl Leader {
    /// Takes over from whoever led before, with what the store's records say.
    ///
    /// Every range is granted again to its recorded owner under a higher fence; owners that
    /// do not answer are waited out for the longest grant.
    #[must_use]
    pub fn new(
        epoch: Epoch,
        now_ms: u64,
        authority_until_ms: u64,
        records: &[(Name, Record)],
        tuning: Tuning,
    ) -> Self {
        let mut fences = Fences::new(epoch);
        let assignments = records
            .iter()
            .map(|(service, record)| {
                let assignment = Assignment::take_over(record, now_ms, &mut fences, &tuning);
                (service.clone(), assignment)
            })
            .collect();
        Self {
            epoch,
            fences,
            authority_until_ms,
            assignments,
            orders: Orders::default(),
            tuning,
            store_answers: true,
            balance_at_ms: 0,
        }
    }

    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns until when nobody else can be leader.
    #[must_use]
    pub fn authority_until_ms(&self) -> u64 {
        self.authority_until_ms
    }

    /// Returns whether authority has ended.
    #[must_use]
    pub fn has_ended(&self, now_ms: u64) -> bool {
        now_ms >= self.authority_until_ms
    }

    /// Returns whether a fresh epoch is needed soon.
    #[must_use]
    pub fn needs_epoch(&self) -> bool {
        self.fences.are_nearly_used()
    }

    /// Returns the owners of a service's keys, for the daemons.
    #[must_use]
    pub fn table(&self, service: &str, now_ms: u64) -> Option<Table> {
        self.assignments.get(service).map(|assignment| assignment.table(now_ms))
    }

    /// Returns the services with an assignment.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.assignments.keys()
    }

    /// Returns the load of a service's keys, to add to.
    pub fn load_mut(&mut self, service: &str) -> Option<&mut KeyLoad> {
        self.assignments.get_mut(service).map(Assignment::load_mut)
    }

    /// Starts to assign the keys of a service that has no record.
    pub fn add_service(&mut self, service: &Name) {
        self.assignments.entry(service.clone()).or_insert_with(Assignment::new);
    }

    /// Takes an event and says what to do; nothing after authority has ended.
    pub fn step(&mut self, now_ms: u64, servers: Servers<'_>, event: Event) -> Vec<Output> {
        let mut outputs = Vec::new();
        match event {
            Event::Tick => {}
            Event::Kept { authority_until_ms } => {
                self.authority_until_ms = self.authority_until_ms.max(authority_until_ms);
            }
            Event::StoreAnswers(answers) => self.note_store(answers, &mut outputs),
            Event::Recorded { service, number } => {
                if let Some(assignment) = self.assignments.get_mut(&service) {
                    assignment.recorded(number);
                }
            }
            Event::RecordFailed { service } => {
                if let Some(assignment) = self.assignments.get_mut(&service) {
                    assignment.record_failed(now_ms);
                }
            }
            Event::Answered(id, reply) => {
                self.answered(now_ms, id, &reply, &mut outputs);
                // Most answers are to renewals and change nothing; there are some for each
                // range and second, and a pass over all ranges for each would be most of a
                // leader's work.
                if !self.assignments.values().any(Assignment::is_changed) {
                    return outputs;
                }
            }
        }
        if self.has_ended(now_ms) {
            return outputs;
        }
        self.advance(now_ms, servers, &mut outputs);
        outputs
    }

    fn advance(&mut self, now_ms: u64, servers: Servers<'_>, outputs: &mut Vec<Output>) {
        for service in self.assignments.keys() {
            self.orders.remember(servers.registry.of_service(service));
        }
        let balances = now_ms >= self.balance_at_ms;
        if balances {
            self.balance_at_ms = now_ms + self.tuning.balance_every_ms;
            let assignments = &self.assignments;
            self.orders.forget(|incarnation| {
                servers.registry.get(incarnation).is_some()
                    || assignments.values().any(|assignment| assignment.names(incarnation))
            });
        }
        let hold_ms = self.hold_ms();
        for (service, assignment) in &mut self.assignments {
            let mut turn = Turn {
                service,
                now_ms,
                servers,
                hold_ms,
                epoch: self.epoch,
                tuning: &self.tuning,
                fences: &mut self.fences,
                orders: &mut self.orders,
                outputs,
            };
            assignment.advance(&mut turn, balances && self.store_answers);
        }
    }

    fn hold_ms(&self) -> u64 {
        if self.store_answers { self.tuning.hold_ms } else { self.tuning.long_hold_ms }
    }

    /// Lengthens grants while the store does not answer, and shortens them again.
    fn note_store(&mut self, answers: bool, outputs: &mut Vec<Output>) {
        if self.store_answers != answers {
            self.store_answers = answers;
            let (store_answers, hold_ms) = (answers, self.hold_ms());
            outputs.push(Output::Note(Note::Hold { store_answers, hold_ms }));
            for assignment in self.assignments.values_mut() {
                assignment.renew_all();
            }
        }
    }

    fn answered(&mut self, now_ms: u64, id: OrderId, reply: &Reply, outputs: &mut Vec<Output>) {
        let Some(order) = self.orders.close(id) else { return };
        self.orders.note_answer(now_ms, &order.incarnation, reply);
        let Some(assignment) = self.assignments.get_mut(&order.service) else { return };
        let is_deposed = assignment.answered(now_ms, &order, reply, &self.tuning, outputs);
        if is_deposed {
            outputs.push(Output::Deposed);
        }
    }
}
