//! Elections: candidates, promises, and becoming the leader.

use std::sync::Arc;

use document::{Name, Revision};
use lease::{Authority, LeaderEpoch, Term, Vote};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::candidate::Candidate;
use crate::control::{Control, READ_EVERY_MS, Role};
use crate::lead::{Lead, Leadership, Start};
use crate::message::{PromiseAsk, PromiseReply, RecordCopy, Stage};
use crate::voters::{candidate_rank, choose_voters};
use crate::{Action, Record};

/// What follows from a promise.
enum Outcome {
    Nothing,
    Eligible,
    Elected,
    StepDown(Term),
}

impl Control {
    /// Looks whether there is a controller, and becomes a candidate where there is none.
    pub(crate) fn follow(&mut self, now_ms: u64, elect_at_ms: Option<u64>, out: &mut Vec<Action>) {
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
        let leader_epoch = self.next_leader_epoch();
        let quorum = known.record.quorum();
        for voter in quorum.members() {
            let ask = PromiseAsk {
                candidate: self.me.clone(),
                leader_epoch,
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
            leader_epoch,
            deadline_ms,
            authority,
            quorum,
        });
    }

    fn next_leader_epoch(&mut self) -> LeaderEpoch {
        self.candidacies += 1;
        let seed = xxh3_64_with_seed(self.me.as_bytes(), self.incarnation);
        LeaderEpoch(xxh3_64_with_seed(self.service.as_bytes(), seed ^ self.candidacies))
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

    pub(crate) fn on_promise_asked(&mut self, now_ms: u64, ask: PromiseAsk, out: &mut Vec<Action>) {
        let had = self.known_revision();
        if let Some(copy) = ask.record.clone() {
            self.learn(copy);
        }
        let known_revision = self.known_revision();
        for intent in ask.intents.clone() {
            if intent.over <= self.known_revision() {
                self.newest_intent = (ask.leader_epoch, intent.number);
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
            Stage::Probing => self.voter.probe(now_ms, ask.leader_epoch, ask.term),
            Stage::Requesting | Stage::Leading => {
                self.voter.ask(now_ms, ask.leader_epoch, ask.term)
            }
        };
        let lacks = ask.record_revision < known_revision && had >= known_revision;
        let reply = PromiseReply {
            voter: self.me.clone(),
            leader_epoch: ask.leader_epoch,
            term: ask.term,
            stage: ask.stage,
            asked_ms: ask.asked_ms,
            vote,
            record_revision: if self.is_synced { known_revision } else { Revision(0) },
            record: if lacks { self.known.clone() } else { None },
            intent_number: match self.newest_intent {
                (leader_epoch, number) if leader_epoch == ask.leader_epoch => number,
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

    pub(crate) fn on_promise_replied(
        &mut self,
        now_ms: u64,
        reply: &PromiseReply,
        out: &mut Vec<Action>,
    ) {
        if let Some(copy) = reply.record.clone() {
            self.learn(copy);
        }
        for intent in reply.intents.clone() {
            self.learn_intent(intent);
        }
        let outcome = match &mut self.role {
            Role::Lead(lead) => match lead.on_promise(now_ms, reply) {
                Leadership::Held => Outcome::Nothing,
                Leadership::Lost(term) => Outcome::StepDown(term),
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
                    self.ask_voters(now_ms, Stage::Requesting, &known, out);
                }
            }
            Outcome::Elected => self.become_leader(now_ms),
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
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
            leader_epoch: candidate.leader_epoch,
            document: Arc::clone(document),
            document_revision: *revision,
            known: known.clone(),
            instances: self.instances.clone(),
            authority: candidate.authority.clone(),
            inherited: self.table.clone(),
        };
        self.role = Role::Lead(Box::new(Lead::new(now_ms, start)));
    }

    pub(crate) fn on_promise_returned(&mut self, leader_epoch: LeaderEpoch) {
        self.voter.release(leader_epoch);
        self.led_until_ms = 0;
        if let Role::Follower { elect_at_ms } = &mut self.role {
            *elect_at_ms = None;
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
        if reply.leader_epoch != self.leader_epoch {
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
