//! Serves callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proxy::RecordedStream;
use route::{Caller, Reason, Refusal};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::Shared;
use crate::request::answer::AnswerBody;
use crate::request::{forward, refusal};

/// The two signals of a graceful stop.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopSignals {
    /// Stops accepting connections and closes those without a request.
    pub(crate) close: CancellationToken,
    /// Cuts off requests that are still in flight.
    pub(crate) cut: CancellationToken,
}

/// The smallest connection buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How much later than the document states an idle connection is closed.
///
/// A caller that reuses a connection just before the stated time does not find it closed.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Serves callers until the close signal, then finishes requests in flight until the cut
/// signal.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: StopSignals) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(Arc::clone(&shared), stream, stop.close.clone()));
                }
                Err(error) => {
                    spdlog::warn!("failed to accept connection", kv: { error: });
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop.close.cancelled() => break,
        }
    }
    drop(listener);
    let finished = async {
        while connections.join_next().await.is_some() {}
        // A request whose caller has left may still run at its server.
        shared.in_flight.ended().await;
    };
    tokio::select! {
        () = finished => return,
        () = stop.cut.cancelled() => {}
    }
    shared.in_flight.log_cut_off(connections.len());
}

/// How long to wait after a failed accept, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How many requests a connection has in flight and since when it is idle.
#[derive(Debug)]
struct Activity {
    in_flight: AtomicU32,
    idle_since_ms: AtomicU64,
}

/// Counts a request of a connection as in flight until this guard is dropped.
struct InFlightGuard {
    activity: Arc<Activity>,
    shared: Arc<Shared>,
}

impl InFlightGuard {
    fn new(activity: &Arc<Activity>, shared: &Arc<Shared>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { activity: Arc::clone(activity), shared: Arc::clone(shared) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.activity.idle_since_ms.store(self.shared.clock.now_ms(), Ordering::Relaxed);
        self.activity.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, close: CancellationToken) {
    // Without this option small answers are delayed, but still correct.
    drop(stream.set_nodelay(true));
    let limits = shared.limits();
    let activity = Arc::new(Activity {
        in_flight: AtomicU32::new(0),
        idle_since_ms: AtomicU64::new(shared.clock.now_ms()),
    });
    let caller = stream.peer_addr().ok().map(|address| Caller::new(address.ip()));
    let (stream, raw) = RecordedStream::new(stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let is_ambiguous = raw.is_ambiguous(&request);
        let in_flight = InFlightGuard::new(&activity, &shared);
        if let Some(caller) = caller {
            request.extensions_mut().insert(caller);
        }
        async move {
            if request.method() == Method::CONNECT {
                return Ok::<_, Infallible>(refuse_connect());
            }
            if is_ambiguous {
                // Parsers may find different ends of this request, so no further one is read from
                // the connection.
                let mut response = refusal::to_response(&Refusal::not_run(Reason::BadFraming));
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
    let has_ended = tokio::select! {
        // How one caller's connection ends affects no other connection.
        ended = connection.as_mut() => { drop(ended); true }
        () = close.cancelled() => false,
        () = wait_until_idle(&shared, &activity) => false,
    };
    if !has_ended {
        connection.as_mut().graceful_shutdown();
        drop(connection.await);
    }
}

/// Waits until a connection has been idle for the time that the document allows, plus a margin.
async fn wait_until_idle(shared: &Shared, activity: &Activity) {
    loop {
        let idle_timeout_ms = shared.limits().idle_timeout_ms + IDLE_MARGIN_MS;
        let idle_since_ms = activity.idle_since_ms.load(Ordering::Relaxed);
        let now_ms = shared.clock.now_ms();
        let is_busy = activity.in_flight.load(Ordering::Relaxed) > 0;
        let deadline_ms =
            if is_busy { now_ms + idle_timeout_ms } else { idle_since_ms + idle_timeout_ms };
        if now_ms >= deadline_ms {
            return;
        }
        sleep(Duration::from_millis(deadline_ms - now_ms)).await;
    }
}

fn refuse_connect() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole("tunnels are not offered\n"));
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
