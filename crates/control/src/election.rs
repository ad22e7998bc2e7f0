//! Elections: candidacies, promises of voters, and becoming the controller.

use std::sync::Arc;

use document::{Name, Revision};
use lease::{Authority, LeaderEpoch, Term, Vote};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::candidate::Candidate;
use crate::control::{Control, RECORD_READ_INTERVAL_MS, Role};
use crate::controller::{Controller, InitialState, Leadership};
use crate::message::{PromiseReply, PromiseRequest, RecordCopy, Stage};
use crate::voters::{candidate_rank, choose_voters};
use crate::{Action, Record};

/// What a candidate or controller does after a promise reply.
enum VoteOutcome {
    Nothing,
    /// A majority would promise; the promises may be requested.
    Eligible,
    /// A majority has promised.
    Elected,
    /// The term is outdated, or the voters have changed.
    ///
    /// Holds the term that the voter has seen; 0 if the voters have changed.
    StepDown(Term),
}

impl Control {
    /// Reads the record if it is unknown, and starts a candidacy if there is no controller.
    ///
    /// Without a record in the store, this writes the first one instead.
    pub(crate) fn on_follower_tick(
        &mut self,
        now_ms: u64,
        candidacy_at_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        if !self.is_synced && now_ms >= self.next_read_at_ms {
            self.next_read_at_ms = now_ms + RECORD_READ_INTERVAL_MS;
            out.push(Action::ReadRecord);
        }
        let Some(rank) = self.own_rank(now_ms) else {
            self.role = Role::Follower { candidacy_at_ms: None };
            return;
        };
        let candidacy_at_ms =
            candidacy_at_ms.unwrap_or(now_ms + rank * self.config.candidacy_delay_ms);
        if now_ms < candidacy_at_ms {
            self.role = Role::Follower { candidacy_at_ms: Some(candidacy_at_ms) };
            return;
        }
        match self.known.clone() {
            Some(known) => self.start_candidacy(now_ms, Stage::Probing, &known, out),
            None => self.create_record(now_ms, out),
        }
    }

    /// Returns this instance's rank among the candidates, or `None` if it may not be one now.
    fn own_rank(&self, now_ms: u64) -> Option<u64> {
        let has_controller =
            now_ms < self.controller_deadline_ms || self.voter.bound_to(now_ms).is_some();
        if !self.is_synced || self.voter.is_in_startup_wait(now_ms) || has_controller {
            return None;
        }
        if let Some(known) = &self.known {
            candidate_rank(&self.service, &known.record.quorum().members(), &self.own_name)
        } else {
            let names: Vec<Name> =
                self.instances.iter().map(|instance| instance.name.clone()).collect();
            candidate_rank(&self.service, &names, &self.own_name)
        }
    }

    /// Sends all voters a promise request for a new term, with a new leader epoch.
    fn start_candidacy(
        &mut self,
        now_ms: u64,
        stage: Stage,
        known: &RecordCopy,
        out: &mut Vec<Action>,
    ) {
        let term = self.voter.highest_term().max(known.record.term).next();
        let leader_epoch = self.next_leader_epoch();
        let quorum = known.record.quorum();
        for voter in quorum.members() {
            let request = PromiseRequest {
                candidate: self.own_name.clone(),
                leader_epoch,
                term,
                stage,
                requested_at_ms: now_ms,
                record_revision: known.revision,
                record: None,
                intents: Vec::new(),
                voter_incarnation: 0,
            };
            out.push(Action::RequestPromise(voter, request));
        }
        let deadline_ms = now_ms + self.config.candidacy_timeout_ms;
        let authority = Authority::default();
        self.role = Role::Candidate(Candidate {
            stage,
            probe_votes: Vec::new(),
            voters_with_all_intents: Vec::new(),
            term,
            leader_epoch,
            deadline_ms,
            authority,
            quorum,
        });
    }

    /// Returns a leader epoch that no other candidacy of any process uses.
    fn next_leader_epoch(&mut self) -> LeaderEpoch {
        self.candidacy_count += 1;
        let seed = xxh3_64_with_seed(self.own_name.as_bytes(), self.incarnation);
        LeaderEpoch(xxh3_64_with_seed(self.service.as_bytes(), seed ^ self.candidacy_count))
    }

    /// Writes the first record of the service.
    fn create_record(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let Some((_, document)) = &self.document else {
            return;
        };
        let voters = choose_voters(&self.service, &self.instances, &[]);
        if voters.is_empty() {
            return;
        }
        let record = Arc::new(Record::first(document, voters));
        self.role = Role::Creator { deadline_ms: now_ms + self.config.write_timeout_ms };
        self.is_synced = false;
        self.next_read_at_ms = now_ms + RECORD_READ_INTERVAL_MS;
        out.push(Action::WriteRecord { number: 0, expected: None, record });
    }

    pub(crate) fn on_promise_request(
        &mut self,
        now_ms: u64,
        request: PromiseRequest,
        out: &mut Vec<Action>,
    ) {
        let prior_revision = self.known_revision();
        if let Some(copy) = request.record.clone() {
            self.adopt_record(copy);
        }
        let known_revision = self.known_revision();
        for intent in request.intents.clone() {
            if intent.replaced_revision <= self.known_revision() {
                self.newest_intent = (request.leader_epoch, intent.number);
                self.adopt_intent(intent);
            }
        }
        let is_leading = request.stage == Stage::Leading;
        // A request to an earlier process of this instance may omit the record and intents that
        // only that process acknowledged.
        let is_updated = is_leading
            && request.voter_incarnation == self.incarnation
            && known_revision >= request.record_revision;
        self.is_synced |= is_updated;
        self.has_all_intents |= is_updated;
        if is_leading && request.term >= self.voter.highest_term() {
            self.controller_deadline_ms = now_ms + self.config.promise_ms;
        }
        let is_rival = self.is_controller()
            && request.candidate != self.own_name
            && request.term > self.voter.highest_term();
        let vote = match request.stage {
            _ if !self.is_synced => Vote::Bound,
            Stage::Probing => self.voter.probe(now_ms, request.leader_epoch, request.term),
            Stage::Requesting | Stage::Leading => {
                self.voter.request(now_ms, request.leader_epoch, request.term)
            }
        };
        let candidate_lacks_record =
            request.record_revision < known_revision && prior_revision >= known_revision;
        let reply = PromiseReply {
            voter: self.own_name.clone(),
            leader_epoch: request.leader_epoch,
            term: request.term,
            stage: request.stage,
            requested_at_ms: request.requested_at_ms,
            vote,
            record_revision: if self.is_synced { known_revision } else { Revision(0) },
            record: if candidate_lacks_record { self.known.clone() } else { None },
            intent_number: match self.newest_intent {
                (leader_epoch, number) if leader_epoch == request.leader_epoch => number,
                _ => 0,
            },
            intents: if is_leading { Vec::new() } else { self.intents.clone() },
            has_all_intents: self.has_all_intents,
            voter_incarnation: self.incarnation,
        };
        out.push(Action::ReplyPromise(request.candidate, reply));
        if is_rival && vote == Vote::Promised && request.stage != Stage::Probing {
            self.step_down(None);
        }
    }

    pub(crate) fn on_promise_reply(
        &mut self,
        now_ms: u64,
        reply: &PromiseReply,
        out: &mut Vec<Action>,
    ) {
        if let Some(copy) = reply.record.clone() {
            self.adopt_record(copy);
        }
        for intent in reply.intents.clone() {
            self.adopt_intent(intent);
        }
        let outcome = match &mut self.role {
            Role::Controller(controller) => match controller.on_promise_reply(now_ms, reply) {
                Leadership::Held => VoteOutcome::Nothing,
                Leadership::Lost(term) => VoteOutcome::StepDown(term),
            },
            Role::Candidate(candidate) => {
                let have_voters_changed = self
                    .known
                    .as_ref()
                    .is_some_and(|known| known.record.quorum() != candidate.quorum);
                candidate.on_promise_reply(
                    now_ms,
                    reply,
                    self.config.promise_ms,
                    have_voters_changed,
                )
            }
            Role::Follower { .. } | Role::Creator { .. } | Role::Stopped => VoteOutcome::Nothing,
        };
        match outcome {
            VoteOutcome::Nothing => {}
            VoteOutcome::StepDown(term) => self.step_down(Some(term)),
            VoteOutcome::Eligible => {
                if let Some(known) = self.known.clone() {
                    self.start_candidacy(now_ms, Stage::Requesting, &known, out);
                }
            }
            VoteOutcome::Elected => self.become_controller(now_ms),
        }
    }

    fn become_controller(&mut self, now_ms: u64) {
        let (Some((revision, document)), Some(known)) = (&self.document, &self.known) else {
            return;
        };
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let has_all_intents =
            candidate.quorum.is_reached(|voter| candidate.voters_with_all_intents.contains(voter));
        let initial = InitialState {
            intents: self.intents.clone(),
            has_all_intents,
            own_name: self.own_name.clone(),
            service: self.service.clone(),
            config: self.config,
            term: candidate.term,
            leader_epoch: candidate.leader_epoch,
            document: Arc::clone(document),
            document_revision: *revision,
            known: known.clone(),
            instances: self.instances.clone(),
            authority: candidate.authority.clone(),
            inherited_table: self.table.clone(),
        };
        self.role = Role::Controller(Box::new(Controller::new(now_ms, initial)));
    }

    pub(crate) fn on_promise_returned(&mut self, leader_epoch: LeaderEpoch) {
        self.voter.on_promise_returned(leader_epoch);
        self.controller_deadline_ms = 0;
        if let Role::Follower { candidacy_at_ms } = &mut self.role {
            *candidacy_at_ms = None;
        }
    }
}

impl Candidate {
    fn on_promise_reply(
        &mut self,
        now_ms: u64,
        reply: &PromiseReply,
        promise_ms: u64,
        have_voters_changed: bool,
    ) -> VoteOutcome {
        if reply.leader_epoch != self.leader_epoch {
            return VoteOutcome::Nothing;
        }
        if let Vote::Outdated(term) = reply.vote {
            return if term >= self.term {
                VoteOutcome::StepDown(term)
            } else {
                VoteOutcome::Nothing
            };
        }
        if reply.stage != self.stage || reply.vote != Vote::Promised {
            return VoteOutcome::Nothing;
        }
        if have_voters_changed {
            return VoteOutcome::StepDown(Term(0));
        }
        if self.stage == Stage::Probing {
            self.probe_votes.push(reply.voter.clone());
            let is_eligible = self.quorum.is_reached(|voter| self.probe_votes.contains(voter));
            return if is_eligible { VoteOutcome::Eligible } else { VoteOutcome::Nothing };
        }
        self.authority.on_promise(&reply.voter, reply.requested_at_ms, promise_ms);
        if reply.has_all_intents {
            self.voters_with_all_intents.push(reply.voter.clone());
        }
        if self.authority.is_held(now_ms, &self.quorum) {
            VoteOutcome::Elected
        } else {
            VoteOutcome::Nothing
        }
    }
}
