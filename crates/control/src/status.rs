//! What a controller tells operators.

use std::collections::BTreeMap;

use document::{Name, Revision};
use lease::Term;
use serde::{Deserialize, Serialize};

use crate::lead::Lead;
use crate::shard::{Phase, Shard};

/// The state of one service, as its controller sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// The controller's instance.
    pub controller: Option<Name>,
    /// Its term.
    pub term: Term,
    /// The document that it acts on.
    pub document: Revision,
    /// The revision of the durable record.
    pub record: Revision,
    /// Whether a majority of voters knows that record.
    pub is_record_acknowledged: bool,
    /// The instances that vote on the controller.
    pub voters: Vec<Name>,
    /// The servers.
    pub servers: BTreeMap<Name, ServerStatus>,
    /// What has not settled, by reason.
    pub unsettled: Vec<Unsettled>,
    /// The document in force at each daemon that routes the service.
    pub in_force: BTreeMap<Name, Revision>,
}

/// One server, as the controller sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServerStatus {
    /// How many shards it holds.
    pub shards: u32,
    /// Whether it answers.
    pub is_reachable: bool,
    /// The least time until what it holds could be given to another server.
    pub grant_left_ms: u64,
}

/// Shards that are not where the document wants them.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Unsettled {
    /// Why.
    pub reason: String,
    /// How many shards.
    pub shards: u32,
}

impl Lead {
    pub(crate) fn to_status(&self, now_ms: u64) -> Status {
        Status {
            controller: Some(self.me.clone()),
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
                .filter(|(_, link)| now_ms < link.last_beat_ms + self.tuning.daemon_silence_ms)
                .map(|(name, link)| (name.clone(), link.document))
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
                    is_reachable: link.is_reachable(now_ms, &self.tuning),
                    grant_left_ms: link.bound.over_ms().saturating_sub(now_ms),
                };
                (name.clone(), status)
            })
            .collect();
        for (server, _) in self.shards.iter().filter_map(Shard::holder) {
            if let Some(status) = statuses.get_mut(server) {
                status.shards += 1;
            }
        }
        statuses
    }

    fn unsettled(&self, now_ms: u64) -> Vec<Unsettled> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        let draft = self.to_record(now_ms);
        for (at, shard) in draft.shards.iter().enumerate() {
            let is_recorded = *shard == self.known.record.shards[at];
            let unrecorded = || {
                (!is_recorded)
                    .then(|| "waiting for the record to name owner and successor".to_owned())
            };
            if let Some(reason) = self.reason(now_ms, at).or_else(unrecorded) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        counts.into_iter().map(|(reason, shards)| Unsettled { reason, shards }).collect()
    }

    fn reason(&self, now_ms: u64, at: usize) -> Option<String> {
        let wanted = self.wanted[at].as_ref();
        match &self.shards[at] {
            Shard::Unknown => Some("waiting for earlier grants to end".to_owned()),
            Shard::Free { not_before_ms } if now_ms < *not_before_ms => {
                Some("waiting for route leases to end".to_owned())
            }
            Shard::Free { .. } if wanted.is_none() => Some("no server may hold it".to_owned()),
            Shard::Free { .. } => Some("waiting for the record to be written".to_owned()),
            Shard::Granting { server, .. } => Some(format!("granted, {server} has not confirmed")),
            Shard::Moving { target, phase: Phase::Preparing { .. }, .. } => {
                Some(format!("{target} is preparing"))
            }
            Shard::Moving { phase: Phase::Closing { .. }, .. } => {
                Some("daemons are closing the route".to_owned())
            }
            Shard::Moving { server, phase: Phase::Releasing { .. }, .. } => {
                Some(format!("{server} finishes its requests"))
            }
            Shard::Held { server, .. } if wanted.is_some_and(|wanted| wanted != server) => {
                Some("waiting for its turn to move".to_owned())
            }
            Shard::Held { server, .. } if self.lost.contains(server) => {
                Some(format!("{server} is silent, its grant has not ended"))
            }
            Shard::Held { .. } => None,
        }
    }
}
