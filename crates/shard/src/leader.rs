//! The leader, which assigns the keys of all keyed services.

use std::collections::BTreeMap;

use document::Name;
use registry::Incarnation;

use crate::assignment::Assignment;
use crate::order::LogEvent;
use crate::order_tracker::OrderTracker;
use crate::pass::{FenceCounter, PassContext, Servers};
use crate::{
    Config, Epoch, Event, KeyLoad, OrderId, Output, Record, Reply, Table, UnansweredGrant,
};

/// Assigns the keys of all keyed services under one epoch.
///
/// All times are in milliseconds of one clock, that of the calling process.
#[derive(Debug)]
pub struct Leader {
    epoch: Epoch,
    pub(crate) fences: FenceCounter,
    authority_deadline_ms: u64,
    pub(crate) assignments: BTreeMap<Name, Assignment>,
    orders: OrderTracker,
    pub(crate) config: Config,
    store_answers: bool,
    balance_at_ms: u64,
    passed_at_ms: u64,
}

/// Number of ranges for which an answer starts a pass at once; with more ranges, an answer waits
/// a millisecond after the last pass for each this many, or for the next tick.
const RANGES_PER_PASS_MS: usize = 100;

impl Leader {
    /// Creates a leader that continues from the records in the store.
    ///
    /// Every range is granted again to its recorded owner under a higher fence. Grants of
    /// earlier leaders may be valid for [`Config::max_grant_ms`], so a range whose owner does
    /// not answer gets a new holder only after that time.
    #[must_use]
    pub fn new(
        epoch: Epoch,
        now_ms: u64,
        authority_deadline_ms: u64,
        records: &[(Name, Record)],
        config: Config,
    ) -> Self {
        let mut fences = FenceCounter::new(epoch);
        let assignments = records
            .iter()
            .map(|(service, record)| {
                let assignment = Assignment::from_record(record, now_ms, &mut fences, &config);
                (service.clone(), assignment)
            })
            .collect();
        Self {
            epoch,
            fences,
            authority_deadline_ms,
            assignments,
            orders: OrderTracker::new(epoch),
            config,
            store_answers: true,
            balance_at_ms: 0,
            passed_at_ms: 0,
        }
    }

    /// Starts to assign the keys of a service whose record cannot be read.
    ///
    /// Any server may hold any of its keys until all grants of earlier leaders have expired.
    pub fn add_unknown_service(&mut self, now_ms: u64, service: &Name) {
        let assignment = Assignment::unknown(now_ms, &self.config);
        self.assignments.insert(service.clone(), assignment);
    }

    /// Limits how long grants of earlier leaders count as valid, from what their last one told.
    pub fn limit_earlier_grants(&mut self, deadline_ms: u64) {
        for assignment in self.assignments.values_mut() {
            assignment.limit_earlier_grants(deadline_ms);
        }
    }

    /// Returns the time until which grants of this leader or earlier ones may be valid.
    #[must_use]
    pub fn grants_deadline_ms(&self, now_ms: u64) -> u64 {
        let answered = self.assignments.values().map(Assignment::grants_deadline_ms);
        let unanswered = self.orders.grants_deadline_ms(now_ms, &self.config);
        answered.max().unwrap_or(0).max(unanswered)
    }

    /// Returns the grants without an outcome, which their servers may still accept.
    #[must_use]
    pub fn unanswered_grants(&self, now_ms: u64) -> Vec<UnansweredGrant> {
        self.orders.unanswered_grants(now_ms, &self.config)
    }

    /// Returns the epoch in which this leader was elected.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time before which no other daemon can be leader.
    #[must_use]
    pub fn authority_deadline_ms(&self) -> u64 {
        self.authority_deadline_ms
    }

    /// Returns whether the leader's authority has ended.
    #[must_use]
    pub fn has_authority_ended(&self, now_ms: u64) -> bool {
        now_ms >= self.authority_deadline_ms
    }

    /// Returns whether the fences of this epoch are nearly used up.
    #[must_use]
    pub fn needs_new_epoch(&self) -> bool {
        self.fences.is_nearly_exhausted()
    }

    /// Returns whether a server did not answer its last order.
    #[must_use]
    pub fn is_silent(&self, incarnation: &Incarnation) -> bool {
        self.orders.is_silent(incarnation)
    }

    /// Returns whether more than half of the servers did not answer their last orders.
    #[must_use]
    pub fn is_majority_silent(&self) -> bool {
        self.orders.is_majority_silent()
    }

    /// Returns the owners of a service's keys; `None` if the service has no assignment.
    #[must_use]
    pub fn table(&self, service: &str, now_ms: u64) -> Option<Table> {
        self.assignments.get(service).map(|assignment| assignment.table(now_ms))
    }

    /// Returns the services that have an assignment.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.assignments.keys()
    }

    /// Returns the load of a service's keys, to add new load to it.
    pub fn load_mut(&mut self, service: &str) -> Option<&mut KeyLoad> {
        self.assignments.get_mut(service).map(Assignment::load_mut)
    }

    /// Starts to assign the keys of a service, unless it has an assignment.
    pub fn add_service(&mut self, service: &Name) {
        self.assignments.entry(service.clone()).or_insert_with(Assignment::new);
    }

    /// Handles one event and returns the outputs to carry out.
    ///
    /// Once the leader's authority has ended, events are recorded but no orders, writes or
    /// publications follow.
    pub fn step(&mut self, now_ms: u64, servers: Servers<'_>, event: Event) -> Vec<Output> {
        let mut outputs = Vec::new();
        match event {
            Event::Tick => {}
            Event::LeaseRenewed { authority_deadline_ms } => {
                self.authority_deadline_ms = self.authority_deadline_ms.max(authority_deadline_ms);
            }
            Event::StoreAnswers(answers) => self.on_store_availability(answers, &mut outputs),
            // A write of an earlier term says nothing about records of this one.
            Event::RecordWritten { epoch, .. } | Event::RecordWriteFailed { epoch, .. }
                if epoch != self.epoch =>
            {
                return outputs;
            }
            Event::RecordWritten { service, number, .. } => {
                if let Some(assignment) = self.assignments.get_mut(&service) {
                    assignment.on_record_written(number);
                }
            }
            Event::RecordWriteFailed { service, is_ruled_out, .. } => {
                if let Some(assignment) = self.assignments.get_mut(&service) {
                    assignment.on_record_write_failed(now_ms, is_ruled_out);
                }
            }
            Event::Answered(id, reply) => {
                self.on_reply(now_ms, id, &reply, &mut outputs);
                // Most answers are to renewals and change nothing. Each range gets more than one
                // answer a second, so a pass over all ranges for every answer would be most of a
                // leader's work.
                let is_changed = self.assignments.values().any(Assignment::is_changed);
                if !is_changed || now_ms < self.passed_at_ms + self.pass_interval_ms() {
                    return outputs;
                }
            }
        }
        if self.has_authority_ended(now_ms) {
            return outputs;
        }
        self.advance(now_ms, servers, &mut outputs);
        outputs
    }

    fn advance(&mut self, now_ms: u64, servers: Servers<'_>, outputs: &mut Vec<Output>) {
        let last_pass_at_ms = std::mem::replace(&mut self.passed_at_ms, now_ms);
        let is_balance_due = now_ms >= self.balance_at_ms;
        if is_balance_due {
            self.balance_at_ms = now_ms + self.config.balance_interval_ms;
            for service in self.assignments.keys() {
                self.orders.keep_registrations(servers.registry.of_service(service));
            }
            let assignments = &self.assignments;
            self.orders.retain_servers(|incarnation| {
                servers.registry.get(incarnation).is_some()
                    || assignments.values().any(|assignment| assignment.may_hold_keys(incarnation))
            });
        }
        let grant_ms = self.grant_ms();
        for (service, assignment) in &mut self.assignments {
            let mut pass = PassContext {
                service,
                now_ms,
                last_pass_at_ms,
                servers,
                grant_ms,
                store_answers: self.store_answers,
                epoch: self.epoch,
                config: &self.config,
                fences: &mut self.fences,
                orders: &mut self.orders,
                outputs,
            };
            assignment.advance(&mut pass, is_balance_due && self.store_answers);
        }
    }

    fn pass_interval_ms(&self) -> u64 {
        let ranges: usize = self.assignments.values().map(Assignment::count).sum();
        u64::try_from(ranges / RANGES_PER_PASS_MS).unwrap_or(u64::MAX)
    }

    fn grant_ms(&self) -> u64 {
        if self.store_answers { self.config.grant_ms } else { self.config.outage_grant_ms }
    }

    /// Renews all grants at the new length when the store fails or answers again.
    fn on_store_availability(&mut self, answers: bool, outputs: &mut Vec<Output>) {
        if self.store_answers != answers {
            self.store_answers = answers;
            let (store_answers, grant_ms) = (answers, self.grant_ms());
            outputs.push(Output::Log(LogEvent::GrantLengthChanged { store_answers, grant_ms }));
            for assignment in self.assignments.values_mut() {
                assignment.renew_all();
            }
        }
    }

    fn on_reply(&mut self, now_ms: u64, id: OrderId, reply: &Reply, outputs: &mut Vec<Output>) {
        let Some(order) = self.orders.remove(id) else { return };
        self.orders.on_reply(now_ms, &order, reply, &self.config);
        let Some(assignment) = self.assignments.get_mut(&order.service) else { return };
        let is_deposed = assignment.on_reply(now_ms, &order, reply, &self.config, outputs);
        if is_deposed {
            outputs.push(Output::Deposed);
        }
    }
}
