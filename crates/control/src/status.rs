//! The status of a service for operators.

use std::collections::BTreeMap;

use document::{Name, Revision};
use lease::Term;
use serde::{Deserialize, Serialize};

use crate::controller::Controller;
use crate::shard::{Phase, ShardState};

/// The state of one service, as its controller knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// The instance that is the controller.
    pub controller: Option<Name>,
    /// The controller's term.
    pub term: Term,
    /// The revision of the document that the controller acts on.
    pub document: Revision,
    /// The revision of the durable record.
    pub record: Revision,
    /// Whether a majority of the voters has acknowledged that record.
    pub is_record_acknowledged: bool,
    /// The instances that vote for the controller, including previous ones while they change.
    pub voters: Vec<Name>,
    /// The servers that the document or the record names.
    pub servers: BTreeMap<Name, ServerStatus>,
    /// How many shards have not settled, by reason.
    ///
    /// A settled shard is held as planned, and the record names its owner and successor.
    pub unsettled: Vec<Unsettled>,
    /// The revision of the document in force at each daemon with a recent heartbeat.
    pub in_force: BTreeMap<Name, Revision>,
}

/// The state of one server, as the controller knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerStatus {
    /// How many shards the server holds.
    pub shards: u32,
    /// Whether the server has reported recently.
    pub is_reachable: bool,
    /// Milliseconds until all grants sent to the server have expired.
    pub grant_left_ms: u64,
}

/// A reason and the number of shards that have not settled for it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Unsettled {
    /// Why the shards are not settled.
    pub reason: String,
    /// How many shards have not settled for this reason.
    pub shards: u32,
}

impl Controller {
    pub(crate) fn to_status(&self, now_ms: u64) -> Status {
        Status {
            controller: Some(self.own_name.clone()),
            term: self.term,
            document: self.document_revision,
            record: self.known.revision,
            is_record_acknowledged: self.is_record_acknowledged(),
            voters: self.known.record.quorum().members(),
            servers: self.server_statuses(now_ms),
            unsettled: self.unsettled(now_ms),
            in_force: self
                .daemons
                .iter()
                .filter(|(_, link)| now_ms < link.heartbeat_at_ms + self.config.daemon_timeout_ms)
                .map(|(name, link)| (name.clone(), link.document_revision))
                .collect(),
        }
    }

    fn server_statuses(&self, now_ms: u64) -> BTreeMap<Name, ServerStatus> {
        let mut statuses: BTreeMap<Name, ServerStatus> = self
            .servers
            .iter()
            .map(|(name, link)| {
                let status = ServerStatus {
                    shards: 0,
                    is_reachable: link.is_reachable(now_ms, &self.config),
                    grant_left_ms: link.bound.deadline_ms().saturating_sub(now_ms),
                };
                (name.clone(), status)
            })
            .collect();
        for (server, _) in self.shards.iter().filter_map(ShardState::holder) {
            if let Some(status) = statuses.get_mut(server) {
                status.shards += 1;
            }
        }
        statuses
    }

    fn unsettled(&self, now_ms: u64) -> Vec<Unsettled> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        let draft = self.draft_record(now_ms);
        for (index, shard) in draft.shards.iter().enumerate() {
            let is_recorded = *shard == self.known.record.shards[index];
            let unrecorded = || {
                (!is_recorded)
                    .then(|| "waiting for the record to name owner and successor".to_owned())
            };
            if let Some(reason) = self.unsettled_reason(now_ms, index).or_else(unrecorded) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        counts.into_iter().map(|(reason, shards)| Unsettled { reason, shards }).collect()
    }

    /// Returns why a shard is not settled, apart from differences between draft and record.
    fn unsettled_reason(&self, now_ms: u64, index: usize) -> Option<String> {
        let planned = self.planned_owners[index].as_ref();
        match &self.shards[index] {
            ShardState::Unknown => Some("waiting for earlier grants to end".to_owned()),
            ShardState::Free { not_before_ms } if now_ms < *not_before_ms => {
                Some("waiting for route leases to end".to_owned())
            }
            ShardState::Free { .. } if planned.is_none() => {
                Some("no server may hold it".to_owned())
            }
            ShardState::Free { .. } => Some("waiting for the record to be written".to_owned()),
            ShardState::Granting { server, .. } => {
                Some(format!("granted, {server} has not confirmed"))
            }
            ShardState::Moving { target, phase: Phase::Preparing { .. }, .. } => {
                Some(format!("{target} is preparing"))
            }
            ShardState::Moving { phase: Phase::Closing { .. }, .. } => {
                Some("daemons are closing the route".to_owned())
            }
            ShardState::Moving {
                server,
                phase: Phase::Releasing { .. } | Phase::Expiring { .. },
                ..
            } => Some(format!("{server} finishes its requests")),
            ShardState::Held { server, .. } if planned.is_some_and(|owner| owner != server) => {
                Some("waiting for its turn to move".to_owned())
            }
            ShardState::Held { server, .. } if self.lost_servers.contains(server) => {
                Some(format!("{server} is silent, its grant has not ended"))
            }
            ShardState::Held { .. } => None,
        }
    }
}
