//! Which daemons read the servers' entries, and which hear of them from another daemon.
//!
//! Every server's heartbeat changes its entry, so that reading them costs each daemon some
//! calls a second. In a data centre one daemon of each group reads; it tells the others
//! what changed, and beats. Whoever does not hear it reads by itself.

use document::{Name, Revision};

/// What a daemon does about the servers' entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads them, and tells these daemons.
    Reads {
        /// The other daemons of its group.
        tells: Vec<Name>,
    },
    /// It hears of them from this daemon.
    Hears {
        /// The daemon of its group that reads.
        from: Name,
    },
}

/// What comes of a message about servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// It applies.
    Applies,
    /// It lacks something: a message that lists all servers is needed.
    Lacks,
    /// It does not matter here.
    Nothing,
}

/// What a daemon has heard of the servers' entries from another one.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    last: Option<Last>,
    asked_at_ms: Option<u64>,
}

/// The last message that applied.
#[derive(Clone, Debug)]
struct Last {
    from: Name,
    number: u64,
    at_ms: u64,
}

/// A message as far as it decides whether it applies.
#[derive(Clone, Copy, Debug)]
pub struct Header<'a> {
    /// The daemon that sent it.
    pub from: &'a Name,
    /// Its number; the sender's next message has the next number.
    pub number: u64,
    /// The store's revision that it includes.
    pub revision: Revision,
    /// Whether it lists all servers.
    pub is_whole: bool,
    /// Whether the sender no longer reads entries.
    pub is_over: bool,
}

/// How many daemons one reader tells at most: with a message of 70 bytes every
/// [`BEAT_MS`], 15 of the 26 KB a second that a daemon may use.
const MOST_TOLD: usize = 64;
/// How often a reader sends a message, also when nothing changed.
pub const BEAT_MS: u64 = 300;
/// After how long without a message a daemon reads by itself: three beats are lost, and a
/// server that leaves is still known within half of the drain.
const SILENCE_MS: u64 = 1_000;
/// For how long after an answer of the store a reader vouches for what it knows: longer than
/// a watch waits.
pub const VOUCHED_MS: u64 = 900;
/// How often at most all servers are asked for.
const ASK_EVERY_MS: u64 = 500;

impl Role {
    /// Returns the role of a daemon among those of its data centre, itself included.
    #[must_use]
    pub fn of(me: &Name, mut neighbours: Vec<Name>) -> Self {
        neighbours.sort_unstable();
        let group = neighbours.chunks(MOST_TOLD).find(|group| group.contains(me));
        match group.and_then(|group| group.split_first()) {
            Some((first, _)) if first != me => Self::Hears { from: first.clone() },
            Some((_, others)) => Self::Reads { tells: others.to_vec() },
            None => Self::Reads { tells: Vec::new() },
        }
    }
}

impl Relay {
    /// Takes a message; `known` is the revision up to which entries are known here.
    ///
    /// A message from before that revision would bring back servers that are gone, so it
    /// does not apply, and its sender does not count as heard.
    pub fn hear(
        &mut self,
        now_ms: u64,
        role: &Role,
        message: Header<'_>,
        known: Revision,
    ) -> Heard {
        let is_from_reader = matches!(role, Role::Hears { from } if from == message.from);
        if !is_from_reader {
            return Heard::Nothing;
        }
        if message.is_over {
            self.last = None;
            return Heard::Nothing;
        }
        let is_next = self
            .last
            .as_ref()
            .is_some_and(|last| last.from == *message.from && last.number + 1 == message.number);
        if message.revision >= known && (message.is_whole || is_next) {
            let (from, number) = (message.from.clone(), message.number);
            self.last = Some(Last { from, number, at_ms: now_ms });
            return Heard::Applies;
        }
        if self.asked_at_ms.is_some_and(|at_ms| now_ms < at_ms + ASK_EVERY_MS) {
            return Heard::Nothing;
        }
        self.asked_at_ms = Some(now_ms);
        Heard::Lacks
    }

    /// Returns whether entries need not be read here.
    #[must_use]
    pub fn is_told(&self, now_ms: u64, role: &Role) -> bool {
        let Role::Hears { from } = role else { return false };
        self.last
            .as_ref()
            .is_some_and(|last| last.from == *from && now_ms < last.at_ms + SILENCE_MS)
    }
}
