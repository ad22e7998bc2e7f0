//! Configuration of a leader.

/// Durations and thresholds of a leader.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Length of a grant while the store answers.
    ///
    /// It is longer than a leader's store lease plus one takeover, so that the loss of a
    /// leader interrupts no holder. A lost server's keys wait this long for a new holder.
    pub grant_ms: u64,
    /// Length of a grant while the store does not answer; at most [`Config::max_grant_ms`].
    pub outage_grant_ms: u64,
    /// Length of a grant to a server that has not answered just now.
    ///
    /// If it is not answered, its keys wait until it can no longer arrive and has expired.
    pub short_grant_ms: u64,
    /// The longest grant that servers accept, which an earlier leader may have given.
    pub max_grant_ms: u64,
    /// Time between renewals of a grant; two unanswered ones still fit into a grant.
    pub renew_interval_ms: u64,
    /// How long a grant may stay unanswered before its connection is reset.
    ///
    /// A release may stay unanswered until the holder's last grant has expired.
    pub order_timeout_ms: u64,
    /// How long after its connection was reset an order may arrive at most.
    ///
    /// Bytes that were sent before the reset may wait on a busy link.
    pub max_transit_ms: u64,
    /// Number of unanswered grants in a row, of a range or to a server, after which a holder is
    /// replaced.
    pub max_failures: u32,
    /// Delay of a release after the daemons were told of the move.
    ///
    /// Requests that were already sent to the holder still arrive before the release.
    pub release_delay_ms: u64,
    /// How long the number of servers must be unchanged before the first assignment.
    pub settle_ms: u64,
    /// Time between two checks of the load.
    pub balance_interval_ms: u64,
    /// How far a server's load may exceed its share before keys move, in percent.
    ///
    /// Below this, a move costs more than the shorter queue saves.
    pub tolerance_percent: u32,
    /// Smallest load that a move must shift, in busy slots.
    ///
    /// At low load, a quarter of the target server's share suffices.
    pub min_gain_slots: f32,
    /// Number of moving ranges at which balancing starts no further move.
    pub max_concurrent_moves: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            grant_ms: 3_000,
            outage_grant_ms: 9_800,
            short_grant_ms: 500,
            max_grant_ms: 10_000,
            renew_interval_ms: 800,
            order_timeout_ms: 500,
            max_transit_ms: 2_000,
            max_failures: 2,
            release_delay_ms: 6,
            settle_ms: 1_000,
            balance_interval_ms: 250,
            tolerance_percent: 20,
            min_gain_slots: 0.15,
            max_concurrent_moves: 8,
        }
    }
}

impl Config {
    /// Returns the latest time at which a grant may still be valid on its server.
    ///
    /// `arrived_at_ms` is the latest time at which the grant arrived. Clocks of servers may run
    /// two percent slow.
    #[must_use]
    pub fn grant_deadline_ms(&self, arrived_at_ms: u64, grant_ms: u64) -> u64 {
        arrived_at_ms + Self::longest_ms(grant_ms) + ARRIVAL_SLACK_MS
    }

    /// Returns the latest time at which a grant that is sent now and left unanswered may be valid.
    #[must_use]
    pub fn unanswered_grant_deadline_ms(&self, now_ms: u64, grant_ms: u64) -> u64 {
        let arrived_at_ms = now_ms + self.order_timeout_ms + self.max_transit_ms;
        self.grant_deadline_ms(arrived_at_ms, grant_ms)
    }

    /// Returns how long a time may last that another clock measured.
    pub(crate) fn longest_ms(measured_ms: u64) -> u64 {
        measured_ms + measured_ms.div_ceil(CLOCK_DRIFT_DIVISOR)
    }

    /// Returns the time until which grants of earlier leaders may be valid.
    #[must_use]
    pub fn earlier_grants_deadline_ms(&self, now_ms: u64) -> u64 {
        self.unanswered_grant_deadline_ms(now_ms, self.max_grant_ms)
    }

    /// Returns the time until which grants of a leader that resigned, or of earlier ones, may be valid.
    ///
    /// `left_ms` is how much longer they may be valid by that leader's clock; `None` if it is unknown.
    #[must_use]
    pub fn resigned_grants_deadline_ms(&self, now_ms: u64, left_ms: Option<u64>) -> u64 {
        left_ms.map_or_else(
            || self.earlier_grants_deadline_ms(now_ms),
            |left_ms| now_ms + Self::longest_ms(left_ms),
        )
    }
}

/// A clock that is two percent slow measures 49/50 of the time, so a grant lasts 50/49 of its length.
const CLOCK_DRIFT_DIVISOR: u64 = 49;
/// Allowance for timers that fire late and bytes in transit.
const ARRIVAL_SLACK_MS: u64 = 50;
