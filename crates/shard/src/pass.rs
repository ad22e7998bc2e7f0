//! The context of one pass over an assignment.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Incarnation, Registration, Registry};

use crate::abandoned::AbandonedGrants;
use crate::contact::{Contact, NextGrant};
use crate::order::LogEvent;
use crate::policy::Candidate;
use crate::previous_holder::PreviousHolder;
use crate::range_state::Holder;
use crate::{
    Config, ConnectionId, EndedHolder, Epoch, Evidence, Fence, Grant, KeyRange, OrderId, OrderKind,
    Output, Release, Reply, UnansweredGrant,
};

/// The registered servers and their speeds.
#[derive(Clone, Copy, Debug)]
pub struct Servers<'a> {
    /// The registered servers of all services.
    pub registry: &'a Registry,
    /// Speeds of servers relative to an ordinary one; 1 for those that are missing.
    pub speeds: &'a HashMap<Incarnation, f32>,
}

/// Issues fences in ascending order.
#[derive(Debug)]
pub(crate) struct FenceCounter(Fence);

/// The unanswered orders, and which servers answer orders.
#[derive(Debug)]
pub(crate) struct OrderTracker {
    epoch: Epoch,
    last_number: u64,
    pending: HashMap<OrderId, PendingOrder>,
    abandoned: AbandonedGrants,
    /// Servers that did not answer their last order, with the time of their next probe.
    ///
    /// They get no more ranges until they answer, unless all servers are silent. A registered
    /// server may be unreachable for the leader, and each range given to it would have no
    /// holder until its first grant counts as lost.
    silent: HashMap<Incarnation, u64>,
    /// What grants to each server have shown of the way to it.
    contacts: HashMap<Incarnation, Contact>,
    /// Since when more than half of the servers are silent.
    majority_silent_since_ms: Option<u64>,
    /// Last known registrations; a server that is no longer registered may still hold ranges.
    servers: HashMap<Incarnation, Arc<Registration>>,
}

/// The ranges of the grants whose answer is awaited, by server.
///
/// Grants to any incarnation of a server count: they reach the one that runs on arrival.
#[derive(Debug)]
pub(crate) struct PendingRanges<'a>(HashMap<&'a Name, Vec<KeyRange>>);

/// An order that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) service: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: OrderKind,
    pub(crate) sent_at_ms: u64,
    deadline_ms: u64,
}

/// Time between probes of a server that did not answer.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// How long a leader takes no range from a silent server while most servers are silent.
const CUT_OFF_PATIENCE_MS: u64 = 1_500;
/// A server that is still warming up does about half the work of a warm one.
const COLD_CAPACITY_FACTOR: f32 = 0.5;

impl FenceCounter {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self(Fence::first(epoch))
    }

    /// Returns whether the fences of this epoch are nearly used up.
    pub(crate) fn is_nearly_exhausted(&self) -> bool {
        self.0.is_nearly_last()
    }

    pub(crate) fn next(&mut self) -> Fence {
        self.0 = self.0.next();
        self.0
    }
}

impl OrderTracker {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            last_number: 0,
            pending: HashMap::default(),
            abandoned: AbandonedGrants::default(),
            silent: HashMap::default(),
            contacts: HashMap::default(),
            majority_silent_since_ms: None,
            servers: HashMap::default(),
        }
    }

    pub(crate) fn add(&mut self, order: PendingOrder) -> OrderId {
        self.last_number += 1;
        let id = OrderId { epoch: self.epoch, number: self.last_number };
        if matches!(order.kind, OrderKind::Grant(_)) {
            self.contacts.entry(order.incarnation.clone()).or_default().on_grant_sent();
        }
        self.pending.insert(id, order);
        id
    }

    /// Records whether a server answers orders, and the grants that it leaves unanswered.
    pub(crate) fn on_reply(
        &mut self,
        now_ms: u64,
        order: &PendingOrder,
        reply: &Reply,
        config: &Config,
    ) {
        match reply {
            Reply::Done(_) | Reply::DoneOn(..) | Reply::Fenced => {
                self.silent.remove(&order.incarnation);
            }
            Reply::NotSent | Reply::Misdirected | Reply::Unknown => {
                self.silent.insert(order.incarnation.clone(), now_ms + PROBE_INTERVAL_MS);
            }
        }
        let is_grant = matches!(order.kind, OrderKind::Grant(_));
        let contact = self.contacts.entry(order.incarnation.clone()).or_default();
        contact.on_reply(now_ms, order.sent_at_ms, is_grant, reply);
        if self.silent.len() * 2 > self.servers.len() {
            self.majority_silent_since_ms.get_or_insert(now_ms);
        } else {
            self.majority_silent_since_ms = None;
        }
        self.abandoned.remove_expired(now_ms);
        if let (Reply::Unknown, OrderKind::Grant(grant)) = (reply, &order.kind) {
            self.abandoned.add(now_ms, order, grant, config);
        }
    }

    /// Returns what grants to a server have shown of the way to it.
    pub(crate) fn contact(&self, incarnation: &Incarnation) -> Contact {
        self.contacts.get(incarnation).copied().unwrap_or_default()
    }

    pub(crate) fn is_silent(&self, incarnation: &Incarnation) -> bool {
        self.silent.contains_key(incarnation)
    }

    pub(crate) fn is_majority_silent(&self) -> bool {
        self.majority_silent_since_ms.is_some()
    }

    /// Returns whether the leader itself may be the one that is cut off.
    ///
    /// Then ranges stay with their holders for a moment: a leader that the servers answer can take
    /// over while their grants are valid.
    pub(crate) fn may_be_cut_off(&self, now_ms: u64) -> bool {
        self.majority_silent_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + CUT_OFF_PATIENCE_MS)
    }

    /// Returns the silent servers whose probe is due, and schedules their next probes.
    ///
    /// Servers for which `may_be_probed` returns false are left out.
    pub(crate) fn due_probes(
        &mut self,
        now_ms: u64,
        may_be_probed: impl Fn(&Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let due = self.silent.iter_mut();
        let due = due.filter(|(incarnation, probe_at_ms)| {
            now_ms >= **probe_at_ms && may_be_probed(incarnation)
        });
        due.map(|(incarnation, probe_at_ms)| {
            *probe_at_ms = now_ms + PROBE_INTERVAL_MS;
            incarnation.clone()
        })
        .collect()
    }

    /// Removes and returns an order that was answered.
    pub(crate) fn remove(&mut self, id: OrderId) -> Option<PendingOrder> {
        self.pending.remove(&id)
    }

    /// Drops registrations, probe times and contacts of servers for which `is_needed` returns false.
    pub(crate) fn retain_servers(&mut self, is_needed: impl Fn(&Incarnation) -> bool) {
        self.servers.retain(|incarnation, _| is_needed(incarnation));
        self.silent.retain(|incarnation, _| is_needed(incarnation));
        self.contacts
            .retain(|incarnation, contact| contact.awaits_answer() || is_needed(incarnation));
    }

    /// Keeps registrations, so that orders can be sent to servers that are no longer registered.
    pub(crate) fn keep_registrations<'a>(
        &mut self,
        registrations: impl Iterator<Item = &'a Arc<Registration>>,
    ) {
        for registration in registrations {
            if self.servers.get(&registration.incarnation) != Some(registration) {
                self.servers.insert(registration.incarnation.clone(), Arc::clone(registration));
            }
        }
    }

    /// Returns the time until which unanswered grants to any server may be valid; 0 if none.
    pub(crate) fn grants_deadline_ms(&self, now_ms: u64, config: &Config) -> u64 {
        let abandoned = self.abandoned.iter().map(|grant| grant.deadline_ms);
        let pending = self.pending.values().filter_map(|order| match &order.kind {
            OrderKind::Grant(grant) => Some(order.grant_deadline_ms(now_ms, grant, config)),
            OrderKind::Release(_) => None,
        });
        pending.chain(abandoned).max().unwrap_or(0)
    }

    /// Returns the grants without an outcome, those that were given up last.
    pub(crate) fn unanswered_grants(&self, now_ms: u64, config: &Config) -> Vec<UnansweredGrant> {
        let pending = self.pending.values().filter_map(|order| {
            let OrderKind::Grant(grant) = &order.kind else { return None };
            Some(UnansweredGrant {
                service: order.service.clone(),
                range: grant.range,
                to: order.incarnation.clone(),
                fence: grant.fence,
                is_given_up: false,
                deadline_ms: order.grant_deadline_ms(now_ms, grant, config),
            })
        });
        let given_up = self.abandoned.iter().map(|grant| UnansweredGrant {
            service: grant.service.clone(),
            range: grant.range,
            to: grant.incarnation.clone(),
            fence: grant.fence,
            is_given_up: true,
            deadline_ms: grant.deadline_ms,
        });
        pending.chain(given_up.filter(|grant| now_ms < grant.deadline_ms)).collect()
    }

    /// Returns whether a grant to a server that was not answered may still arrive.
    fn may_grant_arrive(&self, now_ms: u64, incarnation: &Incarnation, range: KeyRange) -> bool {
        self.pending.values().any(|order| order.is_grant_to(incarnation, range))
            || self.abandoned.may_arrive(now_ms, incarnation, range)
    }

    /// Returns the time until which unanswered grants to a server may be valid; 0 if none.
    ///
    /// Grants to any incarnation of the server count: they reach the one that runs on arrival.
    pub(crate) fn pending_grant_deadline_ms(
        &self,
        now_ms: u64,
        incarnation: &Incarnation,
        range: KeyRange,
        config: &Config,
    ) -> u64 {
        let abandoned = self.abandoned.deadlines_ms(incarnation, range);
        let pending = self.pending.values().filter_map(|order| match &order.kind {
            OrderKind::Grant(grant)
                if order.incarnation.server == incarnation.server
                    && grant.range.overlaps(range) =>
            {
                Some(order.grant_deadline_ms(now_ms, grant, config))
            }
            _ => None,
        });
        pending.chain(abandoned).max().unwrap_or(0)
    }
}

impl PendingRanges<'_> {
    /// Returns whether a grant of any key of a range to a server is among them.
    pub(crate) fn include(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        let ranges = self.0.get(&incarnation.server);
        ranges.is_some_and(|ranges| ranges.iter().any(|granted| granted.overlaps(range)))
    }
}

impl PendingOrder {
    /// Returns whether the order is a grant that reaches a server, whichever incarnation runs.
    fn is_grant_to(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        self.incarnation.server == incarnation.server
            && matches!(&self.kind, OrderKind::Grant(grant) if grant.range.overlaps(range))
    }

    /// Returns the last time at which the order may arrive.
    ///
    /// The connection of an order without an outcome is open, also after its deadline: the process may
    /// have been suspended.
    fn last_arrival_ms(&self, now_ms: u64, config: &Config) -> u64 {
        self.deadline_ms.max(now_ms) + config.max_transit_ms
    }

    /// Returns the time until which a grant that the order carries may be valid.
    fn grant_deadline_ms(&self, now_ms: u64, grant: &Grant, config: &Config) -> u64 {
        config.grant_deadline_ms(self.last_arrival_ms(now_ms, config), grant.grant_ms)
    }

    pub(crate) fn new(
        service: &Name,
        incarnation: &Incarnation,
        kind: OrderKind,
        sent_at_ms: u64,
        deadline_ms: u64,
    ) -> Self {
        let (service, incarnation) = (service.clone(), incarnation.clone());
        Self { service, incarnation, kind, sent_at_ms, deadline_ms }
    }
}

/// The context of one pass over a service's assignment.
pub(crate) struct PassContext<'a> {
    pub(crate) service: &'a Name,
    pub(crate) now_ms: u64,
    /// When the pass before this one was made.
    pub(crate) last_pass_at_ms: u64,
    pub(crate) servers: Servers<'a>,
    /// Length of the grants that are sent.
    pub(crate) grant_ms: u64,
    pub(crate) store_answers: bool,
    pub(crate) epoch: Epoch,
    pub(crate) config: &'a Config,
    pub(crate) fences: &'a mut FenceCounter,
    pub(crate) orders: &'a mut OrderTracker,
    pub(crate) outputs: &'a mut Vec<Output>,
}

impl<'a> PassContext<'a> {
    /// Returns the grant that a server may be sent.
    pub(crate) fn next_grant(&self, incarnation: &Incarnation) -> NextGrant {
        self.orders.contact(incarnation).next_grant(self.now_ms, self.last_pass_at_ms)
    }

    /// Sends a grant, if the server's address is known.
    pub(crate) fn send_grant(
        &mut self,
        incarnation: &Incarnation,
        grant: Grant,
        connection: Option<ConnectionId>,
    ) {
        let deadline_ms = self.now_ms + self.config.order_timeout_ms;
        self.send_order(incarnation, OrderKind::Grant(grant), deadline_ms, connection);
    }

    /// Sends a release, if the server's address is known.
    ///
    /// The answer is awaited until `deadline_ms`, but at least as long as for other orders,
    /// since it comes only when the work on the range has ended.
    pub(crate) fn send_release(
        &mut self,
        incarnation: &Incarnation,
        release: Release,
        deadline_ms: u64,
        connection: Option<ConnectionId>,
    ) {
        let deadline_ms = deadline_ms.max(self.now_ms + self.config.order_timeout_ms);
        self.send_order(incarnation, OrderKind::Release(release), deadline_ms, connection);
    }

    /// Returns the time until which grants to a server may be valid, including unanswered ones.
    ///
    /// `answered_deadline_ms` is that time for the answered grants alone.
    pub(crate) fn grant_deadline_ms(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        answered_deadline_ms: u64,
    ) -> u64 {
        answered_deadline_ms.max(self.orders.pending_grant_deadline_ms(
            self.now_ms,
            incarnation,
            range,
            self.config,
        ))
    }

    /// Returns whether a grant to a server may be valid now, including unanswered ones.
    pub(crate) fn may_hold(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        answered_deadline_ms: u64,
    ) -> bool {
        self.now_ms < answered_deadline_ms
            || self.now_ms < self.grant_deadline_ms(incarnation, range, answered_deadline_ms)
    }

    /// Returns whether a holder that does not answer is replaced, although it may still carry out
    /// a grant.
    ///
    /// While the store does not answer, the holder keeps its range, as a successor could not be
    /// recorded.
    pub(crate) fn is_given_up(&self, holder: &Holder, range: KeyRange) -> bool {
        let failures = holder.failures.max(self.orders.contact(&holder.incarnation).failures());
        self.store_answers
            && failures >= self.config.max_failures
            && self.may_grant_apply(&holder.incarnation, range)
    }

    /// Returns whether a release can end all grants of a range to its holder.
    pub(crate) fn can_be_released(&self, holder: &Holder, range: KeyRange) -> bool {
        self.now_ms >= holder.grants.timed_ms() && !self.may_grant_apply(&holder.incarnation, range)
    }

    /// Returns from when on a holder that gives a range up is released: at once if that ends its
    /// grants, otherwise `handover_ms` before the end of the last one.
    pub(crate) fn release_at_ms(&self, holder: &Holder, range: KeyRange, handover_ms: u64) -> u64 {
        if self.can_be_released(holder, range) {
            return 0;
        }
        holder.lease_end_ms.saturating_sub(handover_ms)
    }

    /// Returns whether a renewal of a holder's grant that is answered now would end later than all
    /// its grants, so that the range would have to wait longer for its next holder.
    pub(crate) fn would_renewal_delay(&self, holder: &Holder, range: KeyRange) -> bool {
        let renewed_ms = self.config.grant_deadline_ms(self.now_ms, self.grant_ms);
        let (incarnation, answered_ms) = (&holder.incarnation, holder.grants.deadline_ms());
        renewed_ms >= self.grant_deadline_ms(incarnation, range, answered_ms)
    }

    /// Returns whether a previous holder is expected to answer a release soon.
    pub(crate) fn may_answer(&self, previous: &PreviousHolder) -> bool {
        let incarnation = &previous.incarnation;
        self.servers.registry.get(incarnation).is_some()
            && !self.orders.is_silent(incarnation)
            && self.orders.contact(incarnation).failures() < self.config.max_failures
    }

    /// Returns the address of a server that is or was registered; `None` if it is not known.
    pub(crate) fn address(&self, incarnation: &Incarnation) -> Option<SocketAddr> {
        let current = self.servers.registry.get(incarnation);
        let server = current.or_else(|| self.orders.servers.get(incarnation));
        server.map(|server| server.address)
    }

    /// Returns the latest server at each address.
    pub(crate) fn latest_by_address(&self) -> HashMap<SocketAddr, &'a Incarnation> {
        let mut latest: HashMap<SocketAddr, &'a Incarnation> = HashMap::default();
        for server in self.servers.registry.all() {
            let known = latest.entry(server.address).or_insert(&server.incarnation);
            if server.incarnation.born_ms > known.born_ms {
                *known = &server.incarnation;
            }
        }
        latest
    }

    /// Returns the later server that is registered at the address of one that no longer is.
    ///
    /// That alone does not show that the earlier process has ended: other writers can register
    /// any address. A grant that is on its way to the address would reach the later server, so
    /// there is none until no grant can arrive.
    pub(crate) fn replacement(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        latest: &HashMap<SocketAddr, &'a Incarnation>,
    ) -> Option<&'a Incarnation> {
        let address = self.orders.servers.get(incarnation)?.address;
        let later = latest.get(&address).filter(|later| later.born_ms > incarnation.born_ms)?;
        let may_hold = self.servers.registry.get(incarnation).is_some()
            || self.orders.may_grant_arrive(self.now_ms, incarnation, range);
        (!may_hold).then_some(*later)
    }

    /// Returns whether a grant to a server that was given up may still take effect.
    pub(crate) fn may_abandoned_grant_apply(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> bool {
        let mut deadlines = self.orders.abandoned.deadlines_ms(incarnation, range);
        deadlines.any(|deadline_ms| self.now_ms < deadline_ms)
    }

    /// Returns the ranges of all grants whose answer is awaited.
    pub(crate) fn pending_ranges(&self) -> PendingRanges<'_> {
        let mut ranges: HashMap<&Name, Vec<KeyRange>> = HashMap::default();
        for order in self.orders.pending.values() {
            if let OrderKind::Grant(grant) = &order.kind {
                ranges.entry(&order.incarnation.server).or_default().push(grant.range);
            }
        }
        PendingRanges(ranges)
    }

    /// Returns whether the answer to a grant of a range to a server is awaited.
    pub(crate) fn awaits_grant(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        self.orders.pending.values().any(|order| order.is_grant_to(incarnation, range))
    }

    /// Returns whether a grant to a server that was not answered may still take effect.
    pub(crate) fn may_grant_apply(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        let orders = &self.orders;
        let now_ms = self.now_ms;
        now_ms < orders.pending_grant_deadline_ms(now_ms, incarnation, range, self.config)
    }

    /// Logs that a server counts as done with a range, unless it has released the range before.
    pub(crate) fn log_end(
        &mut self,
        range: KeyRange,
        from: &Incarnation,
        evidence: Evidence,
    ) -> EndedHolder {
        let is_released = matches!(
            evidence,
            Evidence::Released(_) | Evidence::Expired { released_with: Some(_), .. }
        );
        if !is_released {
            let (service, from, evidence) = (self.service.clone(), from.clone(), evidence.clone());
            self.outputs.push(Output::Log(LogEvent::Expired { service, range, from, evidence }));
        }
        EndedHolder { incarnation: from.clone(), evidence, at_ms: self.now_ms }
    }

    /// Logs the unanswered grants of a range to other servers whose time has not passed.
    pub(crate) fn log_unexpired(&mut self, range: KeyRange, next: &Incarnation) {
        let unexpired = self.orders.abandoned.iter().filter(|grant| {
            grant.incarnation.server != next.server
                && grant.range.overlaps(range)
                && self.now_ms < grant.deadline_ms
        });
        for grant in unexpired {
            self.outputs.push(Output::Log(LogEvent::UnexpiredGrant {
                service: grant.service.clone(),
                range: grant.range,
                to: grant.incarnation.clone(),
                fence: grant.fence,
                left_ms: grant.deadline_ms - self.now_ms,
                next: next.clone(),
            }));
        }
    }

    fn send_order(
        &mut self,
        incarnation: &Incarnation,
        kind: OrderKind,
        deadline_ms: u64,
        connection: Option<ConnectionId>,
    ) {
        let current = self.servers.registry.get(incarnation);
        let Some(server) = current.or_else(|| self.orders.servers.get(incarnation)) else { return };
        let server = Arc::clone(server);
        self.orders.keep_registrations(std::iter::once(&server));
        let id = self.orders.add(PendingOrder::new(
            self.service,
            incarnation,
            kind.clone(),
            self.now_ms,
            deadline_ms,
        ));
        self.outputs.push(Output::Order { id, server, kind, deadline_ms, connection });
    }

    /// Returns the servers that may be given ranges of the service, with a load of 0.
    ///
    /// Silent servers are excluded unless all are silent.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let registry = self.servers.registry;
        let usable: Vec<&Arc<Registration>> = registry.usable(self.service).collect();
        let is_responsive = |server: &Registration| !self.orders.is_silent(&server.incarnation);
        let any_responsive = usable.iter().any(|server| is_responsive(server));
        let chosen = usable.into_iter().filter(|server| !any_responsive || is_responsive(server));
        chosen
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
        let is_cold = self.now_ms < server.warm_at_ms;
        slots * speed * if is_cold { COLD_CAPACITY_FACTOR } else { 1.0 }
    }
}
