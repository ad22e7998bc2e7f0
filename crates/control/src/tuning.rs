//! Lengths of time of the control decisions, and the instances they involve.

use document::Name;

/// One live instance of the system.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Instance {
    /// The name from the instance's settings.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
}

/// How often and how long the parts of the protocol wait.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// The length of a voter's promise.
    pub promise_ms: u64,
    /// The longest time between two asks for a promise.
    pub ask_every_ms: u64,
    /// How long a candidate collects promises.
    pub candidacy_ms: u64,
    /// How much later each next candidate tries.
    pub stagger_ms: u64,
    /// The time between two orders to a server with nothing new to say.
    pub order_every_ms: u64,
    /// The time between two orders to a server that prepares or gives up a shard.
    pub ready_every_ms: u64,
    /// How long an order may stay unanswered.
    pub order_timeout_ms: u64,
    /// How long a server may be silent before no new work is placed on it.
    pub server_silence_ms: u64,
    /// How long daemons may take to drain a closed shard of a server that checks fences.
    pub close_ms: u64,
    /// The least time between two writes of the record.
    pub write_gap_ms: u64,
    /// How long a write may take before it is read back.
    pub write_timeout_ms: u64,
    /// How long a voter may be silent before it is replaced.
    pub voter_silence_ms: u64,
    /// The time between two looks at measured load.
    pub plan_every_ms: u64,
    /// How long a daemon may be silent before it is not waited for.
    pub daemon_silence_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            promise_ms: 700,
            ask_every_ms: 200,
            candidacy_ms: 250,
            stagger_ms: 120,
            order_every_ms: 250,
            ready_every_ms: 10,
            order_timeout_ms: 400,
            server_silence_ms: 1_000,
            close_ms: 150,
            write_gap_ms: 200,
            write_timeout_ms: 2_000,
            voter_silence_ms: 5_000,
            plan_every_ms: 5_000,
            daemon_silence_ms: 1_000,
        }
    }
}
