//! What one pass over an assignment works with.

use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Incarnation, Registration, Registry};

use crate::order::Note;
use crate::policy::Candidate;
use crate::{Epoch, Fence, Grant, KeyRange, OrderId, OrderKind, Output, Release, Reply, Tuning};

/// The servers as a leader sees them.
#[derive(Clone, Copy, Debug)]
pub struct Servers<'a> {
    /// Who is registered.
    pub registry: &'a Registry,
    /// How fast servers are, against an ordinary one; 1 for those that are missing.
    pub speeds: &'a HashMap<Incarnation, f32>,
}

/// Gives out fences in rising order.
#[derive(Debug)]
pub(crate) struct Fences(Fence);

/// The orders that were not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    last: u64,
    open: HashMap<OrderId, Open>,
    /// Servers that did not answer their last order, and when they are asked next.
    ///
    /// They get no more ranges until they answer: a server may be out of reach from here and
    /// registered all the same, and each range would be without a holder until its first
    /// grant counts as lost.
    silent: HashMap<Incarnation, u64>,
    /// Where servers were last known; one that is not registered any more may still hold.
    known: HashMap<Incarnation, Arc<Registration>>,
}

/// An order that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) service: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: OrderKind,
    deadline_ms: u64,
}

/// How often a server that did not answer is asked whether it does now.
const ASK_EVERY_MS: u64 = 1_000;
/// A cold server does about half the work of a warm one.
const COLD_PART: f32 = 0.5;

impl Fences {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self(Fence::first(epoch))
    }

    /// Returns whether a fresh epoch is needed soon.
    pub(crate) fn are_nearly_used(&self) -> bool {
        self.0.is_nearly_last()
    }

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

    /// Notes whether a server answers orders.
    pub(crate) fn note_answer(&mut self, now_ms: u64, incarnation: &Incarnation, reply: &Reply) {
        match reply {
            Reply::Done(_) | Reply::Fenced => {
                self.silent.remove(incarnation);
            }
            Reply::NotSent | Reply::Unclear => {
                self.silent.insert(incarnation.clone(), now_ms + ASK_EVERY_MS);
            }
        }
    }

    fn is_silent(&self, incarnation: &Incarnation) -> bool {
        self.silent.contains_key(incarnation)
    }

    /// Returns the silent servers of some kind that are to be asked now.
    pub(crate) fn take_due(
        &mut self,
        now_ms: u64,
        is_meant: impl Fn(&Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let due = self.silent.iter_mut();
        let due =
            due.filter(|(incarnation, ask_at_ms)| now_ms >= **ask_at_ms && is_meant(incarnation));
        due.map(|(incarnation, ask_at_ms)| {
            *ask_at_ms = now_ms + ASK_EVERY_MS;
            incarnation.clone()
        })
        .collect()
    }

    /// Takes an order out that was answered.
    pub(crate) fn close(&mut self, id: OrderId) -> Option<Open> {
        self.open.remove(&id)
    }

    /// Forgets servers that are not registered any more and have nothing to release.
    pub(crate) fn forget(&mut self, is_needed: impl Fn(&Incarnation) -> bool) {
        self.known.retain(|incarnation, _| is_needed(incarnation));
        self.silent.retain(|incarnation, _| is_needed(incarnation));
    }

    pub(crate) fn remember<'a>(&mut self, servers: impl Iterator<Item = &'a Arc<Registration>>) {
        for server in servers {
            if self.known.get(&server.incarnation) != Some(server) {
                self.known.insert(server.incarnation.clone(), Arc::clone(server));
            }
        }
    }

    /// Returns until when grants on their way to a server may stand.
    ///
    /// They reach whichever life is there by then.
    pub(crate) fn stand_until_ms(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        tuning: &Tuning,
    ) -> u64 {
        let stands = self.open.values().filter_map(|order| match &order.kind {
            OrderKind::Grant(grant)
                if order.incarnation.server == incarnation.server
                    && grant.range.overlaps(range) =>
            {
                Some(tuning.stands_until_ms(order.deadline_ms, grant.hold_ms))
            }
            _ => None,
        });
        stands.max().unwrap_or(0)
    }
}

impl Open {
    pub(crate) fn new(
        service: &Name,
        incarnation: &Incarnation,
        kind: OrderKind,
        deadline_ms: u64,
    ) -> Self {
        Self { service: service.clone(), incarnation: incarnation.clone(), kind, deadline_ms }
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
    pub(crate) fn grant(&mut self, incarnation: &Incarnation, grant: Grant) {
        let deadline_ms = self.now_ms + self.tuning.order_timeout_ms;
        self.order(incarnation, OrderKind::Grant(grant), deadline_ms);
    }

    /// Sends a release, if the server is known; its answer may take as long as the work.
    pub(crate) fn release(
        &mut self,
        incarnation: &Incarnation,
        release: Release,
        deadline_ms: u64,
    ) {
        let deadline_ms = deadline_ms.max(self.now_ms + self.tuning.order_timeout_ms);
        self.order(incarnation, OrderKind::Release(release), deadline_ms);
    }

    /// Returns until when grants to a server may stand, those on their way included.
    pub(crate) fn stands_until_ms(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        settled_ms: u64,
    ) -> u64 {
        settled_ms.max(self.orders.stand_until_ms(incarnation, range, self.tuning))
    }

    /// Returns whether a grant to a server may stand now, one on its way included.
    pub(crate) fn may_stand(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        settled_ms: u64,
    ) -> bool {
        self.now_ms < settled_ms
            || self.now_ms < self.stands_until_ms(incarnation, range, settled_ms)
    }

    pub(crate) fn note_lapse(&mut self, range: KeyRange, from: &Incarnation) {
        let (service, from) = (self.service.clone(), from.clone());
        self.outputs.push(Output::Note(Note::Lapsed { service, range, from }));
    }

    fn order(&mut self, incarnation: &Incarnation, kind: OrderKind, deadline_ms: u64) {
        let registered = self.servers.registry.get(incarnation);
        let Some(server) = registered.or_else(|| self.orders.known.get(incarnation)) else {
            return;
        };
        let server = Arc::clone(server);
        let id = self.orders.open(Open::new(self.service, incarnation, kind.clone(), deadline_ms));
        self.outputs.push(Output::Order { id, server, kind, deadline_ms });
    }

    /// Returns the servers that may hold ranges of the service, without any load.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let registry = self.servers.registry;
        let welcome: Vec<&Arc<Registration>> = registry.usable(self.service).collect();
        let answers = |server: &Registration| !self.orders.is_silent(&server.incarnation);
        let any_answers = welcome.iter().any(|server| answers(server));
        let usable = welcome.into_iter().filter(|server| !any_answers || answers(server));
        usable
            .map(|server| Candidate {
                incarnation: server.incarnation.clone(),
                capacity: self.capacity(server),
                load: 0.0,
            })
            .collect()
    }

    fn capacity(&self, server: &Registration) -> f32 {
        let slots = f32::from(u16::try_from(server.slots).unwrap_or(u16::MAX)).max(1.0);
        let speed = self.servers.speeds.get(&server.incarnation).copied().unwrap_or(1.0);
        let is_cold = self.now_ms < server.cold_until_ms;
        slots * speed * if is_cold { COLD_PART } else { 1.0 }
    }
}
