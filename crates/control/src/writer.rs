//! When and how the record is written.

use std::sync::Arc;

use crate::{Record, Tuning};

/// The state of the controller's writes.
#[derive(Debug)]
pub(crate) struct Writer {
    /// How many writes were asked for.
    pub(crate) writes: u64,
    state: State,
    next_write_ms: u64,
}

#[derive(Debug)]
enum State {
    Idle,
    Writing { record: Arc<Record>, deadline_ms: u64 },
    ReadingBack { next_read_ms: u64 },
}

/// What to do about the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// A write may start.
    Write,
    /// The record must be read, to learn what became of a write.
    Read,
    /// Nothing now.
    Wait,
}

const READ_BACK_EVERY_MS: u64 = 500;
const RETRY_WRITE_MS: u64 = 500;

impl Writer {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self { writes: 0, state: State::Idle, next_write_ms: now_ms }
    }

    pub(crate) fn next(&mut self, now_ms: u64, is_urgent: bool) -> Next {
        match &mut self.state {
            State::Idle if is_urgent || now_ms >= self.next_write_ms => Next::Write,
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

    pub(crate) fn note_write(&mut self, now_ms: u64, record: Arc<Record>, tuning: &Tuning) {
        self.writes += 1;
        self.next_write_ms = now_ms + tuning.write_gap_ms;
        let deadline_ms = now_ms + tuning.write_timeout_ms;
        self.state = State::Writing { record, deadline_ms };
    }

    /// Notes that the write is done; returns what was written.
    pub(crate) fn note_done(&mut self) -> Option<Arc<Record>> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Writing { record, .. } => Some(record),
            State::Idle | State::ReadingBack { .. } => None,
        }
    }

    /// Notes that it is not known what the record is; returns whether to read it now.
    pub(crate) fn note_unclear(&mut self, now_ms: u64) -> bool {
        let was_writing = matches!(self.state, State::Writing { .. });
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
