//! What the record of an assignment says, and when it is written.
//!
//! A move is recorded once no answer to a grant of the range is awaited, and a release can end all
//! grants, a renewal would make the next holder wait longer, or the move is overdue. From then on the
//! servers that may hold the range are sent none. The record says for how long their grants may be
//! valid at most, so whichever leader reads it knows when they end.

use registry::Incarnation;

use crate::assignment::Assignment;
use crate::order_tracker::PendingRanges;
use crate::pass::PassContext;
use crate::previous_holder::PreviousHolder;
use crate::range_state::{Holder, Listed, RangeState, Successor};
use crate::{Output, Record, RecordedRange};

/// The writes of an assignment's record.
#[derive(Debug, Default)]
pub(crate) struct RecordWrites {
    /// The number of the last record that was sent to the store.
    last: u64,
    /// The number of the record whose write has no answer yet.
    in_flight: Option<u64>,
    /// The number of the latest durable record.
    durable: u64,
    next_write_at_ms: u64,
    /// Whether the record may name previous holders that hold nothing any more.
    has_obsolete_holders: bool,
    /// When the record is written without them.
    cleanup_at_ms: Option<u64>,
}

/// The record's words on one range.
struct Entry {
    owner: Incarnation,
    previous: Vec<Incarnation>,
    is_move: bool,
}

/// Backoff after a record could not be written.
const WRITE_BACKOFF_MS: u64 = 150;
/// Delay after the last move until the record is rewritten without previous holders.
const CLEANUP_DELAY_MS: u64 = 250;

impl RecordWrites {
    /// Creates the writes of an assignment that continues from a record.
    pub(crate) fn after(record: &Record) -> Self {
        let has_previous = |recorded: &RecordedRange| !recorded.previous.is_empty();
        let has_obsolete_holders = record.ranges.iter().any(has_previous);
        Self { has_obsolete_holders, ..Self::default() }
    }

    /// Has the record written once all previous holders are done, even if it says nothing new.
    pub(crate) fn require_rewrite(&mut self) {
        self.has_obsolete_holders = true;
    }

    /// Returns whether a durable record names a successor.
    pub(crate) fn is_durable(&self, successor: &Successor) -> bool {
        successor.record_number.is_some_and(|number| self.durable >= number)
    }
}

impl Assignment {
    pub(crate) fn on_record_written(&mut self, number: u64) {
        let writes = &mut self.writes;
        writes.durable = writes.durable.max(number);
        writes.in_flight = None;
        // No record before this one can still become durable.
        for holder in self.ranges.iter_mut().filter_map(|state| state.holder.as_mut()) {
            holder.listed = holder.listed.and_then(|listed| listed.after_durable(number));
        }
    }

    /// Handles a failed write, which may still take effect unless it is ruled out.
    pub(crate) fn on_record_write_failed(&mut self, now_ms: u64, is_ruled_out: bool) {
        let writes = &mut self.writes;
        let number = writes.in_flight.take();
        if let Some(number) = number.filter(|_| is_ruled_out) {
            for holder in self.ranges.iter_mut().filter_map(|state| state.holder.as_mut()) {
                holder.listed = holder.listed.filter(|listed| listed.first < number);
            }
        }
        writes.next_write_at_ms = now_ms + WRITE_BACKOFF_MS;
        writes.has_obsolete_holders = true;
        // The failed write may still take effect, so its number is not used for other content.
        let durable = writes.durable;
        for successor in self.ranges.iter_mut().filter_map(|state| state.successor.as_mut()) {
            successor.record_number = successor.record_number.filter(|number| durable >= *number);
        }
    }

    /// Writes the record if a planned move can be recorded or moves have ended.
    ///
    /// Until it is written again after moves, the record in the store still names the previous
    /// holders, and a later leader would send them releases again.
    pub(crate) fn write_record_if_due(&mut self, pass: &mut PassContext<'_>) {
        self.schedule_cleanup(pass.now_ms);
        if self.writes.in_flight.is_some() || pass.now_ms < self.writes.next_write_at_ms {
            return;
        }
        let is_cleanup_due = self.writes.cleanup_at_ms.is_some_and(|at_ms| pass.now_ms >= at_ms);
        if !is_cleanup_due && !self.ranges.iter().any(RangeState::awaits_record) {
            return;
        }
        let entries = {
            let known = Known { pass, pending: pass.pending_ranges() };
            let is_due = |state: &RangeState| state.is_withdrawn() || known.is_recordable(state);
            if !is_cleanup_due && !self.ranges.iter().any(is_due) {
                return;
            }
            let entries = self.ranges.iter().map(|state| known.to_entry(state));
            entries.collect::<Option<Vec<Entry>>>()
        };
        let Some(entries) = entries else { return };
        let number = self.writes.last + 1;
        for (state, entry) in
            self.ranges.iter_mut().zip(&entries).filter(|(_, entry)| entry.is_move)
        {
            state.on_recorded(number, &entry.owner);
        }
        let previous_left_ms = self.previous_left_ms(pass, &entries);
        let ranges = join_entries(&self.ranges, entries);
        let writes = &mut self.writes;
        (writes.last, writes.in_flight, writes.cleanup_at_ms) = (number, Some(number), None);
        writes.has_obsolete_holders = ranges.iter().any(|recorded| !recorded.previous.is_empty());
        let record = Record { epoch: pass.epoch.0, number, previous_left_ms, ranges };
        pass.outputs.push(Output::Write { service: pass.service.clone(), record });
    }

    /// Returns for how long grants to the recorded previous holders may be valid at most; `None` if
    /// the answer to one is awaited.
    ///
    /// The connection of such a grant is open, so the time of its arrival has no bound yet.
    fn previous_left_ms(&self, pass: &PassContext<'_>, entries: &[Entry]) -> Option<u64> {
        let pending = pass.pending_ranges();
        let mut left_ms = 0;
        for (state, entry) in self.ranges.iter().zip(entries) {
            for (incarnation, answered_ms) in state.grant_deadlines_of(&entry.previous) {
                if pending.include(incarnation, state.range) {
                    return None;
                }
                let deadline_ms = pass.grant_deadline_ms(incarnation, state.range, answered_ms);
                left_ms = left_ms.max(deadline_ms.saturating_sub(pass.now_ms));
            }
        }
        Some(left_ms)
    }

    fn schedule_cleanup(&mut self, now_ms: u64) {
        let writes = &mut self.writes;
        if writes.has_obsolete_holders
            && writes.cleanup_at_ms.is_none()
            && writes.in_flight.is_none()
            && self.ranges.iter().all(|state| state.holders_to_release().is_empty())
        {
            writes.cleanup_at_ms = Some(now_ms + CLEANUP_DELAY_MS);
        }
    }
}

impl RangeState {
    /// Returns whether the record is to be written for this range as soon as it can be.
    fn awaits_record(&self) -> bool {
        self.is_withdrawn()
            || self.successor.as_ref().is_some_and(|successor| successor.record_number.is_none())
    }

    /// Returns whether a record names a successor that is not wanted any more.
    fn is_withdrawn(&self) -> bool {
        let is_frozen = self.holder.as_ref().is_some_and(Holder::is_frozen);
        is_frozen && self.successor.is_none()
    }

    /// Notes that a record names the successor as the owner.
    fn on_recorded(&mut self, number: u64, owner: &Incarnation) {
        if let Some(successor) = &mut self.successor {
            successor.record_number.get_or_insert(number);
        }
        if let Some(holder) = &mut self.holder
            && holder.incarnation != *owner
        {
            holder.listed = Some(Listed::again(holder.listed, number));
        }
    }
}

/// What a leader knows of the servers that may hold ranges.
struct Known<'a> {
    pass: &'a PassContext<'a>,
    pending: PendingRanges<'a>,
}

impl Known<'_> {
    /// Returns whether the planned move of a range can be recorded and no record names it yet.
    fn is_recordable(&self, state: &RangeState) -> bool {
        let is_planned =
            state.successor.as_ref().is_some_and(|successor| successor.record_number.is_none());
        is_planned
            && state.holder.as_ref().is_none_or(|holder| self.is_ready(state, holder))
            && state.previous_holders.iter().all(|previous| !self.is_awaited(state, previous))
    }

    /// Returns whether a holder may be sent no more grants.
    fn is_ready(&self, state: &RangeState, holder: &Holder) -> bool {
        let pass = self.pass;
        let successor = state.successor.as_ref();
        let is_patience_over =
            successor.is_none_or(|next| pass.now_ms >= next.patience_deadline_ms);
        // A holder that leaves grants unanswered again and again would keep the range.
        let is_overdue = successor.is_some_and(|next| {
            let longest_ms = pass.config.unanswered_grant_deadline_ms(0, pass.grant_ms);
            pass.now_ms >= next.patience_deadline_ms + longest_ms
        });
        // While the store does not answer, a move would have to wait without grants.
        (pass.store_answers || holder.is_frozen())
            && !self.pending.include(&holder.incarnation, state.range)
            && (pass.can_be_released(holder, state.range)
                || is_patience_over
                    && holder.lease_end_ms > 0
                    && (is_overdue || pass.would_renewal_delay(holder, state.range)))
    }

    /// Returns whether the answer to a grant of a previous holder is awaited.
    fn is_awaited(&self, state: &RangeState, previous: &PreviousHolder) -> bool {
        self.pending.include(&previous.incarnation, state.range)
    }

    /// Returns the record's words on a range; `None` if it has neither holder nor successor.
    fn to_entry(&self, state: &RangeState) -> Option<Entry> {
        if let Some(successor) = &state.successor
            && (successor.record_number.is_some() || self.is_recordable(state))
        {
            let owner = successor.incarnation.clone();
            let previous = state.holders_to_release();
            return Some(Entry { owner, previous, is_move: true });
        }
        // The planned move is not recorded yet. A server whose answer is awaited is the owner, as
        // the end of its grants cannot be told.
        let previous: Vec<&PreviousHolder> = state.previous_holders.iter().collect();
        let awaited = previous.iter().rposition(|previous| self.is_awaited(state, previous));
        let mut previous: Vec<Incarnation> =
            previous.into_iter().map(|previous| previous.incarnation.clone()).collect();
        let owner = match (&state.holder, awaited) {
            (Some(holder), _) => holder.incarnation.clone(),
            (None, Some(awaited)) => previous.remove(awaited),
            (None, None) => previous.pop()?,
        };
        Some(Entry { owner, previous, is_move: false })
    }
}

/// Joins adjacent ranges of which the record says the same.
fn join_entries(states: &[RangeState], entries: Vec<Entry>) -> Vec<RecordedRange> {
    let mut ranges: Vec<RecordedRange> = Vec::new();
    for (state, entry) in states.iter().zip(entries) {
        let Entry { owner, previous, .. } = entry;
        if let Some(last) = ranges.last_mut()
            && last.owner == owner
            && last.previous == previous
            && let Some(range) = last.range.join(state.range)
        {
            last.range = range;
            continue;
        }
        ranges.push(RecordedRange { range: state.range, owner, previous });
    }
    ranges
}
