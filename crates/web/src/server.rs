//! The server side of an exchange.

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

/// When the connection of a request was accepted; each request has it as an extension.
#[derive(Clone, Copy, Debug)]
pub struct Accepted(pub Instant);

/// The longest body that [`read`] takes.
const MOST_BODY_BYTES: usize = 4 << 20;

/// Answers every request with `handler`, until the token is cancelled.
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

/// Answers requests on at most some connections at once; more are closed at once.
pub async fn serve_limited<H, F, B>(
    listener: TcpListener,
    stop: CancellationToken,
    most_connections: usize,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        while connections.try_join_next().is_some() {}
        if connections.len() >= most_connections {
            continue;
        }
        // Small answers must not wait for each other; without this they are only slower.
        drop(stream.set_nodelay(true));
        let handler = handler.clone();
        let accepted = Accepted(Instant::now());
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(accepted);
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            // How one connection ends concerns nobody else.
            drop(connection.await);
        });
    }
    // Nobody may connect any more when the open connections end.
    drop(listener);
}

/// Reads the body of a request; one that is too long or breaks off reads as empty.
pub async fn read(request: Request<Incoming>) -> Bytes {
    let body = Limited::new(request.into_body(), MOST_BODY_BYTES).collect().await;
    body.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}

/// Returns an answer of plain text.
#[must_use]
pub fn status(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns an answer of JSON text.
#[must_use]
pub fn json(text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
