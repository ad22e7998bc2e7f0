//! What the control thread asks of the store and of servers.

use std::net::SocketAddr;
use std::sync::Arc;

use control::{RecordCopy, WriteOutcome};
use document::Name;
use lease::Order;
use spdlog::warn;
use store::{Category, Expect, Store};
use telemetry::Counter;

use crate::input::Input;
use crate::node::Node;
use crate::orders;

impl<S: Store> Node<S> {
    pub(crate) fn read_record(&self, service: Name) {
        self.traffic.counters.count(Counter::StoreCalls);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = Arc::clone(&self.traffic.counters);
        tokio::spawn(async move {
            let Ok(value) = store.read(&record_key(&service)).await else {
                counters.count(Counter::StoreFailures);
                return;
            };
            let copy = match value.map(|value| to_copy(&value)) {
                None => None,
                Some(Some(copy)) => Some(copy),
                // A record that cannot be read must not be taken for a missing one.
                Some(None) => {
                    warn!("record of the assignment cannot be read",
                          kv: { service = service.as_str() });
                    return;
                }
            };
            drop(inputs.send(Input::RecordRead { service, copy }).await);
        });
    }

    pub(crate) fn write_record(&self, service: Name, number: u64, expect: Expect, json: String) {
        self.traffic.counters.count(Counter::StoreCalls);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = Arc::clone(&self.traffic.counters);
        tokio::spawn(async move {
            let written = store.write(&record_key(&service), expect, &json, None).await;
            let outcome = match written {
                Ok(revision) => WriteOutcome::Done(revision),
                Err(report) => match report.current_context().category() {
                    Category::Conflict => WriteOutcome::Conflict,
                    Category::Missing
                    | Category::Compacted
                    | Category::Refused
                    | Category::Unknown => {
                        counters.count(Counter::StoreFailures);
                        WriteOutcome::Unknown
                    }
                },
            };
            drop(inputs.send(Input::Written { service, number, outcome }).await);
        });
    }

    pub(crate) fn send_order(
        &mut self,
        service: Name,
        server: Name,
        address: SocketAddr,
        order: Order,
    ) {
        self.traffic.counters.count(Counter::Orders);
        let (client, inputs) = (self.orders.client(address), self.inputs.clone());
        tokio::spawn(async move {
            let report = orders::send(client, &order).await;
            drop(inputs.send(Input::Report { service, server, report }).await);
        });
    }
}

/// Returns the key of a service's record.
fn record_key(service: &Name) -> String {
    format!("assign/{service}")
}

fn to_copy(value: &store::Value) -> Option<RecordCopy> {
    let record = control::Record::from_json(value.text.as_bytes()).ok()?;
    Some(RecordCopy { revision: value.revision, record: Arc::new(record) })
}
