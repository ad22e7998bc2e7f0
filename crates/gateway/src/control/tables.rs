//! The owners of keys as the leader sends them.

use std::sync::Arc;

use document::Name;
use peer::{FleetBody, Tables};
use shard::{Epoch, Owner, Span, Table};
use store::Store;

use crate::control::follow::list_records;
use crate::control::input::{Input, StoredRecord};
use crate::control::node::Node;
use crate::control::relay::Role;
use crate::{Orders, Source};

/// How long a daemon waits for tables from a leader before it reads the records in the store.
const TABLES_TIMEOUT_MS: u64 = 1_600;

/// How long a daemon waits for a publication before it asks the leader for tables of its own.
const TABLES_SILENCE_MS: u64 = 700;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Applies tables from the leader unless newer ones are known, and passes them on to the
    /// group if this daemon is its first.
    ///
    /// A message with changes applies only to the message that it names as its base. A daemon
    /// that missed the base requests complete tables.
    pub(crate) fn on_tables(&mut self, tables: Tables) {
        let now_ms = self.clock.now_ms();
        if let Role::Reads { tells } = &self.role
            && !tables.is_relayed
        {
            let tells = tells.clone();
            self.send_to(&tells, &FleetBody::Tables(Tables { is_relayed: true, ..tables.clone() }));
        }
        let version = (tables.epoch, tables.number);
        if self.tables_version == Some(version) {
            self.tables_received_at_ms = now_ms;
        }
        let is_known = self.tables_version.is_some_and(|known| version <= known);
        if is_known || version < self.newest_publication {
            return;
        }
        if tables.base.is_some() && self.tables_version != tables.base {
            self.wants_tables = true;
            return;
        }
        let is_patch = tables.base.is_some();
        self.set_tables_version(version);
        for (service, table) in tables.tables {
            let table = table.to_absolute(now_ms);
            let table = if is_patch {
                let mut patched = self
                    .tables
                    .get(&service)
                    .map_or_else(Table::default, |known| Table::clone(known));
                patched.patch(&table.spans);
                patched
            } else {
                table
            };
            self.replace_table(service, table);
        }
    }

    /// Applies the tables that this daemon publishes as the leader.
    pub(crate) fn on_own_tables(&mut self, tables: Tables) {
        self.set_tables_version((tables.epoch, tables.number));
        for (service, table) in tables.tables {
            self.replace_table(service, table);
        }
    }

    fn set_tables_version(&mut self, version: (Epoch, u64)) {
        self.wants_tables = false;
        self.tables_version = Some(version);
        self.newest_publication = version;
        self.tables_received_at_ms = self.clock.now_ms();
    }

    /// Requests complete tables when nothing arrives from the leader.
    pub(crate) fn check_tables_silence(&mut self, now_ms: u64) {
        let is_silent = now_ms >= self.tables_received_at_ms + TABLES_SILENCE_MS;
        self.wants_tables |= is_silent && self.leading.is_none();
    }

    fn replace_table(&mut self, service: Name, table: Table) {
        if self.tables.get(&service).is_none_or(|known| **known != table) {
            self.tables.insert(service, Arc::new(table));
            self.are_tables_stale = true;
        }
    }

    /// Reads the records in the store when no tables have arrived for some time.
    pub(crate) fn read_records_if_needed(&mut self, now_ms: u64) {
        let is_due =
            now_ms >= self.tables_received_at_ms.max(self.records_read_at_ms) + TABLES_TIMEOUT_MS;
        if !is_due || self.leading.is_some() || !self.store_answers {
            return;
        }
        self.records_read_at_ms = now_ms;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = Arc::clone(&self.shared.counters);
        tokio::spawn(async move {
            if let Ok(records) = list_records(&store, &counters).await {
                // The receiver is closed only while the process exits.
                drop(inputs.send(Input::Records(records)).await);
            }
        });
    }

    /// Routes by records while no tables arrive from the leader.
    pub(crate) fn on_records(&mut self, records: Vec<StoredRecord>) {
        let has_recent_tables =
            self.clock.now_ms() < self.tables_received_at_ms + TABLES_TIMEOUT_MS;
        if has_recent_tables || self.leading.is_some() {
            return;
        }
        // Changes that the leader publishes do not apply to these tables.
        self.tables_version = None;
        for stored in records {
            let Some(record) = stored.record else { continue };
            let spans = record.ranges.into_iter();
            let spans = spans.map(|recorded| Span {
                range: recorded.range,
                owner: Owner::Server(recorded.owner),
            });
            self.replace_table(stored.service, Table { spans: spans.collect() });
        }
    }
}
