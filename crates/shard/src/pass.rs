//! The context of one pass over an assignment.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Incarnation, Registration, Registry};

use crate::contact::NextGrant;
use crate::order::LogEvent;
use crate::order_tracker::{OrderTracker, PendingOrder, PendingRanges};
use crate::policy::Candidate;
use crate::previous_holder::PreviousHolder;
use crate::range_state::Holder;
use crate::{
    Config, ConnectionId, EndedHolder, Epoch, Evidence, Fence, Grant, KeyRange, OrderKind, Output,
    Release,
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
        let server = current.or_else(|| self.orders.known_server(incarnation));
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
        let address = self.orders.known_server(incarnation)?.address;
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
        self.orders.may_abandoned_grant_apply(self.now_ms, incarnation, range)
    }

    /// Returns the ranges of all grants whose answer is awaited.
    pub(crate) fn pending_ranges(&self) -> PendingRanges<'_> {
        self.orders.pending_ranges()
    }

    /// Returns whether the answer to a grant of a range to a server is awaited.
    pub(crate) fn awaits_grant(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        self.orders.awaits_grant(incarnation, range)
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
        let unexpired = self
            .orders
            .unexpired_grants(self.now_ms)
            .filter(|grant| grant.incarnation.server != next.server && grant.range.overlaps(range));
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
        let Some(server) = current.or_else(|| self.orders.known_server(incarnation)) else {
            return;
        };
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
