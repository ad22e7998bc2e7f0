//! The durable record of the assignment of one service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use document::{Document, Name};
use lease::{Epoch, LeaderEpoch, Quorum, ShardId, Term};
use route::Group;
use serde::{Deserialize, Serialize};

/// The assignment of one service's shards, as the store holds it.
///
/// A grant is sent only after a record that allows it is written: a server is granted
/// a shard only as the recorded owner or successor, and only with the recorded epoch.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The term of the controller that wrote the record; 0 for the first record.
    pub term: Term,
    /// The leader epoch of that controller.
    pub leader_epoch: LeaderEpoch,
    /// The instances whose majority elects the controller.
    pub voters: Vec<Name>,
    /// The previous voters, whose majority is also needed while voters change; else empty.
    pub old_voters: Vec<Name>,
    /// The lowest epoch that has not been reserved yet.
    pub next_epoch: Epoch,
    /// The maximum length of grants and route leases, in milliseconds.
    pub grant_ms: u64,
    /// The key groups, fixed when the first record is written.
    pub groups: Vec<Group>,
    /// The addresses of all owners and successors.
    pub servers: BTreeMap<Name, SocketAddr>,
    /// The shards, ordered by group and start.
    pub shards: Vec<ShardRecord>,
}

/// One shard: a range of hashes of one key group.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShardRecord {
    /// The identity of the shard.
    pub id: ShardId,
    /// The index of the key group in [`Record::groups`].
    pub group: u32,
    /// The first hash of the range, which ends where the group's next shard starts.
    pub start: u64,
    /// The server that holds or last held the shard.
    pub owner: Option<Name>,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The server that gets the shard next.
    pub successor: Option<Name>,
    /// The epoch reserved for the successor.
    pub successor_epoch: Epoch,
    /// The incarnation of the successor when its epoch was reserved.
    ///
    /// Only that process can show that it was never granted the shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor_incarnation: Option<u64>,
}

impl Record {
    /// Creates the first record of a service, without owners and successors.
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

    /// Parses a record from the JSON that the store holds.
    ///
    /// # Errors
    ///
    /// Fails if the text is not the JSON of a record.
    pub fn from_json(json: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(json)
    }

    /// Returns the JSON that the store holds.
    ///
    /// # Panics
    ///
    /// Never: all map keys of a record are strings.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }

    /// Returns the instances whose majority elects the controller.
    #[must_use]
    pub fn quorum(&self) -> Quorum {
        Quorum { voters: self.voters.clone(), old_voters: self.old_voters.clone() }
    }

    /// Reserves and returns an epoch that was never used in this service.
    pub fn reserve_epoch(&mut self) -> Epoch {
        let epoch = self.next_epoch;
        self.next_epoch = Epoch(epoch.0 + 1);
        epoch
    }

    /// Returns whether two records have the same voters, shards, servers and grant length.
    #[must_use]
    pub fn has_same_assignment(&self, other: &Self) -> bool {
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

    /// Sets the successor, its newly reserved epoch and its incarnation.
    pub(crate) fn set_successor(
        &mut self,
        successor: Name,
        epoch: Epoch,
        incarnation: Option<u64>,
    ) {
        self.successor = Some(successor);
        self.successor_epoch = epoch;
        self.successor_incarnation = incarnation;
    }

    /// Returns whether the shard has neither an owner nor a successor.
    #[must_use]
    pub fn is_unassigned(&self) -> bool {
        self.owner.is_none() && self.successor.is_none()
    }
}

/// Returns the start of one of `count` equal ranges of the hash space.
fn range_start(number: u32, count: u32) -> u64 {
    let start = (u128::from(number) << 64) / u128::from(count);
    u64::try_from(start).unwrap_or(u64::MAX)
}
