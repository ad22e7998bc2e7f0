//! The owners of keys as the leader sends them.

use std::sync::Arc;

use document::Name;
use peer::Tables;
use shard::{Owner, Span, Table};
use store::Store;

use crate::follow::list_records;
use crate::input::{Input, StoredRecord};
use crate::node::Node;
use crate::{Orders, Source};

/// How long a daemon waits for tables from a leader before it reads the records in the store.
const TABLES_TIMEOUT_MS: u64 = 1_600;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Applies the leader's tables unless newer ones are known.
    ///
    /// A message with changes applies only to the message that it names as its base. A daemon
    /// that missed the base requests full tables.
    pub(crate) fn on_tables(&mut self, tables: Tables) {
        let version = (tables.epoch, tables.number);
        if version <= self.tables_version {
            return;
        }
        if let Some(base) = tables.base
            && self.tables_version != (tables.epoch, base)
        {
            self.wants_tables = true;
            return;
        }
        self.wants_tables = false;
        self.tables_version = version;
        self.tables_received_at_ms = self.clock.now_ms();
        for (service, table) in tables.tables {
            let table = if tables.base.is_some() {
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

    fn replace_table(&mut self, service: Name, table: Table) {
        if self.tables.get(&service).is_none_or(|known| **known != table) {
            self.tables.insert(service, Arc::new(table));
            self.is_view_stale = true;
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
        for stored in records {
            let spans = stored.record.ranges.into_iter();
            let spans = spans.map(|recorded| Span {
                range: recorded.range,
                owner: Owner::Server(recorded.owner),
            });
            self.replace_table(stored.service, Table { spans: spans.collect() });
        }
    }
}
