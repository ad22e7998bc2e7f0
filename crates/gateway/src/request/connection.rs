//! Serves the requests of one connection of a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use http::header::{CONNECTION, EXPECT, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proxy::{
    Activity, CallerBody, CallerStream, Close, CloseCause, ScannedStream, TrackedBody, Unread,
};
use route::{Caller, Reason, Refusal};
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::Shared;
use crate::request::answer::AnswerBody;
use crate::request::{forward, refusal};

/// The smallest connection buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// How much later than the document states an idle connection is closed.
///
/// A caller that reuses a connection just before the stated time does not find it closed.
const IDLE_MARGIN_MS: u64 = 1_000;

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
    let unread = Unread::default();
    let (stream, framing) = ScannedStream::new(stream);
    let service = service_fn(|mut request: Request<Incoming>| {
        let is_ambiguous = framing.next_is_ambiguous(&request);
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
        let (activity, unread) = (Arc::clone(&activity), unread.clone());
        async move {
            let mut answer = answer.await;
            if !unread.discard_rest(&rest, may_discard, &activity) {
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
                    unread.set();
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
    unread.discard(connection.into_parts().io.into_inner()).await;
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
