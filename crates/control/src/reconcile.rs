//! Moves the shards of a service towards their planned owners.

use std::sync::Arc;

use document::{HashMap, Name};
use lease::{Epoch, ShardId};
use route::{Route, Table};

use crate::Action;
use crate::controller::Controller;
use crate::draft::NextOwner;
use crate::shard::{Phase, ShardState};
use crate::writer::NextStep;

impl Controller {
    /// Takes every step towards the planned assignment that is possible now.
    pub(crate) fn reconcile(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.update_lost_servers(now_ms);
        self.free_shards_of_restarted_servers(now_ms);
        self.free_expired_shards(now_ms);
        self.apply_reports(now_ms);
        self.plan_if_due(now_ms);
        self.advance_moves(now_ms);
        self.grant_free_shards(now_ms);
        self.publish_table(now_ms, out);
        self.advance_write(now_ms, out);
        self.request_promises(now_ms, out);
        self.send_orders(now_ms, out);
    }

    /// Updates the set of lost servers; a change makes a new plan due.
    fn update_lost_servers(&mut self, now_ms: u64) {
        let lost_servers = self
            .servers
            .iter()
            .filter(|(_, link)| link.is_lost(now_ms, &self.config))
            .map(|(name, _)| name.clone())
            .collect();
        if self.lost_servers != lost_servers {
            self.lost_servers = lost_servers;
            self.planning.is_due = true;
        }
    }

    /// Frees the shards of earlier processes of servers.
    ///
    /// The table that withdraws these shards is published in the same reconciliation, so that no
    /// route lease by an earlier table is extended after the leases are counted here.
    fn free_shards_of_restarted_servers(&mut self, now_ms: u64) {
        for name in std::mem::take(&mut self.restarted_servers) {
            self.free_shards_of(now_ms, &name);
        }
    }

    /// Frees the shards of silent servers whose grants have expired.
    fn free_expired_shards(&mut self, now_ms: u64) {
        let expired: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, link)| !link.is_reachable(now_ms, &self.config))
            .filter(|(_, link)| link.bound.is_expired(now_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.free_shards_of(now_ms, &name);
        }
    }

    /// Updates the state of each shard from the servers' last reports.
    fn apply_reports(&mut self, now_ms: u64) {
        let owners = self.find_reported_owners();
        let inherited_deadline_ms = self.inherited_grants_expire_at_ms();
        let have_grants_expired = now_ms >= inherited_deadline_ms;
        for index in 0..self.shards.len() {
            let id = self.known.record.shards[index].id;
            let next = match &self.shards[index] {
                ShardState::Unknown => match owners.get(&id) {
                    Some((server, epoch)) => {
                        Some(ShardState::Held { server: server.clone(), epoch: *epoch })
                    }
                    None if have_grants_expired => Some(ShardState::Free { not_before_ms: now_ms }),
                    None => None,
                },
                ShardState::Granting { server, epoch } => {
                    self.state_after_grant(now_ms, id, server, *epoch)
                }
                ShardState::Moving { server, epoch, phase, .. } if phase.is_releasing() => {
                    // A report without the grant is no proof: the server may carry out an earlier
                    // renewal after it.
                    let is_grant_expired = matches!(phase,
                        Phase::Expiring { deadline_ms, .. } if now_ms >= *deadline_ms);
                    if is_grant_expired {
                        Some(ShardState::Free { not_before_ms: now_ms })
                    } else {
                        self.state_after_release(now_ms, id, server, *epoch, phase.last_number())
                    }
                }
                ShardState::Held { server, epoch } | ShardState::Moving { server, epoch, .. } => {
                    let reassignable_at_ms = self.reassignable_at_ms(now_ms, server);
                    self.state_after_release(reassignable_at_ms, id, server, *epoch, u64::MAX)
                }
                ShardState::Free { .. } => None,
            };
            if let Some(next) = next {
                // The adopted grant may be longer than those that this controller sends.
                if self.shards[index] == ShardState::Unknown
                    && let Some((server, _)) = next.holder()
                    && let Some(link) = self.servers.get_mut(server)
                {
                    link.on_grants_adopted(inherited_deadline_ms);
                }
                self.shards[index] = next;
            }
        }
    }

    /// Returns the next state of a granted shard, if the server has confirmed or released it.
    fn state_after_grant(
        &self,
        now_ms: u64,
        id: ShardId,
        server: &Name,
        epoch: Epoch,
    ) -> Option<ShardState> {
        let released = self.state_after_release(now_ms, id, server, epoch, u64::MAX);
        if released.is_some() {
            return released;
        }
        self.is_live(id, server, epoch).then(|| ShardState::Held { server: server.clone(), epoch })
    }

    /// Returns the next state of a shard that its server has released, free from `free_at_ms` on.
    ///
    /// Only its own answer or its time ends a grant. So the shard is free when all grants have
    /// expired that the server may carry out after the release: those of unanswered orders, up to
    /// `last_number` if the later ones release the shard.
    fn state_after_release(
        &self,
        free_at_ms: u64,
        id: ShardId,
        server: &Name,
        epoch: Epoch,
        last_number: u64,
    ) -> Option<ShardState> {
        let link = self.servers.get(server).filter(|link| link.is_released(id, epoch))?;
        let unanswered_ms = link.unanswered_deadline_ms(last_number);
        Some(ShardState::Free { not_before_ms: free_at_ms.max(unanswered_ms) })
    }

    fn is_live(&self, id: ShardId, server: &Name, epoch: Epoch) -> bool {
        self.servers.get(server).is_some_and(|link| link.is_live(id, epoch))
    }

    /// Returns the owner with the highest epoch for each shard that servers report as live.
    ///
    /// Only servers that check fences count. The result is empty if no shard is
    /// [`ShardState::Unknown`].
    fn find_reported_owners(&self) -> HashMap<ShardId, (Name, Epoch)> {
        let mut owners: HashMap<ShardId, (Name, Epoch)> = HashMap::default();
        if !self.shards.contains(&ShardState::Unknown) {
            return owners;
        }
        for (name, link) in self.servers.iter().filter(|(_, link)| link.checks_fence) {
            for shard_report in link.reported.values().filter(|shard_report| shard_report.is_live) {
                let known = owners.get(&shard_report.shard).map_or(Epoch(0), |(_, epoch)| *epoch);
                if shard_report.epoch > known {
                    owners.insert(shard_report.shard, (name.clone(), shard_report.epoch));
                }
            }
        }
        owners
    }

    /// Starts, advances and cancels planned handovers.
    fn advance_moves(&mut self, now_ms: u64) {
        let limit =
            usize::try_from(self.document.timing.max_concurrent_moves).unwrap_or(usize::MAX);
        let mut moving = self.shards.iter().filter(|shard| shard.counts_as_move()).count();
        let may_grant = self.may_grant();
        for index in 0..self.shards.len() {
            let next = match &self.shards[index] {
                ShardState::Held { server, epoch } if may_grant && moving < limit => {
                    self.start_move(now_ms, index, server, *epoch)
                }
                ShardState::Moving { server, epoch, target, phase } => self
                    .next_transition(now_ms, index, target, *phase, server)
                    .map(|transition| match transition {
                        Transition::Enter(phase) => ShardState::Moving {
                            server: server.clone(),
                            epoch: *epoch,
                            target: target.clone(),
                            phase,
                        },
                        Transition::Cancel => {
                            ShardState::Held { server: server.clone(), epoch: *epoch }
                        }
                    }),
                _ => None,
            };
            if let Some(next) = next {
                moving +=
                    usize::from(!self.shards[index].counts_as_move() && next.counts_as_move());
                if let ShardState::Moving { epoch, phase: Phase::Releasing { .. }, .. } = &next {
                    self.max_released[index] = self.max_released[index].max(*epoch);
                }
                self.mark_order_due(&next);
                self.shards[index] = next;
            }
        }
    }

    fn start_move(
        &self,
        now_ms: u64,
        index: usize,
        server: &Name,
        epoch: Epoch,
    ) -> Option<ShardState> {
        let target = self.planned_owners[index].as_ref().filter(|owner| *owner != server)?;
        // A silent server cannot hand a shard over; its shards wait until its grants expire.
        if self.lost_servers.contains(server) || !self.is_move_possible(now_ms, index, target) {
            return None;
        }
        let link = self.servers.get(server)?;
        if !link.have_earlier_grants_expired(now_ms) {
            return None;
        }
        let last_number = link.last_sent_number;
        let deadline_ms = now_ms + self.document.timing.prepare_ms;
        Some(ShardState::Moving {
            server: server.clone(),
            epoch,
            target: target.clone(),
            phase: Phase::Preparing { last_number, deadline_ms },
        })
    }

    /// Returns whether the plan and the record name this target, which may be granted shards now.
    fn is_move_possible(&self, now_ms: u64, index: usize, target: &Name) -> bool {
        let record = &self.known.record.shards[index];
        record.successor.as_ref() == Some(target)
            && record.successor_epoch > record.epoch
            && self.planned_owners[index].as_ref() == Some(target)
            && self.is_usable(now_ms, target)
    }

    /// Returns the transition of a handover that is due now.
    fn next_transition(
        &self,
        now_ms: u64,
        index: usize,
        target: &Name,
        phase: Phase,
        server: &Name,
    ) -> Option<Transition> {
        if !phase.is_releasing() && !self.is_move_possible(now_ms, index, target) {
            return Some(Transition::Cancel);
        }
        let id = self.known.record.shards[index].id;
        match phase {
            Phase::Preparing { last_number, deadline_ms } => {
                let is_prepared = self.servers[target].prepared.contains(&id);
                let is_due = !self.awaits_answers(now_ms, server, last_number)
                    && (is_prepared || now_ms >= deadline_ms)
                    && !self.has_pending_change(index);
                let sequence = self.sequence + 1;
                let close_deadline_ms = now_ms + self.config.drain_timeout_ms;
                is_due.then_some(Transition::Enter(Phase::Closing {
                    last_number,
                    sequence,
                    deadline_ms: close_deadline_ms,
                }))
            }
            Phase::Closing { last_number, sequence, deadline_ms } => {
                let is_closed = if self.checks_fence(server) {
                    now_ms >= deadline_ms || self.have_daemons_drained(now_ms, sequence)
                } else {
                    self.are_routes_closed(now_ms, sequence)
                };
                let deadline_ms = now_ms + self.max_request_timeout_ms();
                is_closed
                    .then_some(Transition::Enter(Phase::Releasing { last_number, deadline_ms }))
            }
            Phase::Releasing { last_number, deadline_ms } => {
                let deadline_of_grants_ms = self.servers[server].bound.deadline_ms();
                (now_ms >= deadline_ms).then_some(Transition::Enter(Phase::Expiring {
                    last_number,
                    deadline_ms: deadline_of_grants_ms,
                }))
            }
            Phase::Expiring { .. } => None,
        }
    }

    /// Returns how long a request may run that was sent before its shard was closed.
    fn max_request_timeout_ms(&self) -> u64 {
        self.document.classes.iter().map(|class| class.timeout_ms).max().unwrap_or(0)
    }

    /// Returns whether every daemon with a recent heartbeat has drained the table's closed shards.
    fn have_daemons_drained(&self, now_ms: u64, sequence: u64) -> bool {
        let timeout_ms = self.config.daemon_timeout_ms;
        self.daemons
            .values()
            .filter(|link| now_ms < link.heartbeat_at_ms + timeout_ms)
            .all(|link| link.is_drained(self.leader_epoch, sequence))
    }

    /// Returns whether each daemon has drained the table's closed shards or its lease has expired.
    ///
    /// Route leases of earlier controllers must have expired too.
    fn are_routes_closed(&self, now_ms: u64, sequence: u64) -> bool {
        now_ms >= self.inherited_grants_expire_at_ms()
            && self.daemons.values().all(|link| {
                link.is_drained(self.leader_epoch, sequence) || link.bound.is_expired(now_ms)
            })
    }

    /// Makes an order due at once for the server that must act on a new shard state.
    fn mark_order_due(&mut self, shard: &ShardState) {
        let recipient = match shard {
            ShardState::Moving { target, phase: Phase::Preparing { .. }, .. } => target,
            ShardState::Moving { server, phase: Phase::Releasing { .. }, .. }
            | ShardState::Granting { server, .. } => server,
            _ => return,
        };
        if let Some(link) = self.servers.get_mut(recipient) {
            link.needs_order = true;
        }
    }

    /// Grants the free shards for which the record allows an owner.
    fn grant_free_shards(&mut self, now_ms: u64) {
        if !self.may_grant() {
            return;
        }
        for index in 0..self.shards.len() {
            let ShardState::Free { not_before_ms } = self.shards[index] else {
                continue;
            };
            if now_ms < not_before_ms {
                continue;
            }
            match self.next_owner(now_ms, index) {
                NextOwner::Recorded(server, epoch) => {
                    self.max_granted[index] = self.max_granted[index].max(epoch);
                    let next = ShardState::Granting { server, epoch };
                    self.mark_order_due(&next);
                    self.shards[index] = next;
                }
                NextOwner::Unreported(successor) => {
                    if let Some(link) = self.servers.get_mut(&successor) {
                        link.needs_order = true;
                    }
                }
                NextOwner::Unrecorded => {}
            }
        }
    }

    /// Publishes a new table if the routes have changed.
    fn publish_table(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let table = self.build_table();
        if self.table.as_ref().is_some_and(|known| known.has_same_content(&table)) {
            return;
        }
        if self.table.as_ref().is_some_and(|known| self.withdraws_from_unfenced(known, &table)) {
            self.min_lease_sequence = table.sequence;
        }
        self.sequence = table.sequence;
        for link in self.daemons.values_mut() {
            link.next_table_at_ms = now_ms + self.config.order_interval_ms;
        }
        let table = Arc::new(table);
        self.table = Some(Arc::clone(&table));
        out.push(Action::Publish(table));
    }

    /// Returns whether a new table withdraws an open shard from a server that checks no fence.
    fn withdraws_from_unfenced(&self, known: &Table, next: &Table) -> bool {
        let mut pairs = known.routes.iter().zip(&next.routes);
        pairs.any(|(before, after)| {
            let is_kept = before.is_open == after.is_open
                && before.epoch == after.epoch
                && known.server_of(before) == next.server_of(after);
            before.is_open
                && !is_kept
                && known.server_of(before).is_some_and(|server| !self.checks_fence(server))
        })
    }

    fn build_table(&self) -> Table {
        let servers: Vec<Name> = self.servers.keys().cloned().collect();
        let positions: HashMap<&Name, u32> = servers.iter().zip(0..).collect();
        let routes = self
            .shards
            .iter()
            .zip(&self.known.record.shards)
            .enumerate()
            .map(|(index, (shard, record))| {
                let closed = Route {
                    shard: record.id,
                    group: record.group,
                    start: record.start,
                    server: None,
                    epoch: Epoch(0),
                    is_open: false,
                };
                match (shard, shard.holder()) {
                    (ShardState::Unknown, _) => {
                        self.inherited_route(index, &positions).unwrap_or(closed)
                    }
                    (_, Some((server, epoch))) => Route {
                        server: positions.get(server).copied(),
                        epoch,
                        is_open: shard.is_open(),
                        ..closed
                    },
                    (_, None) => closed,
                }
            })
            .collect();
        Table {
            service: self.service.clone(),
            term: self.term,
            leader_epoch: self.leader_epoch,
            controller: self.own_name.clone(),
            sequence: self.sequence + 1,
            document: self.document_revision,
            groups: self.known.record.groups.clone(),
            servers,
            routes,
        }
    }

    /// Returns a shard's route in an earlier controller's table, if its server checks fences.
    ///
    /// Such a server refuses requests with an outdated epoch, so the route is safe to use.
    fn inherited_route(&self, index: usize, positions: &HashMap<&Name, u32>) -> Option<Route> {
        let table = self.inherited_table.as_ref()?;
        let route = table.routes.get(index)?;
        let server = table.server_of(route)?;
        self.checks_fence(server)
            .then(|| Route { server: positions.get(server).copied(), ..*route })
    }

    /// Takes the next step of writing the record: draft and announce, write, or read back.
    fn advance_write(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_urgent = self.known.record.term == self.term
            && self.is_record_acknowledged()
            && (0..self.shards.len()).any(|index| self.is_waiting_for_record(now_ms, index));
        match self.writer.next(now_ms, is_urgent, self.is_intent_acknowledged()) {
            NextStep::Wait => {}
            NextStep::Read => out.push(Action::ReadRecord),
            NextStep::Write => {
                if let Some(intent) = self.writer.start_write(now_ms, &self.config) {
                    let expected = Some(intent.replaced_revision);
                    let (number, record) = (intent.number, intent.record);
                    out.push(Action::WriteRecord { number, expected, record });
                }
            }
            NextStep::Draft => {
                let record = self.draft_record(now_ms);
                // While a write may still take effect, a record is written even if nothing changed:
                // only a newer revision rules that write out.
                let is_current = record.term == self.known.record.term
                    && record.has_same_assignment(&self.known.record)
                    && self.writer.unresolved().is_empty();
                if is_current || !self.is_authorized(now_ms) {
                    return;
                }
                self.writer.announce(Arc::new(record), self.known.revision);
                self.schedule_promise_requests(now_ms);
            }
        }
    }

    /// Returns whether a free shard has a usable planned owner but no recorded one.
    fn is_waiting_for_record(&self, now_ms: u64, index: usize) -> bool {
        matches!(self.shards[index], ShardState::Free { .. })
            && self.next_owner(now_ms, index) == NextOwner::Unrecorded
            && self.planned_owners[index].as_ref().is_some_and(|name| self.is_usable(now_ms, name))
    }
}

/// A change in the progress of a handover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Transition {
    Enter(Phase),
    Cancel,
}
