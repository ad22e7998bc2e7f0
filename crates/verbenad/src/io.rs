//! The calls of the control thread to the store and to servers.
//!
//! Each call runs on a task of its own and sends its result back as an [`Input`].

use std::net::SocketAddr;
use std::sync::Arc;

use control::{RecordCopy, WriteOutcome};
use document::Name;
use lease::Order;
use spdlog::warn;
use store::{Category, Expect, Store};
use telemetry::Counter;

use crate::control_thread::ControlThread;
use crate::input::Input;
use crate::orders;

impl<S: Store> ControlThread<S> {
    /// Reads a service's record; sends no input if that fails or the record is not valid.
    pub(crate) fn read_record(&self, service: Name) {
        self.traffic.counters.count(Counter::StoreCalls);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        let counters = Arc::clone(&self.traffic.counters);
        tokio::spawn(async move {
            let Ok(value) = store.read(&record_key(&service)).await else {
                counters.count(Counter::StoreFailures);
                return;
            };
            let copy = match value.map(|value| to_record_copy(&value)) {
                None => None,
                Some(Some(copy)) => Some(copy),
                // An unreadable record must not count as a missing one.
                Some(None) => {
                    warn!("assignment record is not valid and is ignored",
                          kv: { service = service.as_str() });
                    return;
                }
            };
            drop(inputs.send(Input::RecordRead { service, copy }).await);
        });
    }

    /// Writes a service's record on the given condition.
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
            drop(inputs.send(Input::WriteEnded { service, number, outcome }).await);
        });
    }

    /// Sends an order to a server.
    pub(crate) fn send_order(
        &mut self,
        service: Name,
        server: Name,
        address: SocketAddr,
        order: Order,
    ) {
        self.traffic.counters.count(Counter::Orders);
        let (client, inputs) = (self.order_clients.client(address), self.inputs.clone());
        tokio::spawn(async move {
            let report = orders::send(client, &order).await;
            drop(inputs.send(Input::OrderEnded { service, server, report }).await);
        });
    }
}

/// Returns the key of a service's record in the store.
fn record_key(service: &Name) -> String {
    format!("assign/{service}")
}

fn to_record_copy(value: &store::Value) -> Option<RecordCopy> {
    let record = control::Record::from_json(value.text.as_bytes()).ok()?;
    Some(RecordCopy { revision: value.revision, record: Arc::new(record) })
}
