//! Orders to servers, over HTTP.

use std::net::SocketAddr;

use document::HashMap;
use http::{Method, StatusCode};
use lease::{Order, Report};
use web::{Call, Client};

/// The clients of the servers' order endpoints.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    clients: HashMap<SocketAddr, Client>,
}

/// Where a server takes orders.
const PATH: &str = "/verbena/orders";
/// How long an order may stay unanswered.
const LIMIT_MS: u64 = 1_000;

impl Orders {
    pub(crate) fn client(&mut self, address: SocketAddr) -> Client {
        self.clients.entry(address).or_insert_with(|| Client::new(address)).clone()
    }
}

/// Sends an order; returns `None` when there is no report.
pub(crate) async fn send(client: Client, order: &Order) -> Option<Report> {
    let body = serde_json::to_vec(order).ok()?;
    let call = Call::new(Method::POST, PATH).body(body).timeout_ms(LIMIT_MS);
    let answer = client.call(call).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(answer.body()).ok()
}
