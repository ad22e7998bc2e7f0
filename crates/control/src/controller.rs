//! The state of a service's controller, and its exchanges with voters, servers and daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{
    Authority, Epoch, LeaderEpoch, Order, Report, ShardEpoch, Term, Verdict, plus_drift_ms,
};
use route::Table;

use crate::link::{DaemonLink, Freshness, IncarnationTracker, ProcessChange, Sender, ServerLink};
use crate::message::{
    Heartbeat, HeartbeatReply, Intent, PromiseReply, PromiseRequest, RecordCopy, Stage,
};
use crate::shard::{Phase, ShardState};
use crate::writer::Writer;
use crate::{Action, Config, Instance};

/// The state of the instance that controls a service.
#[derive(Debug)]
pub(crate) struct Controller {
    pub(crate) own_name: Name,
    pub(crate) service: Name,
    pub(crate) config: Config,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    pub(crate) started_at_ms: u64,
    pub(crate) document: Arc<Document>,
    pub(crate) document_revision: Revision,
    /// The newest record that this controller read or wrote.
    pub(crate) known: RecordCopy,
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: BTreeMap<Name, ServerLink>,
    pub(crate) daemons: BTreeMap<Name, DaemonLink>,
    /// The state of each shard, in the order of the record.
    pub(crate) shards: Vec<ShardState>,
    /// By shard, the owner that the last plan chose.
    pub(crate) planned_owners: Vec<Option<Name>>,
    /// By shard, the successor that the last plan chose.
    pub(crate) planned_successors: Vec<Option<Name>>,
    /// By shard, requests counted from heartbeats; decays with each plan.
    pub(crate) loads: Vec<f64>,
    /// By shard, the highest epoch that this controller granted.
    pub(crate) max_granted: Vec<Epoch>,
    /// By shard, the highest epoch that this controller told a server to release.
    pub(crate) max_released: Vec<Epoch>,
    /// Servers without a report for [`Config::server_timeout_ms`].
    pub(crate) lost_servers: BTreeSet<Name>,
    /// Servers whose shards the next reconciliation frees, since a later process reported.
    pub(crate) restarted_servers: BTreeSet<Name>,
    pub(crate) planning: Planning,
    pub(crate) writer: Writer,
    pub(crate) table: Option<Arc<Table>>,
    /// The sequence of the last published table.
    pub(crate) sequence: u64,
    /// The sequence of the newest table that withdraws a shard from a server that checks no fence.
    ///
    /// A daemon with an older table gets no route lease: it might still send to that server.
    pub(crate) min_lease_sequence: u64,
    /// The newest table of an earlier controller.
    pub(crate) inherited_table: Option<Arc<Table>>,
    /// Whether every intent of earlier controllers that may take effect is known.
    has_all_intents: bool,
    /// The maximum grant length in the newest record that a majority of the voters acknowledged.
    acknowledged_grant_ms: u64,
    authority: Authority,
    voters: BTreeMap<Name, VoterLink>,
    next_request_at_ms: u64,
    next_order_number: u64,
    /// The number of the first order after all grants of earlier controllers had expired.
    first_settled_number: Option<u64>,
}

/// When placement is planned next, and whether a plan and measured loads exist.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planning {
    /// Whether the document or the set of lost servers changed since the last plan.
    pub(crate) is_due: bool,
    /// Whether this controller has planned at least once.
    pub(crate) has_plan: bool,
    /// Whether load was measured for one interval; a new controller has no measurements.
    pub(crate) has_loads: bool,
    /// When to plan again from the measured load.
    pub(crate) next_at_ms: u64,
}

impl Planning {
    fn new(next_at_ms: u64) -> Self {
        Self { is_due: true, has_plan: false, has_loads: false, next_at_ms }
    }
}

/// What a newly elected controller starts from.
#[derive(Debug)]
pub(crate) struct InitialState {
    pub(crate) own_name: Name,
    pub(crate) service: Name,
    pub(crate) config: Config,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    pub(crate) document: Arc<Document>,
    pub(crate) document_revision: Revision,
    pub(crate) known: RecordCopy,
    pub(crate) instances: Vec<Instance>,
    pub(crate) authority: Authority,
    pub(crate) inherited_table: Option<Arc<Table>>,
    /// The announced writes of earlier controllers that may still take effect.
    pub(crate) intents: Vec<Intent>,
    /// Whether `intents` holds all of these writes.
    pub(crate) has_all_intents: bool,
}

/// Whether an instance is still the controller after a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Leadership {
    /// The instance is still the controller.
    Held,
    /// Another controller in the same term, or a later term, was seen; holds that term.
    Lost(Term),
}

/// What a controller knows of one voter.
#[derive(Clone, Debug)]
struct VoterLink {
    incarnation: IncarnationTracker,
    /// The newest record revision that the voter has acknowledged.
    acknowledged_revision: Revision,
    /// The number of this controller's newest intent that the voter has acknowledged.
    intent_number: u64,
    last_reply_at_ms: u64,
}

impl Controller {
    pub(crate) fn new(now_ms: u64, initial: InitialState) -> Self {
        let count = initial.known.record.shards.len();
        let shards = initial
            .known
            .record
            .shards
            .iter()
            .map(|record| {
                if record.is_unassigned() {
                    ShardState::Free { not_before_ms: now_ms }
                } else {
                    ShardState::Unknown
                }
            })
            .collect();
        let mut controller = Self {
            own_name: initial.own_name,
            service: initial.service,
            config: initial.config,
            term: initial.term,
            leader_epoch: initial.leader_epoch,
            started_at_ms: now_ms,
            document: initial.document,
            document_revision: initial.document_revision,
            known: initial.known,
            instances: initial.instances,
            servers: BTreeMap::new(),
            daemons: BTreeMap::new(),
            shards,
            planned_owners: vec![None; count],
            planned_successors: vec![None; count],
            loads: vec![0.0; count],
            max_granted: vec![Epoch(0); count],
            max_released: vec![Epoch(0); count],
            lost_servers: BTreeSet::new(),
            restarted_servers: BTreeSet::new(),
            planning: Planning::new(now_ms + initial.config.planning_interval_ms),
            writer: Writer::new(now_ms, initial.intents),
            has_all_intents: initial.has_all_intents,
            acknowledged_grant_ms: MIN_GRANT_MS,
            table: None,
            sequence: 0,
            min_lease_sequence: 0,
            inherited_table: initial.inherited_table,
            authority: initial.authority,
            voters: BTreeMap::new(),
            next_request_at_ms: now_ms,
            next_order_number: 1,
            first_settled_number: None,
        };
        controller.update_server_links(now_ms);
        controller
    }

    /// Returns when every grant and route lease of earlier controllers has expired.
    pub(crate) fn inherited_grants_expire_at_ms(&self) -> u64 {
        self.started_at_ms + plus_drift_ms(self.known.record.grant_ms)
    }

    /// Returns the length of grants: the document's, limited to what voters acknowledged.
    ///
    /// It is also limited to that of the known record and of each write that may replace it, since
    /// a later controller waits no longer than the record says.
    pub(crate) fn grant_ms(&self) -> u64 {
        if !self.are_earlier_writes_known() {
            return MIN_GRANT_MS;
        }
        let unresolved = self.writer.unresolved().iter().map(|intent| intent.record.grant_ms);
        let recorded_ms = unresolved.fold(self.known.record.grant_ms, u64::min);
        self.document.timing.grant_ms.min(self.acknowledged_grant_ms).min(recorded_ms)
    }

    /// Returns whether no write of an earlier controller can take effect that is not known.
    fn are_earlier_writes_known(&self) -> bool {
        self.has_all_intents || self.known.record.term == self.term
    }

    /// Returns whether shards may be granted according to the known record.
    ///
    /// A controller that may lack intents of earlier controllers must first write the
    /// record itself, after which none of their writes can succeed.
    pub(crate) fn may_grant(&self) -> bool {
        self.are_earlier_writes_known() && self.is_record_acknowledged()
    }

    /// Returns whether a majority of the voters has acknowledged the announced write.
    pub(crate) fn is_intent_acknowledged(&self) -> bool {
        let Some(intent) = self.writer.announced() else {
            return false;
        };
        self.is_true_of_majority(|link| link.intent_number >= intent.number)
    }

    /// Brings the next round of promise requests forward to `at_ms`.
    pub(crate) fn schedule_promise_requests(&mut self, at_ms: u64) {
        self.next_request_at_ms = self.next_request_at_ms.min(at_ms);
    }

    /// Returns whether this controller holds promises from a majority of the voters.
    pub(crate) fn is_authorized(&self, now_ms: u64) -> bool {
        self.authority.is_held(now_ms, &self.known.record.quorum())
    }

    /// Returns whether a majority of the voters has acknowledged the newest record.
    pub(crate) fn is_record_acknowledged(&self) -> bool {
        self.is_true_of_majority(|link| link.acknowledged_revision >= self.known.revision)
    }

    /// Returns whether a check holds for a majority of the voters.
    fn is_true_of_majority(&self, check: impl Fn(&VoterLink) -> bool) -> bool {
        let quorum = self.known.record.quorum();
        quorum.is_reached(|voter| self.voters.get(voter).is_some_and(&check))
    }

    /// Returns the voters without an answer for [`Config::voter_timeout_ms`].
    pub(crate) fn silent_voters(&self, now_ms: u64) -> Vec<Name> {
        let timeout_ms = self.config.voter_timeout_ms;
        let last_reply_at_ms = |voter: &Name| {
            self.voters.get(voter).map_or(self.started_at_ms, |link| link.last_reply_at_ms)
        };
        let members = self.known.record.quorum().members();
        members.into_iter().filter(|voter| now_ms >= last_reply_at_ms(voter) + timeout_ms).collect()
    }

    pub(crate) fn set_document(
        &mut self,
        now_ms: u64,
        revision: Revision,
        document: Arc<Document>,
    ) {
        self.document = document;
        self.document_revision = revision;
        self.planning.is_due = true;
        self.update_server_links(now_ms);
    }

    /// Adopts a record that the store holds, if it is newer than the known one.
    pub(crate) fn adopt_record(&mut self, now_ms: u64, copy: RecordCopy) {
        if copy.revision <= self.known.revision {
            return;
        }
        self.known = copy;
        self.writer.on_newer_revision();
        self.schedule_promise_requests(now_ms);
        self.update_server_links(now_ms);
    }

    pub(crate) fn on_promise_reply(&mut self, now_ms: u64, reply: &PromiseReply) -> Leadership {
        if reply.leader_epoch != self.leader_epoch {
            return Leadership::Held;
        }
        let link = self.voters.entry(reply.voter.clone()).or_insert_with(|| VoterLink {
            incarnation: IncarnationTracker::new(reply.voter_incarnation),
            acknowledged_revision: Revision(0),
            intent_number: 0,
            last_reply_at_ms: now_ms,
        });
        // A restarted voter has lost its state, so its reply replaces all that the link holds.
        if link.incarnation.observe(reply.voter_incarnation) == Sender::Previous {
            return Leadership::Held;
        }
        link.acknowledged_revision = reply.record_revision;
        link.last_reply_at_ms = now_ms;
        link.intent_number = reply.intent_number;
        match reply.vote {
            lease::Vote::Outdated(term) if term > self.term => return Leadership::Lost(term),
            lease::Vote::Promised if reply.stage != Stage::Probing => {
                self.authority.on_promise(
                    &reply.voter,
                    reply.requested_at_ms,
                    self.config.promise_ms,
                );
            }
            _ => {}
        }
        if self.is_record_acknowledged() {
            self.acknowledged_grant_ms = self.known.record.grant_ms;
        }
        Leadership::Held
    }

    pub(crate) fn on_report(&mut self, now_ms: u64, server: &Name, report: &Report) -> Leadership {
        if report.verdict == Verdict::Outdated {
            return if report.term >= self.term {
                Leadership::Lost(report.term)
            } else {
                Leadership::Held
            };
        }
        if report.term != self.term {
            return Leadership::Held;
        }
        let Some(link) = self.servers.get_mut(server) else {
            return Leadership::Held;
        };
        if link.on_report(now_ms, report) == ProcessChange::Restarted {
            self.restarted_servers.insert(server.clone());
        }
        Leadership::Held
    }

    pub(crate) fn on_order_unanswered(&mut self, server: &Name) {
        if let Some(link) = self.servers.get_mut(server) {
            link.on_order_unanswered();
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) -> Leadership {
        // The daemon has a table of another controller in this term or a later one.
        if heartbeat.term >= self.term && heartbeat.leader_epoch != self.leader_epoch {
            return Leadership::Lost(heartbeat.term);
        }
        let link = self.daemons.entry(heartbeat.instance.clone()).or_default();
        if link.on_heartbeat(now_ms, heartbeat, &self.config) == Freshness::Stale {
            return Leadership::Held;
        }
        for (shard, requests) in &heartbeat.loads {
            if let Some(load) =
                usize::try_from(shard.0).ok().and_then(|index| self.loads.get_mut(index))
            {
                *load += f64::from(*requests);
            }
        }
        let Some(table) = &self.table else { return Leadership::Held };
        if link.is_table_due(now_ms, self.leader_epoch, self.sequence) {
            link.next_table_at_ms = now_ms + self.config.order_interval_ms;
            out.push(Action::SendTable(heartbeat.instance.clone(), Arc::clone(table)));
        }
        let deadline_ms = self.extend_route_lease(now_ms, &heartbeat.instance);
        if let Some(deadline_ms) = deadline_ms {
            let reply = HeartbeatReply {
                incarnation: heartbeat.incarnation,
                leader_epoch: self.leader_epoch,
                sequence: self.sequence,
                deadline_ms,
            };
            out.push(Action::ReplyHeartbeat(heartbeat.instance.clone(), reply));
        }
        Leadership::Held
    }

    /// Extends the route lease of a daemon and returns its new deadline.
    ///
    /// A daemon gets no extension while its table may route a shard to a server that checks no
    /// fence and has lost that shard since.
    fn extend_route_lease(&mut self, now_ms: u64, daemon: &Name) -> Option<u64> {
        if !self.is_authorized(now_ms) {
            return None;
        }
        let min_sequence = self.min_lease_sequence;
        let grant_ms = self.grant_ms();
        let link = self.daemons.get_mut(daemon)?;
        if !link.has_table(self.leader_epoch, min_sequence) {
            return None;
        }
        link.bound.extend(grant_ms)
    }

    pub(crate) fn checks_fence(&self, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|link| link.checks_fence)
    }

    /// Returns when all route leases granted so far have expired.
    pub(crate) fn route_leases_deadline_ms(&self) -> u64 {
        self.daemons.values().map(|link| link.bound.deadline_ms()).max().unwrap_or(0)
    }

    /// Returns when a shard that a server has lost may be granted to another server.
    ///
    /// A server that checks fences refuses late requests itself. For any other server, the
    /// route leases of all daemons must expire first.
    pub(crate) fn reassignable_at_ms(&self, now_ms: u64, server: &Name) -> u64 {
        if self.checks_fence(server) { now_ms } else { now_ms.max(self.route_leases_deadline_ms()) }
    }

    /// Frees the shards of a server process that another one replaced or whose grants have expired.
    pub(crate) fn free_shards_of(&mut self, now_ms: u64, server: &Name) {
        let grants_deadline_ms =
            self.servers.get(server).map_or(0, |link| link.bound.deadline_ms());
        let not_before_ms = self.reassignable_at_ms(now_ms, server).max(grants_deadline_ms);
        for shard in &mut self.shards {
            if shard.holder().is_some_and(|(holder, _)| holder == server) {
                *shard = ShardState::Free { not_before_ms };
            }
        }
    }

    /// Requests promises from all voters again, if the next round is due.
    ///
    /// The requests carry the record and the intents that a voter has not acknowledged yet.
    pub(crate) fn request_promises(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms < self.next_request_at_ms {
            return;
        }
        self.next_request_at_ms = now_ms + self.config.promise_request_interval_ms;
        for voter in self.known.record.quorum().members() {
            let link = self.voters.get(&voter);
            let acknowledged_revision = link.map_or(Revision(0), |link| link.acknowledged_revision);
            let acknowledged_number = link.map_or(0, |link| link.intent_number);
            let unresolved = self.writer.unresolved().iter();
            let intents = unresolved.filter(|intent| intent.number > acknowledged_number);
            let request = PromiseRequest {
                candidate: self.own_name.clone(),
                leader_epoch: self.leader_epoch,
                term: self.term,
                stage: Stage::Leading,
                requested_at_ms: now_ms,
                record_revision: self.known.revision,
                record: (acknowledged_revision < self.known.revision).then(|| self.known.clone()),
                intents: intents.cloned().collect(),
                voter_incarnation: link.map_or(0, |link| link.incarnation.current()),
            };
            out.push(Action::RequestPromise(voter, request));
        }
    }

    /// Sends an order to every server that is due for one.
    pub(crate) fn send_orders(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if !self.is_authorized(now_ms) {
            return;
        }
        let grant_ms = self.grant_ms();
        let mut next_order_number = self.next_order_number;
        if self.first_settled_number.is_none() && now_ms >= self.inherited_grants_expire_at_ms() {
            self.first_settled_number = Some(next_order_number);
        }
        let due: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, link)| link.is_order_due(now_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let mut order = self.build_order(now_ms, &name);
            let Some(link) = self.servers.get_mut(&name) else {
                continue;
            };
            order.incarnation = link.incarnation;
            order.number = next_order_number;
            next_order_number += 1;
            let is_empty = order.grants.is_empty();
            let deadline_ms = if is_empty { None } else { link.bound.extend(grant_ms) };
            order.deadline_ms = deadline_ms.unwrap_or(0);
            if !is_empty {
                link.on_grants_sent(now_ms, order.number);
            }
            for (shard, record) in self.shards.iter_mut().zip(&self.known.record.shards) {
                if let ShardState::Moving { epoch, phase, .. } = shard
                    && order.grants.contains(&ShardEpoch { shard: record.id, epoch: *epoch })
                {
                    phase.on_granted(order.number);
                }
            }
            let needs_progress_orders = !order.prepares.is_empty() || !order.releases.is_empty();
            link.on_order_sent(now_ms, order.number, needs_progress_orders, &self.config);
            out.push(Action::Order(name, link.address, order));
        }
        self.next_order_number = next_order_number;
    }

    /// Returns whether a server has reported after all grants of earlier controllers had expired.
    ///
    /// An earlier report does not tell which of their grants the server carries out later.
    pub(crate) fn has_settled_report(&self, server: &Name) -> bool {
        let link = self.servers.get(server);
        self.first_settled_number
            .zip(link)
            .is_some_and(|(number, link)| link.last_reported_number >= number)
    }

    /// Returns whether a server may still carry out unanswered grants of orders up to a number.
    pub(crate) fn awaits_answers(&self, now_ms: u64, server: &Name, last_number: u64) -> bool {
        let link = self.servers.get(server);
        link.is_some_and(|link| now_ms < link.unanswered_deadline_ms(last_number))
    }

    /// Builds an order without its number, incarnation and deadline.
    fn build_order(&self, now_ms: u64, server: &Name) -> Order {
        let mut order = Order {
            service: self.service.clone(),
            term: self.term,
            leader_epoch: self.leader_epoch,
            number: 0,
            incarnation: None,
            deadline_ms: 0,
            grants: Vec::new(),
            releases: Vec::new(),
            prepares: Vec::new(),
        };
        for (shard, record) in self.shards.iter().zip(&self.known.record.shards) {
            if let Some((holder, epoch)) = shard.holder()
                && holder == server
            {
                let target = ShardEpoch { shard: record.id, epoch };
                match shard {
                    ShardState::Moving { phase: Phase::Releasing { .. }, .. } => {
                        order.releases.push(target);
                        // Running requests need the grant in order to commit.
                        order.grants.push(target);
                    }
                    ShardState::Moving { phase: Phase::Expiring { .. }, .. } => {
                        order.releases.push(target);
                    }
                    // A renewal would lengthen the wait for the unanswered grants.
                    ShardState::Moving { phase, .. }
                        if self.awaits_answers(now_ms, server, phase.last_number()) => {}
                    _ => order.grants.push(target),
                }
            }
            if let ShardState::Moving { target, phase, .. } = shard
                && target == server
                && !phase.is_releasing()
            {
                order.prepares.push(record.id);
            }
        }
        order
    }

    /// Adds or updates the link to each server that the document or the record names.
    fn update_server_links(&mut self, now_ms: u64) {
        let mut links: BTreeMap<Name, ServerLink> = BTreeMap::new();
        for (name, address) in &self.known.record.servers {
            links.insert(name.clone(), ServerLink::new(now_ms, *address, false));
        }
        for server in &self.document.servers {
            let link = ServerLink::new(now_ms, server.address, server.checks_fence);
            links.insert(server.name.clone(), link);
        }
        let document = Arc::clone(&self.document);
        for (name, new_link) in links {
            match self.servers.get_mut(&name) {
                Some(link) => {
                    link.set_address(new_link.address);
                    if document.server(&name).is_some() {
                        link.checks_fence = new_link.checks_fence;
                    }
                }
                None => {
                    self.servers.insert(name, new_link);
                }
            }
        }
    }
}

/// The minimum grant length that a document may set, used until voters acknowledge a record.
const MIN_GRANT_MS: u64 = 1_000;
