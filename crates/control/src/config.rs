//! Intervals and timeouts of the control protocol, and the type of an instance.

use document::Name;

/// One live instance, that is, one daemon of the fleet.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Instance {
    /// The name from the instance's settings.
    pub name: Name,
    /// The data centre that the instance runs in.
    pub data_centre: Name,
}

/// Intervals and timeouts of the control protocol, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Length of a voter's promise.
    pub promise_ms: u64,
    /// Interval at which a controller requests the voters' promises again.
    ///
    /// A new record or a newly announced write is sent to the voters at once.
    pub promise_request_interval_ms: u64,
    /// How long a candidate waits for a majority of promises.
    pub candidacy_timeout_ms: u64,
    /// Delay before a candidacy, multiplied by the rank of the candidate, which starts at 0.
    pub candidacy_delay_ms: u64,
    /// Interval between orders to a server when its assignment has not changed.
    pub order_interval_ms: u64,
    /// Interval between orders to a server that is preparing or releasing a shard.
    pub progress_interval_ms: u64,
    /// How long to wait for the answer to an order before sending the next one.
    pub order_timeout_ms: u64,
    /// After this time without a report, a server gets no new shards.
    pub server_timeout_ms: u64,
    /// How long daemons may take to drain a closed shard of a server that checks fences.
    pub drain_timeout_ms: u64,
    /// Minimum interval between two writes of the record; an urgent write does not wait for it.
    pub min_write_interval_ms: u64,
    /// After this time without an outcome of a write, the record is read back.
    pub write_timeout_ms: u64,
    /// After this time without an answer, a voter is replaced.
    pub voter_timeout_ms: u64,
    /// Interval at which placement is planned again from the measured load.
    pub planning_interval_ms: u64,
    /// After this time without a heartbeat, a daemon counts as silent.
    ///
    /// A planned move away from a server that checks fences does not wait for silent daemons.
    /// A daemon regards the controller as silent after the same time without a reply.
    pub daemon_timeout_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            promise_ms: 700,
            promise_request_interval_ms: 200,
            candidacy_timeout_ms: 250,
            candidacy_delay_ms: 120,
            order_interval_ms: 250,
            progress_interval_ms: 10,
            order_timeout_ms: 400,
            server_timeout_ms: 1_000,
            drain_timeout_ms: 150,
            min_write_interval_ms: 200,
            write_timeout_ms: 2_000,
            voter_timeout_ms: 5_000,
            planning_interval_ms: 5_000,
            daemon_timeout_ms: 1_000,
        }
    }
}
