//! Lengths of time and thresholds of a leader.

/// Lengths of time and thresholds.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// How long a grant stands in calm times.
    ///
    /// It outlasts a leader's store lease and one takeover, so that a leader's loss costs
    /// nothing; a lost server's keys wait for its end.
    pub hold_ms: u64,
    /// How long a grant stands while the store does not answer; at most what servers take.
    pub long_hold_ms: u64,
    /// The longest grant that servers take, which any earlier leader may have given.
    pub longest_hold_ms: u64,
    /// How often a grant is renewed: five times in its length.
    pub renew_every_ms: u64,
    /// How long an order may stay unanswered before its connection is reset.
    pub order_timeout_ms: u64,
    /// After how many unanswered renewals a holder is replaced.
    pub failures: u32,
    /// How long a release waits after the daemons were told, so that requests on their way
    /// still arrive.
    pub release_delay_ms: u64,
    /// How long the first assignment waits after the last server that registered.
    pub settle_ms: u64,
    /// How often load is looked at.
    pub balance_every_ms: u64,
    /// How far above its share a server may be before keys move, in percent.
    ///
    /// Below this, moves cost more than the shorter queue brings.
    pub tolerance_percent: u32,
    /// How much load, in busy slots, a move must be worth.
    pub least_gain_slots: f32,
    /// How many ranges may be on the move at once.
    pub most_moves: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            hold_ms: 3_000,
            long_hold_ms: 9_800,
            longest_hold_ms: 10_000,
            renew_every_ms: 600,
            order_timeout_ms: 500,
            failures: 2,
            release_delay_ms: 6,
            settle_ms: 1_000,
            balance_every_ms: 250,
            tolerance_percent: 20,
            least_gain_slots: 0.15,
            most_moves: 8,
        }
    }
}

impl Tuning {
    /// Returns until when a grant that arrived by some time may stand.
    ///
    /// Servers' clocks may run two percent slow.
    #[must_use]
    pub fn stands_until_ms(&self, arrived_ms: u64, hold_ms: u64) -> u64 {
        arrived_ms + hold_ms + hold_ms / CLOCK_DRIFT_PART + ARRIVAL_SLACK_MS
    }
}

/// Servers' clocks may be slow by this part: two percent.
const CLOCK_DRIFT_PART: u64 = 50;
/// What is added for timers that fire late and bytes on their way.
const ARRIVAL_SLACK_MS: u64 = 50;
