//! When the grants of a range that a server was sent end, and what shows that they have.

use crate::ConnectionId;

/// The grants of a range that a server was sent, apart from those whose answer is awaited.
///
/// A server may carry out a grant that it did not answer after newer grants and releases, so only
/// time ends such a grant. A release ends one that was answered. An answer that was read after a
/// grant may be a copy of an earlier one, though. It was the grant's own if a later order on the
/// same connection got an answer that no other order can have: a server carries out the orders of a
/// connection one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantEnds {
    /// The time until which grants may be valid that only time ends.
    timed_ms: u64,
    /// The connection on which the other grants were answered, and until when they may be valid.
    answered: Option<(ConnectionId, u64)>,
}

impl GrantEnds {
    /// Creates the ends of grants that only time ends.
    pub(crate) fn timed(deadline_ms: u64) -> Self {
        Self { timed_ms: deadline_ms, answered: None }
    }

    /// Returns the time until which any grant may be valid; 0 if there is none.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.answered.map_or(0, |(_, deadline_ms)| deadline_ms).max(self.timed_ms)
    }

    /// Returns the time until which grants may be valid that only time ends.
    pub(crate) fn timed_ms(&self) -> u64 {
        self.timed_ms
    }

    /// Returns the connection on which a release can show that the other grants have ended.
    pub(crate) fn connection(&self) -> Option<ConnectionId> {
        self.answered.map(|(connection, _)| connection)
    }

    /// Adds a grant that only time ends.
    pub(crate) fn add_timed(&mut self, deadline_ms: u64) {
        self.timed_ms = self.timed_ms.max(deadline_ms);
    }

    /// Adds a grant that was answered on a connection.
    ///
    /// Grants are sent on the connection of those before, unless that has ended.
    pub(crate) fn add_answered(&mut self, connection: ConnectionId, deadline_ms: u64) {
        match &mut self.answered {
            Some((known, known_ms)) if *known == connection => {
                *known_ms = deadline_ms.max(*known_ms);
            }
            _ => {
                self.on_connection_lost();
                self.answered = Some((connection, deadline_ms));
            }
        }
    }

    /// Adds the grants of another range.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.add_timed(other.timed_ms);
        match (self.answered, other.answered) {
            (Some((known, _)), Some((connection, deadline_ms))) if known != connection => {
                self.add_timed(deadline_ms);
            }
            (_, Some((connection, deadline_ms))) => self.add_answered(connection, deadline_ms),
            (_, None) => {}
        }
    }

    /// Removes the grants of a connection, on which a later release got an answer of its own.
    pub(crate) fn on_released(&mut self, connection: ConnectionId) {
        self.answered = self.answered.filter(|(answered, _)| *answered != connection);
    }

    /// Leaves the end of all grants to time, as no later order can be sent on the connection.
    pub(crate) fn on_connection_lost(&mut self) {
        self.timed_ms = self.deadline_ms();
        self.answered = None;
    }

    /// Limits how long grants that only time ends count as valid.
    pub(crate) fn limit(&mut self, deadline_ms: u64) {
        self.timed_ms = self.timed_ms.min(deadline_ms);
    }
}
