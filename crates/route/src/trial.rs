//! The requests by which a daemon learns the speed of servers that it does not know.

/// Draws which server a request may try out.
///
/// A choice by speed sends nothing to a server of unknown speed while faster ones have free slots.
/// Trials give each such server at most an equal part of the requests, whatever the speed of the
/// others, so that daemons that learn of it at the same moment do not all send to it.
#[derive(Clone, Copy, Debug)]
pub struct TrialDraw {
    /// How many servers are still to be passed before the drawn one; `None` after that.
    ahead: Option<usize>,
}

/// What a daemon knows of a server that may have to be tried.
#[derive(Clone, Copy, Debug)]
pub struct Familiarity {
    /// How many requests of this daemon are in flight or wait at the server.
    pub occupied: u32,
    /// How many answers its speed was derived from.
    pub answers: u32,
    /// How long ago the last of them came; `None` if a speed never counts as outdated.
    pub answered_ago_ms: Option<u64>,
    /// Its latency as a multiple of that of a typical server.
    pub slowness: f32,
    /// Whether its slow start has not ended.
    pub is_paced: bool,
    /// Whether it reports how long work takes.
    pub has_reports: bool,
}

/// Whether a request that is drawn for a server goes to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trial {
    /// No: the server is compared with the others.
    None,
    /// Yes, as its speed is not known yet.
    First,
    /// Yes, and what was known of its speed no longer counts.
    Again,
}

/// How many answers make the speed of a server known.
///
/// Their mean then has more weight than the speed that was assumed before.
const MIN_ANSWERS: u32 = 12;
/// The time after which the speed of a typical server is outdated; for others it is multiplied by
/// their slowness.
///
/// A server that was slow for a moment is then used again soon, and trials of one that stays slow
/// delay a daemon's callers by less than the time of a typical answer in each second.
const OUTDATED_MS: f32 = 1_000.0;

impl TrialDraw {
    /// Draws one of `servers` servers by a random number.
    #[must_use]
    pub fn new(servers: usize, draw: u32) -> Self {
        // The remainder decides which server wins among equals.
        let quotient = usize::try_from(draw).unwrap_or(0).checked_div(servers);
        Self { ahead: quotient.map(|quotient| quotient % servers) }
    }

    /// Moves on to the next server; returns whether it is the drawn one.
    pub fn is_next(&mut self) -> bool {
        let is_drawn = self.ahead == Some(0);
        self.ahead = self.ahead.and_then(|ahead| ahead.checked_sub(1));
        is_drawn
    }
}

impl Familiarity {
    /// Returns whether a request that is drawn for the server goes to it.
    ///
    /// There is one trial at a time, which every slow start allows.
    #[must_use]
    pub fn trial(self) -> Trial {
        if self.occupied > 0 {
            return Trial::None;
        }
        let is_known = self.has_reports || self.answers >= MIN_ANSWERS;
        if self.is_paced || !is_known {
            return Trial::First;
        }
        let is_outdated = self.answered_ago_ms.is_some_and(|ago_ms| {
            let ago_ms = u16::try_from(ago_ms).unwrap_or(u16::MAX);
            f32::from(ago_ms) > OUTDATED_MS * self.slowness.max(1.0)
        });
        if is_outdated && !self.has_reports { Trial::Again } else { Trial::None }
    }
}
