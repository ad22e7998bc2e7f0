//! The leader: who grants what to whom.

use std::collections::BTreeMap;
use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Life, Registration, Registry};

use crate::assignment::Assignment;
use crate::order::Note;
use crate::policy::Candidate;
use crate::{
    Epoch, Event, Fence, Grant, KeyLoad, KeyRange, OrderId, OrderKind, Output, Record, Release,
    Reply, Table, Tuning,
};

/// The servers as a leader sees them.
#[derive(Clone, Copy, Debug)]
pub struct Servers<'a> {
    /// Who is registered.
    pub registry: &'a Registry,
    /// How fast servers are, against an ordinary one; 1 for those that are missing.
    pub speeds: &'a HashMap<Life, f32>,
}

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

/// Gives out fences in rising order.
#[derive(Debug)]
pub(crate) struct Fences(Fence);

/// The orders that were not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    last: u64,
    open: HashMap<OrderId, Open>,
    /// Where servers were last known; one that is not registered any more may still hold.
    known: HashMap<Life, Arc<Registration>>,
}

/// An order that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) service: Name,
    pub(crate) life: Life,
    pub(crate) kind: OrderKind,
    deadline_ms: u64,
}

/// A cold server does about half the work of a warm one.
const COLD_PART: f32 = 0.5;

impl Fences {
    pub(crate) fn next(&mut self) -> Fence {
        self.0 = self.0.next();
        self.0
    }
}

impl Orders {
    pub(crate) fn open(&mut self, order: Open) -> OrderId {
        self.last += 1;
        let id = OrderId(self.last);
        self.open.insert(id, order);
        id
    }

    fn remember<'a>(&mut self, servers: impl Iterator<Item = &'a Arc<Registration>>) {
        for server in servers {
            if self.known.get(&server.life) != Some(server) {
                self.known.insert(server.life.clone(), Arc::clone(server));
            }
        }
    }

    /// Returns until when grants on their way to a server may stand.
    pub(crate) fn stand_until_ms(&self, life: &Life, range: KeyRange, tuning: &Tuning) -> u64 {
        let stands = self.open.values().filter_map(|order| match &order.kind {
            OrderKind::Grant(grant) if order.life == *life && grant.range.overlaps(range) => {
                Some(tuning.stands_until_ms(order.deadline_ms, grant.hold_ms))
            }
            _ => None,
        });
        stands.max().unwrap_or(0)
    }
}

impl Open {
    pub(crate) fn new(service: &Name, life: &Life, kind: OrderKind, deadline_ms: u64) -> Self {
        Self { service: service.clone(), life: life.clone(), kind, deadline_ms }
    }
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
        let mut fences = Fences(Fence::first(epoch));
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
        self.fences.0.is_nearly_last()
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
    pub fn add_service(&mut self, service: &Name, now_ms: u64) {
        let settled_ms = now_ms + self.tuning.settle_ms;
        self.assignments.entry(service.clone()).or_insert_with(|| Assignment::new(settled_ms));
    }

    /// Takes an event and says what to do; nothing after authority has ended.
    pub fn step(&mut self, now_ms: u64, servers: Servers<'_>, event: Event) -> Vec<Output> {
        let mut outputs = Vec::new();
        match event {
            Event::Tick => {}
            Event::Kept { authority_until_ms } => {
                self.authority_until_ms = self.authority_until_ms.max(authority_until_ms);
            }
            Event::StoreAnswers(answers) => self.note_store(answers),
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
            Event::Answered(id, reply) => self.answered(now_ms, id, reply, &mut outputs),
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
        }
        let hold_ms =
            if self.store_answers { self.tuning.hold_ms } else { self.tuning.long_hold_ms };
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

    /// Lengthens grants while the store does not answer, and shortens them again.
    fn note_store(&mut self, answers: bool) {
        if self.store_answers != answers {
            self.store_answers = answers;
            for assignment in self.assignments.values_mut() {
                assignment.renew_all();
            }
        }
    }

    fn answered(&mut self, now_ms: u64, id: OrderId, reply: Reply, outputs: &mut Vec<Output>) {
        let Some(order) = self.orders.open.remove(&id) else { return };
        let Some(assignment) = self.assignments.get_mut(&order.service) else { return };
        let is_deposed = assignment.answered(now_ms, &order, &reply, &self.tuning, outputs);
        if is_deposed {
            outputs.push(Output::Deposed);
        }
    }
}

/// One pass over a service's assignment.
pub(crate) struct Turn<'a> {
    pub(crate) service: &'a Name,
    pub(crate) now_ms: u64,
    pub(crate) servers: Servers<'a>,
    pub(crate) hold_ms: u64,
    pub(crate) epoch: Epoch,
    pub(crate) tuning: &'a Tuning,
    pub(crate) fences: &'a mut Fences,
    pub(crate) orders: &'a mut Orders,
    pub(crate) outputs: &'a mut Vec<Output>,
}

impl Turn<'_> {
    /// Sends a grant, if the server is known.
    pub(crate) fn grant(&mut self, life: &Life, grant: Grant) {
        let deadline_ms = self.now_ms + self.tuning.order_timeout_ms;
        self.order(life, OrderKind::Grant(grant), deadline_ms);
    }

    /// Sends a release, if the server is known; its answer may take as long as the work.
    pub(crate) fn release(&mut self, life: &Life, release: Release, deadline_ms: u64) {
        let deadline_ms = deadline_ms.max(self.now_ms + self.tuning.order_timeout_ms);
        self.order(life, OrderKind::Release(release), deadline_ms);
    }

    /// Returns until when grants to a server may stand, those on their way included.
    pub(crate) fn stands_until_ms(&self, life: &Life, range: KeyRange, settled_ms: u64) -> u64 {
        settled_ms.max(self.orders.stand_until_ms(life, range, self.tuning))
    }

    pub(crate) fn note_lapse(&mut self, range: KeyRange, from: &Life) {
        let (service, from) = (self.service.clone(), from.clone());
        self.outputs.push(Output::Note(Note::Lapsed { service, range, from }));
    }

    fn order(&mut self, life: &Life, kind: OrderKind, deadline_ms: u64) {
        let registered = self.servers.registry.get(life);
        let Some(server) = registered.or_else(|| self.orders.known.get(life)) else { return };
        let server = Arc::clone(server);
        let id = self.orders.open(Open::new(self.service, life, kind.clone(), deadline_ms));
        self.outputs.push(Output::Order { id, server, kind, deadline_ms });
    }

    /// Returns the servers that may hold ranges of the service, without any load.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let registry = self.servers.registry;
        registry
            .of_service(self.service)
            .filter(|server| registry.is_welcome(&server.life))
            .map(|server| Candidate {
                life: server.life.clone(),
                capacity: self.capacity(server),
                load: 0.0,
            })
            .collect()
    }

    fn capacity(&self, server: &Registration) -> f32 {
        let slots = f32::from(u16::try_from(server.slots).unwrap_or(u16::MAX)).max(1.0);
        let speed = self.servers.speeds.get(&server.life).copied().unwrap_or(1.0);
        let is_cold = self.now_ms < server.cold_until_ms;
        slots * speed * if is_cold { COLD_PART } else { 1.0 }
    }
}
