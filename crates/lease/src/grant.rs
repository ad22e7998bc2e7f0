//! When a grant is over for sure.

use crate::slower_ms;

/// The latest time at which one server may still use what it was granted.
///
/// A grant's deadline is on the server's own clock, counted from a reading of
/// that clock which the server sent earlier. A grant that arrives late is
/// therefore no longer than one that arrives at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantBound {
    clock: Option<Reading>,
    over_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    server_ms: u64,
    received_ms: u64,
}

impl GrantBound {
    /// Notes a reading of the server's clock that was received at `now_ms`.
    pub fn observe_clock(&mut self, server_ms: u64, now_ms: u64) {
        let is_newer = self.clock.is_none_or(|clock| clock.server_ms <= server_ms);
        if is_newer {
            self.clock = Some(Reading { server_ms, received_ms: now_ms });
        }
    }

    /// Forgets the clock of a server process that is gone, and all it held.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Forgets the clock of a process, but not when its grants end.
    pub fn change_clock(&mut self) {
        self.clock = None;
    }

    /// Returns the deadline for a grant sent now, on the server's clock.
    ///
    /// Returns `None` until a reading of that clock was received.
    pub fn extend(&mut self, grant_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        self.over_ms = self.over_ms.max(clock.received_ms + slower_ms(grant_ms));
        Some(clock.server_ms + grant_ms)
    }

    /// Returns whether every grant that was sent is over.
    #[must_use]
    pub fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.over_ms
    }

    /// Returns when every grant that was sent is over.
    #[must_use]
    pub fn over_ms(&self) -> u64 {
        self.over_ms
    }
}
