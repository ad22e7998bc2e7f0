//! Servers that queue orders, daemons that stop, requests in flight, and events in batches.

use std::collections::BTreeSet;

use control::Event;
use document::Name;
use lease::{Admission, Order, ShardEpoch, ShardId};
use rand::RngExt;

use super::{Check, Delivery, World};

/// Faults of servers and daemons that only some schedules draw.
#[derive(Debug, Default)]
pub struct Faults {
    /// The probability, in 1/1000, that a server queues an order before it carries it out.
    pub queue_permille: u32,
    /// The longest time that an order stays queued.
    pub max_queue_ms: u64,
    /// The servers that check an order when it arrives, but not when they carry it out.
    pub check_on_arrival: BTreeSet<Name>,
    /// The probability, in 1/1000, that a server's answer is a copy of its previous one.
    pub copy_permille: u32,
    /// The probability, in 1/1000, that a daemon reconciles only after its next event.
    pub batch_permille: u32,
}

impl World {
    /// Stops a daemon, which returns its promises before its process ends.
    pub fn stop_daemon(&mut self, index: usize) {
        self.deliver(index, Event::Stop);
        self.daemons[index].control = None;
    }

    /// Returns whether the route lease of a daemon is in force.
    pub fn has_route_lease(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.clock.read(self.now_ms) < daemon.route_deadline_ms
    }

    /// Starts a request on a shard that ends after a time, if the shard has an owner.
    pub fn run_request(&mut self, shard: u32, duration_ms: u64) {
        let Some(owner) = self.owner(shard) else { return };
        let index = self.server_index(&owner);
        let server = &mut self.servers[index];
        let local_ms = server.clock.read(self.now_ms);
        let shard = ShardId(shard);
        let Some(epoch) = server.grant_table.owned_epoch(local_ms, shard) else { return };
        let target = ShardEpoch { shard, epoch };
        if server.grant_table.begin(local_ms, target) == Admission::Run {
            let incarnation = server.incarnation;
            let end = Delivery::RequestEnd { server: index, incarnation, target };
            self.queue_in(duration_ms, end);
        }
    }

    /// Queues an order at a server for a time, and returns whether it did.
    pub(super) fn queue_order(&mut self, index: usize, from: usize, order: &Order) -> bool {
        let permille = self.faults.queue_permille;
        if permille == 0 || self.rng.random_range(0..1000) >= permille {
            return false;
        }
        let delay_ms = self.rng.random_range(1..=self.faults.max_queue_ms);
        let server = &self.servers[index];
        let incarnation = server.incarnation;
        let is_accepted = self.faults.check_on_arrival.contains(&server.name)
            && self.now_ms >= server.resumes_at_ms
            && server.accepts(order);
        let check = if is_accepted { Check::OnArrival } else { Check::Late };
        let order = order.clone();
        let delivery = Delivery::QueuedOrder { server: index, incarnation, from, order, check };
        self.queue_in(delay_ms, delivery);
        true
    }
}
