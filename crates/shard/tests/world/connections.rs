//! The connections of leaders to servers.
//!
//! A server carries out the orders of a connection one after the other, so one that leaves an order
//! unanswered answers no later one there. It may write earlier answers once more, though.

use document::{HashMap, Name};
use shard::ConnectionId;

/// The connections that one leader keeps to one server.
type Kept = Vec<Connection>;

/// All connections that leaders keep.
#[derive(Debug, Default)]
pub(super) struct Connections {
    last_id: u64,
    kept: HashMap<(usize, Name), Kept>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    /// When the process that it leads to has started.
    pub(super) born_ms: u64,
    is_used: bool,
    /// Whether the server has left an order unanswered.
    pub(super) is_stuck: bool,
}

impl Connections {
    /// Takes the preferred connection to a process or, if it has ended or is in use, another one or a
    /// new one.
    pub(super) fn take_any(
        &mut self,
        leader: usize,
        server: &Name,
        born_ms: u64,
        preferred: Option<ConnectionId>,
    ) -> ConnectionId {
        let kept = self.kept.entry((leader, server.clone())).or_default();
        kept.retain(|connection| connection.born_ms == born_ms);
        let preferred = kept.iter().position(|kept| Some(kept.id) == preferred && !kept.is_used);
        let any = preferred.or_else(|| kept.iter().rposition(|kept| !kept.is_used));
        if let Some(connection) = any.map(|index| &mut kept[index]) {
            connection.is_used = true;
            return connection.id;
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        kept.push(Connection { id, born_ms, is_used: true, is_stuck: false });
        id
    }

    /// Returns whether another order uses a connection to a process.
    pub(super) fn is_in_use(
        &mut self,
        leader: usize,
        server: &Name,
        born_ms: u64,
        id: ConnectionId,
    ) -> bool {
        let connection = self.find(leader, server, id);
        connection.is_some_and(|kept| kept.born_ms == born_ms && kept.is_used)
    }

    /// Takes a connection to a process, and returns whether it has not ended.
    pub(super) fn take(
        &mut self,
        leader: usize,
        server: &Name,
        born_ms: u64,
        id: ConnectionId,
    ) -> bool {
        let connection = self.find(leader, server, id).filter(|kept| kept.born_ms == born_ms);
        connection.is_some_and(|connection| {
            connection.is_used = true;
            true
        })
    }

    pub(super) fn find(
        &mut self,
        leader: usize,
        server: &Name,
        id: ConnectionId,
    ) -> Option<&mut Connection> {
        self.kept.get_mut(&(leader, server.clone()))?.iter_mut().find(|kept| kept.id == id)
    }

    /// Returns a connection after an answer.
    pub(super) fn give_back(&mut self, leader: usize, server: &Name, id: ConnectionId) {
        if let Some(connection) = self.find(leader, server, id) {
            connection.is_used = false;
        }
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, leader: usize, server: &Name, id: ConnectionId) {
        if let Some(kept) = self.kept.get_mut(&(leader, server.clone())) {
            kept.retain(|connection| connection.id != id);
        }
    }

    /// Closes all idle connections after a failure.
    pub(super) fn close_idle(&mut self, leader: usize, server: &Name) {
        if let Some(kept) = self.kept.get_mut(&(leader, server.clone())) {
            kept.retain(|connection| connection.is_used);
        }
    }
}
