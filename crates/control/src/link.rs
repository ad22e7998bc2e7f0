//! What a controller knows of each server and of each daemon.

use std::collections::VecDeque;
use std::net::SocketAddr;

use document::{HashMap, HashSet, Revision};
use lease::{Epoch, GrantBound, LeaderEpoch, Report, ShardId, ShardReport};

use crate::Config;

/// A controller's view of one server.
#[derive(Debug)]
pub(crate) struct ServerLink {
    pub(crate) address: SocketAddr,
    pub(crate) checks_fence: bool,
    /// The server process that reported last.
    pub(crate) incarnation: Option<u64>,
    /// When all grants sent to the server have expired.
    pub(crate) bound: GrantBound,
    /// Whether an order should be sent without waiting for the next interval.
    pub(crate) needs_order: bool,
    /// The last report of the server, by shard.
    pub(crate) reported: HashMap<ShardId, ShardReport>,
    /// The shards that the server reported as prepared.
    pub(crate) prepared: HashSet<ShardId>,
    /// The number of the order that the last report answered.
    pub(crate) last_reported_number: u64,
    /// The number of the last order sent.
    pub(crate) last_sent_number: u64,
    /// The number of the last order sent before the last report arrived.
    last_sent_before_report: u64,
    last_report_at_ms: Option<u64>,
    added_at_ms: u64,
    /// When the controller stops waiting for a report; until then it sends no further order.
    report_deadline_ms: Option<u64>,
    next_order_at_ms: u64,
    /// The number of the last order sent to an earlier address, until the current one answers.
    last_number_at_old_address: Option<u64>,
    /// The orders with grants that were not answered, with the time when their grants have expired.
    ///
    /// The server may carry them out after later orders, also after a release.
    unanswered_grants: Vec<(u64, u64)>,
    /// When the grants of earlier controllers have expired, which may be unanswered as well.
    earlier_grants_deadline_ms: u64,
}

/// Whether a report comes from a new server process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessChange {
    /// The first or the known server process reported, or the report is outdated.
    Same,
    /// A later process reported; the earlier one has ended, or its grants end with the bound.
    Restarted,
}

impl ServerLink {
    pub(crate) fn new(now_ms: u64, address: SocketAddr, checks_fence: bool) -> Self {
        Self {
            address,
            checks_fence,
            incarnation: None,
            bound: GrantBound::default(),
            needs_order: true,
            reported: HashMap::default(),
            prepared: HashSet::default(),
            last_reported_number: 0,
            last_sent_number: 0,
            last_sent_before_report: 0,
            last_report_at_ms: None,
            added_at_ms: now_ms,
            report_deadline_ms: None,
            next_order_at_ms: now_ms,
            last_number_at_old_address: None,
            unanswered_grants: Vec::new(),
            earlier_grants_deadline_ms: 0,
        }
    }

    /// Sends further orders to another address, where another process may run.
    pub(crate) fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.last_number_at_old_address = Some(self.last_sent_number);
        }
    }

    /// Returns whether the server reported within [`Config::server_timeout_ms`].
    pub(crate) fn is_reachable(&self, now_ms: u64, config: &Config) -> bool {
        self.last_report_at_ms
            .is_some_and(|reported_at_ms| now_ms < reported_at_ms + config.server_timeout_ms)
    }

    /// Returns whether the server has not reported for [`Config::server_timeout_ms`].
    ///
    /// For a server that has never reported, the time counts from when its link was added.
    pub(crate) fn is_lost(&self, now_ms: u64, config: &Config) -> bool {
        now_ms >= self.last_report_at_ms.unwrap_or(self.added_at_ms) + config.server_timeout_ms
    }

    /// Returns whether to send an order now.
    pub(crate) fn is_order_due(&self, now_ms: u64) -> bool {
        let awaits_report = self.report_deadline_ms.is_some_and(|deadline_ms| now_ms < deadline_ms);
        !awaits_report && (self.needs_order || now_ms >= self.next_order_at_ms)
    }

    /// Records that an order was sent and schedules the next one.
    ///
    /// The interval is shorter with `needs_progress_orders`, that is, while the server prepares
    /// or releases a shard.
    pub(crate) fn on_order_sent(
        &mut self,
        now_ms: u64,
        number: u64,
        needs_progress_orders: bool,
        config: &Config,
    ) {
        self.needs_order = false;
        self.last_sent_number = number;
        self.report_deadline_ms = Some(now_ms + config.order_timeout_ms);
        let interval_ms = if needs_progress_orders {
            config.progress_interval_ms
        } else {
            config.order_interval_ms
        };
        self.next_order_at_ms = now_ms + interval_ms;
    }

    /// Records that an order sent now grants shards, after [`ServerLink::bound`] was extended.
    pub(crate) fn on_grants_sent(&mut self, now_ms: u64, number: u64) {
        self.unanswered_grants.retain(|(_, deadline_ms)| now_ms < *deadline_ms);
        self.unanswered_grants.push((number, self.bound.deadline_ms()));
    }

    /// Records that earlier controllers may have sent grants that expire at a deadline.
    pub(crate) fn on_grants_adopted(&mut self, deadline_ms: u64) {
        self.bound.extend_to(deadline_ms);
        self.earlier_grants_deadline_ms = deadline_ms;
    }

    /// Returns when all unanswered grants of orders up to a number have expired.
    ///
    /// Until then, the server may carry them out. Those of earlier controllers are included.
    pub(crate) fn unanswered_deadline_ms(&self, max_number: u64) -> u64 {
        let unanswered = self.unanswered_grants.iter().filter(|(number, _)| *number <= max_number);
        let deadlines_ms = unanswered.map(|(_, deadline_ms)| *deadline_ms);
        deadlines_ms.fold(self.earlier_grants_deadline_ms, u64::max)
    }

    /// Returns whether all grants of earlier controllers have expired.
    pub(crate) fn have_earlier_grants_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.earlier_grants_deadline_ms
    }

    pub(crate) fn on_order_unanswered(&mut self) {
        self.report_deadline_ms = None;
    }

    /// Updates the link from a report, unless the report is older than the last one.
    pub(crate) fn on_report(&mut self, now_ms: u64, report: &Report) -> ProcessChange {
        self.unanswered_grants.retain(|(number, _)| *number != report.number);
        let is_known = self.incarnation == Some(report.incarnation);
        let is_first = self.incarnation.is_none();
        // Orders and reports may overtake each other. Another process is known to be the later
        // one only if it answered an order that was sent after the known process had reported.
        let min_number = if is_known || is_first {
            self.last_reported_number
        } else {
            self.last_sent_before_report
        };
        if report.number <= min_number {
            return ProcessChange::Same;
        }
        self.last_reported_number = report.number;
        self.last_sent_before_report = self.last_sent_number;
        self.report_deadline_ms = None;
        self.last_report_at_ms = Some(now_ms);
        let change =
            if is_known || is_first { ProcessChange::Same } else { ProcessChange::Restarted };
        let is_first_at_address =
            self.last_number_at_old_address.is_some_and(|number| report.number > number);
        if is_first_at_address {
            self.last_number_at_old_address = None;
        }
        if !is_known {
            if is_first_at_address {
                // The process at the earlier address may still run.
                self.bound.forget_clock();
            } else {
                self.bound.reset();
                self.unanswered_grants.clear();
                self.earlier_grants_deadline_ms = 0;
            }
            self.incarnation = Some(report.incarnation);
            self.needs_order = true;
        }
        self.bound.observe_clock(report.clock_ms, now_ms);
        self.reported =
            report.shards.iter().map(|shard_report| (shard_report.shard, *shard_report)).collect();
        self.prepared = report.prepared.iter().copied().collect();
        change
    }

    /// Returns whether the server reported that it serves a shard with an epoch.
    pub(crate) fn is_live(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.reported.get(&shard).is_some_and(|last| last.is_live && last.epoch == epoch)
    }

    /// Returns whether the server reported that it gave up a shard with an epoch.
    ///
    /// It has released the shard, or was granted it again with a later epoch. Until
    /// [`ServerLink::unanswered_deadline_ms`], it may carry out an earlier grant of the shard.
    pub(crate) fn is_released(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.reported
            .get(&shard)
            .is_some_and(|last| last.epoch > epoch || (last.epoch == epoch && last.is_released))
    }

    /// Returns the highest epoch that the server reported for a shard.
    ///
    /// Returns `None` if the server has not reported at all, and epoch 0 for a shard that its
    /// last report does not name.
    pub(crate) fn reported_epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.incarnation?;
        Some(self.reported.get(&shard).map_or(Epoch(0), |last| last.epoch))
    }
}

/// Tells the current process of an instance from previous ones, whose messages may arrive late.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationTracker {
    current: u64,
    previous: VecDeque<u64>,
}

/// How many previous processes are remembered for each instance.
///
/// A message that is still in flight comes from one of the last few.
const MAX_PREVIOUS_INCARNATIONS: usize = 32;

/// Which process of an instance sent a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// The current process.
    Current,
    /// A new process, which is the current one from now on.
    New,
    /// A process that a later one has replaced; its messages are ignored.
    Previous,
}

impl IncarnationTracker {
    pub(crate) fn new(current: u64) -> Self {
        Self { current, previous: VecDeque::new() }
    }

    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    /// Makes a previous process the current one, which a late message had replaced.
    fn restore(&mut self, incarnation: u64) {
        self.previous.retain(|previous| *previous != incarnation);
        self.previous.push_back(self.current);
        self.current = incarnation;
    }

    /// Classifies the sender of a message, and remembers it if it is new.
    pub(crate) fn observe(&mut self, incarnation: u64) -> Sender {
        if incarnation == self.current {
            return Sender::Current;
        }
        if self.previous.contains(&incarnation) {
            return Sender::Previous;
        }
        if self.previous.len() == MAX_PREVIOUS_INCARNATIONS {
            self.previous.pop_front();
        }
        self.previous.push_back(self.current);
        self.current = incarnation;
        Sender::New
    }
}

/// A controller's view of one daemon.
#[derive(Debug, Default)]
pub(crate) struct DaemonLink {
    /// When all route leases granted to the daemon have expired.
    pub(crate) bound: GrantBound,
    pub(crate) document_revision: Revision,
    /// When the last heartbeat arrived.
    pub(crate) heartbeat_at_ms: u64,
    /// When the current table may be sent again.
    pub(crate) next_table_at_ms: u64,
    incarnation: IncarnationTracker,
    /// The leader epoch of the daemon's table.
    leader_epoch: LeaderEpoch,
    /// The sequence of the daemon's table.
    sequence: u64,
    /// The highest sequence of a table whose closed shards the daemon has drained.
    drained_sequence: u64,
}

/// Whether a heartbeat comes from the current process of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// The process is the current one.
    Fresh,
    /// A later process has replaced the sender.
    Stale,
}

impl DaemonLink {
    pub(crate) fn on_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &crate::Heartbeat,
        config: &Config,
    ) -> Freshness {
        let mut sender = self.incarnation.observe(heartbeat.incarnation);
        // The first heartbeat of an earlier process may arrive after those of the current one, and
        // is not followed by others.
        let is_silent = now_ms >= self.heartbeat_at_ms + config.daemon_timeout_ms;
        if sender == Sender::Previous && is_silent {
            self.incarnation.restore(heartbeat.incarnation);
            sender = Sender::New;
        }
        match sender {
            Sender::Previous => return Freshness::Stale,
            Sender::New => {
                self.bound.forget_clock();
                self.drained_sequence = 0;
            }
            Sender::Current => {}
        }
        self.bound.observe_clock(heartbeat.clock_ms, now_ms);
        self.heartbeat_at_ms = now_ms;
        self.document_revision = heartbeat.document;
        if self.leader_epoch != heartbeat.leader_epoch {
            self.drained_sequence = 0;
        }
        self.leader_epoch = heartbeat.leader_epoch;
        self.sequence = heartbeat.sequence;
        if heartbeat.is_drained {
            self.drained_sequence = self.drained_sequence.max(heartbeat.sequence);
        }
        Freshness::Fresh
    }

    /// Returns whether the daemon lacks a table and was not sent it recently.
    pub(crate) fn is_table_due(
        &self,
        now_ms: u64,
        leader_epoch: LeaderEpoch,
        sequence: u64,
    ) -> bool {
        !self.has_table(leader_epoch, sequence) && now_ms >= self.next_table_at_ms
    }

    /// Returns whether the daemon routes by this table or by a newer one of the same leader epoch.
    pub(crate) fn has_table(&self, leader_epoch: LeaderEpoch, sequence: u64) -> bool {
        self.leader_epoch == leader_epoch && self.sequence >= sequence
    }

    /// Returns whether the daemon has no request in flight to the shards that a table closes.
    pub(crate) fn is_drained(&self, leader_epoch: LeaderEpoch, sequence: u64) -> bool {
        self.leader_epoch == leader_epoch && self.drained_sequence >= sequence
    }
}
