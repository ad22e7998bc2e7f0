//! One daemon's part in the control of one service.

use std::sync::Arc;

use document::{Document, Kind, Name, Revision};
use lease::{Authority, Quorum, Tenure, Term, Vote, Voter};
use route::Table;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lead::{Lead, Standing, Start};
use crate::message::{BeatReply, Intent, PromiseAsk, PromiseReply, RecordCopy, Stage};
use crate::voters::{candidate_rank, choose_voters};
use crate::{Action, Event, Instance, Record, Status, Tuning, WriteOutcome};

/// One daemon's part in the control of one service: a voter, and at times the controller.
#[derive(Debug)]
pub struct Control {
    service: Name,
    me: Name,
    tuning: Tuning,
    document: Option<(Revision, Arc<Document>)>,
    known: Option<RecordCopy>,
    instances: Vec<Instance>,
    voter: Voter,
    /// Whether the record was read, or told by a controller, since the process started.
    is_synced: bool,
    /// Whether the process remembers all that a controller told it.
    is_sure: bool,
    /// The writes over the known record that may take effect.
    intents: Vec<Intent>,
    /// The newest write that was told of, with its term.
    newest_intent: (Tenure, u64),
    role: Role,
    incarnation: u64,
    candidacies: u64,
    /// What is to be done because of the end of an office.
    farewell: Vec<Action>,
    table: Option<Arc<Table>>,
    next_read_ms: u64,
    /// Until when there is a controller, by the last ask that was seen.
    led_until_ms: u64,
    /// Until when the controller of the table counts as answering beats.
    answered_until_ms: u64,
}

#[derive(Debug)]
enum Role {
    Follower { elect_at_ms: Option<u64> },
    Creator { deadline_ms: u64 },
    Candidate(Candidate),
    Lead(Box<Lead>),
    Stopped,
}

#[derive(Debug)]
struct Candidate {
    stage: Stage,
    promised: Vec<Name>,
    /// The voters that promised and remember all that they were told.
    sure: Vec<Name>,
    term: Term,
    tenure: Tenure,
    deadline_ms: u64,
    authority: Authority,
    quorum: Quorum,
}

/// What follows from a promise.
enum Outcome {
    Nothing,
    Eligible,
    Elected,
    StepDown(Term),
}

const READ_EVERY_MS: u64 = 1_000;

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
            newest_intent: (Tenure(0), 0),
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

    /// Takes an event without drawing all consequences; [`Control::settle`] must follow.
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
            Event::PromiseReturned(tenure) => self.on_promise_returned(tenure),
            Event::Reported(server, report) => {
                let standing = self.lead_mut().map(|lead| lead.on_report(now_ms, &server, &report));
                self.apply_standing(standing);
            }
            Event::Unanswered(server) => {
                if let Some(lead) = self.lead_mut() {
                    lead.on_unanswered(&server);
                }
            }
            Event::Beat(beat) => {
                let standing = self.lead_mut().map(|lead| lead.on_beat(now_ms, &beat, &mut out));
                self.apply_standing(standing);
            }
            Event::BeatReplied(reply) => self.on_beat_replied(now_ms, &reply),
            Event::Table(table) => self.on_table(table),
            Event::Stop => self.on_stop(),
        }
        out
    }

    /// Draws the consequences of the events that were taken, and returns what is to be done.
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
        if document.kind != Kind::Keyed {
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

    /// Looks whether there is a controller, and becomes a candidate where there is none.
    fn follow(&mut self, now_ms: u64, elect_at_ms: Option<u64>, out: &mut Vec<Action>) {
        if !self.is_synced && now_ms >= self.next_read_ms {
            self.next_read_ms = now_ms + READ_EVERY_MS;
            out.push(Action::ReadRecord);
        }
        let Some(rank) = self.rank(now_ms) else {
            self.role = Role::Follower { elect_at_ms: None };
            return;
        };
        let elect_at_ms = elect_at_ms.unwrap_or(now_ms + rank * self.tuning.stagger_ms);
        if now_ms < elect_at_ms {
            self.role = Role::Follower { elect_at_ms: Some(elect_at_ms) };
            return;
        }
        match self.known.clone() {
            Some(known) => self.ask_voters(now_ms, Stage::Probing, &known, out),
            None => self.create_record(now_ms, out),
        }
    }

    /// Returns this instance's place among the candidates, if it may be one now.
    fn rank(&self, now_ms: u64) -> Option<u64> {
        let is_led = now_ms < self.led_until_ms || self.voter.bound_to(now_ms).is_some();
        if !self.is_synced || self.voter.is_silent(now_ms) || is_led {
            return None;
        }
        if let Some(known) = &self.known {
            candidate_rank(&self.service, &known.record.quorum().members(), &self.me)
        } else {
            let names: Vec<Name> = self.instances.iter().map(|i| i.name.clone()).collect();
            candidate_rank(&self.service, &names, &self.me)
        }
    }

    fn ask_voters(&mut self, now_ms: u64, stage: Stage, known: &RecordCopy, out: &mut Vec<Action>) {
        let term = self.voter.highest_term().max(known.record.term).next();
        let tenure = self.next_tenure();
        let quorum = known.record.quorum();
        for voter in quorum.members() {
            let ask = PromiseAsk {
                candidate: self.me.clone(),
                tenure,
                term,
                stage,
                asked_ms: now_ms,
                record_revision: known.revision,
                record: None,
                intents: Vec::new(),
                voter_incarnation: 0,
            };
            out.push(Action::AskPromise(voter, ask));
        }
        let deadline_ms = now_ms + self.tuning.candidacy_ms;
        let authority = Authority::default();
        self.role = Role::Candidate(Candidate {
            stage,
            promised: Vec::new(),
            sure: Vec::new(),
            term,
            tenure,
            deadline_ms,
            authority,
            quorum,
        });
    }

    fn next_tenure(&mut self) -> Tenure {
        self.candidacies += 1;
        let seed = xxh3_64_with_seed(self.me.as_bytes(), self.incarnation);
        Tenure(xxh3_64_with_seed(self.service.as_bytes(), seed ^ self.candidacies))
    }

    fn create_record(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Some((_, document)) = &self.document else {
            return;
        };
        let voters = choose_voters(&self.service, &self.instances, &[]);
        if voters.is_empty() {
            return;
        }
        let record = Arc::new(Record::first(document, voters));
        self.role = Role::Creator { deadline_ms: now_ms + self.tuning.write_timeout_ms };
        self.is_synced = false;
        self.next_read_ms = now_ms + READ_EVERY_MS;
        out.push(Action::WriteRecord { number: 0, expected: None, record });
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
            let is_foreign = copy.as_ref().is_some_and(|c| c.record.tenure != lead.tenure);
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

    fn on_promise_asked(&mut self, now_ms: u64, ask: PromiseAsk, out: &mut Vec<Action>) {
        let had = self.known_revision();
        if let Some(copy) = ask.record.clone() {
            self.learn(copy);
        }
        let known_revision = self.known_revision();
        for intent in ask.intents.clone() {
            if intent.over <= self.known_revision() {
                self.newest_intent = (ask.tenure, intent.number);
                self.learn_intent(intent);
            }
        }
        let is_leading = ask.stage == Stage::Leading;
        // Only an ask that was sent since this process started can bring it up to date.
        let is_told = is_leading
            && ask.voter_incarnation == self.incarnation
            && known_revision >= ask.record_revision;
        self.is_synced |= is_told;
        self.is_sure |= is_told;
        if is_leading && ask.term >= self.voter.highest_term() {
            self.led_until_ms = now_ms + self.tuning.promise_ms;
        }
        let is_rival = self.is_controller()
            && ask.candidate != self.me
            && ask.term > self.voter.highest_term();
        let vote = match ask.stage {
            _ if !self.is_synced => Vote::Bound,
            Stage::Probing => self.voter.probe(now_ms, ask.tenure, ask.term),
            Stage::Standing | Stage::Leading => self.voter.ask(now_ms, ask.tenure, ask.term),
        };
        let lacks = ask.record_revision < known_revision && had >= known_revision;
        let reply = PromiseReply {
            voter: self.me.clone(),
            tenure: ask.tenure,
            term: ask.term,
            stage: ask.stage,
            asked_ms: ask.asked_ms,
            vote,
            record_revision: if self.is_synced { known_revision } else { Revision(0) },
            record: if lacks { self.known.clone() } else { None },
            intent_number: match self.newest_intent {
                (tenure, number) if tenure == ask.tenure => number,
                _ => 0,
            },
            intents: if is_leading { Vec::new() } else { self.intents.clone() },
            is_sure: self.is_sure,
            voter_incarnation: self.incarnation,
        };
        out.push(Action::ReplyPromise(ask.candidate, reply));
        if is_rival && vote == Vote::Promised && ask.stage != Stage::Probing {
            self.step_down(None);
        }
    }

    fn on_promise_replied(&mut self, now_ms: u64, reply: &PromiseReply, out: &mut Vec<Action>) {
        if let Some(copy) = reply.record.clone() {
            self.learn(copy);
        }
        for intent in reply.intents.clone() {
            self.learn_intent(intent);
        }
        let outcome = match &mut self.role {
            Role::Lead(lead) => match lead.on_promise(now_ms, reply) {
                Standing::InOffice => Outcome::Nothing,
                Standing::Over(term) => Outcome::StepDown(term),
            },
            Role::Candidate(candidate) => {
                let is_newer =
                    self.known.as_ref().is_some_and(|k| k.record.quorum() != candidate.quorum);
                candidate.on_promise(now_ms, reply, self.tuning.promise_ms, is_newer)
            }
            Role::Follower { .. } | Role::Creator { .. } | Role::Stopped => Outcome::Nothing,
        };
        match outcome {
            Outcome::Nothing => {}
            Outcome::StepDown(term) => self.step_down(Some(term)),
            Outcome::Eligible => {
                if let Some(known) = self.known.clone() {
                    self.ask_voters(now_ms, Stage::Standing, &known, out);
                }
            }
            Outcome::Elected => self.take_office(now_ms),
        }
    }

    fn take_office(&mut self, now_ms: u64) {
        let (Some((revision, document)), Some(known)) = (&self.document, &self.known) else {
            return;
        };
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let is_sure = candidate.quorum.is_reached(|voter| candidate.sure.contains(voter));
        let start = Start {
            intents: self.intents.clone(),
            is_sure,
            me: self.me.clone(),
            service: self.service.clone(),
            tuning: self.tuning,
            term: candidate.term,
            tenure: candidate.tenure,
            document: Arc::clone(document),
            document_revision: *revision,
            known: known.clone(),
            instances: self.instances.clone(),
            authority: candidate.authority.clone(),
            inherited: self.table.clone(),
        };
        self.role = Role::Lead(Box::new(Lead::new(now_ms, start)));
    }

    fn on_promise_returned(&mut self, tenure: Tenure) {
        self.voter.release(tenure);
        self.led_until_ms = 0;
        if let Role::Follower { elect_at_ms } = &mut self.role {
            *elect_at_ms = None;
        }
    }

    fn on_beat_replied(&mut self, now_ms: u64, reply: &BeatReply) {
        if self.table.as_ref().is_some_and(|table| table.tenure == reply.tenure) {
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

    fn step_down(&mut self, later: Option<Term>) {
        if let Some(term) = later {
            self.voter.note_term(term);
        }
        // Nothing is done in this tenure any more, so others need not wait for its end.
        let ended = match &self.role {
            Role::Lead(lead) => Some((lead.known.record.quorum(), lead.tenure)),
            Role::Candidate(candidate) => Some((candidate.quorum.clone(), candidate.tenure)),
            Role::Follower { .. } | Role::Creator { .. } | Role::Stopped => None,
        };
        for voter in ended.iter().flat_map(|(quorum, _)| quorum.members()) {
            let tenure = ended.as_ref().map_or(Tenure(0), |(_, tenure)| *tenure);
            self.farewell.push(Action::ReturnPromise(voter, tenure));
        }
        if !matches!(self.role, Role::Stopped) {
            self.role = Role::Follower { elect_at_ms: None };
        }
    }

    fn apply_standing(&mut self, standing: Option<Standing>) {
        if let Some(Standing::Over(term)) = standing {
            self.step_down(Some(term));
        }
    }

    fn learn(&mut self, copy: RecordCopy) {
        if copy.revision > self.known_revision() {
            self.known = Some(copy);
            self.intents.clear();
        }
    }

    fn learn_intent(&mut self, intent: Intent) {
        if intent.over == self.known_revision() && !self.intents.contains(&intent) {
            self.intents.push(intent);
        }
    }

    fn known_revision(&self) -> Revision {
        self.known.as_ref().map_or(Revision(0), |known| known.revision)
    }

    fn lead_mut(&mut self) -> Option<&mut Lead> {
        match &mut self.role {
            Role::Lead(lead) => Some(lead),
            _ => None,
        }
    }
}

impl Candidate {
    fn on_promise(
        &mut self,
        now_ms: u64,
        reply: &PromiseReply,
        promise_ms: u64,
        has_newer_voters: bool,
    ) -> Outcome {
        if reply.tenure != self.tenure {
            return Outcome::Nothing;
        }
        if let Vote::Outdated(term) = reply.vote {
            return if term >= self.term { Outcome::StepDown(term) } else { Outcome::Nothing };
        }
        if reply.stage != self.stage || reply.vote != Vote::Promised {
            return Outcome::Nothing;
        }
        if has_newer_voters {
            return Outcome::StepDown(Term(0));
        }
        if self.stage == Stage::Probing {
            self.promised.push(reply.voter.clone());
            let is_eligible = self.quorum.is_reached(|voter| self.promised.contains(voter));
            return if is_eligible { Outcome::Eligible } else { Outcome::Nothing };
        }
        self.authority.note(&reply.voter, reply.asked_ms, promise_ms);
        if reply.is_sure {
            self.sure.push(reply.voter.clone());
        }
        if self.authority.is_held(now_ms, &self.quorum) {
            Outcome::Elected
        } else {
            Outcome::Nothing
        }
    }
}
