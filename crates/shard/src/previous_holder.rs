//! A server that is to give up a range, and its release.

use registry::Incarnation;

use crate::answers::ORDER_BACKOFF_MS;
use crate::grant_ends::GrantEnds;
use crate::{ConnectionId, Fence, Reply};

/// A server that may still hold a range that it is to give up.
#[derive(Clone, Debug)]
pub(crate) struct PreviousHolder {
    pub(crate) incarnation: Incarnation,
    pub(crate) grants: GrantEnds,
    /// The earliest time at which the last accepted grant may end.
    pub(crate) lease_end_ms: u64,
    pub(crate) release: ReleaseState,
    /// Whether the last release that was answered reached another process. A server refuses no
    /// release of its own.
    pub(crate) is_misdirected: bool,
    /// Whether a release was sent because a later server is registered at the address.
    pub(crate) is_checked: bool,
}

/// The release of a range by a previous holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReleaseState {
    /// The next one is sent at this time.
    DueAt(u64),
    /// The next one is sent at this time, shortly before the end of the last grant, as a release
    /// cannot end it. The server serves the range until then.
    Postponed(u64),
    /// The answer to one is awaited.
    Awaited {
        /// Its fence. An earlier one, or a probe of the server, may be answered before it.
        fence: Fence,
        /// The connection that carries it after grants of the range; `None` if it has its own.
        connection: Option<ConnectionId>,
    },
    /// The one with this fence was answered, so no work on the range runs.
    Answered {
        /// Its fence.
        fence: Fence,
        /// Whether the answer shows that the grants on its connection have ended.
        ends_grants: bool,
    },
    /// None is needed: the server has started again and knows nothing of its grants.
    NotNeeded,
}

impl PreviousHolder {
    /// Creates a previous holder that is sent a release at the given time.
    pub(crate) fn new(incarnation: Incarnation, grants: GrantEnds, release_at_ms: u64) -> Self {
        Self {
            incarnation,
            grants,
            lease_end_ms: 0,
            release: ReleaseState::DueAt(release_at_ms),
            is_misdirected: false,
            is_checked: false,
        }
    }

    /// Creates the later process of a previous holder, which knows nothing of its grants.
    ///
    /// It is sent no release: it holds at most what an earlier grant gives it once that arrives.
    pub(crate) fn restarted(incarnation: Incarnation, grants: &GrantEnds) -> Self {
        let release = ReleaseState::NotNeeded;
        Self { release, ..Self::new(incarnation, GrantEnds::timed(grants.deadline_ms()), 0) }
    }

    /// Handles the answer to the release that is awaited, and returns whether the range is released.
    ///
    /// `handover_ms` is how long before the end of its last grant the server is sent a release if
    /// none can end that grant.
    pub(crate) fn on_release_reply(
        &mut self,
        now_ms: u64,
        (fence, connection): (Fence, Option<ConnectionId>),
        reply: &Reply,
        handover_ms: u64,
    ) -> bool {
        self.is_misdirected = *reply == Reply::Misdirected;
        let is_answered = match (reply, connection) {
            (Reply::DoneOn(answered, _), Some(connection)) => *answered == connection,
            _ => connection.is_none() && reply.is_done(),
        };
        if is_answered {
            if let Some(connection) = connection {
                self.grants.on_released(connection);
            }
            let ends_grants = connection.is_some();
            self.release = ReleaseState::Answered { fence, ends_grants };
            return true;
        }
        self.grants.on_connection_lost();
        let is_unsent = *reply == Reply::NotSent && connection.is_some();
        let last_ms = self.lease_end_ms.saturating_sub(handover_ms);
        self.release = if is_unsent && last_ms > now_ms {
            ReleaseState::Postponed(last_ms)
        } else {
            ReleaseState::DueAt(now_ms + ORDER_BACKOFF_MS)
        };
        false
    }
}
