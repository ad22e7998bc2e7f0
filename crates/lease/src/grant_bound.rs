//! The controller's bound on when the grants to a server have expired.

use crate::plus_drift_ms;

/// An upper bound on the time at which every grant sent to one server has expired.
///
/// The deadline of a grant is on the server's clock, counted from the newest reading of that
/// clock that the controller has received. A delay on the way to the server therefore does
/// not lengthen a grant. The route leases of a daemon are bounded in the same way.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrantBound {
    clock: Option<ClockReading>,
    deadline_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    server_clock_ms: u64,
    received_at_ms: u64,
}

impl GrantBound {
    /// Records a reading of the server's clock that was received at `now_ms`.
    pub fn observe_clock(&mut self, server_clock_ms: u64, now_ms: u64) {
        let is_newer = self.clock.is_none_or(|clock| clock.server_clock_ms <= server_clock_ms);
        if is_newer {
            self.clock = Some(ClockReading { server_clock_ms, received_at_ms: now_ms });
        }
    }

    /// Forgets the clock and the grants of a server process that no longer runs.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Forgets the clock of a process that was replaced, but keeps the deadline of its grants.
    pub fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Extends the bound for a grant sent now; returns its deadline on the server's clock.
    ///
    /// Returns `None` as long as no reading of that clock was received.
    pub fn extend(&mut self, grant_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        self.deadline_ms = self.deadline_ms.max(clock.received_at_ms + plus_drift_ms(grant_ms));
        Some(clock.server_clock_ms + grant_ms)
    }

    /// Extends the bound to the deadline of grants that earlier controllers may have sent.
    pub fn extend_to(&mut self, deadline_ms: u64) {
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
    }

    /// Returns whether every grant that was sent has expired.
    #[must_use]
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_ms
    }

    /// Returns when every grant that was sent has expired, in milliseconds of the local clock.
    #[must_use]
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }
}
