//! Sending orders to servers over HTTP.

use std::net::SocketAddr;

use document::HashMap;
use http::{Method, StatusCode};
use lease::{Order, Report};
use web::{Call, Client};

/// The HTTP clients for the servers' order endpoints, by address.
#[derive(Debug, Default)]
pub(crate) struct OrderClients {
    clients: HashMap<SocketAddr, Client>,
}

/// The path of a server's order endpoint.
const ORDERS_PATH: &str = "/verbena/orders";
/// How long an order waits for its answer.
const ORDER_TIMEOUT_MS: u64 = 1_000;
/// The longest answer to an order: a report on all shards of a server.
const MAX_REPORT_BYTES: u64 = 4 << 20;

impl OrderClients {
    /// Returns the client for an address, and creates it on first use.
    pub(crate) fn client(&mut self, address: SocketAddr) -> Client {
        self.clients.entry(address).or_insert_with(|| Client::new(address)).clone()
    }
}

/// Sends an order; returns `None` unless the server answers with a valid report.
pub(crate) async fn send(client: Client, order: &Order) -> Option<Report> {
    let body = serde_json::to_vec(order).ok()?;
    let call = Call::new(Method::POST, ORDERS_PATH)
        .body(body)
        .timeout_ms(ORDER_TIMEOUT_MS)
        .max_answer_bytes(MAX_REPORT_BYTES);
    let answer = client.call(call).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(answer.body()).ok()
}
