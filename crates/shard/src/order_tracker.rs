//! The orders of a leader that have no answer yet, and what servers have answered.

use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Incarnation, Registration};

use crate::abandoned::{AbandonedGrant, AbandonedGrants};
use crate::contact::Contact;
use crate::{Config, Epoch, Grant, KeyRange, OrderId, OrderKind, Reply, UnansweredGrant};

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
        let given_up = self.unexpired_grants(now_ms).map(|grant| UnansweredGrant {
            service: grant.service.clone(),
            range: grant.range,
            to: grant.incarnation.clone(),
            fence: grant.fence,
            is_given_up: true,
            deadline_ms: grant.deadline_ms,
        });
        pending.chain(given_up).collect()
    }

    /// Returns whether a grant to a server that was not answered may still arrive.
    pub(crate) fn may_grant_arrive(
        &self,
        now_ms: u64,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> bool {
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

    /// Returns the last known registration of a server.
    pub(crate) fn known_server(&self, incarnation: &Incarnation) -> Option<&Arc<Registration>> {
        self.servers.get(incarnation)
    }

    /// Returns the grants that were given up and may still be valid on their servers.
    pub(crate) fn unexpired_grants(&self, now_ms: u64) -> impl Iterator<Item = &AbandonedGrant> {
        self.abandoned.iter().filter(move |grant| now_ms < grant.deadline_ms)
    }

    /// Returns whether a grant to a server that was given up may still take effect.
    pub(crate) fn may_abandoned_grant_apply(
        &self,
        now_ms: u64,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> bool {
        let mut deadlines = self.abandoned.deadlines_ms(incarnation, range);
        deadlines.any(|deadline_ms| now_ms < deadline_ms)
    }

    /// Returns the ranges of all grants whose answer is awaited.
    pub(crate) fn pending_ranges(&self) -> PendingRanges<'_> {
        let mut ranges: HashMap<&Name, Vec<KeyRange>> = HashMap::default();
        for order in self.pending.values() {
            if let OrderKind::Grant(grant) = &order.kind {
                ranges.entry(&order.incarnation.server).or_default().push(grant.range);
            }
        }
        PendingRanges(ranges)
    }

    /// Returns whether the answer to a grant of a range to a server is awaited.
    pub(crate) fn awaits_grant(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        self.pending.values().any(|order| order.is_grant_to(incarnation, range))
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
