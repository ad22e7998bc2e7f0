//! One daemon's part in the control of one service.

use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{LeaderEpoch, Term, Voter};
use route::Table;

use crate::candidate::Candidate;
use crate::lead::{Lead, Leadership};
use crate::message::{BeatReply, Intent, RecordCopy};
use crate::{Action, Event, Instance, Status, Tuning, WriteOutcome};

/// One daemon's part in the control of one service: a voter, and at times the controller.
#[derive(Debug)]
pub struct Control {
    pub(crate) service: Name,
    pub(crate) me: Name,
    pub(crate) tuning: Tuning,
    pub(crate) document: Option<(Revision, Arc<Document>)>,
    pub(crate) known: Option<RecordCopy>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) voter: Voter,
    /// Whether the record was read, or told by a controller, since the process started.
    pub(crate) is_synced: bool,
    /// Whether the process remembers all that a controller told it.
    pub(crate) is_sure: bool,
    /// The writes over the known record that may take effect.
    pub(crate) intents: Vec<Intent>,
    /// The newest write that was told of, with its term.
    pub(crate) newest_intent: (LeaderEpoch, u64),
    pub(crate) role: Role,
    pub(crate) incarnation: u64,
    pub(crate) candidacies: u64,
    /// What is to be done because leadership ended.
    pub(crate) farewell: Vec<Action>,
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) next_read_ms: u64,
    /// Until when there is a controller, by the last ask that was seen.
    pub(crate) led_until_ms: u64,
    /// Until when the controller of the table counts as answering beats.
    pub(crate) answered_until_ms: u64,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower { elect_at_ms: Option<u64> },
    Creator { deadline_ms: u64 },
    Candidate(Candidate),
    Lead(Box<Lead>),
    Stopped,
}

pub(crate) const READ_EVERY_MS: u64 = 1_000;

impl Control {
    /// Creates the control part of a daemon process that starts now.
    ///
    /// No other process may ever have the same incarnation.
    #[must_use]
    pub fn new(now_ms: u64, incarnation: u64, service: Name, me: Name, tuning: Tuning) -> Self {
        Self {
            service,
            me,
            tuning,
            document: None,
            known: None,
            instances: Vec::new(),
            voter: Voter::new(now_ms, tuning.promise_ms),
            is_synced: false,
            is_sure: false,
            intents: Vec::new(),
            newest_intent: (LeaderEpoch(0), 0),
            role: Role::Follower { elect_at_ms: None },
            incarnation,
            candidacies: 0,
            farewell: Vec::new(),
            table: None,
            next_read_ms: now_ms,
            led_until_ms: 0,
            answered_until_ms: 0,
        }
    }

    /// Returns the newest table that was seen.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns whether this daemon is the service's controller, by what it knows.
    #[must_use]
    pub fn is_controller(&self) -> bool {
        matches!(self.role, Role::Lead(_))
    }

    /// Returns what the controller knows of the service, where this daemon is the controller.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> Option<Status> {
        match &self.role {
            Role::Lead(lead) => Some(lead.to_status(now_ms)),
            _ => None,
        }
    }

    /// Returns the newest record that is known here.
    #[must_use]
    pub fn record(&self) -> Option<&RecordCopy> {
        self.known.as_ref()
    }

    /// Returns the instances that this daemon's next beat should go to.
    ///
    /// That is the controller, or everybody while no controller answers.
    #[must_use]
    pub fn beat_targets(&self, now_ms: u64) -> Vec<Name> {
        match &self.table {
            Some(table) if now_ms < self.answered_until_ms => vec![table.controller.clone()],
            _ => self.instances.iter().map(|instance| instance.name.clone()).collect(),
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut out = self.take(now_ms, event);
        out.append(&mut self.settle(now_ms));
        out
    }

    /// Takes an event without acting on it yet; [`Control::settle`] must follow.
    ///
    /// Several events that came together need only one `settle`.
    pub fn take(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.on_tick(now_ms, &mut out),
            Event::Document(revision, document) => self.on_document(now_ms, revision, document),
            Event::Instances(instances) => self.on_instances(instances),
            Event::RecordRead(copy) => self.on_record_read(now_ms, copy),
            Event::Written(number, outcome) => {
                self.on_written(now_ms, number, &outcome, &mut out);
            }
            Event::PromiseAsked(ask) => self.on_promise_asked(now_ms, ask, &mut out),
            Event::PromiseReplied(reply) => self.on_promise_replied(now_ms, &reply, &mut out),
            Event::PromiseReturned(leader_epoch) => self.on_promise_returned(leader_epoch),
            Event::Reported(server, report) => {
                let leadership =
                    self.lead_mut().map(|lead| lead.on_report(now_ms, &server, &report));
                self.apply_leadership(leadership);
            }
            Event::Unanswered(server) => {
                if let Some(lead) = self.lead_mut() {
                    lead.on_unanswered(&server);
                }
            }
            Event::Beat(beat) => {
                let leadership = self.lead_mut().map(|lead| lead.on_beat(now_ms, &beat, &mut out));
                self.apply_leadership(leadership);
            }
            Event::BeatReplied(reply) => self.on_beat_replied(now_ms, &reply),
            Event::Table(table) => self.on_table(table),
            Event::Stop => self.on_stop(),
        }
        out
    }

    /// Acts on all events that were taken, and returns what is to be done.
    pub fn settle(&mut self, now_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        self.settle_lead(now_ms, &mut out);
        out.append(&mut self.farewell);
        out
    }

    fn settle_lead(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Role::Lead(lead) = &mut self.role else { return };
        if !lead.is_authorized(now_ms) {
            self.step_down(None);
            return;
        }
        lead.settle(now_ms, out);
        let known = lead.known.clone();
        if let Some(table) = &lead.table {
            self.table = Some(Arc::clone(table));
        }
        self.learn(known);
    }

    fn on_tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Some((_, document)) = &self.document else {
            return;
        };
        if !document.is_keyed() {
            return;
        }
        match &self.role {
            Role::Follower { elect_at_ms } => {
                let elect_at_ms = *elect_at_ms;
                self.follow(now_ms, elect_at_ms, out);
            }
            Role::Creator { deadline_ms } if now_ms >= *deadline_ms => self.step_down(None),
            Role::Candidate(candidate) if now_ms >= candidate.deadline_ms => self.step_down(None),
            Role::Creator { .. } | Role::Candidate(_) | Role::Lead(_) | Role::Stopped => {}
        }
    }

    fn on_document(&mut self, now_ms: u64, revision: Revision, document: Arc<Document>) {
        if self.document.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        self.document = Some((revision, Arc::clone(&document)));
        if let Some(lead) = self.lead_mut() {
            lead.set_document(now_ms, revision, document);
        }
    }

    fn on_instances(&mut self, instances: Vec<Instance>) {
        if let Some(lead) = self.lead_mut() {
            lead.instances.clone_from(&instances);
        }
        self.instances = instances;
    }

    fn on_record_read(&mut self, now_ms: u64, copy: Option<RecordCopy>) {
        self.is_synced = true;
        let revision = copy.as_ref().map_or(Revision(0), |copy| copy.revision);
        let later_term = copy.as_ref().map_or(Term(0), |copy| copy.record.term);
        if let Role::Lead(lead) = &mut self.role {
            let is_newer = revision > lead.known.revision;
            lead.writer.note_read(now_ms, is_newer);
            let is_foreign =
                copy.as_ref().is_some_and(|c| c.record.leader_epoch != lead.leader_epoch);
            let is_outdated = later_term > lead.term || (later_term == lead.term && is_foreign);
            if let Some(copy) = copy.clone() {
                lead.adopt_record(now_ms, copy);
            }
            if is_outdated {
                self.step_down(Some(later_term));
            }
        }
        if let Some(copy) = copy {
            self.learn(copy);
        }
    }

    fn on_written(
        &mut self,
        now_ms: u64,
        number: u64,
        outcome: &WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        match &mut self.role {
            Role::Lead(lead) => match outcome {
                WriteOutcome::Done(revision) => {
                    if let Some(record) = lead.writer.note_done(number) {
                        lead.adopt_record(now_ms, RecordCopy { revision: *revision, record });
                    }
                }
                WriteOutcome::Conflict | WriteOutcome::Unknown => {
                    if lead.writer.note_unclear(now_ms, number) {
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

    fn on_beat_replied(&mut self, now_ms: u64, reply: &BeatReply) {
        if self.table.as_ref().is_some_and(|table| table.leader_epoch == reply.leader_epoch) {
            self.answered_until_ms = now_ms + self.tuning.daemon_silence_ms;
        }
    }

    fn on_table(&mut self, table: Arc<Table>) {
        self.voter.note_term(table.term);
        if self.table.as_ref().is_none_or(|known| table.is_after(known)) {
            self.table = Some(table);
        }
    }

    fn on_stop(&mut self) {
        self.step_down(None);
        self.role = Role::Stopped;
    }

    pub(crate) fn step_down(&mut self, later: Option<Term>) {
        if let Some(term) = later {
            self.voter.note_term(term);
        }
        // Nothing is done in this leader epoch any more, so others need not wait for its end.
        let ended = match &self.role {
            Role::Lead(lead) => Some((lead.known.record.quorum(), lead.leader_epoch)),
            Role::Candidate(candidate) => Some((candidate.quorum.clone(), candidate.leader_epoch)),
            Role::Follower { .. } | Role::Creator { .. } | Role::Stopped => None,
        };
        for voter in ended.iter().flat_map(|(quorum, _)| quorum.members()) {
            let leader_epoch =
                ended.as_ref().map_or(LeaderEpoch(0), |(_, leader_epoch)| *leader_epoch);
            self.farewell.push(Action::ReturnPromise(voter, leader_epoch));
        }
        if !matches!(self.role, Role::Stopped) {
            self.role = Role::Follower { elect_at_ms: None };
        }
    }

    fn apply_leadership(&mut self, leadership: Option<Leadership>) {
        if let Some(Leadership::Lost(term)) = leadership {
            self.step_down(Some(term));
        }
    }

    pub(crate) fn learn(&mut self, copy: RecordCopy) {
        if copy.revision > self.known_revision() {
            self.known = Some(copy);
            self.intents.clear();
        }
    }

    pub(crate) fn learn_intent(&mut self, intent: Intent) {
        if intent.over == self.known_revision() && !self.intents.contains(&intent) {
            self.intents.push(intent);
        }
    }

    pub(crate) fn known_revision(&self) -> Revision {
        self.known.as_ref().map_or(Revision(0), |known| known.revision)
    }

    fn lead_mut(&mut self) -> Option<&mut Lead> {
        match &mut self.role {
            Role::Lead(lead) => Some(lead),
            _ => None,
        }
    }
}
