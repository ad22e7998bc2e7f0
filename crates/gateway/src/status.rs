//! Readiness checks by the platform, and metrics and dumps for administrators.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use store::Store;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::control::input::Input;
use crate::control::node::Node;
use crate::{Orders, Shared, Source};

/// Answers readiness checks: whether the platform should send callers to this instance.
pub(crate) async fn serve_readiness(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let handler = move |_request: Request<Incoming>| {
        let is_ready = shared.is_ready();
        async move {
            if is_ready {
                web::status(StatusCode::OK, "ready\n")
            } else {
                web::status(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
        }
    };
    web::serve(listener, stop, handler).await;
}

/// Answers administrators: `/metrics` in the Prometheus text format, `/dump` as JSON.
pub(crate) async fn serve_admin(
    shared: Arc<Shared>,
    inputs: mpsc::Sender<Input>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let handler = move |request: Request<Incoming>| {
        let (shared, inputs) = (Arc::clone(&shared), inputs.clone());
        async move { answer(&shared, &inputs, request.uri().path()).await }
    };
    web::serve(listener, stop, handler).await;
}

async fn answer(
    shared: &Shared,
    inputs: &mpsc::Sender<Input>,
    path: &str,
) -> Response<Full<Bytes>> {
    match path {
        "/metrics" => web::status(StatusCode::OK, shared.metrics.to_text()),
        "/dump" => {
            let (answer, dump) = oneshot::channel();
            let is_sent = inputs.send(Input::Dump(answer)).await.is_ok();
            match dump.await {
                Ok(dump) if is_sent => web::json(dump),
                _ => web::status(StatusCode::SERVICE_UNAVAILABLE, "the daemon stops\n"),
            }
        }
        _ => web::status(StatusCode::NOT_FOUND, "expected /metrics or /dump\n"),
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Returns the whole state as JSON.
    pub(crate) fn dump(&self) -> String {
        let view = self.shared.view();
        let services: serde_json::Map<String, serde_json::Value> = view
            .services
            .iter()
            .map(|(name, service)| {
                let servers: Vec<_> = service
                    .servers
                    .values()
                    .map(|server| {
                        let (in_flight, waiting, limit) = server.upstream.occupancy();
                        json!({
                            "server": server.registration.incarnation.to_string(),
                            "address": server.registration.address.to_string(),
                            "stage": format!("{:?}", server.registration.stage),
                            "in_flight": in_flight,
                            "waiting": waiting,
                            "limit": limit,
                            "slowness": server.slowness(),
                            "open": server.is_open(),
                        })
                    })
                    .collect();
                let spans: Vec<_> = service
                    .table
                    .spans
                    .iter()
                    .map(|span| {
                        json!({ "range": span.range.to_string(), "owner": format!("{:?}", span.owner) })
                    })
                    .collect();
                (name.to_string(), json!({ "servers": servers, "spans": spans }))
            })
            .collect();
        let dump = json!({
            "instance": self.settings.instance,
            "version": view.site.as_ref().map(|site| site.version().0),
            "epoch": self.leading.as_ref().map(|leading| leading.leader.epoch().0),
            "ready": self.shared.is_ready(),
            "evacuated": self.dump_evacuations(),
            "services": services,
        });
        dump.to_string()
    }
}
