//! The durable record of one service's assignment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use document::{Document, Name};
use lease::{Epoch, LeaderEpoch, Quorum, ShardId, Term};
use route::Group;
use serde::{Deserialize, Serialize};

/// What the store keeps of one service's assignment.
///
/// No grant is sent before a record that covers it is written: a server is only
/// ever granted a shard as its owner or as its successor, with the epoch that
/// stands here.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The term of the controller that wrote it.
    pub term: Term,
    /// The leader epoch of that controller.
    pub leader_epoch: LeaderEpoch,
    /// The instances whose majority makes a controller.
    pub voters: Vec<Name>,
    /// The earlier voters, while voters change.
    pub old_voters: Vec<Name>,
    /// The lowest epoch that was never reserved.
    pub next_epoch: Epoch,
    /// The longest time that a server may hold its keys unheard.
    pub grant_ms: u64,
    /// The key groups, fixed when the service is first placed.
    pub groups: Vec<Group>,
    /// The addresses of the servers that shards name.
    pub servers: BTreeMap<Name, SocketAddr>,
    /// The shards, by group and start.
    pub shards: Vec<ShardRecord>,
}

/// One shard: a range of hashes of one key group.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShardRecord {
    /// The identity.
    pub id: ShardId,
    /// The position of the key group.
    pub group: u32,
    /// The first hash of the range; it ends where the next shard of the group starts.
    pub start: u64,
    /// The server that holds the shard.
    pub owner: Option<Name>,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The server that takes the shard next.
    pub successor: Option<Name>,
    /// The epoch reserved for the successor.
    pub successor_epoch: Epoch,
    /// The successor's process when the epoch was reserved.
    ///
    /// Only that process can tell that it was never granted the shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor_incarnation: Option<u64>,
}

impl Record {
    /// Creates the first record of a service, in which nobody holds anything.
    #[must_use]
    pub fn first(document: &Document, voters: Vec<Name>) -> Self {
        let groups = document
            .key_groups
            .iter()
            .map(|group| Group { name: group.name.clone(), prefix: group.prefix.clone() })
            .collect();
        let mut shards = Vec::new();
        for (group, key_group) in (0..).zip(&document.key_groups) {
            for number in 0..key_group.shards {
                let id = ShardId(u32::try_from(shards.len()).unwrap_or(u32::MAX));
                shards.push(ShardRecord::new(id, group, range_start(number, key_group.shards)));
            }
        }
        Self {
            term: Term(0),
            leader_epoch: LeaderEpoch(0),
            voters,
            old_voters: Vec::new(),
            next_epoch: Epoch(1),
            grant_ms: document.timing.grant_ms,
            groups,
            servers: BTreeMap::new(),
            shards,
        }
    }

    /// Reads a record that the store holds.
    ///
    /// # Errors
    ///
    /// Fails when the text is not the JSON of a record.
    pub fn from_json(json: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(json)
    }

    /// Returns the text that the store holds.
    ///
    /// # Panics
    ///
    /// Never: a record has only keys that are strings.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }

    /// Returns the instances whose majority makes a controller.
    #[must_use]
    pub fn quorum(&self) -> Quorum {
        Quorum { voters: self.voters.clone(), old_voters: self.old_voters.clone() }
    }

    /// Reserves an epoch that was never used in this service.
    pub fn reserve_epoch(&mut self) -> Epoch {
        let epoch = self.next_epoch;
        self.next_epoch = Epoch(epoch.0 + 1);
        epoch
    }

    /// Returns whether two records assign the same, whoever wrote them.
    #[must_use]
    pub fn is_same_assignment(&self, other: &Self) -> bool {
        self.voters == other.voters
            && self.old_voters == other.old_voters
            && self.shards == other.shards
            && self.servers == other.servers
            && self.grant_ms == other.grant_ms
    }
}

impl ShardRecord {
    fn new(id: ShardId, group: u32, start: u64) -> Self {
        Self {
            id,
            group,
            start,
            owner: None,
            epoch: Epoch(0),
            successor: None,
            successor_epoch: Epoch(0),
            successor_incarnation: None,
        }
    }

    /// Names a successor with an epoch that was never used.
    pub(crate) fn reserve(&mut self, successor: Name, epoch: Epoch, incarnation: Option<u64>) {
        self.successor = Some(successor);
        self.successor_epoch = epoch;
        self.successor_incarnation = incarnation;
    }

    /// Returns whether no server was ever meant to hold the shard.
    #[must_use]
    pub fn is_unassigned(&self) -> bool {
        self.owner.is_none() && self.successor.is_none()
    }
}

/// Returns where a range starts when the hash space is cut into equal ranges.
fn range_start(number: u32, count: u32) -> u64 {
    let start = (u128::from(number) << 64) / u128::from(count);
    u64::try_from(start).unwrap_or(u64::MAX)
}
