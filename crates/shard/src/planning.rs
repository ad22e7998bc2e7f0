//! Plans of one service: who is to hold which range next.

use registry::Incarnation;

use crate::assignment::Assignment;
use crate::order::Note;
use crate::piece::{Piece, Successor};
use crate::policy::{self, Candidate, position};
use crate::turn::Turn;
use crate::{KeyRange, Output, Why};

/// How often the balance is noted.
const NOTE_EVERY_MS: u64 = 1_000;

impl Assignment {
    /// Adds the load that every candidate has in the end.
    pub(crate) fn add_loads(&self, candidates: &mut [Candidate]) {
        for piece in &self.pieces {
            let Some(incarnation) = piece.final_life() else { continue };
            if let Some(at) = position(candidates, incarnation) {
                candidates[at].load += self.load.of(piece.range);
            }
        }
    }

    /// Chooses successors for pieces that need one.
    pub(crate) fn choose_all(&mut self, turn: &mut Turn<'_>, candidates: &mut [Candidate]) {
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
            .map(|(range, incarnation)| {
                note_plan(turn, range, None, &incarnation, Why::Free);
                let successor = Successor::new(incarnation, self.wanted, Why::Free);
                Piece { successor: Some(successor), ..Piece::free(range) }
            })
            .collect();
        self.is_changed = true;
    }

    pub(crate) fn needs_successor(&self, turn: &Turn<'_>, at: usize) -> Option<Why> {
        let piece = &self.pieces[at];
        if piece.successor.is_some() {
            return None;
        }
        let Some(holder) = &piece.holder else {
            return Some(if piece.formers.is_empty() { Why::Free } else { Why::Silent });
        };
        if !turn.servers.registry.accepts_new_work(&holder.incarnation) {
            return Some(Why::Leaving);
        }
        (holder.failures >= turn.tuning.failures).then_some(Why::Silent)
    }

    /// Chooses a successor for a piece, and cuts it when it is much for one server.
    fn choose(&mut self, turn: &mut Turn<'_>, at: usize, why: Why, candidates: &mut [Candidate]) {
        let holder = self.pieces[at].holder.as_ref().map(|holder| holder.incarnation.clone());
        let portion = policy::portion(&self.load, candidates.len());
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
            .filter(|candidate| holder.as_ref() != Some(&candidate.incarnation))
            .cloned()
            .collect();
        let Some(to) = policy::least_loaded(&others, load).map(|at| others[at].incarnation.clone())
        else {
            return;
        };
        if let Some(to) = position(candidates, &to) {
            candidates[to].load += load;
        }
        self.plan(turn, at, to, why);
    }

    fn plan(&mut self, turn: &mut Turn<'_>, at: usize, to: Incarnation, why: Why) {
        // Plans of one pass share a record.
        if self.writing == Some(self.wanted) || self.durable == self.wanted {
            self.wanted += 1;
        }
        let piece = &mut self.pieces[at];
        let from = piece.holder.as_ref().map(|holder| holder.incarnation.clone());
        note_plan(turn, piece.range, from, &to, why);
        piece.successor = Some(Successor::new(to, self.wanted, why));
    }

    /// Evens load out, a few moves at a time.
    pub(crate) fn balance(&mut self, turn: &mut Turn<'_>, candidates: &mut [Candidate]) {
        self.note_balance(turn, candidates);
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

    fn note_balance(&mut self, turn: &mut Turn<'_>, candidates: &[Candidate]) {
        if turn.now_ms < self.note_at_ms {
            return;
        }
        self.note_at_ms = turn.now_ms + NOTE_EVERY_MS;
        let Some((busiest, idlest)) = policy::extremes(candidates) else { return };
        turn.outputs.push(Output::Note(Note::Balance {
            service: turn.service.clone(),
            ranges: self.pieces.len(),
            load: self.load.total(),
            hottest: self.load.hottest(),
            capacity: candidates.iter().map(|candidate| candidate.capacity).sum(),
            busiest,
            idlest,
        }));
    }

    fn start_move(
        &mut self,
        turn: &mut Turn<'_>,
        next: &policy::Move,
        why: Why,
        candidates: &mut [Candidate],
    ) -> bool {
        self.cut(next.range.from());
        if let Some(after) = next.range.to().checked_add(1) {
            self.cut(after);
        }
        let moved = (0..self.pieces.len()).filter(|at| self.pieces[*at].range.overlaps(next.range));
        let moved: Vec<usize> = moved.collect();
        if !moved.iter().all(|at| self.pieces[*at].is_settled()) {
            return false;
        }
        for at in moved {
            let load = self.load.of(self.pieces[at].range);
            let from = self.pieces[at]
                .final_life()
                .and_then(|incarnation| position(candidates, incarnation));
            if let Some(from) = from {
                candidates[from].load -= load;
            }
            if let Some(to) = position(candidates, &next.to) {
                candidates[to].load += load;
            }
            self.plan(turn, at, next.to.clone(), why);
        }
        true
    }

    /// Cuts the piece with a key before that key.
    fn cut(&mut self, key: u16) {
        let at = self.pieces.iter().position(|piece| piece.range.contains(key));
        if let Some(at) = at
            && let Some(rest) = self.pieces[at].split_off(key)
        {
            self.pieces.insert(at + 1, rest);
        }
    }
}

fn note_plan(
    turn: &mut Turn<'_>,
    range: KeyRange,
    from: Option<Incarnation>,
    to: &Incarnation,
    why: Why,
) {
    let (service, to) = (turn.service.clone(), to.clone());
    turn.outputs.push(Output::Note(Note::Planned { service, range, from, to, why }));
}
