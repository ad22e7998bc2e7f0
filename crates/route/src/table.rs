//! The routing table that a controller publishes.

use document::{Name, Revision, hash_key};
use lease::{Epoch, LeaderEpoch, ShardId, Term};
use serde::{Deserialize, Serialize};

/// Who serves which shard of a service.
///
/// Tables are ordered by term, then by sequence; only a later one replaces another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Table {
    /// The service.
    pub service: Name,
    /// The term of the controller that published it.
    pub term: Term,
    /// The leader epoch of that controller.
    pub leader_epoch: LeaderEpoch,
    /// The instance of that controller.
    pub controller: Name,
    /// The number of the table in its term.
    pub sequence: u64,
    /// The revision of the document that the controller acts on.
    pub document: Revision,
    /// The key groups.
    pub groups: Vec<Group>,
    /// The servers that routes name by position.
    pub servers: Vec<Name>,
    /// The routes, by group and start.
    pub routes: Vec<Route>,
}

/// One key group, as it was when the service was first placed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Group {
    /// The name in the document.
    pub name: Name,
    /// What the group's keys start with.
    pub prefix: Name,
}

/// Who serves one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The shard.
    pub shard: ShardId,
    /// The position of the key group.
    pub group: u32,
    /// The first hash of the range.
    pub start: u64,
    /// The position of the server; `None` when nobody serves the shard.
    pub server: Option<u32>,
    /// The fence epoch of that server.
    pub epoch: Epoch,
    /// Whether requests may be sent; a closed shard is about to move.
    pub is_open: bool,
}

impl Table {
    /// Returns whether this table replaces another.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        (self.term, self.sequence) > (other.term, other.sequence)
    }

    /// Returns whether two tables say the same, whatever their numbers are.
    #[must_use]
    pub fn is_same_content(&self, other: &Self) -> bool {
        self.term == other.term
            && self.document == other.document
            && self.servers == other.servers
            && self.routes == other.routes
    }

    /// Returns the route of a key and its position.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<(usize, &Route)> {
        let group = self.group_of(key)?;
        let hash = hash_key(key);
        let end = self.routes.partition_point(|route| (route.group, route.start) <= (group, hash));
        let at = end.checked_sub(1)?;
        let route = &self.routes[at];
        (route.group == group).then_some((at, route))
    }

    /// Returns the name of the server at a route.
    #[must_use]
    pub fn server_of(&self, route: &Route) -> Option<&Name> {
        self.servers.get(usize::try_from(route.server?).ok()?)
    }

    fn group_of(&self, key: &str) -> Option<u32> {
        (0..)
            .zip(&self.groups)
            .filter(|(_, group)| key.starts_with(group.prefix.as_str()))
            .max_by_key(|(_, group)| group.prefix.len())
            .map(|(at, _)| at)
    }
}
