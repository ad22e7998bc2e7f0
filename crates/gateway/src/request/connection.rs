//! Serves the requests of one connection of a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proxy::{Activity, CallerStream, Close, CloseCause, RecordedStream, RequestGuard, TrackedBody};
use route::{Caller, Reason, Refusal};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::Shared;
use crate::request::answer::AnswerBody;
use crate::request::caller_body::{CallerBody, DISCARD_TIMEOUT, MAX_DISCARDED_BYTES, discard};
use crate::request::{forward, refusal};

/// The smallest connection buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How much later than the document states an idle connection is closed.
///
/// A caller that reuses a connection just before the stated time does not find it closed.
const IDLE_MARGIN_MS: u64 = 1_000;

const DISCARD_BUFFER_BYTES: usize = 8_192;

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
    let activity = Activity::new(shared.clock, progress);
    // Whether a part of a refused request is left unread when the connection ends.
    let has_unread = Arc::new(AtomicBool::new(false));
    let (stream, raw) = RecordedStream::new(stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        let is_ambiguous = raw.is_ambiguous(&request);
        let in_flight = activity.begin();
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
        let (activity, has_unread) = (Arc::clone(&activity), Arc::clone(&has_unread));
        async move {
            let mut answer = answer.await;
            if let Some(rest) = rest.take()
                && !discard_rest(rest, may_discard, activity.begin(), &has_unread)
            {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, in_flight)))
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
                    has_unread.store(true, Ordering::Relaxed);
                }
                break;
            }
            () = close.cancelled() => CloseCause::Stop,
            () = wait_until_idle(&shared, &activity) => CloseCause::IdleTimeout,
        };
        let head_timeout_ms = limits.head_timeout_ms;
        match activity.wait_to_close(Pin::new(&mut connection), cause, head_timeout_ms).await {
            Close::Drop => break,
            Close::Finish => {
                Pin::new(&mut connection).graceful_shutdown();
                // How one caller's connection ends affects no other connection.
                drop((&mut connection).await);
                break;
            }
            Close::Continue => {}
        }
    }
    if has_unread.load(Ordering::Relaxed) {
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
fn discard_rest(
    rest: Incoming,
    may_discard: bool,
    in_flight: RequestGuard,
    has_unread: &Arc<AtomicBool>,
) -> bool {
    if !may_discard || rest.size_hint().lower() > MAX_DISCARDED_BYTES {
        has_unread.store(true, Ordering::Relaxed);
        return false;
    }
    let has_unread = Arc::clone(has_unread);
    // It ends with the body, the connection or its timeout.
    tokio::spawn(async move {
        if !discard(rest).await {
            has_unread.store(true, Ordering::Relaxed);
        }
        drop(in_flight);
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

/// Waits until a connection has been idle for the time that the document allows, plus a margin.
async fn wait_until_idle(shared: &Shared, activity: &Activity) {
    loop {
        let idle_timeout_ms = shared.limits().idle_timeout_ms + IDLE_MARGIN_MS;
        let now_ms = shared.clock.now_ms();
        let deadline_ms = activity.idle_since_ms().unwrap_or(now_ms) + idle_timeout_ms;
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
