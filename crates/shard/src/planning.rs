//! Plans of one service: who is to hold which range next.

use registry::Life;

use crate::assignment::Assignment;
use crate::leader::Turn;
use crate::order::Note;
use crate::piece::{Piece, ReleaseStep, Successor};
use crate::policy::{self, Candidate};
use crate::{KeyRange, Output, Why};

impl Assignment {
    /// Adds the load that every candidate has in the end.
    pub(crate) fn add_loads(&self, candidates: &mut [Candidate]) {
        for piece in &self.pieces {
            let Some(life) = piece.final_life() else { continue };
            if let Some(at) = position(candidates, life) {
                candidates[at].load += self.load.of(piece.range);
            }
        }
    }

    /// Chooses successors for pieces that need one.
    pub(crate) fn choose_all(&mut self, turn: &mut Turn<'_>, candidates: &mut Vec<Candidate>) {
        if candidates.is_empty() {
            return;
        }
        let is_first = matches!(self.pieces.as_slice(), [only] if only.final_life().is_none());
        if is_first {
            self.spread_all(turn, candidates);
            return;
        }
        let mut at = 0;
        while at < self.pieces.len() {
            if let Some(why) = self.needs_successor(turn, at) {
                self.choose(turn, at, why, candidates);
            }
            at += 1;
        }
    }

    fn spread_all(&mut self, turn: &mut Turn<'_>, candidates: &[Candidate]) {
        let parts = policy::spread(KeyRange::WHOLE, &self.load, candidates);
        self.wanted += 1;
        self.pieces = parts
            .into_iter()
            .map(|(range, life)| {
                note_plan(turn, range, None, &life, Why::Free);
                let successor = Successor {
                    life,
                    record: self.wanted,
                    why: Why::Free,
                    release: ReleaseStep::NotYet,
                };
                Piece { successor: Some(successor), ..Piece::free(range) }
            })
            .collect();
        self.is_changed = true;
    }

    fn needs_successor(&self, turn: &Turn<'_>, at: usize) -> Option<Why> {
        let piece = &self.pieces[at];
        if piece.successor.is_some() {
            return None;
        }
        let Some(holder) = &piece.holder else { return Some(Why::Free) };
        if !turn.servers.registry.is_welcome(&holder.life) {
            return Some(Why::Leaving);
        }
        let is_silent = holder.is_dismissed || holder.failures >= turn.tuning.failures;
        is_silent.then_some(Why::Silent)
    }

    /// Chooses a successor for a piece, and cuts it when it is much for one server.
    fn choose(&mut self, turn: &mut Turn<'_>, at: usize, why: Why, candidates: &mut [Candidate]) {
        let holder = self.pieces[at].holder.as_ref().map(|holder| holder.life.clone());
        let portion = policy::portion(candidates);
        let range = self.pieces[at].range;
        if self.load.of(range) > portion * 1.5
            && let Some(cut) = self.load.cut(range, portion)
            && let Some(rest) = self.pieces[at].split_off(cut)
        {
            self.pieces.insert(at + 1, rest);
        }
        let range = self.pieces[at].range;
        let load = self.load.of(range);
        let others: Vec<Candidate> = candidates
            .iter()
            .filter(|candidate| holder.as_ref() != Some(&candidate.life))
            .cloned()
            .collect();
        let Some(to) = policy::least_loaded(&others, load).map(|at| others[at].life.clone()) else {
            return;
        };
        if let Some(to) = position(candidates, &to) {
            candidates[to].load += load;
        }
        self.plan(turn, at, to, why);
    }

    fn plan(&mut self, turn: &mut Turn<'_>, at: usize, to: Life, why: Why) {
        // Plans of one pass share a record.
        if self.writing == Some(self.wanted) || self.durable == self.wanted {
            self.wanted += 1;
        }
        let piece = &mut self.pieces[at];
        let from = piece.holder.as_ref().map(|holder| holder.life.clone());
        note_plan(turn, piece.range, from, &to, why);
        piece.successor =
            Some(Successor { life: to, record: self.wanted, why, release: ReleaseStep::NotYet });
    }

    /// Evens load out, a few moves at a time.
    pub(crate) fn balance(&mut self, turn: &mut Turn<'_>, candidates: &mut [Candidate]) {
        let moving = self.pieces.iter().filter(|piece| piece.successor.is_some()).count();
        for _ in moving..turn.tuning.most_moves {
            let next = policy::even_out(&self.pieces, &self.load, candidates, turn.tuning);
            let Some(next) = next else { break };
            if !self.start_move(turn, &next, Why::Load, candidates) {
                break;
            }
        }
        if moving == 0
            && let Some(next) = policy::join(&self.pieces, &self.load, candidates)
        {
            self.start_move(turn, &next, Why::Join, candidates);
        }
    }

    fn start_move(
        &mut self,
        turn: &mut Turn<'_>,
        next: &policy::Move,
        why: Why,
        candidates: &mut [Candidate],
    ) -> bool {
        let Some(at) = self.isolate(next.range) else { return false };
        let load = self.load.of(next.range);
        let from = self.pieces[at].final_life().and_then(|life| position(candidates, life));
        if let Some(from) = from {
            candidates[from].load -= load;
        }
        if let Some(to) = position(candidates, &next.to) {
            candidates[to].load += load;
        }
        self.plan(turn, at, next.to.clone(), why);
        true
    }

    /// Cuts pieces so that one of them is the range; returns its position.
    fn isolate(&mut self, range: KeyRange) -> Option<usize> {
        let mut at = self.pieces.iter().position(|piece| piece.range.contains(range.from()))?;
        if let Some(rest) = self.pieces[at].split_off(range.from()) {
            self.pieces.insert(at + 1, rest);
            at += 1;
        }
        if let Some(next) = range.to().checked_add(1)
            && let Some(rest) = self.pieces[at].split_off(next)
        {
            self.pieces.insert(at + 1, rest);
        }
        (self.pieces[at].range == range).then_some(at)
    }
}

fn note_plan(turn: &mut Turn<'_>, range: KeyRange, from: Option<Life>, to: &Life, why: Why) {
    let (service, to) = (turn.service.clone(), to.clone());
    turn.outputs.push(Output::Note(Note::Planned { service, range, from, to, why }));
}

/// Returns where a life stands among the candidates.
pub(crate) fn position(candidates: &[Candidate], life: &Life) -> Option<usize> {
    candidates.iter().position(|candidate| candidate.life == *life)
}
