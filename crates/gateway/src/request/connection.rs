//! Serves the requests of one connection of a caller.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::FutureExt;
use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proxy::{CallerStream, Clock, RecordedStream, StreamProgress};
use route::{Caller, Reason, Refusal};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::Shared;
use crate::request::answer::{AnswerBody, BodyError};
use crate::request::caller_body::{CallerBody, DISCARD_TIMEOUT, MAX_DISCARDED_BYTES, discard};
use crate::request::{forward, refusal};

/// The smallest connection buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How much later than the document states an idle connection is closed.
///
/// A caller that reuses a connection just before the stated time does not find it closed.
const IDLE_MARGIN_MS: u64 = 1_000;

/// How long a new connection is kept for its first request when callers' connections are closed.
///
/// The request may still be on its way, and its first packet may have to be sent again.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 500;

const DISCARD_BUFFER_BYTES: usize = 8_192;

/// What has happened on a connection.
#[derive(Debug)]
struct Activity {
    clock: Clock,
    progress: Arc<StreamProgress>,
    accepted_at_ms: u64,
    begun: AtomicU32,
    in_flight: AtomicU32,
    /// When the last request ended.
    ended_at_ms: AtomicU64,
    /// How many bytes had been read when the last request ended.
    ended_at_bytes: AtomicU64,
    /// Whether a part of a refused request is left unread when the connection ends.
    has_unread: AtomicBool,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Use {
    /// No byte of its first request has been read.
    New,
    /// A part of the head of a request has been read.
    Head,
    /// A request is read, run or answered.
    Request,
    /// All requests have been answered.
    Idle,
}

/// Why a connection should be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// The daemon stops.
    Stop,
    /// The connection has been idle for too long.
    IdleTimeout,
}

/// An attempt to close a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Closing {
    cause: Cause,
    /// How many requests had begun before.
    begun: u32,
    /// When the head of a request has to be complete.
    head_deadline_ms: u64,
}

/// What to do next with a connection that should be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// Go on serving requests.
    Serve,
    /// Close the connection after the request in flight, if there is one.
    Finish,
    /// Drop the connection, which has ended or whose caller sends no whole head.
    Drop,
    /// Wait until this time for a request.
    Wait { deadline_ms: u64 },
}

/// Counts a request of a connection as in flight until this guard is dropped.
#[derive(Debug)]
struct InFlightGuard(Arc<Activity>);

/// The body of an answer; its request is in flight until the whole body has been read from it.
#[derive(Debug)]
struct GuardedBody {
    body: AnswerBody,
    _in_flight: InFlightGuard,
}

impl Activity {
    fn new(clock: Clock, progress: Arc<StreamProgress>) -> Self {
        let now_ms = clock.now_ms();
        Self {
            clock,
            progress,
            accepted_at_ms: now_ms,
            begun: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            ended_at_ms: AtomicU64::new(now_ms),
            ended_at_bytes: AtomicU64::new(0),
            has_unread: AtomicBool::new(false),
        }
    }

    fn current_use(&self) -> Use {
        let is_in_flight = self.in_flight.load(Ordering::Relaxed) > 0;
        if is_in_flight || self.progress.is_writing() {
            Use::Request
        } else if self.progress.read_bytes() > self.ended_at_bytes.load(Ordering::Relaxed) {
            Use::Head
        } else if self.begun.load(Ordering::Relaxed) == 0 {
            Use::New
        } else {
            Use::Idle
        }
    }

    /// Returns since when no request is in flight, if none is.
    fn idle_since_ms(&self) -> u64 {
        self.ended_at_ms.load(Ordering::Relaxed).max(self.progress.written_at_ms())
    }

    fn begin_closing(&self, cause: Cause, head_timeout_ms: u64) -> Closing {
        let head_deadline_ms = self.clock.now_ms() + head_timeout_ms;
        Closing { cause, begun: self.begun.load(Ordering::Relaxed), head_deadline_ms }
    }

    /// Decides what to do with a connection of which all that has arrived has been read.
    fn next(&self, closing: &Closing) -> Next {
        let now_ms = self.clock.now_ms();
        let first_deadline_ms = self.accepted_at_ms + FIRST_REQUEST_TIMEOUT_MS;
        let is_used_again = self.begun.load(Ordering::Relaxed) > closing.begun;
        match (self.current_use(), closing.cause) {
            (Use::Request, Cause::IdleTimeout) => Next::Serve,
            (Use::Idle, Cause::IdleTimeout) if is_used_again => Next::Serve,
            (Use::New, Cause::Stop) if now_ms < first_deadline_ms => {
                Next::Wait { deadline_ms: first_deadline_ms }
            }
            (Use::Head, _) if now_ms < closing.head_deadline_ms => {
                Next::Wait { deadline_ms: closing.head_deadline_ms }
            }
            (Use::Head, _) => Next::Drop,
            (Use::Request | Use::New | Use::Idle, _) => Next::Finish,
        }
    }
}

impl InFlightGuard {
    fn new(activity: &Arc<Activity>) -> Self {
        activity.begun.fetch_add(1, Ordering::Relaxed);
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(activity))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let Self(activity) = self;
        activity.ended_at_ms.store(activity.clock.now_ms(), Ordering::Relaxed);
        activity.ended_at_bytes.store(activity.progress.read_bytes(), Ordering::Relaxed);
        activity.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves the requests of a connection until it ends or is closed.
pub(crate) async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    close: CancellationToken,
) {
    // Without this option small answers are delayed, but still correct.
    drop(stream.set_nodelay(true));
    let limits = shared.limits();
    let caller = stream.peer_addr().ok().map(|address| Caller::new(address.ip()));
    let (stream, progress) = CallerStream::new(stream, shared.clock);
    let activity = Arc::new(Activity::new(shared.clock, progress));
    let (stream, raw) = RecordedStream::new(stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        let is_ambiguous = raw.is_ambiguous(&request);
        let in_flight = InFlightGuard::new(&activity);
        if let Some(caller) = caller {
            request.extensions_mut().insert(caller);
        }
        let (head, body) = request.into_parts();
        // Otherwise the caller may send no body, or one with another end.
        let may_discard = !is_ambiguous
            && proxy::has_unambiguous_framing(head.version, &head.headers)
            && !head.headers.contains_key(EXPECT);
        let (body, rest) = CallerBody::new(body);
        let request = Request::from_parts(head, body);
        let answer = answer(Arc::clone(&shared), request, is_ambiguous);
        async move {
            let mut answer = answer.await;
            if let Some(rest) = rest.take()
                && !discard_rest(rest, may_discard, &in_flight)
            {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|body| GuardedBody { body, _in_flight: in_flight }))
        }
    });
    let mut connection = http1::Builder::new()
        .max_header_size(limits.max_head_bytes)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    loop {
        let cause = tokio::select! {
            ended = &mut connection => {
                if ended.is_err_and(|error| error.is_parse()) {
                    activity.has_unread.store(true, Ordering::Relaxed);
                }
                break;
            }
            () = close.cancelled() => Cause::Stop,
            () = wait_until_idle(&shared, &activity) => Cause::IdleTimeout,
        };
        let closing = activity.begin_closing(cause, limits.head_timeout_ms);
        match wait_to_close(&mut connection, &activity, closing).await {
            Next::Drop => break,
            Next::Finish => {
                Pin::new(&mut connection).graceful_shutdown();
                // How one caller's connection ends affects no other connection.
                drop((&mut connection).await);
                break;
            }
            Next::Serve | Next::Wait { .. } => {}
        }
    }
    if activity.has_unread.load(Ordering::Relaxed) {
        discard_unread(connection.into_parts().io.into_inner()).await;
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<CallerBody>,
    is_ambiguous: bool,
) -> Response<AnswerBody> {
    if request.method() == Method::CONNECT {
        return refuse_connect();
    }
    if is_ambiguous {
        // Parsers may find different ends of this request, so no further one is read from the
        // connection.
        let mut response = refusal::to_response(&Refusal::not_run(Reason::BadFraming));
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return response;
    }
    forward::answer(shared, request).await
}

/// Starts to read the rest of a refused request, so that the caller can send all of it.
///
/// Returns false if the rest is left unread, after which the connection can't be used further.
fn discard_rest(rest: Incoming, may_discard: bool, in_flight: &InFlightGuard) -> bool {
    let in_flight = InFlightGuard::new(&in_flight.0);
    if !may_discard || rest.size_hint().lower() > MAX_DISCARDED_BYTES {
        in_flight.0.has_unread.store(true, Ordering::Relaxed);
        return false;
    }
    // It ends with the body, the connection or its timeout.
    tokio::spawn(async move {
        if !discard(rest).await {
            in_flight.0.has_unread.store(true, Ordering::Relaxed);
        }
    });
    true
}

/// Reads what a caller still sends on a connection that was closed for writing.
///
/// If a connection ends with unread bytes, the system resets it, and the caller may lose the
/// answer.
async fn discard_unread<S: AsyncRead + Unpin>(mut stream: S) {
    let mut bytes = vec![0; DISCARD_BUFFER_BYTES];
    let discarded = timeout(DISCARD_TIMEOUT, async {
        let mut size_bytes = 0;
        while size_bytes < MAX_DISCARDED_BYTES {
            match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(length) => size_bytes += u64::try_from(length).unwrap_or(u64::MAX),
            }
        }
    });
    // A caller that still sends then is cut off.
    drop(discarded.await);
}

/// Waits for requests that have arrived on a connection, or are about to, before it is closed.
///
/// The HTTP library closes a connection between two requests even if bytes of the next one have
/// arrived.
async fn wait_to_close<C: Future + Unpin>(
    connection: &mut C,
    activity: &Activity,
    closing: Closing,
) -> Next {
    loop {
        activity.progress.set_reads_directly(true);
        let is_pending = futures::poll!(&mut *connection).is_pending();
        activity.progress.set_reads_directly(false);
        if !is_pending {
            return Next::Drop;
        }
        let current_use = activity.current_use();
        let deadline_ms = match activity.next(&closing) {
            Next::Wait { deadline_ms } => deadline_ms,
            next => return next,
        };
        let has_ended = tokio::select! {
            has_ended = poll_fn(|cx| match connection.poll_unpin(cx) {
                Poll::Ready(_) => Poll::Ready(true),
                Poll::Pending if activity.current_use() != current_use => Poll::Ready(false),
                Poll::Pending => Poll::Pending,
            }) => has_ended,
            () = sleep_until(activity.clock.to_instant(deadline_ms)) => false,
        };
        if has_ended {
            return Next::Drop;
        }
    }
}

/// Waits until a connection has been idle for the time that the document allows, plus a margin.
async fn wait_until_idle(shared: &Shared, activity: &Activity) {
    loop {
        let idle_timeout_ms = shared.limits().idle_timeout_ms + IDLE_MARGIN_MS;
        let now_ms = shared.clock.now_ms();
        let is_busy = activity.current_use() == Use::Request;
        let idle_since_ms = if is_busy { now_ms } else { activity.idle_since_ms() };
        let deadline_ms = idle_since_ms + idle_timeout_ms;
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
