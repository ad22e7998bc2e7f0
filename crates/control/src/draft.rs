//! What the next record should say.

use std::collections::BTreeMap;
use std::sync::Arc;

use document::{Name, PlacementPolicy};
use lease::{Epoch, slower_ms};
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request};

use crate::lead::Lead;
use crate::record::{Record, ShardRecord};
use crate::shard::{Phase, Shard};
use crate::voters::choose_voters;

/// Who should be granted a free shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Heir {
    /// The record covers this grant.
    Recorded(Name, Epoch),
    /// The record must first name another server.
    Unrecorded,
}

impl Lead {
    /// Plans placement again if something changed.
    pub(crate) fn plan_if_due(&mut self, now_ms: u64) {
        let is_inheriting = self.shards.contains(&Shard::Unknown);
        let has_load = now_ms >= self.planning.next_ms;
        self.planning.has_loads |= has_load;
        if is_inheriting || !(self.planning.is_due || has_load) {
            return;
        }
        self.planning.is_due = false;
        self.planning.is_done = true;
        self.planning.next_ms = now_ms + self.tuning.plan_every_ms;
        let request = self.to_placement();
        let plan = match self.document.placement {
            PlacementPolicy::Balanced => {
                let weights = self.document.weights;
                Balanced::from_weights(weights.churn, weights.imbalance).plan(&request)
            }
            PlacementPolicy::Rendezvous => Rendezvous.plan(&request),
        };
        self.note_plan(&request, &plan);
        for load in &mut self.loads {
            *load *= LOAD_DECAY;
        }
    }

    /// Returns who should be granted a free shard.
    pub(crate) fn heir(&self, now_ms: u64, at: usize) -> Heir {
        let record = &self.known.record.shards[at];
        if self.is_disputed(at) {
            return Heir::Unrecorded;
        }
        if let Some(owner) = &record.owner
            && self.is_usable(now_ms, owner)
            && self.is_untouched(at, record)
            && self.released[at] < record.epoch
            && !self.servers[owner].is_released(record.id, record.epoch)
        {
            return Heir::Recorded(owner.clone(), record.epoch);
        }
        if let Some(successor) = &record.successor
            && self.is_usable(now_ms, successor)
            && self.released[at] < record.successor_epoch
            && !self.servers[successor].is_released(record.id, record.successor_epoch)
        {
            return Heir::Recorded(successor.clone(), record.successor_epoch);
        }
        Heir::Unrecorded
    }

    /// Returns whether a write that may take effect says something else of a shard.
    pub(crate) fn is_disputed(&self, at: usize) -> bool {
        let known = &self.known.record.shards[at];
        self.writer.unresolved().iter().any(|intent| intent.record.shards[at] != *known)
    }

    /// Returns the record that describes the present state and the plan.
    pub(crate) fn to_record(&self, now_ms: u64) -> Record {
        let mut record = (*self.known.record).clone();
        record.term = self.term;
        record.leader_epoch = self.leader_epoch;
        record.grant_ms = self.recorded_grant_ms(now_ms);
        self.draft_voters(now_ms, &mut record);
        for at in 0..self.shards.len() {
            self.draft_shard(now_ms, at, &mut record);
        }
        record.servers = self.named_servers(&record);
        record
    }

    fn draft_shard(&self, now_ms: u64, at: usize, record: &mut Record) {
        match &self.shards[at] {
            // The successor of a silent server may be needed any moment.
            Shard::Held { server, .. }
                if self.lost.contains(server) && self.has_usable_successor(now_ms, at) => {}
            Shard::Held { server, epoch }
            | Shard::Moving { server, epoch, phase: Phase::Preparing { .. }, .. } => {
                let shard = &mut record.shards[at];
                shard.owner = Some(server.clone());
                shard.epoch = *epoch;
                let next = self.wanted[at].as_ref().filter(|wanted| *wanted != server);
                let next = next.or(self.standby[at].as_ref()).cloned();
                if self.planning.is_done {
                    self.draft_successor(at, next, record);
                }
            }
            Shard::Free { .. } if self.heir(now_ms, at) == Heir::Unrecorded => {
                let heir = self.wanted[at].clone().filter(|name| self.is_usable(now_ms, name));
                if let Some(heir) = heir {
                    self.note_last_owner(at, &mut record.shards[at]);
                    self.reserve(at, heir, record);
                }
            }
            _ => {}
        }
    }

    fn has_usable_successor(&self, now_ms: u64, at: usize) -> bool {
        let successor = self.known.record.shards[at].successor.as_ref();
        successor.is_some_and(|successor| self.is_usable(now_ms, successor))
    }

    fn draft_successor(&self, at: usize, next: Option<Name>, record: &mut Record) {
        let shard = &record.shards[at];
        let is_kept = shard.successor == next
            && shard.successor_epoch > shard.epoch
            && self.is_untouched(at, shard);
        match next {
            _ if is_kept => {}
            Some(next) => self.reserve(at, next, record),
            None => record.shards[at].successor = None,
        }
    }

    /// Names the successor as the last owner, where it may have been granted the shard.
    fn note_last_owner(&self, at: usize, shard: &mut ShardRecord) {
        if !self.is_untouched(at, shard) {
            shard.owner = shard.successor.take();
            shard.epoch = shard.successor_epoch;
        }
    }

    fn reserve(&self, at: usize, successor: Name, record: &mut Record) {
        let epoch = record.reserve_epoch();
        let incarnation = self.servers.get(&successor).and_then(|link| link.incarnation);
        record.shards[at].reserve(successor, epoch, incarnation);
    }

    /// Voters change in two steps, with the majorities of both sets in between.
    fn draft_voters(&self, now_ms: u64, record: &mut Record) {
        if !record.old_voters.is_empty() {
            if self.is_record_acknowledged() {
                record.old_voters.clear();
            }
            return;
        }
        let silent = self.silent_voters(now_ms);
        let live: Vec<_> =
            self.instances.iter().filter(|i| !silent.contains(&i.name)).cloned().collect();
        let chosen = choose_voters(&self.service, &live, &record.voters);
        if chosen.len() >= record.voters.len() && chosen != record.voters {
            record.old_voters = std::mem::replace(&mut record.voters, chosen);
        }
    }

    /// A longer grant is recorded before use, a shorter one once the longer ones are over.
    fn recorded_grant_ms(&self, now_ms: u64) -> u64 {
        let wanted_ms = self.document.timing.grant_ms;
        let recorded_ms = self.known.record.grant_ms;
        if wanted_ms >= recorded_ms {
            return wanted_ms;
        }
        let limit_ms = now_ms + slower_ms(wanted_ms);
        let server_bounds = self.servers.values().map(|link| &link.bound);
        let bounds = server_bounds.chain(self.daemons.values().map(|link| &link.bound));
        let is_over = bounds.into_iter().all(|bound| bound.over_ms() <= limit_ms);
        if is_over && now_ms >= self.inheritance_over_ms() { wanted_ms } else { recorded_ms }
    }

    fn named_servers(&self, record: &Record) -> BTreeMap<Name, std::net::SocketAddr> {
        record
            .shards
            .iter()
            .flat_map(|shard| [&shard.owner, &shard.successor])
            .flatten()
            .filter_map(|name| Some((name.clone(), self.servers.get(name)?.address)))
            .collect()
    }

    /// Returns whether the successor was surely never granted the shard with its epoch.
    fn is_untouched(&self, at: usize, record: &ShardRecord) -> bool {
        let Some(successor) = &record.successor else {
            return true;
        };
        let Some(link) = self.servers.get(successor) else {
            return false;
        };
        let is_same_process =
            link.incarnation.is_some() && link.incarnation == record.successor_incarnation;
        let seen = link.epoch_seen(record.id);
        is_same_process
            && self.granted[at] < record.successor_epoch
            && seen.is_some_and(|seen| seen < record.successor_epoch)
    }

    /// Returns whether a server may be given work now.
    pub(crate) fn is_usable(&self, now_ms: u64, server: &Name) -> bool {
        let is_reachable =
            self.servers.get(server).is_some_and(|link| link.is_reachable(now_ms, &self.tuning));
        is_reachable && self.document.server(server).is_some_and(document::Server::is_welcome)
    }

    fn to_placement(&self) -> Request {
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
                    (0..groups.len()).filter(|at| server.may_hold(&groups[*at].name)).collect(),
                ),
                accepts: server.is_welcome() && !self.lost.contains(&server.name),
            })
            .collect();
        let position = |name: &Name| servers.iter().position(|server| server.name == *name);
        let shards = self
            .known
            .record
            .shards
            .iter()
            .enumerate()
            .map(|(at, record)| placement::Shard {
                id: record.id.0,
                group: usize::try_from(record.group).unwrap_or(usize::MAX),
                load: self.loads[at],
                owner: self.planned_owner(at).and_then(position),
                successor: record.successor.as_ref().and_then(position),
            })
            .collect();
        Request { shards, servers, is_early: !self.planning.has_loads }
    }

    /// Returns the server that holds a shard, or that a started handover gives it to.
    fn planned_owner(&self, at: usize) -> Option<&Name> {
        let owner = match &self.shards[at] {
            Shard::Moving { target, .. } => target,
            shard => shard.holder()?.0,
        };
        Some(owner).filter(|owner| !self.lost.contains(*owner))
    }

    fn note_plan(&mut self, request: &Request, plan: &Plan) {
        let name = |at: &Option<usize>| at.map(|at| request.servers[at].name.clone());
        self.wanted = plan.owners.iter().map(name).collect();
        self.standby = plan.successors.iter().map(name).collect();
    }
}

/// How much of the measured load is kept from one plan to the next.
const LOAD_DECAY: f64 = 0.5;
