//! Placement planning, and drafting the next record from the plan.

use std::collections::BTreeMap;
use std::sync::Arc;

use document::{Name, PlacementPolicy};
use lease::{Epoch, plus_drift_ms};
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request};

use crate::controller::Controller;
use crate::record::{Record, ShardRecord};
use crate::shard::{Phase, ShardState};
use crate::voters::choose_voters;

/// The server to grant a free shard to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum NextOwner {
    /// The record allows a grant to this server with this epoch.
    Recorded(Name, Epoch),
    /// The successor must first report whether it was granted the shard.
    Unreported(Name),
    /// The record must first name a server and reserve an epoch.
    Unrecorded,
}

impl Controller {
    /// Plans placement if a plan is due or the planning interval has passed.
    ///
    /// Nothing is planned while grants of earlier controllers may still be in force.
    pub(crate) fn plan_if_due(&mut self, now_ms: u64) {
        let has_unknown_shards = self.shards.contains(&ShardState::Unknown);
        let has_interval_passed = now_ms >= self.planning.next_at_ms;
        self.planning.has_loads |= has_interval_passed;
        if has_unknown_shards || !(self.planning.is_due || has_interval_passed) {
            return;
        }
        self.planning.is_due = false;
        self.planning.has_plan = true;
        self.planning.next_at_ms = now_ms + self.config.planning_interval_ms;
        let request = self.placement_request();
        let plan = match self.document.placement {
            PlacementPolicy::Balanced => {
                let weights = self.document.weights;
                Balanced::from_weights(weights.churn, weights.imbalance).plan(&request)
            }
            PlacementPolicy::Rendezvous => Rendezvous.plan(&request),
        };
        self.apply_plan(&request, &plan);
        for load in &mut self.loads {
            *load *= LOAD_DECAY_FACTOR;
        }
    }

    /// Returns the server to grant a free shard to, if the record allows one.
    pub(crate) fn next_owner(&self, now_ms: u64, index: usize) -> NextOwner {
        let record = &self.known.record.shards[index];
        if self.has_pending_change(index) {
            return NextOwner::Unrecorded;
        }
        if let Some(owner) = &record.owner
            && self.is_usable(now_ms, owner)
            && self.is_successor_ungranted(index, record)
            && self.max_released[index] < record.epoch
            && !self.servers[owner].is_released(record.id, record.epoch)
        {
            if self.is_successor_settled(record) {
                return NextOwner::Recorded(owner.clone(), record.epoch);
            }
            if let Some(successor) = &record.successor
                && self.is_reachable(now_ms, successor)
            {
                return NextOwner::Unreported(successor.clone());
            }
        }
        if let Some(successor) = &record.successor
            && self.is_usable(now_ms, successor)
            && self.max_released[index] < record.successor_epoch
            && !self.servers[successor].is_released(record.id, record.successor_epoch)
        {
            return NextOwner::Recorded(successor.clone(), record.successor_epoch);
        }
        NextOwner::Unrecorded
    }

    /// Returns whether a write that may still take effect changes the record of a shard.
    pub(crate) fn has_pending_change(&self, index: usize) -> bool {
        let known = &self.known.record.shards[index];
        self.writer.unresolved().iter().any(|intent| intent.record.shards[index] != *known)
    }

    /// Returns the record that describes the current state and the plan.
    pub(crate) fn draft_record(&self, now_ms: u64) -> Record {
        let mut record = (*self.known.record).clone();
        record.term = self.term;
        record.leader_epoch = self.leader_epoch;
        record.grant_ms = self.recorded_grant_ms(now_ms);
        self.draft_voters(now_ms, &mut record);
        for index in 0..self.shards.len() {
            self.draft_shard(now_ms, index, &mut record);
        }
        record.servers = self.server_addresses(&record);
        record
    }

    fn draft_shard(&self, now_ms: u64, index: usize, record: &mut Record) {
        match &self.shards[index] {
            // The recorded successor of a silent server is kept, because it takes over as soon
            // as the grants expire.
            ShardState::Held { server, .. }
                if self.lost_servers.contains(server)
                    && self.has_usable_successor(now_ms, index) => {}
            ShardState::Held { server, epoch }
            | ShardState::Moving { server, epoch, phase: Phase::Preparing { .. }, .. } => {
                let shard = &mut record.shards[index];
                shard.owner = Some(server.clone());
                shard.epoch = *epoch;
                let next = self.planned_owners[index].as_ref().filter(|owner| *owner != server);
                let next = next.or(self.planned_successors[index].as_ref()).cloned();
                if self.planning.has_plan {
                    self.draft_successor(index, next, record);
                }
            }
            ShardState::Free { .. } if self.next_owner(now_ms, index) == NextOwner::Unrecorded => {
                let next_owner =
                    self.planned_owners[index].clone().filter(|name| self.is_usable(now_ms, name));
                if let Some(next_owner) = next_owner {
                    self.promote_successor(index, &mut record.shards[index]);
                    self.set_new_successor(index, next_owner, record);
                }
            }
            _ => {}
        }
    }

    fn has_usable_successor(&self, now_ms: u64, index: usize) -> bool {
        let successor = self.known.record.shards[index].successor.as_ref();
        successor.is_some_and(|successor| self.is_usable(now_ms, successor))
    }

    /// Sets the successor of a held shard, with a new epoch unless the recorded one is unused.
    fn draft_successor(&self, index: usize, next: Option<Name>, record: &mut Record) {
        let shard = &record.shards[index];
        let is_kept = shard.successor == next
            && shard.successor_epoch > shard.epoch
            && self.is_successor_ungranted(index, shard);
        match next {
            _ if is_kept => {}
            Some(next) => self.set_new_successor(index, next, record),
            None => record.shards[index].successor = None,
        }
    }

    /// Records the successor as the last owner if it may have been granted the shard.
    fn promote_successor(&self, index: usize, shard: &mut ShardRecord) {
        if !self.is_successor_ungranted(index, shard) || !self.is_successor_settled(shard) {
            shard.owner = shard.successor.take();
            shard.epoch = shard.successor_epoch;
        }
    }

    /// Sets the successor of a shard, with a newly reserved epoch.
    fn set_new_successor(&self, index: usize, successor: Name, record: &mut Record) {
        let epoch = record.reserve_epoch();
        let incarnation = self.servers.get(&successor).and_then(|link| link.incarnation);
        record.shards[index].set_successor(successor, epoch, incarnation);
    }

    /// Changes the voters in two steps; in between, majorities of both sets are needed.
    fn draft_voters(&self, now_ms: u64, record: &mut Record) {
        if !record.old_voters.is_empty() {
            if self.is_record_acknowledged() {
                record.old_voters.clear();
            }
            return;
        }
        let silent = self.silent_voters(now_ms);
        let live: Vec<_> = self
            .instances
            .iter()
            .filter(|instance| !silent.contains(&instance.name))
            .cloned()
            .collect();
        let chosen = choose_voters(&self.service, &live, &record.voters);
        if chosen.len() >= record.voters.len() && chosen != record.voters {
            record.old_voters = std::mem::replace(&mut record.voters, chosen);
        }
    }

    /// Returns the maximum grant length to record.
    ///
    /// A longer maximum is recorded before it is used. A shorter one is recorded only when no
    /// grant or route lease in force can outlast a new one of that length.
    fn recorded_grant_ms(&self, now_ms: u64) -> u64 {
        let document_grant_ms = self.document.timing.grant_ms;
        let recorded_grant_ms = self.known.record.grant_ms;
        if document_grant_ms >= recorded_grant_ms {
            return document_grant_ms;
        }
        let max_deadline_ms = now_ms + plus_drift_ms(document_grant_ms);
        let server_bounds = self.servers.values().map(|link| &link.bound);
        let bounds = server_bounds.chain(self.daemons.values().map(|link| &link.bound));
        let have_longer_expired =
            bounds.into_iter().all(|bound| bound.deadline_ms() <= max_deadline_ms);
        if have_longer_expired && now_ms >= self.inherited_grants_expire_at_ms() {
            document_grant_ms
        } else {
            recorded_grant_ms
        }
    }

    /// Returns the addresses of all owners and successors in a record.
    fn server_addresses(&self, record: &Record) -> BTreeMap<Name, std::net::SocketAddr> {
        record
            .shards
            .iter()
            .flat_map(|shard| [&shard.owner, &shard.successor])
            .flatten()
            .filter_map(|name| Some((name.clone(), self.servers.get(name)?.address)))
            .collect()
    }

    /// Returns whether the successor is known never to have been granted the shard.
    ///
    /// This also holds if there is no successor. Only the server process for which the epoch was
    /// reserved can show it, because a restarted one has lost its state.
    fn is_successor_ungranted(&self, index: usize, record: &ShardRecord) -> bool {
        let Some(successor) = &record.successor else {
            return true;
        };
        let Some(link) = self.servers.get(successor) else {
            return false;
        };
        let is_same_incarnation =
            link.incarnation.is_some() && link.incarnation == record.successor_incarnation;
        let reported = link.reported_epoch(record.id);
        is_same_incarnation
            && self.max_granted[index] < record.successor_epoch
            && reported.is_some_and(|reported| reported < record.successor_epoch)
    }

    /// Returns whether the successor, if there is one, has a [`Controller::has_settled_report`].
    fn is_successor_settled(&self, record: &ShardRecord) -> bool {
        record.successor.as_ref().is_none_or(|successor| self.has_settled_report(successor))
    }

    fn is_reachable(&self, now_ms: u64, server: &Name) -> bool {
        self.servers.get(server).is_some_and(|link| link.is_reachable(now_ms, &self.config))
    }

    /// Returns whether a server may be granted shards now.
    pub(crate) fn is_usable(&self, now_ms: u64, server: &Name) -> bool {
        self.is_reachable(now_ms, server)
            && self.document.server(server).is_some_and(document::Server::accepts_new_work)
    }

    fn placement_request(&self) -> Request {
        let document = Arc::clone(&self.document);
        let groups = &self.known.record.groups;
        let servers: Vec<Candidate> = document
            .servers
            .iter()
            .map(|server| Candidate {
                name: server.name.clone(),
                data_centre: server.data_centre.clone(),
                slots: server.slots,
                groups: Some(
                    (0..groups.len())
                        .filter(|index| server.may_hold(&groups[*index].name))
                        .collect(),
                ),
                accepts: server.accepts_new_work() && !self.lost_servers.contains(&server.name),
            })
            .collect();
        let position = |name: &Name| servers.iter().position(|server| server.name == *name);
        let shards = self
            .known
            .record
            .shards
            .iter()
            .enumerate()
            .map(|(index, record)| placement::Shard {
                id: record.id.0,
                group: usize::try_from(record.group).unwrap_or(usize::MAX),
                load: self.loads[index],
                owner: self.owner_after_handover(index).and_then(position),
                successor: record.successor.as_ref().and_then(position),
            })
            .collect();
        Request { shards, servers, is_load_unknown: !self.planning.has_loads }
    }

    /// Returns the target of a shard's handover, or else its holder, unless that server is lost.
    fn owner_after_handover(&self, index: usize) -> Option<&Name> {
        let owner = match &self.shards[index] {
            ShardState::Moving { target, .. } => target,
            shard => shard.holder()?.0,
        };
        Some(owner).filter(|owner| !self.lost_servers.contains(*owner))
    }

    fn apply_plan(&mut self, request: &Request, plan: &Plan) {
        let name = |index: &Option<usize>| index.map(|index| request.servers[index].name.clone());
        self.planned_owners = plan.owners.iter().map(name).collect();
        self.planned_successors = plan.successors.iter().map(name).collect();
    }
}

/// The part of the measured load that is kept from one plan to the next.
const LOAD_DECAY_FACTOR: f64 = 0.5;
