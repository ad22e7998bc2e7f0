//! Accepts the connections of callers.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;

use crate::answer::AnswerBody;
use crate::{RecordedStream, Traffic, forward};

/// Serves callers until `stop` is cancelled, then finishes the requests in flight.
///
/// After `stop`, returns when all connections have ended. If `end` is cancelled before, closes
/// the connections that are left.
pub async fn serve(
    traffic: Arc<Traffic>,
    listener: TcpListener,
    stop: CancellationToken,
    end: CancellationToken,
) {
    let permits = usize::try_from(traffic.limits.max_connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { break };
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let connection = serve_connection(Arc::clone(&traffic), stream, stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            () = stop.cancelled() => break,
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = end.cancelled() => {}
    }
}

async fn serve_connection(traffic: Arc<Traffic>, stream: TcpStream, stop: CancellationToken) {
    // An error is ignored: without TCP_NODELAY small answers are only delayed.
    drop(stream.set_nodelay(true));
    let limits = traffic.limits;
    let (stream, raw) = RecordedStream::new(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let traffic = Arc::clone(&traffic);
        let is_ambiguous = raw.is_ambiguous(&request);
        async move {
            if forward::is_tunnel(request.method()) {
                return Ok::<_, Infallible>(tunnel_refusal());
            }
            Ok(forward::answer(traffic, request, is_ambiguous).await)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = stop.cancelled() => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // An error concerns only the caller of this connection.
        drop(connection.await);
    }
}

/// The smallest buffer of a connection that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

fn tunnel_refusal() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own("tunnels are not offered\n"));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
