//! The state of the leader.

use document::{HashMap, Name, Revision};
use peer::Tables;
use registry::Incarnation;
use shard::{Leader, Table};
use store::LeaseId;
use tokio_util::task::AbortOnDropHandle;

/// The state of the leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) leader: Leader,
    pub(crate) lease: LeaseId,
    /// The revisions of the records in the store.
    pub(crate) revisions: HashMap<Name, Revision>,
    /// The speeds of servers, relative to a typical server.
    pub(crate) speeds: HashMap<Incarnation, f32>,
    /// The number of the last message with tables.
    pub(crate) message_number: u64,
    pub(crate) publish_at_ms: u64,
    /// When full tables are sent next; until then only changes are.
    pub(crate) publish_full_at_ms: u64,
    /// The tables of the last message.
    pub(crate) published: HashMap<Name, Table>,
    /// The task that renews the lease; dropping it ends the task.
    _lease_keeper: AbortOnDropHandle<()>,
}

/// The weight of each answer in the moving average of a server's speed.
const SPEED_WEIGHT: f32 = 0.02;
/// The range to which a reported speed is limited, relative to a typical server.
const SPEED_RANGE: std::ops::RangeInclusive<f32> = 0.2..=2.5;

impl LeaderState {
    pub(crate) fn new(
        leader: Leader,
        lease: LeaseId,
        revisions: HashMap<Name, Revision>,
        lease_keeper: AbortOnDropHandle<()>,
    ) -> Self {
        Self {
            leader,
            lease,
            revisions,
            speeds: HashMap::default(),
            message_number: 0,
            publish_at_ms: 0,
            publish_full_at_ms: 0,
            published: HashMap::default(),
            _lease_keeper: lease_keeper,
        }
    }

    /// Returns the owners of all keys, with the current message number.
    pub(crate) fn tables(&self, now_ms: u64) -> Tables {
        let leader = &self.leader;
        let tables = leader
            .services()
            .filter_map(|service| Some((service.clone(), leader.table(service, now_ms)?)));
        let tables = tables.collect();
        Tables { epoch: leader.epoch(), number: self.message_number, base: None, tables }
    }

    /// Returns what changed in `full` since the last message, whose number is `base`.
    pub(crate) fn changes(&self, full: &Tables, base: u64) -> Tables {
        let changed = full.tables.iter().filter_map(|(service, table)| {
            let spans = match self.published.get(service) {
                Some(published) => table.changes_since(published),
                None => table.spans.clone(),
            };
            (!spans.is_empty()).then(|| (service.clone(), Table { spans }))
        });
        let (epoch, number) = (full.epoch, full.number);
        Tables { epoch, number, base: Some(base), tables: changed.collect() }
    }

    /// Updates the speed of a server from its reported answers.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are small")]
    pub(crate) fn on_server_load(&mut self, server: &peer::ServerLoad) {
        if server.answers == 0 {
            return;
        }
        let slowness = server.slowness_milli as f32 / 1_000.0 / server.answers as f32;
        let latest = (1.0 / slowness.max(0.01)).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end());
        let weight = (SPEED_WEIGHT * server.answers as f32).min(0.5);
        let speed = self.speeds.entry(server.incarnation.clone()).or_insert(1.0);
        *speed += weight * (latest - *speed);
    }
}
