//! The control state machine that each daemon runs for one service.

use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{LeaderEpoch, Term, Voter};
use route::Table;

use crate::candidate::Candidate;
use crate::controller::{Controller, Leadership};
use crate::message::{HeartbeatReply, Intent, RecordCopy};
use crate::{Action, Config, Event, Instance, Status, WriteOutcome};

/// The state machine with which one daemon takes part in the control of one service.
///
/// It can act as voter, candidate and controller.
#[derive(Debug)]
pub struct Control {
    pub(crate) service: Name,
    pub(crate) own_name: Name,
    pub(crate) config: Config,
    pub(crate) document: Option<(Revision, Arc<Document>)>,
    /// The newest record that this instance knows.
    pub(crate) known: Option<RecordCopy>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) voter: Voter,
    /// Whether the record was read or received from a controller since the process started.
    ///
    /// Reset when this instance writes the first record, which is then read back.
    pub(crate) is_synced: bool,
    /// Whether every intent that a controller announced is known here.
    ///
    /// False after a start, until a controller has sent its record and intents.
    pub(crate) has_all_intents: bool,
    /// The announced writes that would replace the known record and may still take effect.
    pub(crate) intents: Vec<Intent>,
    /// Leader epoch and number of the newest intent that a controller announced.
    pub(crate) newest_intent: (LeaderEpoch, u64),
    pub(crate) role: Role,
    /// Identifies the daemon process; every start has a new one.
    pub(crate) incarnation: u64,
    /// How many candidacies this process started; makes each leader epoch unique.
    pub(crate) candidacy_count: u64,
    /// Actions that return the voters' promises after this instance stepped down.
    pub(crate) step_down_actions: Vec<Action>,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) next_read_at_ms: u64,
    /// When the controller counts as gone unless it sends another promise request.
    pub(crate) controller_deadline_ms: u64,
    /// When the controller counts as silent unless it answers another heartbeat.
    pub(crate) reply_deadline_ms: u64,
}

/// The role of an instance in the control of the service.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows a controller or waits for one; `candidacy_at_ms` is when a candidacy starts.
    Follower { candidacy_at_ms: Option<u64> },
    /// Waits for the outcome of its write of the service's first record.
    Creator { deadline_ms: u64 },
    /// Requests the voters' promises.
    Candidate(Candidate),
    /// Controls the service.
    Controller(Box<Controller>),
    /// Takes no further part, because the daemon stops.
    Stopped,
}

/// How often a follower that is not synced reads the record.
pub(crate) const RECORD_READ_INTERVAL_MS: u64 = 1_000;

impl Control {
    /// Creates the state machine for a daemon process that starts now.
    ///
    /// No other process of any instance may ever use the same incarnation.
    #[must_use]
    pub fn new(
        now_ms: u64,
        incarnation: u64,
        service: Name,
        own_name: Name,
        config: Config,
    ) -> Self {
        Self {
            service,
            own_name,
            config,
            document: None,
            known: None,
            instances: Vec::new(),
            voter: Voter::new(now_ms, config.promise_ms),
            is_synced: false,
            has_all_intents: false,
            intents: Vec::new(),
            newest_intent: (LeaderEpoch(0), 0),
            role: Role::Follower { candidacy_at_ms: None },
            incarnation,
            candidacy_count: 0,
            step_down_actions: Vec::new(),
            table: None,
            next_read_at_ms: now_ms,
            controller_deadline_ms: 0,
            reply_deadline_ms: 0,
        }
    }

    /// Returns the newest table that this instance received or published.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns whether this daemon believes that it is the service's controller.
    #[must_use]
    pub fn is_controller(&self) -> bool {
        matches!(self.role, Role::Controller(_))
    }

    /// Returns the status of the service, or `None` if this daemon is not its controller.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> Option<Status> {
        match &self.role {
            Role::Controller(controller) => Some(controller.to_status(now_ms)),
            _ => None,
        }
    }

    /// Returns the newest record that this daemon knows.
    #[must_use]
    pub fn record(&self) -> Option<&RecordCopy> {
        self.known.as_ref()
    }

    /// Returns the instances to send this daemon's next heartbeat to.
    ///
    /// These are the controller, or all live instances while no controller answers.
    #[must_use]
    pub fn heartbeat_targets(&self, now_ms: u64) -> Vec<Name> {
        match &self.table {
            Some(table) if now_ms < self.reply_deadline_ms => vec![table.controller.clone()],
            _ => self.instances.iter().map(|instance| instance.name.clone()).collect(),
        }
    }

    /// Handles one event, reconciles, and returns the actions to carry out.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut out = self.on_event(now_ms, event);
        out.append(&mut self.reconcile(now_ms));
        out
    }

    /// Handles one event without reconciling; a call of [`Control::reconcile`] must follow.
    ///
    /// One call of `reconcile` suffices for several events that arrived together.
    pub fn on_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.on_tick(now_ms, &mut out),
            Event::Document(revision, document) => self.on_document(now_ms, revision, document),
            Event::Instances(instances) => self.on_instances(instances),
            Event::RecordRead(copy) => self.on_record_read(now_ms, copy),
            Event::WriteEnded(number, outcome) => {
                self.on_write_ended(now_ms, number, &outcome, &mut out);
            }
            Event::PromiseRequested(request) => self.on_promise_request(now_ms, request, &mut out),
            Event::PromiseReplied(reply) => self.on_promise_reply(now_ms, &reply, &mut out),
            Event::PromiseReturned(leader_epoch) => self.on_promise_returned(leader_epoch),
            Event::Reported(server, report) => {
                let leadership = self
                    .controller_mut()
                    .map(|controller| controller.on_report(now_ms, &server, &report));
                self.step_down_if_lost(leadership);
            }
            Event::Unanswered(server) => {
                if let Some(controller) = self.controller_mut() {
                    controller.on_order_unanswered(&server);
                }
            }
            Event::Heartbeat(heartbeat) => {
                let leadership = self
                    .controller_mut()
                    .map(|controller| controller.on_heartbeat(now_ms, &heartbeat, &mut out));
                self.step_down_if_lost(leadership);
            }
            Event::HeartbeatReplied(reply) => self.on_heartbeat_reply(now_ms, &reply),
            Event::Table(table) => self.on_table(table),
            Event::Stop => self.on_stop(),
        }
        out
    }

    /// Acts on all events handled so far and returns the actions to carry out.
    pub fn reconcile(&mut self, now_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        self.reconcile_controller(now_ms, &mut out);
        out.append(&mut self.step_down_actions);
        out
    }

    fn reconcile_controller(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Role::Controller(controller) = &mut self.role else { return };
        if !controller.is_authorized(now_ms) {
            self.step_down(None);
            return;
        }
        controller.reconcile(now_ms, out);
        let known = controller.known.clone();
        if let Some(table) = &controller.table {
            self.table = Some(Arc::clone(table));
        }
        self.adopt_record(known);
    }

    fn on_tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Some((_, document)) = &self.document else {
            return;
        };
        if !document.is_keyed() {
            return;
        }
        match &self.role {
            Role::Follower { candidacy_at_ms } => {
                let candidacy_at_ms = *candidacy_at_ms;
                self.on_follower_tick(now_ms, candidacy_at_ms, out);
            }
            Role::Creator { deadline_ms } if now_ms >= *deadline_ms => self.step_down(None),
            Role::Candidate(candidate) if now_ms >= candidate.deadline_ms => self.step_down(None),
            Role::Creator { .. } | Role::Candidate(_) | Role::Controller(_) | Role::Stopped => {}
        }
    }

    fn on_document(&mut self, now_ms: u64, revision: Revision, document: Arc<Document>) {
        if self.document.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        self.document = Some((revision, Arc::clone(&document)));
        if let Some(controller) = self.controller_mut() {
            controller.set_document(now_ms, revision, document);
        }
    }

    fn on_instances(&mut self, instances: Vec<Instance>) {
        if let Some(controller) = self.controller_mut() {
            controller.instances.clone_from(&instances);
        }
        self.instances = instances;
    }

    fn on_record_read(&mut self, now_ms: u64, copy: Option<RecordCopy>) {
        self.is_synced = true;
        let revision = copy.as_ref().map_or(Revision(0), |copy| copy.revision);
        let record_term = copy.as_ref().map_or(Term(0), |copy| copy.record.term);
        if let Role::Controller(controller) = &mut self.role {
            let is_newer = revision > controller.known.revision;
            controller.writer.on_record_read(now_ms, is_newer);
            let is_of_other_controller = copy
                .as_ref()
                .is_some_and(|copy| copy.record.leader_epoch != controller.leader_epoch);
            let is_outdated = record_term > controller.term
                || (record_term == controller.term && is_of_other_controller);
            if let Some(copy) = copy.clone() {
                controller.adopt_record(now_ms, copy);
            }
            if is_outdated {
                self.step_down(Some(record_term));
            }
        }
        if let Some(copy) = copy {
            self.adopt_record(copy);
        }
    }

    fn on_write_ended(
        &mut self,
        now_ms: u64,
        number: u64,
        outcome: &WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        match &mut self.role {
            Role::Controller(controller) => match outcome {
                WriteOutcome::Done(revision) => {
                    if let Some(record) = controller.writer.on_written(number) {
                        controller.adopt_record(now_ms, RecordCopy { revision: *revision, record });
                    }
                }
                WriteOutcome::Conflict | WriteOutcome::Unknown => {
                    if controller.writer.on_not_confirmed(now_ms, number) {
                        out.push(Action::ReadRecord);
                    }
                }
            },
            Role::Creator { .. } => {
                self.step_down(None);
                out.push(Action::ReadRecord);
            }
            Role::Follower { .. } | Role::Candidate(_) | Role::Stopped => {}
        }
    }

    fn on_heartbeat_reply(&mut self, now_ms: u64, reply: &HeartbeatReply) {
        if self.table.as_ref().is_some_and(|table| table.leader_epoch == reply.leader_epoch) {
            self.reply_deadline_ms = now_ms + self.config.daemon_timeout_ms;
        }
    }

    fn on_table(&mut self, table: Arc<Table>) {
        self.voter.on_term(table.term);
        if self.table.as_ref().is_none_or(|known| table.is_after(known)) {
            self.table = Some(table);
        }
    }

    fn on_stop(&mut self) {
        self.step_down(None);
        self.role = Role::Stopped;
    }

    pub(crate) fn step_down(&mut self, seen_term: Option<Term>) {
        if let Some(term) = seen_term {
            self.voter.on_term(term);
        }
        // This leader epoch is not used again, so other candidates need not wait until its
        // promises expire.
        let ended = match &self.role {
            Role::Controller(controller) => {
                Some((controller.known.record.quorum(), controller.leader_epoch))
            }
            Role::Candidate(candidate) => Some((candidate.quorum.clone(), candidate.leader_epoch)),
            Role::Follower { .. } | Role::Creator { .. } | Role::Stopped => None,
        };
        for voter in ended.iter().flat_map(|(quorum, _)| quorum.members()) {
            let leader_epoch =
                ended.as_ref().map_or(LeaderEpoch(0), |(_, leader_epoch)| *leader_epoch);
            self.step_down_actions.push(Action::ReturnPromise(voter, leader_epoch));
        }
        if !matches!(self.role, Role::Stopped) {
            self.role = Role::Follower { candidacy_at_ms: None };
        }
    }

    fn step_down_if_lost(&mut self, leadership: Option<Leadership>) {
        if let Some(Leadership::Lost(term)) = leadership {
            self.step_down(Some(term));
        }
    }

    pub(crate) fn adopt_record(&mut self, copy: RecordCopy) {
        if copy.revision > self.known_revision() {
            self.known = Some(copy);
            self.intents.clear();
        }
    }

    pub(crate) fn adopt_intent(&mut self, intent: Intent) {
        if intent.replaced_revision == self.known_revision() && !self.intents.contains(&intent) {
            self.intents.push(intent);
        }
    }

    pub(crate) fn known_revision(&self) -> Revision {
        self.known.as_ref().map_or(Revision(0), |known| known.revision)
    }

    fn controller_mut(&mut self) -> Option<&mut Controller> {
        match &mut self.role {
            Role::Controller(controller) => Some(controller),
            _ => None,
        }
    }
}
