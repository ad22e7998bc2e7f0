//! When and how the record is written.

use std::sync::Arc;

use document::Revision;

use crate::{Intent, Record, Tuning};

/// The state of the controller's writes.
#[derive(Debug)]
pub(crate) struct Writer {
    /// How many writes were asked for.
    pub(crate) writes: u64,
    unresolved: Vec<Intent>,
    state: State,
    next_write_ms: u64,
}

#[derive(Debug)]
enum State {
    Idle,
    /// Voters are told of the write before it is tried.
    Announcing(Intent),
    Writing {
        number: u64,
        record: Arc<Record>,
        deadline_ms: u64,
    },
    ReadingBack {
        next_read_ms: u64,
    },
}

/// What to do about the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// A write may be drafted.
    Draft,
    /// The announced write may be tried.
    Try,
    /// The record must be read, to learn what became of a write.
    Read,
    /// Nothing now.
    Wait,
}

const READ_BACK_EVERY_MS: u64 = 500;
const RETRY_WRITE_MS: u64 = 500;

impl Writer {
    pub(crate) fn new(now_ms: u64, inherited: Vec<Intent>) -> Self {
        // Voters that lack them are told of them as of this controller's own.
        let unresolved: Vec<Intent> =
            (1..).zip(inherited).map(|(number, intent)| Intent { number, ..intent }).collect();
        let writes = unresolved.last().map_or(0, |intent| intent.number);
        Self { writes, unresolved, state: State::Idle, next_write_ms: now_ms }
    }

    pub(crate) fn next(&mut self, now_ms: u64, is_urgent: bool, is_announced: bool) -> Next {
        match &mut self.state {
            State::Idle if is_urgent || now_ms >= self.next_write_ms => Next::Draft,
            State::Announcing(_) if is_announced => Next::Try,
            State::Writing { deadline_ms, .. } if now_ms >= *deadline_ms => {
                self.state = State::ReadingBack { next_read_ms: now_ms + READ_BACK_EVERY_MS };
                Next::Read
            }
            State::ReadingBack { next_read_ms } if now_ms >= *next_read_ms => {
                *next_read_ms = now_ms + READ_BACK_EVERY_MS;
                Next::Read
            }
            _ => Next::Wait,
        }
    }

    /// Starts to announce a write.
    pub(crate) fn announce(&mut self, record: Arc<Record>, over: Revision) {
        self.writes += 1;
        let intent = Intent { number: self.writes, over, record };
        self.unresolved.push(intent.clone());
        self.state = State::Announcing(intent);
    }

    /// Returns the write that is being announced.
    pub(crate) fn announced(&self) -> Option<&Intent> {
        match &self.state {
            State::Announcing(intent) => Some(intent),
            _ => None,
        }
    }

    /// Starts to try the announced write.
    pub(crate) fn note_try(&mut self, now_ms: u64, tuning: &Tuning) -> Option<Intent> {
        let State::Announcing(intent) = std::mem::replace(&mut self.state, State::Idle) else {
            return None;
        };
        self.next_write_ms = now_ms + tuning.write_gap_ms;
        let deadline_ms = now_ms + tuning.write_timeout_ms;
        let record = Arc::clone(&intent.record);
        self.state = State::Writing { number: intent.number, record, deadline_ms };
        Some(intent)
    }

    /// Returns the writes that may take effect at any time.
    pub(crate) fn unresolved(&self) -> &[Intent] {
        &self.unresolved
    }

    /// Notes that the record has a newer revision, over which no earlier write can succeed.
    pub(crate) fn note_newer(&mut self) {
        self.unresolved.clear();
        if let State::Announcing(_) = self.state {
            self.state = State::Idle;
        }
    }

    /// Notes that a write is done; returns what was written, unless it was an earlier write.
    pub(crate) fn note_done(&mut self, done: u64) -> Option<Arc<Record>> {
        let State::Writing { number, record, .. } = &self.state else { return None };
        if *number != done {
            return None;
        }
        let record = Arc::clone(record);
        self.state = State::Idle;
        Some(record)
    }

    /// Notes that it is not known what the record is; returns whether to read it now.
    pub(crate) fn note_unclear(&mut self, now_ms: u64, unclear: u64) -> bool {
        let was_writing =
            matches!(&self.state, State::Writing { number, .. } if *number == unclear);
        if was_writing {
            self.state = State::ReadingBack { next_read_ms: now_ms + READ_BACK_EVERY_MS };
        }
        was_writing
    }

    /// Notes what the store holds.
    pub(crate) fn note_read(&mut self, now_ms: u64, is_newer: bool) {
        if let State::ReadingBack { .. } = self.state {
            self.state = State::Idle;
            // A write that has not taken effect may still do so; the next one competes with it.
            self.next_write_ms = if is_newer { now_ms } else { now_ms + RETRY_WRITE_MS };
        }
    }
}
