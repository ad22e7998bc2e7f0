//! The grants that a server holds, and its handling of orders and requests.

use document::HashMap;

use crate::order::{Order, Report, ShardEpoch, ShardReport, Verdict};
use crate::{Epoch, LeaderEpoch, ShardId, Term};

/// The shards of one service that one server process was granted.
#[derive(Debug)]
pub struct GrantTable {
    incarnation: u64,
    term: Term,
    leader_epoch: Option<LeaderEpoch>,
    shards: HashMap<ShardId, ShardGrant>,
    prepared: Vec<ShardId>,
}

/// Whether a server may run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run; [`GrantTable::end`] must be called when it has ended.
    Run,
    /// The request's epoch is not that of the server's last grant for the shard.
    Stale,
    /// The server has no grant for the shard, or the grant has expired or is being released.
    NotOwner,
}

#[derive(Debug)]
struct ShardGrant {
    epoch: Epoch,
    deadline_ms: u64,
    state: GrantState,
    in_flight: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GrantState {
    Active,
    /// No request may begin; the shard is released when those in flight have ended.
    Closing,
    /// The server no longer owns the shard, even if the grant has not expired.
    Released,
}

impl GrantTable {
    /// Creates the empty table of a server process that starts.
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

    /// Handles an order and returns the report to send.
    pub fn on_order(&mut self, now_ms: u64, order: &Order) -> Report {
        let verdict = self.check(order);
        if verdict != Verdict::Outdated {
            self.term = order.term;
            self.leader_epoch = Some(order.leader_epoch);
        }
        if verdict == Verdict::Followed {
            self.apply(now_ms, order);
        }
        self.to_report(now_ms, verdict, order.number)
    }

    /// Decides whether a request for a shard may run now under the epoch that it carries.
    pub fn begin(&mut self, now_ms: u64, target: ShardEpoch) -> Admission {
        let Some(grant) = self.shards.get_mut(&target.shard) else {
            return Admission::NotOwner;
        };
        if grant.epoch != target.epoch {
            return Admission::Stale;
        }
        if grant.is_expired(now_ms) || grant.state != GrantState::Active {
            return Admission::NotOwner;
        }
        grant.in_flight += 1;
        Admission::Run
    }

    /// Ends a request that ran, and returns whether its result may be committed.
    ///
    /// The result must be dropped if the server lost the grant while the request ran.
    pub fn end(&mut self, now_ms: u64, target: ShardEpoch) -> bool {
        let Some(grant) = self.shards.get_mut(&target.shard) else {
            return false;
        };
        if grant.epoch != target.epoch {
            return false;
        }
        let is_owner = grant.is_live(now_ms);
        grant.in_flight = grant.in_flight.saturating_sub(1);
        if grant.state == GrantState::Closing && grant.in_flight == 0 {
            grant.state = GrantState::Released;
        }
        is_owner
    }

    /// Returns the epoch under which the server owns a shard now; `None` if it does not.
    #[must_use]
    pub fn owned_epoch(&self, now_ms: u64, shard: ShardId) -> Option<Epoch> {
        let grant = self.shards.get(&shard)?;
        grant.is_live(now_ms).then_some(grant.epoch)
    }

    /// Returns the shards that the server owns now, with their epochs.
    #[must_use]
    pub fn live_shards(&self, now_ms: u64) -> Vec<ShardEpoch> {
        let live = self.shards.iter().filter(|(_, grant)| grant.is_live(now_ms));
        live.map(|(shard, grant)| ShardEpoch { shard: *shard, epoch: grant.epoch }).collect()
    }

    /// Returns the shards to load in advance, from the last order that was carried out.
    #[must_use]
    pub fn prepared(&self) -> &[ShardId] {
        &self.prepared
    }

    fn check(&self, order: &Order) -> Verdict {
        let is_other_controller =
            self.leader_epoch.is_some_and(|known| known != order.leader_epoch);
        if order.term < self.term || (order.term == self.term && is_other_controller) {
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
            for granted in &order.grants {
                self.accept(*granted, order.deadline_ms);
            }
        }
        for released in &order.releases {
            self.release(*released);
        }
        self.prepared.clone_from(&order.prepares);
    }

    fn accept(&mut self, granted: ShardEpoch, deadline_ms: u64) {
        let new_grant = ShardGrant {
            epoch: granted.epoch,
            deadline_ms,
            state: GrantState::Active,
            in_flight: 0,
        };
        match self.shards.get_mut(&granted.shard) {
            Some(grant) if grant.epoch > granted.epoch => {}
            Some(grant) if grant.epoch == granted.epoch => {
                grant.deadline_ms = grant.deadline_ms.max(deadline_ms);
            }
            Some(grant) => *grant = new_grant,
            None => {
                self.shards.insert(granted.shard, new_grant);
            }
        }
    }

    fn release(&mut self, released: ShardEpoch) {
        let Some(grant) = self.shards.get_mut(&released.shard) else {
            return;
        };
        if grant.epoch != released.epoch || grant.state == GrantState::Released {
            return;
        }
        grant.state = if grant.in_flight == 0 { GrantState::Released } else { GrantState::Closing };
    }

    fn to_report(&self, now_ms: u64, verdict: Verdict, number: u64) -> Report {
        let mut shards: Vec<ShardReport> = self
            .shards
            .iter()
            .map(|(shard, grant)| ShardReport {
                shard: *shard,
                epoch: grant.epoch,
                is_live: grant.is_live(now_ms),
                is_closing: grant.state == GrantState::Closing && grant.is_live(now_ms),
                is_released: grant.state == GrantState::Released,
            })
            .collect();
        shards.sort_unstable_by_key(|shard_report| shard_report.shard);
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

impl ShardGrant {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.deadline_ms
    }

    fn is_live(&self, now_ms: u64) -> bool {
        !self.is_expired(now_ms) && self.state != GrantState::Released
    }
}
