//! Who owns which keys, as a daemon hears it.

use std::sync::Arc;

use document::Name;
use peer::Tables;
use shard::{Owner, Span, Table};
use store::Store;

use crate::follow::records;
use crate::input::{Input, StoredRecord};
use crate::node::Node;
use crate::{Orders, Source};

/// After how long without a leader's tables the store's records are read.
const SILENCE_MS: u64 = 1_600;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Puts a leader's tables in force, unless later ones are.
    ///
    /// Changes apply to the message that they name; a daemon that missed it asks for all.
    pub(crate) fn take_tables(&mut self, tables: Tables) {
        let from = (tables.epoch, tables.number);
        if from <= self.tables_from {
            return;
        }
        if let Some(base) = tables.base
            && self.tables_from != (tables.epoch, base)
        {
            self.wants_tables = true;
            return;
        }
        self.wants_tables = false;
        self.tables_from = from;
        self.tables_at_ms = self.clock.now_ms();
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
            self.is_view_old = true;
        }
    }

    /// Reads the store's records when no leader has been heard of for long.
    pub(crate) fn read_records_if_needed(&mut self, now_ms: u64) {
        let is_silent = now_ms >= self.tables_at_ms.max(self.records_at_ms) + SILENCE_MS;
        if !is_silent || self.leading.is_some() || !self.store_answers {
            return;
        }
        self.records_at_ms = now_ms;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = Arc::clone(&self.shared.counters);
        tokio::spawn(async move {
            if let Ok(records) = records(&store, &counters).await {
                // Nobody listens only at the end of the process.
                drop(inputs.send(Input::Records(records)).await);
            }
        });
    }

    /// Routes by records, while nothing is heard of the leader.
    pub(crate) fn take_records(&mut self, records: Vec<StoredRecord>) {
        let is_heard = self.clock.now_ms() < self.tables_at_ms + SILENCE_MS;
        if is_heard || self.leading.is_some() {
            return;
        }
        for stored in records {
            let spans = stored.record.ranges.into_iter();
            let spans =
                spans.map(|share| Span { range: share.range, owner: Owner::Server(share.owner) });
            self.replace_table(stored.service, Table { spans: spans.collect() });
        }
    }
}
