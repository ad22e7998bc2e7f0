//! Tracks the controller's writes of the record.

use std::sync::Arc;

use document::Revision;

use crate::{Config, Intent, Record};

/// Decides when the record is written and read back.
#[derive(Debug)]
pub(crate) struct Writer {
    /// The number of the last announced write.
    pub(crate) last_number: u64,
    /// The announced writes that may still take effect, this controller's and earlier ones'.
    unresolved: Vec<Intent>,
    state: State,
    next_write_at_ms: u64,
}

#[derive(Debug)]
enum State {
    Idle,
    /// The write is announced to the voters before it is sent to the store.
    Announcing(Intent),
    /// The write was sent and its outcome is not known yet.
    Writing {
        number: u64,
        record: Arc<Record>,
        deadline_ms: u64,
    },
    /// The outcome of a write is unknown, so the record is read.
    ReadingBack {
        next_read_at_ms: u64,
    },
}

/// The next step of writing the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextStep {
    /// Draft a record and announce it if it differs from the known one.
    Draft,
    /// Send the announced write to the store.
    Write,
    /// Read the record to learn the outcome of a write.
    Read,
    /// Do nothing now.
    Wait,
}

const READ_BACK_INTERVAL_MS: u64 = 500;
const WRITE_BACKOFF_MS: u64 = 500;

impl Writer {
    pub(crate) fn new(now_ms: u64, inherited: Vec<Intent>) -> Self {
        // Inherited intents are renumbered as this controller's own, so that it announces them
        // to the voters that lack them.
        let unresolved: Vec<Intent> =
            (1..).zip(inherited).map(|(number, intent)| Intent { number, ..intent }).collect();
        let last_number = unresolved.last().map_or(0, |intent| intent.number);
        Self { last_number, unresolved, state: State::Idle, next_write_at_ms: now_ms }
    }

    /// Returns the next step; an urgent write does not wait for the minimum write interval.
    pub(crate) fn next(&mut self, now_ms: u64, is_urgent: bool, is_acknowledged: bool) -> NextStep {
        match &mut self.state {
            State::Idle if is_urgent || now_ms >= self.next_write_at_ms => NextStep::Draft,
            State::Announcing(_) if is_acknowledged => NextStep::Write,
            State::Writing { deadline_ms, .. } if now_ms >= *deadline_ms => {
                self.state = State::ReadingBack { next_read_at_ms: now_ms + READ_BACK_INTERVAL_MS };
                NextStep::Read
            }
            State::ReadingBack { next_read_at_ms } if now_ms >= *next_read_at_ms => {
                *next_read_at_ms = now_ms + READ_BACK_INTERVAL_MS;
                NextStep::Read
            }
            _ => NextStep::Wait,
        }
    }

    /// Starts to announce a write that replaces the given revision.
    pub(crate) fn announce(&mut self, record: Arc<Record>, replaced_revision: Revision) {
        self.last_number += 1;
        let intent = Intent { number: self.last_number, replaced_revision, record };
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

    /// Starts the announced write and returns it.
    pub(crate) fn start_write(&mut self, now_ms: u64, config: &Config) -> Option<Intent> {
        let State::Announcing(intent) = std::mem::replace(&mut self.state, State::Idle) else {
            return None;
        };
        self.next_write_at_ms = now_ms + config.min_write_interval_ms;
        let deadline_ms = now_ms + config.write_timeout_ms;
        let record = Arc::clone(&intent.record);
        self.state = State::Writing { number: intent.number, record, deadline_ms };
        Some(intent)
    }

    /// Returns the announced writes that may still take effect.
    pub(crate) fn unresolved(&self) -> &[Intent] {
        &self.unresolved
    }

    /// Forgets all unresolved writes, since none of them can replace a newer revision.
    pub(crate) fn on_newer_revision(&mut self) {
        self.unresolved.clear();
        if let State::Announcing(_) = self.state {
            self.state = State::Idle;
        }
    }

    /// Ends the current write and returns its record, or `None` if another write is current.
    pub(crate) fn on_written(&mut self, written_number: u64) -> Option<Arc<Record>> {
        let State::Writing { number, record, .. } = &self.state else { return None };
        if *number != written_number {
            return None;
        }
        let record = Arc::clone(record);
        self.state = State::Idle;
        Some(record)
    }

    /// Handles a conflict or an unknown outcome; returns whether to read the record now.
    pub(crate) fn on_not_confirmed(&mut self, now_ms: u64, ended_number: u64) -> bool {
        let was_writing =
            matches!(&self.state, State::Writing { number, .. } if *number == ended_number);
        if was_writing {
            self.state = State::ReadingBack { next_read_at_ms: now_ms + READ_BACK_INTERVAL_MS };
        }
        was_writing
    }

    /// Handles a read of the record, which ends the reading back of a write.
    ///
    /// `is_newer` tells whether the revision read is newer than the known one.
    pub(crate) fn on_record_read(&mut self, now_ms: u64, is_newer: bool) {
        if let State::ReadingBack { .. } = self.state {
            self.state = State::Idle;
            // Without a newer revision, the write may still take effect and compete with the next
            // one, which therefore waits.
            self.next_write_at_ms = if is_newer { now_ms } else { now_ms + WRITE_BACKOFF_MS };
        }
    }
}
