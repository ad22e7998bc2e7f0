//! The HTTP server: answers each request with a handler.

use std::convert::Infallible;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The time at which a connection was accepted.
///
/// Each request of the connection carries it as an extension.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedAt(pub Instant);

/// Resets the connection of a request.
///
/// Each request carries it as an extension.
#[derive(Clone, Debug)]
pub struct ResetHandle(CancellationToken);

impl ResetHandle {
    /// Resets the connection; an answer that is not written yet is lost.
    pub fn reset(&self) {
        self.0.cancel();
    }
}

/// The largest request body that [`read_body`] returns.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Answers every request with `handler` until `stop` is cancelled.
///
/// All open connections are closed then.
pub async fn serve<H, F, B>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_limited(listener, stop, usize::MAX, handler).await;
}

/// Answers requests like [`serve`], on at most `max_connections` at a time.
///
/// Connections beyond the limit are accepted and closed at once.
pub async fn serve_limited<H, F, B>(
    listener: TcpListener,
    stop: CancellationToken,
    max_connections: usize,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_each(listener, stop, max_connections, move || handler.clone()).await;
}

/// Answers requests like [`serve_limited`], those of each connection with a handler of its own.
///
/// So a handler can keep state of its connection.
pub async fn serve_each<M, H, F, B>(
    listener: TcpListener,
    stop: CancellationToken,
    max_connections: usize,
    make_handler: M,
) where
    M: Fn() -> H,
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        let connection = tokio::select! {
            connection = listener.accept() => connection,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = connection else { continue };
        while connections.try_join_next().is_some() {}
        if connections.len() >= max_connections {
            continue;
        }
        // Nagle's algorithm would delay small answers. If this call fails, answers are only slower.
        drop(stream.set_nodelay(true));
        let handler = make_handler();
        let accepted_at = AcceptedAt(Instant::now());
        let reset = CancellationToken::new();
        let reset_handle = ResetHandle(reset.clone());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(accepted_at);
            request.extensions_mut().insert(reset_handle.clone());
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            tokio::select! {
                // An error of one connection doesn't affect the others.
                ended = &mut connection => drop(ended),
                // With a linger time of zero, closing the socket sends a reset.
                () = reset.cancelled() => {
                    drop(connection.into_parts().io.into_inner().set_zero_linger());
                }
            }
        });
    }
    // The listener is closed first, so that clients of the closed connections can't reconnect.
    drop(listener);
}

/// Returns the body of a request.
///
/// A body that is longer than 4 MiB or incomplete is returned as empty.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    body.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}

/// Returns an answer with a status and a plain text.
#[must_use]
pub fn status(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns an answer with status 200 and a JSON text.
#[must_use]
pub fn json(text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
