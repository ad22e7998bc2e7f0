//! Planning for one service: which server is to hold which range next.

use registry::Incarnation;

use crate::assignment::Assignment;
use crate::order::LogEvent;
use crate::pass::PassContext;
use crate::policy::{self, Candidate, Sources, position};
use crate::range_state::{RangeState, Successor};
use crate::{KeyRange, MoveReason, Output};

/// Largest number of moves that one check of the load starts.
const MAX_NEW_MOVES: usize = 32;
/// Time between log lines about the balance.
const BALANCE_LOG_INTERVAL_MS: u64 = 1_000;

impl Assignment {
    /// Adds the load that each candidate has once all planned moves are done.
    pub(crate) fn add_loads(&self, candidates: &mut [Candidate]) {
        for state in &self.ranges {
            let Some(incarnation) = state.planned_owner() else { continue };
            if let Some(index) = position(candidates, incarnation) {
                candidates[index].load += self.load.of(state.range);
            }
        }
    }

    /// Chooses successors for ranges that need one.
    pub(crate) fn choose_successors(
        &mut self,
        pass: &mut PassContext<'_>,
        candidates: &mut [Candidate],
    ) {
        if candidates.is_empty() {
            return;
        }
        if self.is_unassigned() {
            self.plan_first_assignment(pass, candidates);
            return;
        }
        self.return_ranges(pass, candidates);
        self.choose_successors_of_evacuated(pass, candidates);
        let mut index = 0;
        while index < self.ranges.len() {
            if let Some(reason) = self.reason_to_move(pass, index) {
                self.choose_successor(pass, index, reason, candidates);
            }
            index += 1;
        }
    }

    /// Plans to return ranges to their last holder where that can hold them again before another
    /// server can: it has started again, or answers again after it was given up.
    fn return_ranges(&mut self, pass: &mut PassContext<'_>, candidates: &mut [Candidate]) {
        for index in 0..self.ranges.len() {
            let state = &self.ranges[index];
            let Some(last) = state.returnable_holder() else { continue };
            let Some(to) = position(candidates, last) else { continue };
            let is_restarted = state.has_restarted_holder();
            let is_returned = state.successor.as_ref().is_none_or(|successor| {
                let was_silent = successor.reason == MoveReason::Silent;
                successor.incarnation != *last && (was_silent || is_restarted)
            });
            if !is_returned {
                continue;
            }
            let load = self.load.of(state.range);
            let planned = state.successor.as_ref();
            let planned = planned.and_then(|next| position(candidates, &next.incarnation));
            if let Some(planned) = planned {
                candidates[planned].load -= load;
            }
            candidates[to].load += load;
            let to = candidates[to].incarnation.clone();
            self.plan_move(pass, index, to, MoveReason::Returned);
        }
    }

    /// Chooses successors for the ranges of evacuated servers, those with the most load first.
    ///
    /// The largest ranges find the most room that way, and are the first in the order of moves.
    fn choose_successors_of_evacuated(
        &mut self,
        pass: &mut PassContext<'_>,
        candidates: &mut [Candidate],
    ) {
        let mut evacuated: Vec<(f32, KeyRange)> = Vec::new();
        let mut index = 0;
        while index < self.ranges.len() {
            if self.reason_to_move(pass, index) == Some(MoveReason::Evacuated) {
                self.split_if_loaded(index, candidates.len());
                let range = self.ranges[index].range;
                evacuated.push((self.load.of(range), range));
            }
            index += 1;
        }
        evacuated.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        for (_, range) in evacuated {
            let index = self.ranges.partition_point(|state| state.range.to() < range.from());
            self.choose_successor(pass, index, MoveReason::Evacuated, candidates);
        }
    }

    /// Splits the left part off a range that has much load.
    fn split_if_loaded(&mut self, index: usize, servers: usize) {
        let split_load = policy::split_load(&self.load, servers);
        let range = self.ranges[index].range;
        if self.load.of(range) > split_load * 1.5
            && let Some(key) = self.load.split_key(range, split_load)
            && let Some(rest) = self.ranges[index].split_off(key)
        {
            self.ranges.insert(index + 1, rest);
        }
    }

    fn plan_first_assignment(&mut self, pass: &mut PassContext<'_>, candidates: &[Candidate]) {
        let parts = policy::split_by_capacity(KeyRange::WHOLE, &self.load, candidates);
        self.ranges = parts
            .into_iter()
            .map(|(range, incarnation)| {
                log_planned_move(pass, range, None, &incarnation, MoveReason::Free);
                let successor = Successor::new(incarnation, MoveReason::Free, pass.now_ms);
                RangeState { successor: Some(successor), ..RangeState::unassigned(range) }
            })
            .collect();
        self.is_changed = true;
    }

    /// Returns why a range needs a successor.
    ///
    /// Returns `None` if it has one already or its holder stays.
    pub(crate) fn reason_to_move(
        &self,
        pass: &PassContext<'_>,
        index: usize,
    ) -> Option<MoveReason> {
        let state = &self.ranges[index];
        if state.successor.is_some() {
            return None;
        }
        let Some(holder) = &state.holder else {
            return Some(if state.previous_holders.is_empty() {
                MoveReason::Free
            } else if state.previous_holders.iter().all(|previous| pass.may_answer(previous)) {
                MoveReason::Released
            } else {
                MoveReason::Silent
            });
        };
        if !pass.servers.registry.accepts_new_work(&holder.incarnation) {
            let is_evacuated = pass.servers.registry.is_ready_but_evacuated(&holder.incarnation);
            return Some(if is_evacuated { MoveReason::Evacuated } else { MoveReason::Leaving });
        }
        // A new holder has tries of its own: all servers may be silent.
        let failures = match holder.grants.deadline_ms() {
            0 => holder.failures,
            _ => holder.failures.max(pass.orders.contact(&holder.incarnation).failures()),
        };
        let is_silent = failures >= pass.config.max_failures;
        (is_silent && !pass.orders.may_be_cut_off(pass.now_ms)).then_some(MoveReason::Silent)
    }

    /// Chooses a successor for a range.
    ///
    /// If the range has much load, this splits it and chooses a successor for the left part alone.
    fn choose_successor(
        &mut self,
        pass: &mut PassContext<'_>,
        index: usize,
        reason: MoveReason,
        candidates: &mut [Candidate],
    ) {
        let holder = self.ranges[index].holder.as_ref().map(|holder| holder.incarnation.clone());
        self.split_if_loaded(index, candidates.len());
        let range = self.ranges[index].range;
        let load = self.load.of(range);
        let neighbour = policy::neighbour_with_room(&self.ranges, &self.load, candidates, index)
            .filter(|neighbour| holder.as_ref() != Some(&candidates[*neighbour].incarnation));
        let chosen = neighbour.or_else(|| policy::least_loaded(candidates, load, holder.as_ref()));
        let Some(chosen) = chosen else { return };
        candidates[chosen].load += load;
        let to = candidates[chosen].incarnation.clone();
        self.plan_move(pass, index, to, reason);
    }

    fn plan_move(
        &mut self,
        pass: &mut PassContext<'_>,
        index: usize,
        to: Incarnation,
        reason: MoveReason,
    ) {
        let state = &mut self.ranges[index];
        let from = state.holder.as_ref().map(|holder| holder.incarnation.clone());
        log_planned_move(pass, state.range, from, &to, reason);
        // A holder that is released shortly before its last grant ends is sent none before, which
        // costs its keys their owner if the leader is lost. Only moves for balance can wait.
        let patience_ms = match reason {
            MoveReason::Load | MoveReason::Join => pass.config.grant_deadline_ms(0, pass.grant_ms),
            _ => 0,
        };
        state.successor = Some(Successor::new(to, reason, pass.now_ms + patience_ms));
    }

    /// Starts moves that balance the load and moves that merge ranges, each up to a limit.
    pub(crate) fn balance(&mut self, pass: &mut PassContext<'_>, candidates: &mut [Candidate]) {
        self.log_balance(pass, candidates);
        let moving = self.ranges.iter().filter(|state| state.successor.is_some()).count();
        let max_moves = policy::max_concurrent_moves(pass.config, candidates.len());
        let mut sources = Sources::new(&self.ranges, candidates);
        for _ in 0..max_moves.saturating_sub(moving).min(MAX_NEW_MOVES) {
            let next = policy::find_balancing_move(
                &self.ranges,
                &self.load,
                candidates,
                &mut sources,
                pass.config,
            );
            let Some(next) = next else { break };
            if !self.start_move(pass, &next, MoveReason::Load, candidates) {
                break;
            }
            sources.update(&self.ranges, candidates);
        }
        for _ in 0..policy::max_merges(self.ranges.len(), candidates.len(), moving) {
            let next = policy::find_merge(&self.ranges, &self.load, candidates);
            let Some(next) = next else { break };
            if !self.start_move(pass, &next, MoveReason::Join, candidates) {
                break;
            }
        }
    }

    fn log_balance(&mut self, pass: &mut PassContext<'_>, candidates: &[Candidate]) {
        if pass.now_ms < self.balance_log_at_ms {
            return;
        }
        self.balance_log_at_ms = pass.now_ms + BALANCE_LOG_INTERVAL_MS;
        let Some((busiest, idlest)) = policy::busiest_and_idlest(candidates) else { return };
        pass.outputs.push(Output::Log(LogEvent::Balance {
            service: pass.service.clone(),
            ranges: self.ranges.len(),
            load: self.load.total(),
            hottest: self.load.hottest(),
            capacity: candidates.iter().map(|candidate| candidate.capacity).sum(),
            busiest,
            idlest,
        }));
    }

    /// Plans a move; returns false without planning it if one of the ranges is not settled.
    fn start_move(
        &mut self,
        pass: &mut PassContext<'_>,
        next: &policy::Move,
        reason: MoveReason,
        candidates: &mut [Candidate],
    ) -> bool {
        self.split_before(next.range.from());
        if let Some(after) = next.range.to().checked_add(1) {
            self.split_before(after);
        }
        let moved =
            (0..self.ranges.len()).filter(|index| self.ranges[*index].range.overlaps(next.range));
        let moved: Vec<usize> = moved.collect();
        if !moved.iter().all(|index| self.ranges[*index].is_settled()) {
            return false;
        }
        for index in moved {
            let load = self.load.of(self.ranges[index].range);
            let from = self.ranges[index]
                .planned_owner()
                .and_then(|incarnation| position(candidates, incarnation));
            if let Some(from) = from {
                candidates[from].load -= load;
            }
            if let Some(to) = position(candidates, &next.to) {
                candidates[to].load += load;
            }
            self.plan_move(pass, index, next.to.clone(), reason);
        }
        true
    }

    /// Splits the range that contains a key before that key.
    fn split_before(&mut self, key: u16) {
        let index = self.ranges.iter().position(|state| state.range.contains(key));
        if let Some(index) = index
            && let Some(rest) = self.ranges[index].split_off(key)
        {
            self.ranges.insert(index + 1, rest);
        }
    }
}

fn log_planned_move(
    pass: &mut PassContext<'_>,
    range: KeyRange,
    from: Option<Incarnation>,
    to: &Incarnation,
    reason: MoveReason,
) {
    let (service, to) = (pass.service.clone(), to.clone());
    pass.outputs.push(Output::Log(LogEvent::Planned { service, range, from, to, reason }));
}
