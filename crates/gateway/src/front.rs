//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proxy::Watched;
use route::{Reason, Refusal};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::answer::AnswerBody;
use crate::{Shared, forward, refuse};

/// When a graceful stop goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stop {
    /// No new connections, and connections without a request are closed.
    pub(crate) close: CancellationToken,
    /// What is still in flight is cut off.
    pub(crate) cut: CancellationToken,
}

/// The least size of a connection's buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How much later than stated an idle connection is closed.
///
/// A caller that still reuses it just before the time does not meet a closed one.
const IDLE_SLACK_MS: u64 = 1_000;

/// Serves callers until the stop's first token, then finishes what is in flight.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: Stop) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(converse(Arc::clone(&shared), stream, stop.close.clone()));
                }
                Err(error) => {
                    spdlog::warn!("connection not accepted", kv: { error: });
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop.close.cancelled() => break,
        }
    }
    drop(listener);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = stop.cut.cancelled() => {
            spdlog::warn!("requests cut off by the end of the stop", kv: { connections = connections.len() });
        }
    }
}

/// How long to wait when no connection can be accepted, for descriptors to become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a connection does now.
#[derive(Debug)]
struct Activity {
    in_flight: AtomicU32,
    idle_since_ms: AtomicU64,
}

/// Counts a request of a connection; it ends when dropped.
struct InFlight {
    activity: Arc<Activity>,
    shared: Arc<Shared>,
}

impl InFlight {
    fn new(activity: &Arc<Activity>, shared: &Arc<Shared>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { activity: Arc::clone(activity), shared: Arc::clone(shared) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.activity.idle_since_ms.store(self.shared.clock.now_ms(), Ordering::Relaxed);
        self.activity.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn converse(shared: Arc<Shared>, stream: TcpStream, close: CancellationToken) {
    // Small answers must not wait for each other; without this they are only slower.
    drop(stream.set_nodelay(true));
    let limits = shared.limits();
    let activity = Arc::new(Activity {
        in_flight: AtomicU32::new(0),
        idle_since_ms: AtomicU64::new(shared.clock.now_ms()),
    });
    let (stream, raw) = Watched::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let is_ambiguous = raw.is_ambiguous(&request);
        let in_flight = InFlight::new(&activity, &shared);
        async move {
            if request.method() == Method::CONNECT {
                return Ok::<_, Infallible>(no_tunnel());
            }
            if is_ambiguous {
                // Whatever another reader may take for the next request must not be one here.
                let mut response = refuse::to_response(&Refusal::not_run(Reason::BadFraming));
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(response);
            }
            let answer = forward::answer(shared, request).await;
            drop(in_flight);
            Ok(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let is_over = tokio::select! {
        // How a caller's connection ends concerns nobody but that caller.
        ended = connection.as_mut() => { drop(ended); true }
        () = close.cancelled() => false,
        () = idle(&shared, &activity) => false,
    };
    if !is_over {
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}

/// Waits until a connection has had no request for as long as the document allows.
async fn idle(shared: &Shared, activity: &Activity) {
    loop {
        let limit_ms = shared.limits().idle_timeout_ms + IDLE_SLACK_MS;
        let since_ms = activity.idle_since_ms.load(Ordering::Relaxed);
        let now_ms = shared.clock.now_ms();
        let is_busy = activity.in_flight.load(Ordering::Relaxed) > 0;
        let end_ms = if is_busy { now_ms + limit_ms } else { since_ms + limit_ms };
        if now_ms >= end_ms {
            return;
        }
        sleep(Duration::from_millis(end_ms - now_ms)).await;
    }
}

fn no_tunnel() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own("tunnels are not offered\n"));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
