//! Limits on the requests to a server that is cold.

use crate::{Rate, Turn};

/// How many requests all daemons together send to a cold server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLimit {
    rate: Rate,
    /// How much unused time of the rate may be used at once, in microseconds.
    burst_us: u64,
}

/// Until when a server reported that it stays cold, and when it last answered.
#[derive(Clone, Copy, Debug)]
pub struct ColdTime {
    /// The end of the reported time; 0 if it was never cold.
    pub deadline_ms: u64,
    /// When the latest answer came; 0 before the first one.
    pub answered_at_ms: u64,
}

/// Whether a server takes all requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warmth {
    /// It is cold.
    Cold,
    /// The time that it reported is over, and it has not answered since.
    ///
    /// It may have become cold again, which a daemon that sent it nothing was not told.
    Unconfirmed,
    /// It is warm.
    Warm,
}

/// A daemon's part of a rate that several daemons share without messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// The daemon's position among the daemons in the order of their names.
    pub position: u32,
    /// The number of daemons.
    pub daemons: u32,
}

/// The turns that a daemon takes at a cold server while the keeper does not reply.
///
/// Time is divided into intervals of the daemon's share of the rate, by a clock that all daemons
/// have in common. Each interval has one turn, in a short window that differs between daemons.
/// Daemons that lose the keeper together therefore do not send together.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedTurns {
    /// The end of the last window that was used, in microseconds.
    used_until_us: u64,
}

/// The part of the slack that may be used at once after a time without requests.
const MAX_BURST_DIVISOR: u64 = 3;
/// How many daemons may act as keeper of a server at the same moment while keepers change.
const MAX_KEEPERS: u64 = 2;
/// How long the window of a turn is.
///
/// It has to be short against the second in which requests are counted, and long enough that a
/// request of a busy daemon falls into it.
const MAX_WINDOW_US: u64 = 300_000;

impl ColdTime {
    /// Returns whether the server takes all requests at this time.
    #[must_use]
    pub fn warmth(self, now_ms: u64) -> Warmth {
        if now_ms < self.deadline_ms {
            Warmth::Cold
        } else if self.answered_at_ms < self.deadline_ms {
            Warmth::Unconfirmed
        } else {
            Warmth::Warm
        }
    }
}

impl ColdLimit {
    /// Creates the limit of a server that tolerates a rate while it is cold.
    ///
    /// In any second, at most the tolerated rate times the overage, plus `slack` requests may
    /// arrive. The burst is chosen so that two keepers together stay within that.
    #[must_use]
    pub fn new(tolerated: Rate, overage_milli: u32, slack: u32) -> Self {
        let milli_per_s = tolerated.milli_per_s().saturating_mul(u64::from(overage_milli)) / 1_000;
        let rate = Rate::from_milli_per_s(milli_per_s);
        let slack_milli = u64::from(slack) * 1_000;
        let spare_milli = slack_milli.saturating_sub(milli_per_s * (MAX_KEEPERS - 1));
        let burst_milli = (slack_milli / MAX_BURST_DIVISOR).min(spare_milli / MAX_KEEPERS);
        // The first request of a burst needs no unused time.
        let extra_milli = burst_milli.saturating_sub(1_000);
        Self { rate, burst_us: rate.interval_us().saturating_mul(extra_milli) / 1_000 }
    }

    /// Returns how many requests all daemons together send in a second.
    #[must_use]
    pub fn rate(self) -> Rate {
        self.rate
    }

    /// Returns how much unused time of the rate may be used at once, in microseconds.
    #[must_use]
    pub fn burst_us(self) -> u64 {
        self.burst_us
    }
}

impl SharedTurns {
    /// Takes the next turn of this daemon's part of `rate`; `now_ms` is the time of a clock that
    /// all daemons have in common.
    pub fn take(&mut self, now_ms: u64, max_wait_ms: u64, rate: Rate, share: Share) -> Turn {
        let daemons = u64::from(share.daemons.max(1));
        let interval_us = rate.interval_us().saturating_mul(daemons);
        let time_us = now_ms.saturating_mul(1_000);
        let phase_us = rate.interval_us().saturating_mul(u64::from(share.position) % daemons);
        let elapsed_us = (time_us + interval_us - phase_us) % interval_us;
        // Windows leave half of the time between two daemons' turns free if turns are frequent.
        let window_us = MAX_WINDOW_US.min(interval_us / 2);
        let mut opens_at_us = time_us.saturating_sub(elapsed_us);
        if elapsed_us >= window_us {
            opens_at_us = opens_at_us.saturating_add(interval_us);
        }
        // A used window is not used again, also when the number of daemons changes.
        let used_us = self.used_until_us.saturating_sub(opens_at_us);
        let skipped = used_us.div_ceil(interval_us);
        opens_at_us = opens_at_us.saturating_add(skipped.saturating_mul(interval_us));
        let wait_ms = opens_at_us.saturating_sub(time_us).div_ceil(1_000);
        if wait_ms > max_wait_ms {
            return Turn::Full { remaining_ms: wait_ms - max_wait_ms };
        }
        self.used_until_us = opens_at_us.saturating_add(window_us);
        Turn::In { wait_ms }
    }
}
