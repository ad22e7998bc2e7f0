//! The state of a service's controller.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{Authority, Epoch, LeaderEpoch, Order, Report, ShardEpoch, Term, Verdict, slower_ms};
use route::Table;

use crate::link::{BeatNews, Change, DaemonLink, Process, Sender, ServerLink};
use crate::message::{Beat, BeatReply, Intent, PromiseAsk, PromiseReply, RecordCopy, Stage};
use crate::shard::{Phase, Shard};
use crate::writer::Writer;
use crate::{Action, Instance, Tuning};

/// What the instance that controls a service knows and does.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) me: Name,
    pub(crate) service: Name,
    pub(crate) tuning: Tuning,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    pub(crate) started_ms: u64,
    pub(crate) document: Arc<Document>,
    pub(crate) document_revision: Revision,
    pub(crate) known: RecordCopy,
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: BTreeMap<Name, ServerLink>,
    pub(crate) daemons: BTreeMap<Name, DaemonLink>,
    pub(crate) shards: Vec<Shard>,
    pub(crate) wanted: Vec<Option<Name>>,
    pub(crate) standby: Vec<Option<Name>>,
    pub(crate) loads: Vec<f64>,
    /// By shard, the highest epoch that this controller granted.
    pub(crate) granted: Vec<Epoch>,
    /// By shard, the highest epoch that this controller told a server to give up.
    pub(crate) released: Vec<Epoch>,
    pub(crate) lost: BTreeSet<Name>,
    pub(crate) planning: Planning,
    pub(crate) writer: Writer,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) sequence: u64,
    /// The newest table that takes a shard from a server that checks no fence.
    ///
    /// A daemon with an older one gets no route lease.
    pub(crate) unfenced_sequence: u64,
    pub(crate) inherited: Option<Arc<Table>>,
    /// Whether all writes that may take effect are known.
    is_sure: bool,
    /// The longest grant that a majority of the voters knows of.
    usable_grant_ms: u64,
    authority: Authority,
    voters: BTreeMap<Name, VoterLink>,
    next_ask_ms: u64,
    next_number: u64,
}

/// When placement is planned, and from what.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planning {
    /// Whether something changed since the last plan.
    pub(crate) is_due: bool,
    /// Whether there was a plan.
    pub(crate) is_done: bool,
    /// Whether load was measured for a while; a new controller knows none.
    pub(crate) has_loads: bool,
    /// When load is looked at next.
    pub(crate) next_ms: u64,
}

impl Planning {
    fn new(next_ms: u64) -> Self {
        Self { is_due: true, is_done: false, has_loads: false, next_ms }
    }
}

/// What a new controller starts from.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) me: Name,
    pub(crate) service: Name,
    pub(crate) tuning: Tuning,
    pub(crate) term: Term,
    pub(crate) leader_epoch: LeaderEpoch,
    pub(crate) document: Arc<Document>,
    pub(crate) document_revision: Revision,
    pub(crate) known: RecordCopy,
    pub(crate) instances: Vec<Instance>,
    pub(crate) authority: Authority,
    pub(crate) inherited: Option<Arc<Table>>,
    /// The writes of earlier controllers that may take effect.
    pub(crate) intents: Vec<Intent>,
    /// Whether these are surely all of them.
    pub(crate) is_sure: bool,
}

/// Whether a controller may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Leadership {
    /// It may.
    Held,
    /// A later term was seen, or the promises are over.
    Lost(Term),
}

#[derive(Clone, Debug)]
struct VoterLink {
    process: Process,
    acked: Revision,
    intent_number: u64,
    last_reply_ms: u64,
}

impl Lead {
    pub(crate) fn new(now_ms: u64, start: Start) -> Self {
        let count = start.known.record.shards.len();
        let shards = start
            .known
            .record
            .shards
            .iter()
            .map(|record| {
                if record.is_unassigned() {
                    Shard::Free { not_before_ms: now_ms }
                } else {
                    Shard::Unknown
                }
            })
            .collect();
        let mut lead = Self {
            me: start.me,
            service: start.service,
            tuning: start.tuning,
            term: start.term,
            leader_epoch: start.leader_epoch,
            started_ms: now_ms,
            document: start.document,
            document_revision: start.document_revision,
            known: start.known,
            instances: start.instances,
            servers: BTreeMap::new(),
            daemons: BTreeMap::new(),
            shards,
            wanted: vec![None; count],
            standby: vec![None; count],
            loads: vec![0.0; count],
            granted: vec![Epoch(0); count],
            released: vec![Epoch(0); count],
            lost: BTreeSet::new(),
            planning: Planning::new(now_ms + start.tuning.plan_every_ms),
            writer: Writer::new(now_ms, start.intents),
            is_sure: start.is_sure,
            usable_grant_ms: MIN_GRANT_MS,
            table: None,
            sequence: 0,
            unfenced_sequence: 0,
            inherited: start.inherited,
            authority: start.authority,
            voters: BTreeMap::new(),
            next_ask_ms: now_ms,
            next_number: 1,
        };
        lead.connect_servers(now_ms);
        lead
    }

    /// Returns the time from which no grant of an earlier controller can stand.
    pub(crate) fn inheritance_over_ms(&self) -> u64 {
        self.started_ms + slower_ms(self.known.record.grant_ms)
    }

    /// Returns how long grants may be: as the document says, but never longer than recorded.
    pub(crate) fn grant_ms(&self) -> u64 {
        self.document.timing.grant_ms.min(self.usable_grant_ms)
    }

    /// Returns whether the record may be acted on.
    ///
    /// A controller that may not know every write of the earlier ones must first make
    /// a write of its own, after which none of theirs can succeed.
    pub(crate) fn may_grant(&self) -> bool {
        let is_fenced = self.is_sure || self.known.record.term == self.term;
        is_fenced && self.is_record_acknowledged()
    }

    /// Returns whether a majority of the voters knows of the announced write.
    pub(crate) fn is_intent_acknowledged(&self) -> bool {
        let Some(intent) = self.writer.announced() else {
            return false;
        };
        self.do_voters_agree(|link| link.intent_number >= intent.number)
    }

    /// Makes the next ask for promises happen at this time.
    pub(crate) fn ask_promises_at(&mut self, at_ms: u64) {
        self.next_ask_ms = self.next_ask_ms.min(at_ms);
    }

    pub(crate) fn is_authorized(&self, now_ms: u64) -> bool {
        self.authority.is_held(now_ms, &self.known.record.quorum())
    }

    /// Returns whether a majority of the voters knows the newest record.
    pub(crate) fn is_record_acknowledged(&self) -> bool {
        self.do_voters_agree(|link| link.acked >= self.known.revision)
    }

    /// Returns whether a check holds for the links to a majority of the voters.
    fn do_voters_agree(&self, check: impl Fn(&VoterLink) -> bool) -> bool {
        let quorum = self.known.record.quorum();
        quorum.is_reached(|voter| self.voters.get(voter).is_some_and(&check))
    }

    /// Returns the voters that have been silent for long.
    pub(crate) fn silent_voters(&self, now_ms: u64) -> Vec<Name> {
        let silence_ms = self.tuning.voter_silence_ms;
        let last_ms = |voter: &Name| {
            self.voters.get(voter).map_or(self.started_ms, |link| link.last_reply_ms)
        };
        let members = self.known.record.quorum().members();
        members.into_iter().filter(|voter| now_ms >= last_ms(voter) + silence_ms).collect()
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
        self.connect_servers(now_ms);
    }

    /// Takes over a record that the store holds.
    pub(crate) fn adopt_record(&mut self, now_ms: u64, copy: RecordCopy) {
        if copy.revision <= self.known.revision {
            return;
        }
        self.known = copy;
        self.writer.note_newer();
        self.ask_promises_at(now_ms);
        self.connect_servers(now_ms);
    }

    pub(crate) fn on_promise(&mut self, now_ms: u64, reply: &PromiseReply) -> Leadership {
        if reply.leader_epoch != self.leader_epoch {
            return Leadership::Held;
        }
        let link = self.voters.entry(reply.voter.clone()).or_insert_with(|| VoterLink {
            process: Process::new(reply.voter_incarnation),
            acked: Revision(0),
            intent_number: 0,
            last_reply_ms: now_ms,
        });
        // A restarted voter has forgotten; what follows replaces what the link knew of it.
        if link.process.note(reply.voter_incarnation) == Sender::Gone {
            return Leadership::Held;
        }
        link.acked = reply.record_revision;
        link.last_reply_ms = now_ms;
        link.intent_number = reply.intent_number;
        match reply.vote {
            lease::Vote::Outdated(term) if term > self.term => return Leadership::Lost(term),
            lease::Vote::Promised if reply.stage != Stage::Probing => {
                self.authority.note(&reply.voter, reply.asked_ms, self.tuning.promise_ms);
            }
            _ => {}
        }
        if self.is_record_acknowledged() {
            self.usable_grant_ms = self.known.record.grant_ms;
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
        if link.note_report(now_ms, report) == Change::Restarted {
            self.free_shards_of(now_ms, server);
        }
        Leadership::Held
    }

    pub(crate) fn on_unanswered(&mut self, server: &Name) {
        if let Some(link) = self.servers.get_mut(server) {
            link.note_unanswered();
        }
    }

    pub(crate) fn on_beat(
        &mut self,
        now_ms: u64,
        beat: &Beat,
        out: &mut Vec<Action>,
    ) -> Leadership {
        // A table of another controller in this term or a later one: this term is taken.
        if beat.term >= self.term && beat.leader_epoch != self.leader_epoch {
            return Leadership::Lost(beat.term);
        }
        let link = self.daemons.entry(beat.instance.clone()).or_default();
        if link.note_beat(now_ms, beat) == BeatNews::Stale {
            return Leadership::Held;
        }
        for (shard, requests) in &beat.loads {
            if let Some(load) = usize::try_from(shard.0).ok().and_then(|at| self.loads.get_mut(at))
            {
                *load += f64::from(*requests);
            }
        }
        let Some(table) = &self.table else { return Leadership::Held };
        if link.is_table_due(now_ms, self.leader_epoch, self.sequence) {
            link.next_table_ms = now_ms + self.tuning.order_every_ms;
            out.push(Action::SendTable(beat.instance.clone(), Arc::clone(table)));
        }
        let lease = self.route_deadline(now_ms, &beat.instance);
        if let Some(deadline_ms) = lease {
            let reply = BeatReply {
                incarnation: beat.incarnation,
                leader_epoch: self.leader_epoch,
                sequence: self.sequence,
                deadline_ms,
            };
            out.push(Action::ReplyBeat(beat.instance.clone(), reply));
        }
        Leadership::Held
    }

    /// Extends the route lease of a daemon, unless its table names an earlier unfenced owner.
    fn route_deadline(&mut self, now_ms: u64, daemon: &Name) -> Option<u64> {
        if !self.is_authorized(now_ms) {
            return None;
        }
        let needed = self.unfenced_sequence;
        let grant_ms = self.grant_ms();
        let link = self.daemons.get_mut(daemon)?;
        if !link.has_table(self.leader_epoch, needed) {
            return None;
        }
        link.bound.extend(grant_ms)
    }

    pub(crate) fn checks_fence(&self, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|link| link.checks_fence)
    }

    /// Returns when no daemon can still send to a server that checks no fence.
    pub(crate) fn routes_over_ms(&self) -> u64 {
        self.daemons.values().map(|link| link.bound.over_ms()).max().unwrap_or(0)
    }

    /// Returns from when on nobody sends to a server that has lost a shard.
    pub(crate) fn free_from_ms(&self, now_ms: u64, server: &Name) -> u64 {
        if self.checks_fence(server) { now_ms } else { now_ms.max(self.routes_over_ms()) }
    }

    /// Frees what a server process held that is gone for sure.
    pub(crate) fn free_shards_of(&mut self, now_ms: u64, server: &Name) {
        let not_before_ms = self.free_from_ms(now_ms, server);
        for shard in &mut self.shards {
            if shard.holder().is_some_and(|(holder, _)| holder == server) {
                *shard = Shard::Free { not_before_ms };
            }
        }
    }

    pub(crate) fn ask_promises(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms < self.next_ask_ms {
            return;
        }
        self.next_ask_ms = now_ms + self.tuning.ask_every_ms;
        for voter in self.known.record.quorum().members() {
            let link = self.voters.get(&voter);
            let acked = link.map_or(Revision(0), |link| link.acked);
            let known_number = link.map_or(0, |link| link.intent_number);
            let unresolved = self.writer.unresolved().iter();
            let intents = unresolved.filter(|intent| intent.number > known_number);
            let ask = PromiseAsk {
                candidate: self.me.clone(),
                leader_epoch: self.leader_epoch,
                term: self.term,
                stage: Stage::Leading,
                asked_ms: now_ms,
                record_revision: self.known.revision,
                record: (acked < self.known.revision).then(|| self.known.clone()),
                intents: intents.cloned().collect(),
                voter_incarnation: link.map_or(0, |link| link.process.present()),
            };
            out.push(Action::AskPromise(voter, ask));
        }
    }

    pub(crate) fn send_orders(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if !self.is_authorized(now_ms) {
            return;
        }
        let grant_ms = self.grant_ms();
        let mut next_number = self.next_number;
        let due: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, link)| link.is_order_due(now_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let mut order = self.to_order(now_ms, &name);
            let Some(link) = self.servers.get_mut(&name) else {
                continue;
            };
            order.incarnation = link.incarnation;
            order.number = next_number;
            next_number += 1;
            let is_empty = order.grants.is_empty();
            let deadline_ms = if is_empty { None } else { link.bound.extend(grant_ms) };
            order.deadline_ms = deadline_ms.unwrap_or(0);
            let is_waiting = !order.prepares.is_empty() || !order.releases.is_empty();
            link.note_sent(now_ms, order.number, is_waiting, &self.tuning);
            out.push(Action::Order(name, link.address, order));
        }
        self.next_number = next_number;
    }

    fn to_order(&self, now_ms: u64, server: &Name) -> Order {
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
                    Shard::Moving { phase: Phase::Releasing { deadline_ms }, .. } => {
                        order.releases.push(target);
                        // Requests that still run need the grant to commit.
                        if now_ms < *deadline_ms {
                            order.grants.push(target);
                        }
                    }
                    _ => order.grants.push(target),
                }
            }
            if let Shard::Moving { target, phase, .. } = shard
                && target == server
                && !matches!(phase, Phase::Releasing { .. })
            {
                order.prepares.push(record.id);
            }
        }
        order
    }

    /// Opens a link to each server that the document or the record names.
    fn connect_servers(&mut self, now_ms: u64) {
        let mut wanted: BTreeMap<Name, ServerLink> = BTreeMap::new();
        for (name, address) in &self.known.record.servers {
            wanted.insert(name.clone(), ServerLink::new(now_ms, *address, false));
        }
        for server in &self.document.servers {
            let link = ServerLink::new(now_ms, server.address, server.checks_fence);
            wanted.insert(server.name.clone(), link);
        }
        let document = Arc::clone(&self.document);
        for (name, fresh) in wanted {
            match self.servers.get_mut(&name) {
                Some(link) => {
                    link.address = fresh.address;
                    if document.server(&name).is_some() {
                        link.checks_fence = fresh.checks_fence;
                    }
                }
                None => {
                    self.servers.insert(name, fresh);
                }
            }
        }
    }
}

/// The shortest grant that a document may ask for.
const MIN_GRANT_MS: u64 = 1_000;
