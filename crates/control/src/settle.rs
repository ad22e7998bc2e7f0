//! The steps that bring shards to where they are wanted.

use std::sync::Arc;

use document::{HashMap, Name};
use lease::{Epoch, ShardId};
use route::{Route, Table};

use crate::Action;
use crate::draft::Heir;
use crate::lead::Lead;
use crate::shard::{Phase, Shard};
use crate::writer::Next;

impl Lead {
    /// Does all that can be done now.
    pub(crate) fn settle(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.note_lost(now_ms);
        self.free_lost(now_ms);
        self.read_reports(now_ms);
        self.plan_if_due(now_ms);
        self.advance_moves(now_ms);
        self.grant_free(now_ms);
        self.publish(now_ms, out);
        self.write_record(now_ms, out);
        self.ask_promises(now_ms, out);
        self.send_orders(now_ms, out);
    }

    fn note_lost(&mut self, now_ms: u64) {
        let lost = self
            .servers
            .iter()
            .filter(|(_, link)| link.is_lost(now_ms, &self.tuning))
            .map(|(name, _)| name.clone())
            .collect();
        if self.lost != lost {
            self.lost = lost;
            self.planning.is_due = true;
        }
    }

    /// Frees the shards of silent servers whose grants are over.
    fn free_lost(&mut self, now_ms: u64) {
        let over: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, link)| !link.is_reachable(now_ms, &self.tuning))
            .filter(|(_, link)| link.bound.is_over(now_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.free_shards_of(now_ms, &name);
        }
    }

    /// Compares what servers report with what they should hold.
    fn read_reports(&mut self, now_ms: u64) {
        let live = self.find_live();
        let is_inheritance_over = now_ms >= self.inheritance_over_ms();
        for at in 0..self.shards.len() {
            let id = self.known.record.shards[at].id;
            let next = match &self.shards[at] {
                Shard::Unknown => match live.get(&id) {
                    Some((server, epoch)) => {
                        Some(Shard::Held { server: server.clone(), epoch: *epoch })
                    }
                    None if is_inheritance_over => Some(Shard::Free { not_before_ms: now_ms }),
                    None => None,
                },
                Shard::Granting { server, epoch } => self.read_grant(now_ms, id, server, *epoch),
                Shard::Moving {
                    server, epoch, phase: Phase::Releasing { deadline_ms }, ..
                } => {
                    let is_over = now_ms >= *deadline_ms && !self.is_live(id, server, *epoch);
                    (is_over || self.is_given_up(id, server, *epoch))
                        .then_some(Shard::Free { not_before_ms: now_ms })
                }
                Shard::Held { server, epoch } | Shard::Moving { server, epoch, .. } => self
                    .is_given_up(id, server, *epoch)
                    .then(|| Shard::Free { not_before_ms: self.free_from_ms(now_ms, server) }),
                Shard::Free { .. } => None,
            };
            if let Some(next) = next {
                self.shards[at] = next;
            }
        }
    }

    fn read_grant(&self, now_ms: u64, id: ShardId, server: &Name, epoch: Epoch) -> Option<Shard> {
        if self.is_given_up(id, server, epoch) {
            return Some(Shard::Free { not_before_ms: now_ms });
        }
        self.is_live(id, server, epoch).then(|| Shard::Held { server: server.clone(), epoch })
    }

    fn is_given_up(&self, id: ShardId, server: &Name, epoch: Epoch) -> bool {
        self.servers.get(server).is_some_and(|link| link.is_released(id, epoch))
    }

    fn is_live(&self, id: ShardId, server: &Name, epoch: Epoch) -> bool {
        self.servers.get(server).is_some_and(|link| link.is_live(id, epoch))
    }

    /// Returns what servers that check fences reported to serve, where it is not known yet.
    fn find_live(&self) -> HashMap<ShardId, (Name, Epoch)> {
        let mut live: HashMap<ShardId, (Name, Epoch)> = HashMap::default();
        if !self.shards.contains(&Shard::Unknown) {
            return live;
        }
        for (name, link) in self.servers.iter().filter(|(_, link)| link.checks_fence) {
            for held in link.held.values().filter(|held| held.is_live) {
                let known = live.get(&held.shard).map_or(Epoch(0), |(_, epoch)| *epoch);
                if held.epoch > known {
                    live.insert(held.shard, (name.clone(), held.epoch));
                }
            }
        }
        live
    }

    /// Starts, carries on and cancels planned handovers.
    fn advance_moves(&mut self, now_ms: u64) {
        let limit = usize::try_from(self.document.timing.moves_at_once).unwrap_or(usize::MAX);
        let mut moving = self.shards.iter().filter(|shard| shard.is_moving()).count();
        let may_grant = self.may_grant();
        for at in 0..self.shards.len() {
            let next = match &self.shards[at] {
                Shard::Held { server, epoch } if may_grant && moving < limit => {
                    self.start_move(now_ms, at, server, *epoch)
                }
                Shard::Moving { server, epoch, target, phase } => {
                    self.next_phase(now_ms, at, target, *phase, server).map(|step| match step {
                        Step::Enter(phase) => Shard::Moving {
                            server: server.clone(),
                            epoch: *epoch,
                            target: target.clone(),
                            phase,
                        },
                        Step::Cancel => Shard::Held { server: server.clone(), epoch: *epoch },
                    })
                }
                _ => None,
            };
            if let Some(next) = next {
                moving += usize::from(!self.shards[at].is_moving() && next.is_moving());
                if let Shard::Moving { epoch, phase: Phase::Releasing { .. }, .. } = &next {
                    self.released[at] = self.released[at].max(*epoch);
                }
                self.note_dirty(&next);
                self.shards[at] = next;
            }
        }
    }

    fn start_move(&self, now_ms: u64, at: usize, server: &Name, epoch: Epoch) -> Option<Shard> {
        let target = self.wanted[at].as_ref().filter(|wanted| *wanted != server)?;
        // A silent server hands nothing over; its shards wait for the end of its grants.
        if self.lost.contains(server) || !self.is_move_possible(now_ms, at, target) {
            return None;
        }
        let deadline_ms = now_ms + self.document.timing.prepare_ms;
        Some(Shard::Moving {
            server: server.clone(),
            epoch,
            target: target.clone(),
            phase: Phase::Preparing { deadline_ms },
        })
    }

    fn is_move_possible(&self, now_ms: u64, at: usize, target: &Name) -> bool {
        let record = &self.known.record.shards[at];
        record.successor.as_ref() == Some(target)
            && record.successor_epoch > record.epoch
            && self.wanted[at].as_ref() == Some(target)
            && self.is_usable(now_ms, target)
    }

    fn next_phase(
        &self,
        now_ms: u64,
        at: usize,
        target: &Name,
        phase: Phase,
        server: &Name,
    ) -> Option<Step> {
        let is_releasing = matches!(phase, Phase::Releasing { .. });
        if !is_releasing && !self.is_move_possible(now_ms, at, target) {
            return Some(Step::Cancel);
        }
        let id = self.known.record.shards[at].id;
        match phase {
            Phase::Preparing { deadline_ms } => {
                let is_prepared = self.servers[target].prepared.contains(&id);
                let is_due = (is_prepared || now_ms >= deadline_ms) && !self.is_disputed(at);
                let sequence = self.sequence + 1;
                let close_deadline_ms = now_ms + self.tuning.close_ms;
                is_due.then_some(Step::Enter(Phase::Closing {
                    sequence,
                    deadline_ms: close_deadline_ms,
                }))
            }
            Phase::Closing { sequence, deadline_ms } => {
                let is_closed = if self.checks_fence(server) {
                    now_ms >= deadline_ms || self.are_daemons_drained(now_ms, sequence)
                } else {
                    self.are_routes_closed(now_ms, sequence)
                };
                let deadline_ms = now_ms + self.longest_request_ms();
                is_closed.then_some(Step::Enter(Phase::Releasing { deadline_ms }))
            }
            Phase::Releasing { .. } => None,
        }
    }

    /// Returns how long a request may run that was sent before its shard was closed.
    fn longest_request_ms(&self) -> u64 {
        self.document.classes.iter().map(|class| class.timeout_ms).max().unwrap_or(0)
    }

    /// Returns whether every daemon that was heard of lately has drained.
    fn are_daemons_drained(&self, now_ms: u64, sequence: u64) -> bool {
        let silence_ms = self.tuning.daemon_silence_ms;
        self.daemons
            .values()
            .filter(|link| now_ms < link.last_beat_ms + silence_ms)
            .all(|link| link.is_drained(self.leader_epoch, sequence))
    }

    /// Returns whether no daemon can send to a closed shard any more.
    fn are_routes_closed(&self, now_ms: u64, sequence: u64) -> bool {
        now_ms >= self.inheritance_over_ms()
            && self.daemons.values().all(|link| {
                link.is_drained(self.leader_epoch, sequence) || link.bound.is_over(now_ms)
            })
    }

    /// Makes the servers that a step concerns hear of it at once.
    fn note_dirty(&mut self, shard: &Shard) {
        let concerned = match shard {
            Shard::Moving { target, phase: Phase::Preparing { .. }, .. } => target,
            Shard::Moving { server, phase: Phase::Releasing { .. }, .. }
            | Shard::Granting { server, .. } => server,
            _ => return,
        };
        if let Some(link) = self.servers.get_mut(concerned) {
            link.is_dirty = true;
        }
    }

    /// Grants free shards that the record lets somebody hold.
    fn grant_free(&mut self, now_ms: u64) {
        if !self.may_grant() {
            return;
        }
        for at in 0..self.shards.len() {
            let Shard::Free { not_before_ms } = self.shards[at] else {
                continue;
            };
            if now_ms < not_before_ms {
                continue;
            }
            if let Heir::Recorded(server, epoch) = self.heir(now_ms, at) {
                self.granted[at] = self.granted[at].max(epoch);
                let next = Shard::Granting { server, epoch };
                self.note_dirty(&next);
                self.shards[at] = next;
            }
        }
    }

    fn publish(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let table = self.to_table();
        if self.table.as_ref().is_some_and(|known| known.is_same_content(&table)) {
            return;
        }
        if self.table.as_ref().is_some_and(|known| self.takes_from_unfenced(known, &table)) {
            self.unfenced_sequence = table.sequence;
        }
        self.sequence = table.sequence;
        for link in self.daemons.values_mut() {
            link.next_table_ms = now_ms + self.tuning.order_every_ms;
        }
        let table = Arc::new(table);
        self.table = Some(Arc::clone(&table));
        out.push(Action::Publish(table));
    }

    /// Returns whether a table takes a shard from a server that checks no fence.
    fn takes_from_unfenced(&self, known: &Table, next: &Table) -> bool {
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

    fn to_table(&self) -> Table {
        let servers: Vec<Name> = self.servers.keys().cloned().collect();
        let positions: HashMap<&Name, u32> = servers.iter().zip(0..).collect();
        let routes = self
            .shards
            .iter()
            .zip(&self.known.record.shards)
            .enumerate()
            .map(|(at, (shard, record))| {
                let closed = Route {
                    shard: record.id,
                    group: record.group,
                    start: record.start,
                    server: None,
                    epoch: Epoch(0),
                    is_open: false,
                };
                match (shard, shard.holder()) {
                    (Shard::Unknown, _) => self.inherited_route(at, &positions).unwrap_or(closed),
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
            controller: self.me.clone(),
            sequence: self.sequence + 1,
            document: self.document_revision,
            groups: self.known.record.groups.clone(),
            servers,
            routes,
        }
    }

    /// Returns the route of an earlier table, where the server itself refuses what is stale.
    fn inherited_route(&self, at: usize, positions: &HashMap<&Name, u32>) -> Option<Route> {
        let table = self.inherited.as_ref()?;
        let route = table.routes.get(at)?;
        let server = table.server_of(route)?;
        self.checks_fence(server)
            .then(|| Route { server: positions.get(server).copied(), ..*route })
    }

    fn write_record(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_urgent = self.known.record.term == self.term
            && self.is_record_acknowledged()
            && (0..self.shards.len()).any(|at| self.is_waiting_for_record(now_ms, at));
        match self.writer.next(now_ms, is_urgent, self.is_intent_acknowledged()) {
            Next::Wait => {}
            Next::Read => out.push(Action::ReadRecord),
            Next::Try => {
                if let Some(intent) = self.writer.note_try(now_ms, &self.tuning) {
                    let expected = Some(intent.over);
                    let (number, record) = (intent.number, intent.record);
                    out.push(Action::WriteRecord { number, expected, record });
                }
            }
            Next::Draft => {
                let record = self.to_record(now_ms);
                // A write that may still take effect is ruled out only by a newer revision.
                let is_current = record.term == self.known.record.term
                    && record.is_same_assignment(&self.known.record)
                    && self.writer.unresolved().is_empty();
                if is_current || !self.is_authorized(now_ms) {
                    return;
                }
                self.writer.announce(Arc::new(record), self.known.revision);
                self.ask_promises_at(now_ms);
            }
        }
    }

    fn is_waiting_for_record(&self, now_ms: u64, at: usize) -> bool {
        matches!(self.shards[at], Shard::Free { .. })
            && self.heir(now_ms, at) == Heir::Unrecorded
            && self.wanted[at].as_ref().is_some_and(|name| self.is_usable(now_ms, name))
    }
}

/// What comes next in a handover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Enter(Phase),
    Cancel,
}
