//! The HTTP endpoints for metrics, health checks and dumps.

use std::sync::Arc;

use http::{Response, StatusCode};
use proxy::Traffic;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::input::{ControlRequest, Input};

type Answer = Response<http_body_util::Full<tokio_util::bytes::Bytes>>;

/// Serves the administration endpoints until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    stop: CancellationToken,
    traffic: Arc<Traffic>,
    inputs: mpsc::Sender<Input>,
) {
    let handler = move |request: http::Request<_>| {
        let (traffic, inputs) = (Arc::clone(&traffic), inputs.clone());
        async move { answer(request.uri().path(), &traffic, &inputs).await }
    };
    web::serve(listener, stop, handler).await;
}

async fn answer(path: &str, traffic: &Traffic, inputs: &mpsc::Sender<Input>) -> Answer {
    match path {
        "/metrics" => web::status(StatusCode::OK, traffic.metrics.to_text()),
        "/live" => web::status(StatusCode::OK, "live\n"),
        "/ready" => match call_control_thread(inputs, ControlRequest::Ready).await {
            Some(true) => web::status(StatusCode::OK, "ready\n"),
            _ => web::status(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        "/dump" => match call_control_thread(inputs, ControlRequest::Dump).await {
            Some(dump) => web::json(dump),
            None => web::status(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        },
        _ => web::status(StatusCode::NOT_FOUND, "expected /metrics, /live, /ready or /dump\n"),
    }
}

/// Sends a request to the control thread; returns `None` if that thread has stopped.
async fn call_control_thread<T>(
    inputs: &mpsc::Sender<Input>,
    to_request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    inputs.send(Input::Request(to_request(sender))).await.ok()?;
    receiver.await.ok()
}
