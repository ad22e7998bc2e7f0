//! The routing table that a controller publishes.

use document::{Name, Revision, hash_key};
use lease::{Epoch, LeaderEpoch, ShardId, Term};
use serde::{Deserialize, Serialize};

/// Which server serves which shard of a service.
///
/// Tables are ordered by term, then by sequence. Only a later table replaces an earlier one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Table {
    /// The service whose requests the table routes.
    pub service: Name,
    /// The term of the controller that published it.
    pub term: Term,
    /// The leader epoch of that controller.
    pub leader_epoch: LeaderEpoch,
    /// The instance on which that controller runs.
    pub controller: Name,
    /// The number of the table in its term.
    pub sequence: u64,
    /// The revision of the document that the controller used.
    pub document: Revision,
    /// The key groups, to which routes refer by position.
    pub groups: Vec<Group>,
    /// The servers, to which routes refer by position.
    pub servers: Vec<Name>,
    /// The routes, sorted by group and start.
    pub routes: Vec<Route>,
}

/// One key group, as it was when the shards of the service were first placed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Group {
    /// The name of the key group in the document.
    pub name: Name,
    /// The prefix of the group's keys.
    pub prefix: Name,
}

/// The server of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The shard that the route is for.
    pub shard: ShardId,
    /// The position of the key group.
    pub group: u32,
    /// The first key hash of the shard's range, which ends at the next route of the group.
    pub start: u64,
    /// The position of the server; `None` if no server serves the shard.
    pub server: Option<u32>,
    /// The fence epoch of that server.
    pub epoch: Epoch,
    /// Whether requests may be sent; the route of a shard that is about to move is closed.
    pub is_open: bool,
}

impl Table {
    /// Returns whether this table is later than another and replaces it.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        (self.term, self.sequence) > (other.term, other.sequence)
    }

    /// Returns whether both tables have the same term, document, servers and routes.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.term == other.term
            && self.document == other.document
            && self.servers == other.servers
            && self.routes == other.routes
    }

    /// Returns the route of a key and the position of the route.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<(usize, &Route)> {
        let group = self.group_of(key)?;
        let hash = hash_key(key);
        let end = self.routes.partition_point(|route| (route.group, route.start) <= (group, hash));
        let position = end.checked_sub(1)?;
        let route = &self.routes[position];
        (route.group == group).then_some((position, route))
    }

    /// Returns the name of the server of a route.
    #[must_use]
    pub fn server_of(&self, route: &Route) -> Option<&Name> {
        self.servers.get(usize::try_from(route.server?).ok()?)
    }

    fn group_of(&self, key: &str) -> Option<u32> {
        (0..)
            .zip(&self.groups)
            .filter(|(_, group)| key.starts_with(group.prefix.as_str()))
            .max_by_key(|(_, group)| group.prefix.len())
            .map(|(position, _)| position)
    }
}
