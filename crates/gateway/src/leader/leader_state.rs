//! The state of the leader.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use document::{HashMap, Name, Revision};
use peer::Tables;
use registry::Incarnation;
use shard::{Epoch, Leader, Table};
use store::{Era, LeaseId};
use tokio_util::task::AbortOnDropHandle;

use crate::Distribution;
use crate::leader::connection_check::ConnectionCheck;
use crate::leader::cut_leader::ReachQueries;

/// The state of the leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) leader: Leader,
    pub(crate) lease: LeaseId,
    /// The era of the store in which the leader was elected.
    pub(crate) era: Option<Era>,
    /// The revision of the leader's entry.
    pub(crate) entry_revision: Revision,
    /// When grants that no record tells of may still have been made; `None` if all are recorded.
    pub(crate) unknown_from_ms: Option<u64>,
    /// The revisions of the records in the store.
    pub(crate) revisions: HashMap<Name, Revision>,
    /// The speeds of servers, relative to a typical server, as far as their rate limits allow them
    /// to be used.
    pub(crate) speeds: HashMap<Incarnation, f32>,
    /// The speeds that follow from their answers alone.
    measured_speeds: HashMap<Incarnation, f32>,
    /// When the rate limits of servers are forgotten that have not answered any more.
    limit_deadlines_ms: HashMap<Incarnation, u64>,
    /// The epoch and number of the publication that `published` is from; `None` before the
    /// first one, if this daemon did not know its predecessor's.
    pub(crate) published_version: Option<(Epoch, u64)>,
    /// The tables of the last publication.
    pub(crate) published: HashMap<Name, Table>,
    /// When tables are published even if nothing has changed.
    pub(crate) publish_at_ms: u64,
    /// Whether owners have changed since the last publication.
    pub(crate) is_publication_due: bool,
    pub(crate) published_at_ms: u64,
    pub(crate) distribution: Distribution,
    pub(crate) reach_queries: ReachQueries,
    pub(crate) connection_check: ConnectionCheck,
    /// When the first renewal of the lease failed since the last one that succeeded.
    pub(crate) renewal_failed_at_ms: Option<u64>,
    /// How many daemons were asked since then whether they reach the store.
    pub(crate) queried_daemons: usize,
    /// The time until which the lease was renewed, which the task that renews it sets.
    ///
    /// Renewals must not wait behind other inputs of the control thread.
    pub(crate) renewed_authority_ms: Arc<AtomicU64>,
    /// The task that renews the lease; dropping it ends the task.
    _lease_keeper: AbortOnDropHandle<()>,
}

/// The weight of each answer in the moving average of a server's speed.
const SPEED_WEIGHT: f32 = 0.02;
/// How long a rate limit counts after the last answer that named it.
///
/// A server without keys gives no answer that would tell that it has ended.
const LIMIT_VALID_MS: u64 = 10_000;
/// The range to which a reported speed is limited, relative to a typical server.
const SPEED_RANGE: std::ops::RangeInclusive<f32> = 0.2..=2.5;

impl LeaderState {
    pub(crate) fn new(
        leader: Leader,
        (lease, era, entry_revision): (LeaseId, Option<Era>, Revision),
        revisions: HashMap<Name, Revision>,
        renewed_authority_ms: Arc<AtomicU64>,
        lease_keeper: AbortOnDropHandle<()>,
    ) -> Self {
        Self {
            leader,
            lease,
            era,
            entry_revision,
            unknown_from_ms: None,
            revisions,
            speeds: HashMap::default(),
            measured_speeds: HashMap::default(),
            limit_deadlines_ms: HashMap::default(),
            published_version: None,
            published: HashMap::default(),
            publish_at_ms: 0,
            is_publication_due: true,
            published_at_ms: 0,
            distribution: Distribution::default(),
            reach_queries: ReachQueries::default(),
            connection_check: ConnectionCheck::default(),
            renewal_failed_at_ms: None,
            queried_daemons: 0,
            renewed_authority_ms,
            _lease_keeper: lease_keeper,
        }
    }

    /// Starts to assign the keys of a service without a record, unless it has an assignment.
    pub(crate) fn add_service(&mut self, service: &Name) {
        match self.unknown_from_ms {
            Some(from_ms) if !self.leader.services().any(|known| known == service) => {
                self.leader.add_unknown_service(from_ms, service);
            }
            _ => self.leader.add_service(service),
        }
    }

    /// Continues from the tables that the previous leader published, as this daemon knows them.
    pub(crate) fn continue_from(&mut self, version: (Epoch, u64), tables: HashMap<Name, Table>) {
        self.published_version = Some(version);
        self.published = tables;
    }

    /// Records the current owners as published, under a new number if they have changed.
    ///
    /// Returns the changes since the last publication, or all owners if there was none. An
    /// unchanged publication repeats its number and shows daemons that the leader is alive.
    pub(crate) fn publish(&mut self, now_ms: u64) -> Tables {
        let leader = &self.leader;
        let tables: HashMap<Name, Table> = leader
            .services()
            // Daemons keep the tables of the predecessor, which are all that is known of the holders.
            .filter(|service| !leader.is_unknown_service(service, now_ms))
            .filter_map(|service| Some((service.clone(), leader.table(service, now_ms)?)))
            .collect();
        let base = self.published_version;
        let changed = tables.iter().filter_map(|(service, table)| {
            let spans = match self.published.get(service) {
                Some(published) if base.is_some() => table.changes_since(published),
                _ => table.spans.clone(),
            };
            (!spans.is_empty()).then(|| (service.clone(), Table { spans }))
        });
        let changed: Vec<(Name, Table)> = changed.collect();
        let epoch = leader.epoch();
        let number = match base {
            Some((known, number)) if known == epoch && changed.is_empty() => number,
            Some((known, number)) if known == epoch => number + 1,
            _ => 1,
        };
        self.published = tables;
        self.published_version = Some((epoch, number));
        Tables { epoch, number, base, is_relayed: false, tables: changed }
    }

    /// Returns the whole of the last publication.
    pub(crate) fn published_tables(&self) -> Option<Tables> {
        let (epoch, number) = self.published_version?;
        let tables = self.published.iter().map(|(name, table)| (name.clone(), table.clone()));
        Some(Tables { epoch, number, base: None, is_relayed: false, tables: tables.collect() })
    }

    /// Updates the speed of a server with `slots` slots from its reported answers.
    #[expect(clippy::cast_precision_loss, reason = "counts of answers are small")]
    pub(crate) fn on_server_load(&mut self, now_ms: u64, server: &peer::ServerLoad, slots: u32) {
        if server.answers == 0 {
            return;
        }
        let slowness = server.slowness_milli as f32 / 1_000.0 / server.answers as f32;
        let latest = (1.0 / slowness.max(0.01)).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end());
        let weight = (SPEED_WEIGHT * server.answers as f32).min(0.5);
        let measured = self.measured_speeds.entry(server.incarnation.clone()).or_insert(1.0);
        *measured += weight * (latest - *measured);
        let mut usable = *measured;
        if let Some(max_load_milli) = server.max_load_milli {
            usable = usable.min(max_load_milli as f32 / 1_000.0 / slots.max(1) as f32);
            let deadline_ms = now_ms + LIMIT_VALID_MS;
            self.limit_deadlines_ms.insert(server.incarnation.clone(), deadline_ms);
        } else {
            self.limit_deadlines_ms.remove(&server.incarnation);
        }
        self.speeds.insert(server.incarnation.clone(), usable);
    }

    /// Forgets the rate limits of servers that have not answered for a while.
    pub(crate) fn forget_old_limits(&mut self, now_ms: u64) {
        let (speeds, measured) = (&mut self.speeds, &self.measured_speeds);
        self.limit_deadlines_ms.retain(|incarnation, deadline_ms| {
            let is_valid = now_ms < *deadline_ms;
            if let (false, Some(speed)) = (is_valid, measured.get(incarnation)) {
                speeds.insert(incarnation.clone(), *speed);
            }
            is_valid
        });
    }
}
