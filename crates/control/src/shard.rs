//! The state of one shard and of its handover to another server.

use document::Name;
use lease::Epoch;

/// The state of one shard, as its controller knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ShardState {
    /// A grant of an earlier controller may still be in force.
    Unknown,
    /// No server holds it; it may be granted from this time on.
    Free { not_before_ms: u64 },
    /// It is granted to a server that has not confirmed it yet.
    Granting { server: Name, epoch: Epoch },
    /// A server holds it.
    Held { server: Name, epoch: Epoch },
    /// A server holds it, and a handover to the target has begun.
    Moving { server: Name, epoch: Epoch, target: Name, phase: Phase },
}

/// The phase of a planned handover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The target prepares to take over the shard.
    ///
    /// The server goes on serving until the last order that grants the shard is answered, or its
    /// grants have expired, so that the shard need not wait for them without an owner.
    Preparing { last_number: u64, deadline_ms: u64 },
    /// Daemons stop sending requests once they have the table with this sequence.
    Closing { last_number: u64, sequence: u64, deadline_ms: u64 },
    /// The server finishes its requests and releases the shard.
    ///
    /// The grant of the shard is renewed until the deadline, and then left to expire. Orders after
    /// `last_number` release the shard as well, so that none of them leaves it granted.
    Releasing { last_number: u64, deadline_ms: u64 },
    /// The grant is no longer renewed; all that were sent have expired at the deadline.
    Expiring { last_number: u64, deadline_ms: u64 },
}

impl Phase {
    /// Returns whether the server has been told to release the shard.
    pub(crate) fn is_releasing(self) -> bool {
        matches!(self, Self::Releasing { .. } | Self::Expiring { .. })
    }

    /// Returns the number of the last order that may grant the shard without releasing it.
    pub(crate) fn last_number(self) -> u64 {
        match self {
            Self::Preparing { last_number, .. }
            | Self::Closing { last_number, .. }
            | Self::Releasing { last_number, .. }
            | Self::Expiring { last_number, .. } => last_number,
        }
    }

    /// Records that an order with this number grants the shard without releasing it.
    pub(crate) fn on_granted(&mut self, number: u64) {
        if let Self::Preparing { last_number, .. } | Self::Closing { last_number, .. } = self {
            *last_number = number;
        }
    }
}

impl ShardState {
    /// Returns the server that holds or may hold the shard, and its epoch.
    pub(crate) fn holder(&self) -> Option<(&Name, Epoch)> {
        match self {
            Self::Unknown | Self::Free { .. } => None,
            Self::Granting { server, epoch }
            | Self::Held { server, epoch }
            | Self::Moving { server, epoch, .. } => Some((server, *epoch)),
        }
    }

    /// Returns whether requests may be sent to the holder.
    pub(crate) fn is_open(&self) -> bool {
        match self {
            Self::Held { .. } => true,
            Self::Moving { phase, .. } => matches!(phase, Phase::Preparing { .. }),
            Self::Unknown | Self::Free { .. } | Self::Granting { .. } => false,
        }
    }

    /// Returns whether the shard counts towards the maximum of concurrent moves.
    ///
    /// It does so during a handover, and from its grant until the server has confirmed it.
    pub(crate) fn counts_as_move(&self) -> bool {
        matches!(self, Self::Moving { .. } | Self::Granting { .. })
    }
}
