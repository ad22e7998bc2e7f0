//! The assignment of one service's keys.

use crate::piece::{Former, Holder, Piece, Step};
use crate::turn::{Fences, Turn};
use registry::Incarnation;

use crate::policy::{Candidate, position};
use crate::{
    Grant, KeyLoad, KeyRange, Output, Owner, Record, Release, Share, Span, Table, Tuning, Why,
};

/// Who holds the keys of one service.
#[derive(Debug)]
pub(crate) struct Assignment {
    /// The pieces in order; together they are all keys.
    pub(crate) pieces: Vec<Piece>,
    pub(crate) load: KeyLoad,
    /// How many servers there were, and since when; the first assignment waits for more.
    seen: (usize, u64),
    /// The number of the last record that was asked for.
    pub(crate) wanted: u64,
    /// The number of the last record that was sent to the store.
    pub(crate) writing: Option<u64>,
    /// The number of the last record that is durable.
    pub(crate) durable: u64,
    write_at_ms: u64,
    pub(crate) is_changed: bool,
    /// When the balance is noted next.
    pub(crate) note_at_ms: u64,
    /// Whether the record names former holders that hold nothing any more.
    is_record_long: bool,
}

/// How long to wait after a record could not be written.
const WRITE_AGAIN_MS: u64 = 150;
/// How long after the last move the record is tidied up.
const TIDY_MS: u64 = 250;

impl Assignment {
    /// Creates the assignment of a service that has none.
    pub(crate) fn new() -> Self {
        Self {
            pieces: vec![Piece::free(KeyRange::WHOLE)],
            load: KeyLoad::default(),
            seen: (0, 0),
            wanted: 0,
            writing: None,
            durable: 0,
            write_at_ms: 0,
            is_changed: true,
            note_at_ms: 0,
            is_record_long: false,
        }
    }

    /// Goes on with what an earlier leader recorded.
    ///
    /// That leader may have got as far as granting a range to its recorded owner, or not;
    /// whoever may hold it from before is asked to release it first.
    pub(crate) fn take_over(
        record: &Record,
        now_ms: u64,
        fences: &mut Fences,
        tuning: &Tuning,
    ) -> Self {
        // The earlier leader's last orders may still be on their way.
        let arrived_ms = now_ms + tuning.order_timeout_ms;
        let standing_until_ms = tuning.stands_until_ms(arrived_ms, tuning.longest_hold_ms);
        let to_former = |incarnation: &Incarnation| Former {
            incarnation: incarnation.clone(),
            standing_until_ms,
            release_at_ms: Some(now_ms),
        };
        let pieces = record.shares.iter().map(|share| Piece {
            holder: Some(Holder {
                standing_until_ms,
                serves: true,
                ..Holder::new(share.owner.clone(), fences.next())
            }),
            formers: share.previous.iter().map(to_former).collect(),
            ..Piece::free(share.range)
        });
        Self { pieces: pieces.collect(), ..Self::new() }
    }

    /// Returns whether something changed that daemons should know or orders may follow from.
    pub(crate) fn is_changed(&self) -> bool {
        self.is_changed
    }

    pub(crate) fn load_mut(&mut self) -> &mut KeyLoad {
        &mut self.load
    }

    /// Returns whether a server holds keys, or may still do so.
    pub(crate) fn names(&self, incarnation: &Incarnation) -> bool {
        self.pieces.iter().any(|piece| {
            piece.final_life() == Some(incarnation) || piece.previous().contains(incarnation)
        })
    }

    pub(crate) fn table(&self, now_ms: u64) -> Table {
        let mut spans: Vec<Span> = Vec::new();
        for piece in &self.pieces {
            let owner = to_owner(piece, now_ms);
            if let Some(last) = spans.last_mut()
                && last.owner == owner
                && let Some(range) = last.range.join(piece.range)
            {
                last.range = range;
                continue;
            }
            spans.push(Span { range: piece.range, owner });
        }
        Table { spans }
    }

    pub(crate) fn recorded(&mut self, number: u64) {
        self.durable = self.durable.max(number);
        self.writing = None;
    }

    pub(crate) fn record_failed(&mut self, now_ms: u64) {
        self.writing = None;
        self.write_at_ms = now_ms + WRITE_AGAIN_MS;
        // The same number must not stand for two contents.
        self.wanted += 1;
        for successor in self.pieces.iter_mut().filter_map(|piece| piece.successor.as_mut()) {
            if successor.record > self.durable {
                successor.record = self.wanted;
            }
        }
    }

    /// Has every holder's grant renewed at once.
    pub(crate) fn renew_all(&mut self) {
        for holder in self.pieces.iter_mut().filter_map(|piece| piece.holder.as_mut()) {
            holder.renew_at_ms = 0;
        }
    }

    /// Carries every piece one step on.
    pub(crate) fn advance(&mut self, turn: &mut Turn<'_>, balances: bool) {
        if !self.has_begun(turn) {
            return;
        }
        if balances {
            self.load.fade(turn.now_ms);
        }
        self.drop_lost(turn);
        if balances || self.needs_choice(turn) {
            let mut candidates = turn.candidates();
            self.add_loads(&mut candidates);
            self.drop_unwelcome(&candidates);
            self.choose_all(turn, &mut candidates);
            if balances {
                self.balance(turn, &mut candidates);
            }
        }
        if balances {
            self.ask_silent(turn);
        }
        self.carry_out(turn);
        self.write(turn);
        if std::mem::take(&mut self.is_changed) {
            turn.outputs.push(Output::Publish { service: turn.service.clone() });
        }
    }

    /// Returns whether keys are assigned, or may be now: no more servers come.
    fn has_begun(&mut self, turn: &Turn<'_>) -> bool {
        let is_first = matches!(self.pieces.as_slice(), [only] if only.final_life().is_none());
        let servers = turn.servers.registry.of_service(turn.service).count();
        if self.seen.0 != servers {
            self.seen = (servers, turn.now_ms);
        }
        !is_first || (servers > 0 && turn.now_ms >= self.seen.1 + turn.tuning.settle_ms)
    }

    /// Asks servers that were silent whether they answer now.
    ///
    /// Giving up a key that it does not hold changes nothing at a server; those that may
    /// hold something get orders anyhow.
    fn ask_silent(&self, turn: &mut Turn<'_>) {
        let (registry, service) = (turn.servers.registry, turn.service);
        let is_ours = |incarnation: &Incarnation| {
            registry.get(incarnation).is_some_and(|server| server.service == *service)
                && !self.names(incarnation)
        };
        for incarnation in turn.orders.take_due(turn.now_ms, is_ours) {
            let fence = turn.fences.next();
            turn.release(&incarnation, Release { range: KeyRange::FIRST, fence }, turn.now_ms);
        }
    }

    /// Returns whether a piece needs a successor, or has one that may have left.
    fn needs_choice(&self, turn: &Turn<'_>) -> bool {
        let has_successor = self.pieces.iter().any(|piece| piece.successor.is_some());
        has_successor || (0..self.pieces.len()).any(|at| self.needs_successor(turn, at).is_some())
    }

    /// Lets go of those that hold nothing any more.
    fn drop_lost(&mut self, turn: &Turn<'_>) {
        let registry = turn.servers.registry;
        for piece in &mut self.pieces {
            let is_restarted = piece
                .holder
                .as_ref()
                .is_some_and(|holder| registry.has_later_incarnation(&holder.incarnation));
            if is_restarted {
                piece.dismiss(turn.now_ms);
                self.is_changed = true;
            }
            // The earlier life holds nothing, but orders for it reach the later one where
            // the address is the same: that one may hold the range instead.
            for former in &mut piece.formers {
                if let Some(later) = registry.by_name(&former.incarnation.server)
                    && later.incarnation.born_ms > former.incarnation.born_ms
                {
                    former.incarnation = later.incarnation.clone();
                    former.release_at_ms = Some(turn.now_ms);
                }
            }
        }
    }

    /// Lets go of successors that left.
    fn drop_unwelcome(&mut self, candidates: &[Candidate]) {
        for piece in &mut self.pieces {
            let is_unwelcome = piece
                .successor
                .as_ref()
                .is_some_and(|successor| position(candidates, &successor.incarnation).is_none());
            if is_unwelcome && !candidates.is_empty() {
                piece.successor = None;
                self.is_changed = true;
            }
        }
    }

    /// Sends the orders that are due.
    fn carry_out(&mut self, turn: &mut Turn<'_>) {
        self.join_alike(turn);
        for piece in &mut self.pieces {
            self.is_changed |= release_formers(piece, turn);
            let may_stand = piece.holder.as_ref().is_some_and(|holder| {
                turn.may_stand(&holder.incarnation, piece.range, holder.standing_until_ms)
            });
            match piece.next(turn.now_ms, may_stand, self.durable) {
                Step::Wait => {}
                Step::Lapse => {
                    self.is_changed = true;
                    lapse(piece, turn);
                }
                Step::Dismiss => {
                    self.is_changed = true;
                    self.is_record_long = true;
                    piece.dismiss(turn.now_ms + turn.tuning.release_delay_ms);
                }
                Step::Install => {
                    self.is_changed = true;
                    install(piece, turn);
                }
                Step::Renew => renew(piece, turn),
            }
        }
    }

    /// Joins neighbours of one holder that are due for renewal, under a new fence.
    fn join_alike(&mut self, turn: &mut Turn<'_>) {
        let mut at = 0;
        while at + 1 < self.pieces.len() {
            let Some(range) = self.joined(turn, at) else {
                at += 1;
                continue;
            };
            let next = self.pieces.remove(at + 1);
            let piece = &mut self.pieces[at];
            piece.range = range;
            if let (Some(holder), Some(other)) = (&mut piece.holder, next.holder) {
                holder.standing_until_ms = holder.standing_until_ms.max(other.standing_until_ms);
                holder.renew_at_ms = 0;
                holder.renew_fence(turn.fences.next());
            }
        }
    }

    fn joined(&self, turn: &Turn<'_>, at: usize) -> Option<KeyRange> {
        let (left, right) = (&self.pieces[at], &self.pieces[at + 1]);
        let (first, second) = (left.holder.as_ref()?, right.holder.as_ref()?);
        let is_alike =
            left.is_settled() && right.is_settled() && first.incarnation == second.incarnation;
        let is_calm = |holder: &Holder| holder.failures == 0 && holder.refusals == 0;
        let is_due = turn.now_ms >= first.renew_at_ms || turn.now_ms >= second.renew_at_ms;
        if !(is_alike && is_due && is_calm(first) && is_calm(second)) {
            return None;
        }
        left.range.join(right.range)
    }

    /// Has the record written when plans wait for it, and some time after moves.
    ///
    /// Those that gave a range up stand in the record until then, and a later leader would
    /// ask them again.
    fn write(&mut self, turn: &mut Turn<'_>) {
        let is_quiet = self.pieces.iter().all(|piece| piece.previous().is_empty());
        if self.is_record_long && is_quiet && self.writing.is_none() {
            self.is_record_long = false;
            self.wanted = self.wanted.max(self.durable) + 1;
            self.write_at_ms = turn.now_ms + TIDY_MS;
        }
        let is_due = self.wanted > self.durable && self.writing.is_none();
        if !is_due || turn.now_ms < self.write_at_ms {
            return;
        }
        let Some(shares) = self.shares() else { return };
        self.writing = Some(self.wanted);
        let record = Record { epoch: turn.epoch.0, number: self.wanted, shares };
        turn.outputs.push(Output::Write { service: turn.service.clone(), record });
    }

    /// Returns who may hold what, as it has to be durable.
    fn shares(&self) -> Option<Vec<Share>> {
        let mut shares: Vec<Share> = Vec::new();
        for piece in &self.pieces {
            let owner = piece.final_life()?.clone();
            let previous = piece.previous();
            if let Some(last) = shares.last_mut()
                && last.owner == owner
                && last.previous == previous
                && let Some(range) = last.range.join(piece.range)
            {
                last.range = range;
                continue;
            }
            shares.push(Share { range: piece.range, owner, previous });
        }
        Some(shares)
    }
}

/// Has former holders release a piece; returns whether one of them was let go.
fn release_formers(piece: &mut Piece, turn: &mut Turn<'_>) -> bool {
    let range = piece.range;
    let before = piece.formers.len();
    piece.formers.retain_mut(|former| {
        if !turn.may_stand(&former.incarnation, range, former.standing_until_ms) {
            turn.note_lapse(range, &former.incarnation);
            return false;
        }
        if former.release_at_ms.is_some_and(|at_ms| turn.now_ms >= at_ms) {
            former.release_at_ms = None;
            let until_ms =
                turn.stands_until_ms(&former.incarnation, range, former.standing_until_ms);
            let fence = turn.fences.next();
            turn.release(&former.incarnation, Release { range, fence }, until_ms);
        }
        true
    });
    piece.formers.len() != before
}

fn lapse(piece: &mut Piece, turn: &mut Turn<'_>) {
    let Some(holder) = piece.holder.take() else { return };
    piece.handover = None;
    turn.note_lapse(piece.range, &holder.incarnation);
}

/// Makes the successor the holder.
fn install(piece: &mut Piece, turn: &mut Turn<'_>) {
    let Some(successor) = piece.successor.take() else { return };
    piece.holder = Some(Holder::new(successor.incarnation, turn.fences.next()));
    renew(piece, turn);
}

fn renew(piece: &mut Piece, turn: &mut Turn<'_>) {
    let handover = piece.handover.clone();
    let range = piece.range;
    let Some(holder) = &mut piece.holder else { return };
    if holder.refusals > 0 {
        holder.renew_fence(turn.fences.next());
    }
    holder.renew_at_ms = turn.now_ms + turn.tuning.renew_every_ms;
    let (incarnation, fence) = (holder.incarnation.clone(), holder.fence);
    turn.grant(&incarnation, Grant { range, fence, hold_ms: turn.hold_ms, handover });
}

fn to_owner(piece: &Piece, now_ms: u64) -> Owner {
    if let Some(holder) = piece.holder.as_ref().filter(|holder| holder.serves) {
        return Owner::Server(holder.incarnation.clone());
    }
    let standing = piece.formers.iter().map(|former| former.standing_until_ms);
    let for_ms = standing.max().unwrap_or(0).saturating_sub(now_ms);
    match &piece.successor {
        Some(successor) if successor.why == Why::Silent && for_ms > 0 => Owner::Nobody { for_ms },
        Some(successor) => Owner::Moving(successor.incarnation.clone()),
        None => match &piece.holder {
            Some(holder) => Owner::Moving(holder.incarnation.clone()),
            None => Owner::Nobody { for_ms },
        },
    }
}
