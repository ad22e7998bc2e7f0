//! The server's side of a grant.

use document::HashMap;

use crate::order::{Held, Order, Report, ShardEpoch, Verdict};
use crate::{Epoch, LeaderEpoch, ShardId, Term};

/// What one server process holds of one service.
#[derive(Debug)]
pub struct Holder {
    incarnation: u64,
    term: Term,
    leader_epoch: Option<LeaderEpoch>,
    shards: HashMap<ShardId, Slot>,
    prepared: Vec<ShardId>,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run; [`Holder::end`] must follow.
    Run,
    /// The epoch is not the one that the server holds.
    Stale,
    /// The server does not hold the shard.
    NotOwner,
}

#[derive(Debug)]
struct Slot {
    epoch: Epoch,
    deadline_ms: u64,
    state: SlotState,
    in_flight: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotState {
    Granted,
    Closing,
    Released,
}

impl Holder {
    /// Creates the holder of a server process that starts; it holds nothing.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            term: Term(0),
            leader_epoch: None,
            shards: HashMap::default(),
            prepared: Vec::new(),
        }
    }

    /// Follows an order and reports.
    pub fn follow(&mut self, now_ms: u64, order: &Order) -> Report {
        let verdict = self.judge(order);
        if verdict != Verdict::Outdated {
            self.term = order.term;
            self.leader_epoch = Some(order.leader_epoch);
        }
        if verdict == Verdict::Followed {
            self.apply(now_ms, order);
        }
        self.to_report(now_ms, verdict, order.number)
    }

    /// Decides whether a request with an epoch may run.
    pub fn begin(&mut self, now_ms: u64, target: ShardEpoch) -> Admission {
        let Some(slot) = self.shards.get_mut(&target.shard) else {
            return Admission::NotOwner;
        };
        if slot.epoch != target.epoch {
            return Admission::Stale;
        }
        if slot.is_lapsed(now_ms) || slot.state != SlotState::Granted {
            return Admission::NotOwner;
        }
        slot.in_flight += 1;
        Admission::Run
    }

    /// Ends a request that ran; returns whether its result may be committed.
    ///
    /// The result must be dropped when the grant ended while the request ran.
    pub fn end(&mut self, now_ms: u64, target: ShardEpoch) -> bool {
        let Some(slot) = self.shards.get_mut(&target.shard) else {
            return false;
        };
        if slot.epoch != target.epoch {
            return false;
        }
        let is_owner = slot.is_live(now_ms);
        slot.in_flight = slot.in_flight.saturating_sub(1);
        if slot.state == SlotState::Closing && slot.in_flight == 0 {
            slot.state = SlotState::Released;
        }
        is_owner
    }

    /// Returns whether the server may act as the owner of a shard now.
    #[must_use]
    pub fn is_owner(&self, now_ms: u64, shard: ShardId) -> Option<Epoch> {
        let slot = self.shards.get(&shard)?;
        slot.is_live(now_ms).then_some(slot.epoch)
    }

    /// Returns the shards that the server serves now, with their epochs.
    #[must_use]
    pub fn live(&self, now_ms: u64) -> Vec<ShardEpoch> {
        let live = self.shards.iter().filter(|(_, slot)| slot.is_live(now_ms));
        live.map(|(shard, slot)| ShardEpoch { shard: *shard, epoch: slot.epoch }).collect()
    }

    /// Returns the shards that are loaded in advance.
    #[must_use]
    pub fn prepared(&self) -> &[ShardId] {
        &self.prepared
    }

    fn judge(&self, order: &Order) -> Verdict {
        let is_other = self.leader_epoch.is_some_and(|known| known != order.leader_epoch);
        if order.term < self.term || (order.term == self.term && is_other) {
            return Verdict::Outdated;
        }
        if order.incarnation == Some(self.incarnation) {
            Verdict::Followed
        } else {
            Verdict::Reported
        }
    }

    fn apply(&mut self, now_ms: u64, order: &Order) {
        if order.deadline_ms > now_ms {
            for grant in &order.grants {
                self.accept(*grant, order.deadline_ms);
            }
        }
        for release in &order.releases {
            self.close(*release);
        }
        self.prepared.clone_from(&order.prepares);
    }

    fn accept(&mut self, grant: ShardEpoch, deadline_ms: u64) {
        let fresh =
            Slot { epoch: grant.epoch, deadline_ms, state: SlotState::Granted, in_flight: 0 };
        match self.shards.get_mut(&grant.shard) {
            Some(slot) if slot.epoch > grant.epoch => {}
            Some(slot) if slot.epoch == grant.epoch => {
                slot.deadline_ms = slot.deadline_ms.max(deadline_ms);
            }
            Some(slot) => *slot = fresh,
            None => {
                self.shards.insert(grant.shard, fresh);
            }
        }
    }

    fn close(&mut self, release: ShardEpoch) {
        let Some(slot) = self.shards.get_mut(&release.shard) else {
            return;
        };
        if slot.epoch != release.epoch || slot.state == SlotState::Released {
            return;
        }
        slot.state = if slot.in_flight == 0 { SlotState::Released } else { SlotState::Closing };
    }

    fn to_report(&self, now_ms: u64, verdict: Verdict, number: u64) -> Report {
        let mut shards: Vec<Held> = self
            .shards
            .iter()
            .map(|(shard, slot)| Held {
                shard: *shard,
                epoch: slot.epoch,
                is_live: slot.is_live(now_ms),
                is_closing: slot.state == SlotState::Closing && slot.is_live(now_ms),
                is_released: slot.state == SlotState::Released,
            })
            .collect();
        shards.sort_unstable_by_key(|held| held.shard);
        Report {
            verdict,
            number,
            incarnation: self.incarnation,
            clock_ms: now_ms,
            term: self.term,
            shards,
            prepared: self.prepared.clone(),
        }
    }
}

impl Slot {
    fn is_lapsed(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_ms
    }

    fn is_live(&self, now_ms: u64) -> bool {
        !self.is_lapsed(now_ms) && self.state != SlotState::Released
    }
}
