//! What a controller knows of one server and of one daemon.

use std::collections::VecDeque;
use std::net::SocketAddr;

use document::{HashMap, HashSet, Revision};
use lease::{Epoch, GrantBound, Held, LeaderEpoch, Report, ShardId};

use crate::Tuning;

/// A controller's connection to one server.
#[derive(Debug)]
pub(crate) struct ServerLink {
    pub(crate) address: SocketAddr,
    pub(crate) checks_fence: bool,
    pub(crate) incarnation: Option<u64>,
    pub(crate) bound: GrantBound,
    pub(crate) is_dirty: bool,
    /// What the server last reported, by shard.
    pub(crate) held: HashMap<ShardId, Held>,
    pub(crate) prepared: HashSet<ShardId>,
    /// The number of the order that was reported on last.
    last_number: u64,
    /// The number of the order that was sent last.
    sent_number: u64,
    /// The number of the last order that was sent before the last report came.
    sent_at_report: u64,
    last_reply_ms: Option<u64>,
    added_ms: u64,
    answer_deadline_ms: Option<u64>,
    next_order_ms: u64,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// The same server process answered.
    Same,
    /// Another process answered; what the earlier one held is free.
    Restarted,
}

impl ServerLink {
    pub(crate) fn new(now_ms: u64, address: SocketAddr, checks_fence: bool) -> Self {
        Self {
            address,
            checks_fence,
            incarnation: None,
            bound: GrantBound::default(),
            is_dirty: true,
            held: HashMap::default(),
            prepared: HashSet::default(),
            last_number: 0,
            sent_number: 0,
            sent_at_report: 0,
            last_reply_ms: None,
            added_ms: now_ms,
            answer_deadline_ms: None,
            next_order_ms: now_ms,
        }
    }

    /// Returns whether the server answered lately.
    pub(crate) fn is_reachable(&self, now_ms: u64, tuning: &Tuning) -> bool {
        self.last_reply_ms.is_some_and(|at_ms| now_ms < at_ms + tuning.server_silence_ms)
    }

    /// Returns whether the server has been silent for too long to be given work.
    pub(crate) fn is_lost(&self, now_ms: u64, tuning: &Tuning) -> bool {
        now_ms >= self.last_reply_ms.unwrap_or(self.added_ms) + tuning.server_silence_ms
    }

    /// Returns whether an order should be sent now.
    pub(crate) fn is_order_due(&self, now_ms: u64) -> bool {
        let is_waiting = self.answer_deadline_ms.is_some_and(|deadline_ms| now_ms < deadline_ms);
        !is_waiting && (self.is_dirty || now_ms >= self.next_order_ms)
    }

    /// Notes an order; a server that is to say when it is ready is asked sooner again.
    pub(crate) fn note_sent(
        &mut self,
        now_ms: u64,
        number: u64,
        is_waiting: bool,
        tuning: &Tuning,
    ) {
        self.is_dirty = false;
        self.sent_number = number;
        self.answer_deadline_ms = Some(now_ms + tuning.order_timeout_ms);
        let pause_ms = if is_waiting { tuning.ready_every_ms } else { tuning.order_every_ms };
        self.next_order_ms = now_ms + pause_ms;
    }

    pub(crate) fn note_unanswered(&mut self) {
        self.answer_deadline_ms = None;
    }

    pub(crate) fn note_report(&mut self, now_ms: u64, report: &Report) -> Change {
        let is_known = self.incarnation == Some(report.incarnation);
        let is_first = self.incarnation.is_none();
        // Another process is the later one for sure only if it followed an order that was sent
        // after the known one had answered: orders and reports may overtake each other.
        let latest = if is_known || is_first { self.last_number } else { self.sent_at_report };
        if report.number <= latest {
            return Change::Same;
        }
        self.last_number = report.number;
        self.sent_at_report = self.sent_number;
        self.answer_deadline_ms = None;
        self.last_reply_ms = Some(now_ms);
        let change = if is_known || is_first { Change::Same } else { Change::Restarted };
        if !is_known {
            self.bound.reset();
            self.incarnation = Some(report.incarnation);
            self.is_dirty = true;
        }
        self.bound.observe_clock(report.clock_ms, now_ms);
        self.held = report.shards.iter().map(|held| (held.shard, *held)).collect();
        self.prepared = report.prepared.iter().copied().collect();
        change
    }

    /// Returns whether the server reported that it serves a shard with an epoch.
    pub(crate) fn is_live(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.held.get(&shard).is_some_and(|held| held.is_live && held.epoch == epoch)
    }

    /// Returns whether the server gave a shard up that it held with an epoch.
    pub(crate) fn is_released(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.held
            .get(&shard)
            .is_some_and(|held| held.epoch > epoch || (held.epoch == epoch && held.is_released))
    }

    /// Returns the highest epoch that the server reported for a shard.
    ///
    /// Returns `None` when the server has not reported at all.
    pub(crate) fn epoch_seen(&self, shard: ShardId) -> Option<Epoch> {
        self.incarnation?;
        Some(self.held.get(&shard).map_or(Epoch(0), |held| held.epoch))
    }
}

/// Which process at a place is the present one; messages of earlier ones may still come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Process {
    present: u64,
    gone: VecDeque<u64>,
}

/// How many processes that are gone are remembered at a place.
///
/// A message that is still on its way is from one of the last few.
const MOST_GONE: usize = 32;

/// Which process a message comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// The present one.
    Present,
    /// One that has taken the present one's place.
    New,
    /// One that is gone; what it says is void.
    Gone,
}

impl Process {
    pub(crate) fn new(present: u64) -> Self {
        Self { present, gone: VecDeque::new() }
    }

    pub(crate) fn present(&self) -> u64 {
        self.present
    }

    /// Notes the process that a message comes from.
    pub(crate) fn note(&mut self, incarnation: u64) -> Sender {
        if incarnation == self.present {
            return Sender::Present;
        }
        if self.gone.contains(&incarnation) {
            return Sender::Gone;
        }
        if self.gone.len() == MOST_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back(self.present);
        self.present = incarnation;
        Sender::New
    }
}

/// A controller's connection to one daemon.
#[derive(Debug, Default)]
pub(crate) struct DaemonLink {
    pub(crate) bound: GrantBound,
    pub(crate) document: Revision,
    pub(crate) last_beat_ms: u64,
    pub(crate) next_table_ms: u64,
    process: Process,
    leader_epoch: LeaderEpoch,
    sequence: u64,
    drained: u64,
}

/// Whether a beat says something of the present process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BeatNews {
    /// It does.
    Fresh,
    /// It comes from a process that is gone.
    Stale,
}

impl DaemonLink {
    pub(crate) fn note_beat(&mut self, now_ms: u64, beat: &crate::Beat) -> BeatNews {
        match self.process.note(beat.incarnation) {
            Sender::Gone => return BeatNews::Stale,
            Sender::New => {
                self.bound.change_clock();
                self.drained = 0;
            }
            Sender::Present => {}
        }
        self.bound.observe_clock(beat.clock_ms, now_ms);
        self.last_beat_ms = now_ms;
        self.document = beat.document;
        if self.leader_epoch != beat.leader_epoch {
            self.drained = 0;
        }
        self.leader_epoch = beat.leader_epoch;
        self.sequence = beat.sequence;
        if beat.is_drained {
            self.drained = self.drained.max(beat.sequence);
        }
        BeatNews::Fresh
    }

    /// Returns whether the daemon lacks a table that is not on its way.
    pub(crate) fn is_table_due(
        &self,
        now_ms: u64,
        leader_epoch: LeaderEpoch,
        sequence: u64,
    ) -> bool {
        !self.has_table(leader_epoch, sequence) && now_ms >= self.next_table_ms
    }

    /// Returns whether the daemon routes by a table at least this new.
    pub(crate) fn has_table(&self, leader_epoch: LeaderEpoch, sequence: u64) -> bool {
        self.leader_epoch == leader_epoch && self.sequence >= sequence
    }

    /// Returns whether the daemon sends nothing more to what a table closes.
    pub(crate) fn is_drained(&self, leader_epoch: LeaderEpoch, sequence: u64) -> bool {
        self.leader_epoch == leader_epoch && self.drained >= sequence
    }
}
