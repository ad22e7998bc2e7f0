//! Where one shard stands between two owners.

use document::Name;
use lease::Epoch;

/// What a controller knows of one shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Shard {
    /// An earlier controller's grant may still stand.
    Unknown,
    /// Nobody holds it; it may be granted from this time on.
    Free { not_before_ms: u64 },
    /// It was granted, and the server has not confirmed it yet.
    Granting { server: Name, epoch: Epoch },
    /// A server holds it.
    Held { server: Name, epoch: Epoch },
    /// A server holds it and is about to hand it over.
    Moving { server: Name, epoch: Epoch, target: Name, phase: Phase },
}

/// How far a planned handover is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The target loads the shard.
    Preparing { deadline_ms: u64 },
    /// Daemons stop sending; the table with this sequence says so.
    Closing { sequence: u64, deadline_ms: u64 },
    /// The server finishes its requests and gives the shard up.
    ///
    /// Its grant is renewed until the deadline, and then left to end.
    Releasing { deadline_ms: u64 },
}

impl Shard {
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

    /// Returns whether the shard is between two owners.
    pub(crate) fn is_moving(&self) -> bool {
        matches!(self, Self::Moving { .. } | Self::Granting { .. })
    }
}
