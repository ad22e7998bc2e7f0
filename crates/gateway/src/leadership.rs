//! The state of a daemon that leads.

use document::{HashMap, Name, Revision};
use peer::Tables;
use registry::Incarnation;
use shard::{Leader, Table};
use store::LeaseId;
use tokio_util::task::AbortOnDropHandle;

/// The state of a daemon that leads.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) leader: Leader,
    pub(crate) lease: LeaseId,
    /// The revisions of the records in the store.
    pub(crate) revisions: HashMap<Name, Revision>,
    pub(crate) speeds: HashMap<Incarnation, f32>,
    /// The number of the last message with tables.
    pub(crate) number: u64,
    pub(crate) publish_at_ms: u64,
    /// When whole tables are sent next; changes suffice until then.
    pub(crate) whole_at_ms: u64,
    /// The tables of the last message.
    pub(crate) told: HashMap<Name, Table>,
    /// Keeps the lease until leadership ends.
    _keeper: AbortOnDropHandle<()>,
}

/// How much the latest answers of a server count, for each answer.
const SPEED_WEIGHT: f32 = 0.02;
/// No server counts as slower or faster than this.
const SPEEDS: std::ops::RangeInclusive<f32> = 0.2..=2.5;

impl Leading {
    pub(crate) fn new(
        leader: Leader,
        lease: LeaseId,
        revisions: HashMap<Name, Revision>,
        keeper: AbortOnDropHandle<()>,
    ) -> Self {
        Self {
            leader,
            lease,
            revisions,
            speeds: HashMap::default(),
            number: 0,
            publish_at_ms: 0,
            whole_at_ms: 0,
            told: HashMap::default(),
            _keeper: keeper,
        }
    }

    /// Returns the owners of all keys, under the number of the last message.
    pub(crate) fn tables(&self, now_ms: u64) -> Tables {
        let leader = &self.leader;
        let tables = leader
            .services()
            .filter_map(|service| Some((service.clone(), leader.table(service, now_ms)?)));
        let tables = tables.collect();
        Tables { epoch: leader.epoch(), number: self.number, base: None, tables }
    }

    /// Returns what changed since the message with a number.
    pub(crate) fn changes(&self, whole: &Tables, base: u64) -> Tables {
        let changed = whole.tables.iter().filter_map(|(service, table)| {
            let spans = match self.told.get(service) {
                Some(told) => table.changes_since(told),
                None => table.spans.clone(),
            };
            (!spans.is_empty()).then(|| (service.clone(), Table { spans }))
        });
        let (epoch, number) = (whole.epoch, whole.number);
        Tables { epoch, number, base: Some(base), tables: changed.collect() }
    }

    /// Learns how fast a server is from its answers.
    #[expect(clippy::cast_precision_loss, reason = "some answers and thousandths")]
    pub(crate) fn note_speed(&mut self, server: &peer::ServerLoad) {
        if server.answers == 0 {
            return;
        }
        let slowness = server.slowness_milli as f32 / 1_000.0 / server.answers as f32;
        let latest = (1.0 / slowness.max(0.01)).clamp(*SPEEDS.start(), *SPEEDS.end());
        let weight = (SPEED_WEIGHT * server.answers as f32).min(0.5);
        let speed = self.speeds.entry(server.incarnation.clone()).or_insert(1.0);
        *speed += weight * (latest - *speed);
    }
}
