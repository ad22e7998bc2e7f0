//! What servers' entries say, and how that changes what a daemon believes.

use document::{Name, Revision};
use registry::{Change, Registration};
use shard::Event;
use store::{Entry, Store};

use crate::input::Read;
use crate::node::Node;
use crate::port::EntryText;
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Takes a whole list of entries, before the entries themselves.
    pub(crate) fn take_server_list(&mut self, entries: &[Entry], read: Read) {
        let prefix = self.source.servers_prefix();
        let names: Vec<Name> = entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(prefix).map(Name::from))
            .collect();
        self.keep_only(self.clock.now_ms(), &names, read.revision);
        self.is_list_old = false;
    }

    /// Takes entries that were read here, and tells the group what they change.
    pub(crate) fn take_servers(&mut self, entries: &[Entry], read: Read) {
        if !self.store_answers {
            // Entries may have lapsed while servers could not write either.
            self.registry.on_list_restored(self.clock.now_ms());
        }
        for entry in entries {
            self.take_server(entry);
        }
        self.entries_at = self.entries_at.max(read.revision);
        self.entries_read_at_ms = Some(read.at_ms);
        if !self.changed_servers.is_empty() {
            self.tell_servers();
        }
        self.step(Event::Tick);
    }

    fn take_server(&mut self, entry: &Entry) {
        let now_ms = self.clock.now_ms();
        let Some(name) = entry.key.strip_prefix(self.source.servers_prefix()) else { return };
        let Some(text) = entry.text.as_deref() else {
            self.remove_server(now_ms, name, entry.revision);
            return;
        };
        match self.source.read_server(EntryText { server: name, text, now_ms }) {
            Ok(registration) => self.put_server(now_ms, registration, entry.revision),
            Err(cause) => {
                if self.unreadable.insert(Name::from(name)) {
                    spdlog::warn!("server's entry cannot be used", kv: { server = name, cause: });
                }
            }
        }
    }

    /// Takes one entry.
    pub(crate) fn put_server(&mut self, now_ms: u64, server: Registration, revision: Revision) {
        let name = server.incarnation.server.clone();
        if self.registry.put(now_ms, &name, server) == Change::Nothing {
            return;
        }
        self.is_view_old = true;
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

    /// Takes a whole list: what it does not name is gone, or has lapsed.
    pub(crate) fn keep_only(&mut self, now_ms: u64, names: &[Name], revision: Revision) {
        for name in self.registry.keep_only(now_ms, names) {
            self.note_gone(name, revision);
        }
    }

    /// Takes the absence of one entry.
    pub(crate) fn remove_server(&mut self, now_ms: u64, name: &str, revision: Revision) {
        if self.registry.remove(now_ms, name) == Change::Server {
            self.note_gone(Name::from(name), revision);
        }
    }

    fn note_gone(&mut self, server: Name, revision: Revision) {
        spdlog::info!("server gone", kv: { server = server.as_str(), revision = revision.0 });
        self.is_view_old = true;
        self.changed_servers.insert(server);
    }
}
