//! Handles the servers' entries.

use std::fmt::Display;

use document::{HashSet, Name, Revision};
use registry::{Change, Registration};
use shard::Event;
use store::{Entry, Store};
use telemetry::Counter;

use crate::control::input::ReadPosition;
use crate::control::node::Node;
use crate::ports::EntryText;
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles a complete list of entries: drops servers that it does not name.
    pub(crate) fn on_server_list(&mut self, entries: &[Entry], read: ReadPosition) {
        let prefix = self.source.servers_prefix();
        let names: Vec<Name> = entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(prefix).map(Name::from))
            .collect();
        self.keep_only_listed(self.clock.now_ms(), &names, read.revision);
        // Another writer may leave any number of names in the course of time.
        let listed: HashSet<&Name> = names.iter().collect();
        self.unusable.retain(|name| listed.contains(name));
    }

    /// Handles entries that this daemon read from the store and relays the changes to the group.
    pub(crate) fn on_server_entries(&mut self, entries: &[Entry], read: ReadPosition) {
        if !self.store_answers {
            // Entries of running servers may have expired while servers could not write.
            self.registry.on_list_restored(self.clock.now_ms());
        }
        for entry in entries {
            self.on_server_entry(entry);
        }
        self.entries_revision = self.entries_revision.max(read.revision);
        self.entries_read_at_ms = Some(read.at_ms);
        if !self.changed_servers.is_empty() {
            self.send_server_changes();
        }
        self.step(Event::Tick);
    }

    fn on_server_entry(&mut self, entry: &Entry) {
        let now_ms = self.clock.now_ms();
        let Some(name) = entry.key.strip_prefix(self.source.servers_prefix()) else { return };
        let Some(text) = entry.text.as_deref() else {
            self.unusable.remove(name);
            self.remove_server(now_ms, name, entry.revision);
            return;
        };
        match self.source.read_server(EntryText { server: name, text, now_ms }) {
            Ok(registration) => self.put_server(now_ms, registration, entry.revision),
            Err(cause) => self.on_unusable_entry(now_ms, name, entry.revision, &cause),
        }
    }

    /// Handles an entry that describes no usable server: one that is known under its name gets no new
    /// work, and is gone unless a usable entry follows. Logs the entry once for each name.
    pub(crate) fn on_unusable_entry(
        &mut self,
        now_ms: u64,
        name: &str,
        revision: Revision,
        cause: &impl Display,
    ) {
        self.shared.counters.count(Counter::UnusableEntries);
        if self.unusable.insert(Name::from(name)) {
            spdlog::warn!("server's entry cannot be used", kv: { server = name, revision = revision.0, cause: = cause });
        }
        if self.registry.on_unusable_entry(now_ms, name) == Change::Server {
            self.on_server_gone(Name::from(name), revision);
        }
    }

    /// Logs which servers have become cold or warm, and which have begun or ended a slow start,
    /// since the last call; one line for each kind of change.
    pub(crate) fn log_cold_servers(&self) {
        let mut changes: [Vec<&str>; 4] = Default::default();
        for server in self.servers.values() {
            let name = server.registration.incarnation.server.as_str();
            if let Some(is_cold) = server.take_cold_change() {
                changes[usize::from(!is_cold)].push(name);
            }
            if let Some(is_paced) = server.take_pace_change() {
                changes[2 + usize::from(!is_paced)].push(name);
            }
        }
        let [cold, warm, started, ended] = changes.map(|names| (names.len(), names.join(" ")));
        if cold.0 > 0 {
            spdlog::info!("servers are cold", kv: { count = cold.0, servers: = cold.1 });
        }
        if warm.0 > 0 {
            spdlog::info!("servers are warm again", kv: { count = warm.0, servers: = warm.1 });
        }
        if started.0 > 0 {
            spdlog::info!("servers start slowly", kv: { count = started.0, servers: = started.1 });
        }
        if ended.0 > 0 {
            spdlog::info!("slow start ended", kv: { count = ended.0, servers: = ended.1 });
        }
    }

    /// Adds or updates one server in the registry, if the registration can be used.
    pub(crate) fn put_server(&mut self, now_ms: u64, server: Registration, revision: Revision) {
        let name = server.incarnation.server.clone();
        if let Err(cause) = self.registry.check(now_ms, &server) {
            self.on_unusable_entry(now_ms, &name, revision, &cause);
            return;
        }
        if self.registry.put(now_ms, &name, server) == Change::Nothing {
            return;
        }
        self.are_servers_stale = true;
        if let Some(server) = self.registry.by_name(&name) {
            spdlog::info!(
                "server listed",
                kv: {
                    server: = server.incarnation, service = server.service.as_str(),
                    data_centre = server.data_centre.as_str(), stage:? = server.stage,
                    revision = revision.0
                }
            );
        }
        self.changed_servers.insert(name);
    }

    /// Removes the servers that a complete list does not name, subject to the registry's grace
    /// period.
    pub(crate) fn keep_only_listed(&mut self, now_ms: u64, names: &[Name], revision: Revision) {
        for name in self.registry.keep_only(now_ms, names) {
            self.on_server_gone(name, revision);
        }
    }

    /// Handles the removal of one entry.
    pub(crate) fn remove_server(&mut self, now_ms: u64, name: &str, revision: Revision) {
        if self.registry.remove(now_ms, name) == Change::Server {
            self.on_server_gone(Name::from(name), revision);
        }
    }

    fn on_server_gone(&mut self, server: Name, revision: Revision) {
        spdlog::info!("server gone", kv: { server = server.as_str(), revision = revision.0 });
        self.are_servers_stale = true;
        self.changed_servers.insert(server);
    }
}
