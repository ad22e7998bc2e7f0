//! Handles what operators write: the site's document and evacuations.

use std::collections::BTreeSet;
use std::sync::Arc;

use document::{Name, Revision};
use registry::{Change, Incarnation};
use serde_json::json;
use shard::{Event, Owner};
use store::{Entry, Store};
use telemetry::Counter;

use crate::control::evacuation::EvacuationReport;
use crate::control::input::ReadPosition;
use crate::control::node::Node;
use crate::{Orders, Source};

/// The bound on an evacuation where the deployment sets none.
const DEFAULT_EVACUATE_MS: u64 = 5_000;
/// The percentage of the bound after which servers get no more requests, from the time at which
/// this daemon learned of the evacuation.
///
/// The rest covers the delay until it learns and the time that requests are under way.
const CLOSE_PERCENT: u64 = 40;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles a complete list of what operators wrote: evacuations that it lacks have ended.
    pub(crate) fn on_operators_list(&mut self, entries: &[Entry], read: ReadPosition) {
        let prefix = self.source.evacuations_prefix();
        let listed: Vec<(Name, Revision)> = entries
            .iter()
            .filter(|entry| entry.text.is_some())
            .filter_map(|entry| Some((entry.key.strip_prefix(prefix)?.into(), entry.revision)))
            .collect();
        let is_listed = |name: &Name| listed.iter().any(|(listed, _)| listed == name);
        if self.evacuations.requested().any(|(name, _)| !is_listed(name)) {
            // The revision of the removal is not known.
            self.on_operators_read(read.at_ms, read.revision);
        }
        self.evacuations.on_listing(self.shared.clock.now_ms(), &listed, read.revision);
    }

    /// Handles changes of what operators wrote.
    pub(crate) fn on_operators_entries(&mut self, entries: &[Entry], read: ReadPosition) {
        let newest_change = entries.iter().map(|entry| entry.revision).max();
        self.on_operators_read(read.at_ms, newest_change.unwrap_or_default());
        let now_ms = self.shared.clock.now_ms();
        for entry in entries {
            if let Some(name) = entry.key.strip_prefix(self.source.evacuations_prefix()) {
                let (name, exists) = (Name::from(name), entry.text.is_some());
                self.evacuations.on_change(now_ms, &name, entry.revision, exists);
            } else {
                self.on_site_entry(entry);
            }
        }
        self.apply_evacuations();
    }

    fn on_site_entry(&mut self, entry: &Entry) {
        let Some(text) = entry.text.as_deref().filter(|_| entry.key == self.source.site_key())
        else {
            return;
        };
        let site = match self.source.read_site(text) {
            Ok(site) => site,
            Err(cause) => {
                spdlog::error!("document refused", kv: { cause:, revision = entry.revision.0 });
                return;
            }
        };
        if self.site.as_ref().is_some_and(|known| known.version() >= site.version()) {
            return;
        }
        spdlog::info!("document in force", kv: { version = site.version().0, revision = entry.revision.0 });
        self.site = Some(Arc::new(site));
        self.are_servers_stale = true;
        self.add_keyed_services();
    }

    /// Excludes the servers of evacuated data centres from new work, and includes others again.
    fn apply_evacuations(&mut self) {
        let requested = self.evacuations.requested().map(|(name, _)| name.clone());
        if self.registry.set_evacuated(requested) == Change::Nothing {
            // A key without a name changes nothing, but is logged.
            self.log_evacuations();
            return;
        }
        self.are_servers_stale = true;
        self.schedule_close();
        self.step(Event::Tick);
    }

    /// Returns when servers of an evacuated data centre get no more requests, by the clock of
    /// requests; `None` if it is not evacuated.
    pub(crate) fn evacuation_closes_at_ms(&self, data_centre: &str) -> Option<u64> {
        let learned_at_ms = self.evacuations.learned_at_ms(data_centre)?;
        let bound_ms = self.settings.evacuate_ms.unwrap_or(DEFAULT_EVACUATE_MS);
        Some(learned_at_ms + bound_ms * CLOSE_PERCENT / 100)
    }

    /// Schedules the new view that is due when servers close.
    fn schedule_close(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let closes = self.evacuations.requested();
        let closes = closes.filter_map(|(name, _)| self.evacuation_closes_at_ms(name));
        self.next_close_at_ms = closes.filter(|at_ms| *at_ms > now_ms).min();
    }

    /// Makes the view stale when servers of an evacuated data centre have closed.
    pub(crate) fn check_closed_servers(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        if self.next_close_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.are_servers_stale = true;
            self.schedule_close();
        }
    }

    /// Logs evacuations that started or ended, and keys that name no known data centre.
    pub(crate) fn log_evacuations(&mut self) {
        if self.registry.is_empty() {
            // Data centres are not known yet.
            return;
        }
        let (registry, daemons) = (&self.registry, &self.daemons);
        let own = &self.settings.data_centre;
        let is_known = |name: &Name| {
            !name.is_empty()
                && (name == own
                    || registry.all().any(|server| server.data_centre == *name)
                    || daemons.values().any(|daemon| daemon.data_centre == *name))
        };
        for report in self.evacuations.take_reports(is_known) {
            self.log_evacuation(&report);
        }
    }

    fn log_evacuation(&self, report: &EvacuationReport) {
        let servers_in = |data_centre: &Name| {
            self.registry.all().filter(|server| server.data_centre == *data_centre).count()
        };
        match report {
            EvacuationReport::Started(data_centre, revision) => {
                self.shared.counters.count(Counter::EvacuationChanges);
                spdlog::info!(
                    "evacuation started",
                    kv: { data_centre = data_centre.as_str(), servers = servers_in(data_centre), revision = revision.0 }
                );
            }
            EvacuationReport::Ended(data_centre, revision) => {
                self.shared.counters.count(Counter::EvacuationChanges);
                spdlog::info!(
                    "evacuation ended",
                    kv: { data_centre = data_centre.as_str(), servers = servers_in(data_centre), revision = revision.0 }
                );
            }
            EvacuationReport::Unknown(data_centre, revision) => {
                let key = format!("{}{data_centre}", self.source.evacuations_prefix());
                spdlog::warn!("key names no known data centre", kv: { key, revision = revision.0 });
            }
        }
    }

    /// Returns the evacuated data centres as JSON, each with its servers and how many of them
    /// still hold keys.
    pub(crate) fn dump_evacuations(&self) -> Vec<serde_json::Value> {
        let spans = self.tables.values().flat_map(|table| &table.spans);
        let holders: BTreeSet<&Incarnation> = spans
            .filter_map(|span| match &span.owner {
                Owner::Server(holder) => Some(holder),
                Owner::Moving(_) | Owner::Nobody { .. } => None,
            })
            .collect();
        let requested = self.evacuations.requested();
        let dump = requested.map(|(name, _)| {
            let servers: Vec<&Incarnation> = self
                .registry
                .all()
                .filter(|server| server.data_centre == *name)
                .map(|server| &server.incarnation)
                .collect();
            let holding = servers.iter().filter(|server| holders.contains(*server)).count();
            json!({
                "data_centre": name,
                "servers": servers.len(),
                "servers_with_keys": holding,
            })
        });
        dump.collect()
    }
}
