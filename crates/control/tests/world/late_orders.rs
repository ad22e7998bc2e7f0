//! Servers that carry out queued orders after newer ones, and answers that are copies.

use std::collections::BTreeMap;

use lease::{Epoch, LeaderEpoch, Order, Report, ShardId, ShardReport, Term, Verdict};
use rand::RngExt;

use super::{Check, Server, World};

/// What a server keeps beside its table when it carries out orders without a check.
#[derive(Default)]
pub struct LateOrders {
    /// The grants that the table refuses, with their deadlines on the server's clock.
    grants: BTreeMap<ShardId, (Epoch, u64)>,
    /// The controller of the newest order that was carried out.
    newest: Option<(Term, LeaderEpoch)>,
    /// The last answer, with the daemon and its process that it was sent to.
    last_answer: Option<((usize, u64), Report)>,
}

impl Server {
    /// Returns the epoch under which the server owns a shard now; `None` if it does not.
    pub fn owned_epoch(&self, now_ms: u64, shard: ShardId) -> Option<Epoch> {
        let local_ms = self.clock.read(now_ms);
        let late = self.late_orders.grants.get(&shard).filter(|(_, end_ms)| local_ms < *end_ms);
        self.grant_table.owned_epoch(local_ms, shard).or(late.map(|(epoch, _)| *epoch))
    }

    /// Returns whether the server would carry out an order that it checked now.
    pub(super) fn accepts(&self, order: &Order) -> bool {
        let is_newest = self.late_orders.newest.is_none_or(|(term, leader_epoch)| {
            order.term > term || (order.term == term && order.leader_epoch == leader_epoch)
        });
        is_newest && order.incarnation == Some(self.incarnation)
    }

    /// Carries out an order, with a check now unless it was checked on arrival.
    pub(super) fn carry_out(&mut self, now_ms: u64, order: &Order, check: Check) -> Report {
        let local_ms = self.clock.read(now_ms);
        let mut order = order.clone();
        if check == Check::OnArrival
            && let Some((term, leader_epoch)) = self.late_orders.newest
            && order.term <= term
        {
            (order.term, order.leader_epoch) = (term, leader_epoch);
        }
        let mut report = self.grant_table.on_order(local_ms, &order);
        if report.verdict != Verdict::Outdated {
            self.late_orders.newest = Some((order.term, order.leader_epoch));
        }
        if report.verdict == Verdict::Followed {
            let late = &mut self.late_orders.grants;
            late.retain(|shard, (epoch, _)| {
                !order.releases.iter().any(|end| end.shard == *shard && end.epoch == *epoch)
            });
            let is_granted = check == Check::OnArrival && order.deadline_ms > local_ms;
            for grant in order.grants.iter().filter(|_| is_granted) {
                if !order.releases.contains(grant) {
                    let held = late.entry(grant.shard).or_insert((grant.epoch, 0));
                    let known_ms = if held.0 == grant.epoch { held.1 } else { 0 };
                    *held = (grant.epoch, known_ms.max(order.deadline_ms));
                }
            }
        }
        // A shard that the table holds stays as it is.
        let table = &self.grant_table;
        self.late_orders.grants.retain(|shard, (_, end_ms)| {
            local_ms < *end_ms && table.owned_epoch(local_ms, *shard).is_none()
        });
        for (shard, (epoch, _)) in &self.late_orders.grants {
            report.shards.retain(|known| known.shard != *shard);
            report.shards.push(ShardReport {
                shard: *shard,
                epoch: *epoch,
                is_live: true,
                is_closing: false,
                is_released: false,
            });
        }
        report
    }
}

impl World {
    /// Returns the answer that reaches a daemon process: the server's, or a copy of its previous one.
    pub(super) fn replace_report(
        &mut self,
        index: usize,
        receiver: (usize, u64),
        report: Report,
    ) -> Report {
        let permille = self.faults.copy_permille;
        let is_copy = permille > 0 && self.rng.random_range(0..1000) < permille;
        let answers = &mut self.servers[index].late_orders.last_answer;
        let previous = answers.replace((receiver, report.clone()));
        match previous {
            Some((known, copy)) if is_copy && known == receiver => copy,
            _ => report,
        }
    }
}
