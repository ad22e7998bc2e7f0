//! Decides which daemons read the servers' entries and which get them from another daemon.
//!
//! Every server's heartbeat changes its entry, so reading the entries costs a daemon some calls
//! to the store each second. The daemons of a data centre form groups. One daemon of each group,
//! the reader, reads the entries and sends changes and heartbeats to the others. A daemon that
//! does not receive them reads the entries itself.

use document::{Name, Revision};

use crate::leader::distribution::daemon_groups;

/// How a daemon gets the servers' entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads them from the store and sends them to other daemons.
    Reads {
        /// The other daemons of its group.
        tells: Vec<Name>,
    },
    /// It gets them from another daemon.
    Hears {
        /// The daemon of its group that reads.
        from: Name,
    },
}

/// What to do with a message about servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageAction {
    /// Apply it.
    Apply,
    /// Request all servers: messages were missed or the message is outdated.
    RequestAll,
    /// Ignore it.
    Ignore,
}

/// Tracks the messages with which another daemon relays servers' entries.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    last: Option<LastMessage>,
    requested_at_ms: Option<u64>,
}

/// The last message that was applied.
#[derive(Clone, Debug)]
struct LastMessage {
    from: Name,
    number: u64,
    at_ms: u64,
}

/// The parts of a message that decide whether it is applied.
#[derive(Clone, Copy, Debug)]
pub struct MessageHeader<'a> {
    /// The daemon that sent it.
    pub from: &'a Name,
    /// The message number; the sender's next message has the next number.
    pub number: u64,
    /// The store's revision up to which changes are included.
    pub revision: Revision,
    /// Whether it lists all servers.
    pub is_whole: bool,
    /// Whether the sender has stopped reading entries.
    pub has_stopped_reading: bool,
}

/// How often a reader sends a message, even when nothing changed.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// How long a daemon waits for a message before it reads the entries itself.
///
/// Three heartbeat intervals fit into this time, so up to two heartbeats in a row may be lost. A
/// leaving server is still noticed within half of the drain time.
pub(crate) const READER_TIMEOUT_MS: u64 = 1_000;
/// How long a daemon that has just started waits for its reader's first message.
const FIRST_MESSAGE_TIMEOUT_MS: u64 = 600;
/// How long a reader's entries are valid after an answer from the store; longer than a watch
/// waits.
pub const READ_VALID_MS: u64 = 900;
/// The least time between two requests for all servers.
const REQUEST_INTERVAL_MS: u64 = 500;

impl Role {
    /// Returns the role of a daemon; `neighbours` are all daemons of its data centre, itself
    /// included.
    #[must_use]
    pub fn of(instance: &Name, neighbours: Vec<Name>) -> Self {
        let group = daemon_groups(neighbours).into_iter().find(|group| group.contains(instance));
        match group.as_ref().and_then(|group| group.split_first()) {
            Some((first, _)) if first != instance => Self::Hears { from: first.clone() },
            Some((_, others)) => Self::Reads { tells: others.to_vec() },
            None => Self::Reads { tells: Vec::new() },
        }
    }
}

impl Relay {
    /// Handles a message; `known_revision` is the revision up to which entries are known here.
    ///
    /// A message from before that revision would bring back servers that are gone. It is not
    /// applied, and does not show that the sender is alive.
    pub fn on_message(
        &mut self,
        now_ms: u64,
        role: &Role,
        message: MessageHeader<'_>,
        known_revision: Revision,
    ) -> MessageAction {
        let is_from_reader = matches!(role, Role::Hears { from } if from == message.from);
        if !is_from_reader {
            return MessageAction::Ignore;
        }
        if message.has_stopped_reading {
            self.last = None;
            return MessageAction::Ignore;
        }
        let is_next = self
            .last
            .as_ref()
            .is_some_and(|last| last.from == *message.from && last.number + 1 == message.number);
        if message.revision >= known_revision && (message.is_whole || is_next) {
            let (from, number) = (message.from.clone(), message.number);
            self.last = Some(LastMessage { from, number, at_ms: now_ms });
            return MessageAction::Apply;
        }
        if self.requested_at_ms.is_some_and(|at_ms| now_ms < at_ms + REQUEST_INTERVAL_MS) {
            return MessageAction::Ignore;
        }
        self.requested_at_ms = Some(now_ms);
        MessageAction::RequestAll
    }

    /// Returns whether another daemon supplies the entries, so that they need not be read here.
    #[must_use]
    pub fn has_live_reader(&self, now_ms: u64, role: &Role) -> bool {
        let Role::Hears { from } = role else { return false };
        self.last
            .as_ref()
            .is_some_and(|last| last.from == *from && now_ms < last.at_ms + READER_TIMEOUT_MS)
    }

    /// Returns whether a daemon waits for its reader's first message, `since_ms` being the time
    /// at which it started or reached the store again.
    ///
    /// When hundreds of daemons start at once and each reads all entries, the store refuses some.
    #[must_use]
    pub fn awaits_reader(&self, now_ms: u64, since_ms: u64, role: Option<&Role>) -> bool {
        let may_hear = !matches!(role, Some(Role::Reads { .. }));
        may_hear && self.last.is_none() && now_ms < since_ms + FIRST_MESSAGE_TIMEOUT_MS
    }
}
