//! Accepts the connections of callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use http::header::{CONNECTION, EXPECT, HeaderValue};
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
use crate::{
    Activity, CallerBody, CallerStream, Close, CloseCause, ScannedStream, TrackedBody, Traffic,
    Unread, accept_queued, forward, has_unambiguous_framing,
};

/// Serves callers until `stop` is cancelled, then finishes the requests in flight.
///
/// A request that has arrived by then, also on a connection that is not accepted yet, counts as in
/// flight. Returns when all connections have ended. If `end` is cancelled before, closes the
/// connections that are left and returns their number.
pub async fn serve(
    traffic: Arc<Traffic>,
    listener: TcpListener,
    stop: CancellationToken,
    end: CancellationToken,
) -> usize {
    let permits = usize::try_from(traffic.limits.max_connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS)));
    let mut connections = JoinSet::new();
    loop {
        let accepted = async {
            let permit = Arc::clone(&permits).acquire_owned().await.ok();
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepted => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let connection = serve_connection(Arc::clone(&traffic), stream, stop.clone());
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    let mut queued = Vec::new();
    // Connections that cannot be accepted are reset by the system.
    drop(accept_queued(listener, &mut queued));
    for stream in queued {
        connections.spawn(serve_connection(Arc::clone(&traffic), stream, stop.clone()));
    }
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = end.cancelled() => {}
    }
    while connections.try_join_next().is_some() {}
    connections.len()
}

async fn serve_connection(traffic: Arc<Traffic>, stream: TcpStream, stop: CancellationToken) {
    // An error is ignored: without TCP_NODELAY small answers are only delayed.
    drop(stream.set_nodelay(true));
    let limits = traffic.limits;
    let (stream, progress) = CallerStream::new(stream, traffic.clock);
    let activity = Activity::new(traffic.clock, progress);
    let unread = Unread::default();
    let (stream, framing) = ScannedStream::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let traffic = Arc::clone(&traffic);
        let is_ambiguous = framing.next_is_ambiguous(&request);
        let in_flight = activity.begin();
        let (activity, unread) = (Arc::clone(&activity), unread.clone());
        async move {
            let (head, body) = request.into_parts();
            // Otherwise the caller may send no body, or one with another end.
            let may_discard = !is_ambiguous
                && has_unambiguous_framing(head.version, &head.headers)
                && !head.headers.contains_key(EXPECT);
            let (body, rest) = CallerBody::new(body);
            let request = Request::from_parts(head, body);
            let mut answer = if forward::is_tunnel(request.method()) {
                tunnel_refusal()
            } else {
                forward::answer(traffic, request, is_ambiguous).await
            };
            if !unread.discard_rest(&rest, may_discard, &activity) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, in_flight)))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    // How a connection ends concerns only its caller.
    let has_ended = tokio::select! {
        ended = &mut connection => {
            if ended.is_err_and(|error| error.is_parse()) {
                unread.set();
            }
            true
        }
        () = stop.cancelled() => false,
    };
    if !has_ended {
        let pinned = Pin::new(&mut connection);
        let closing = activity.wait_to_close(pinned, CloseCause::Stop, limits.head_timeout_ms);
        if closing.await != Close::Drop {
            Pin::new(&mut connection).graceful_shutdown();
            drop((&mut connection).await);
        }
    }
    unread.discard(connection.into_parts().io.into_inner()).await;
}

/// The smallest buffer of a connection that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

fn tunnel_refusal() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own("tunnels are not offered\n"));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
