//! Callers' connections.

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
use crate::{Traffic, Watched, forward};

/// Serves callers until the token is cancelled, then finishes what is in flight.
///
/// Returns once the last answer was sent, or once `drain` is cancelled.
pub async fn serve(
    traffic: Arc<Traffic>,
    listener: TcpListener,
    stop: CancellationToken,
    drain: CancellationToken,
) {
    let places = usize::try_from(traffic.limits.connections).unwrap_or(usize::MAX);
    let places = Arc::new(Semaphore::new(places.min(Semaphore::MAX_PERMITS)));
    let mut connections = JoinSet::new();
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { break };
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let connection = converse(Arc::clone(&traffic), stream, stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            () = stop.cancelled() => break,
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = drain.cancelled() => {}
    }
}

async fn converse(traffic: Arc<Traffic>, stream: TcpStream, stop: CancellationToken) {
    // Small answers must not wait for each other; without this they are only slower.
    drop(stream.set_nodelay(true));
    let limits = traffic.limits;
    let (stream, raw) = Watched::new(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let traffic = Arc::clone(&traffic);
        let is_ambiguous = raw.is_ambiguous(&request);
        async move {
            if forward::is_tunnel(request.method()) {
                return Ok::<_, Infallible>(no_tunnel());
            }
            Ok(forward::answer(traffic, request, is_ambiguous).await)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = stop.cancelled() => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        // How a caller's connection ends concerns nobody but that caller.
        drop(connection.await);
    }
}

/// The least size of a connection's buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8_192;

fn no_tunnel() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own("tunnels are not offered\n"));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
