//! One request at one server.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, HOST, HeaderName};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use proxy::{Link, Permit};
use registry::Incarnation;
use route::Failure;
use telemetry::Counter;
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};

use crate::Shared;
use crate::answer::AnswerBody;
use crate::call::Call;
use crate::server::Server;

/// What came of sending a request to a server.
#[derive(Debug)]
pub(crate) enum Exchanged {
    /// The server's answer.
    Answer(Response<AnswerBody>),
    /// A failure that the server signed; it may be tried elsewhere.
    Failed(Response<AnswerBody>),
    /// No answer that can be passed on.
    Nothing(Failure),
}

/// How long connecting may take; servers in reach take a connection within milliseconds.
const CONNECT_MS: u64 = 250;
/// Answers up to this size are held back until they are whole, so that a repeatable request
/// can be sent again unseen when one breaks off.
const HELD_BYTES: usize = 1 << 20;
/// How long after a connection broke it is looked whether the server is still there.
///
/// A process that dies closes its sockets one by one.
const PROBE_AFTER: Duration = Duration::from_millis(5);
/// How long a server may take to accept a connection after another one broke.
const PROBE_LIMIT: Duration = Duration::from_millis(100);

/// Sends a request to a server and waits for its whole answer.
pub(crate) async fn exchange(
    shared: Arc<Shared>,
    server: Arc<Server>,
    call: Arc<Call>,
    permit: Permit,
    deadline: Instant,
) -> Exchanged {
    let started = Instant::now();
    let result = try_exchange(&shared, &server, &call, permit, deadline).await;
    let failure = match result {
        Ok(response) => {
            note_answer(&server, &call, started);
            shared.crashes.note_answer(|| call.fingerprint());
            let is_failure = response.status().is_server_error();
            return if is_failure {
                Exchanged::Failed(response)
            } else {
                Exchanged::Answer(response)
            };
        }
        Err(failure) => failure,
    };
    let failure = find_cause(&server, failure).await;
    note_failure(&shared, &server, &call, failure, started);
    Exchanged::Nothing(failure)
}

async fn try_exchange(
    shared: &Shared,
    server: &Server,
    call: &Call,
    permit: Permit,
    deadline: Instant,
) -> Result<Response<AnswerBody>, Failure> {
    let connect_by = deadline.min(Instant::now() + Duration::from_millis(CONNECT_MS));
    let Ok(Ok(mut link)) = timeout_at(connect_by, server.upstream.connect()).await else {
        return Err(Failure::NotSent);
    };
    if link.is_fresh() {
        shared.counters.count(Counter::Connections);
    }
    let request =
        to_request(shared, &server.registration.incarnation, call).ok_or(Failure::NotSent)?;
    let response = match timeout_at(deadline, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            return Err(if is_unsent { Failure::NotSent } else { Failure::Broken });
        }
        // The connection goes with the link: a late answer has nowhere to go.
        Err(_elapsed) => return Err(Failure::TimedOut),
    };
    let (mut head, body) = response.into_parts();
    check(shared, call, &head)?;
    let idle_limit_ms = idle_limit_ms(&head.headers);
    proxy::strip(&mut head.headers);
    match collect(body, deadline).await? {
        Collected::Whole(bytes) => {
            server.upstream.keep(link, idle_limit_ms);
            drop(permit);
            Ok(Response::from_parts(head, AnswerBody::own(bytes)))
        }
        Collected::Start(start, rest) => Ok(stream(head, start, rest, link, permit)),
    }
}

fn stream(
    head: Parts,
    start: VecDeque<Bytes>,
    rest: Incoming,
    link: Link,
    permit: Permit,
) -> Response<AnswerBody> {
    Response::from_parts(head, AnswerBody::stream(start, rest, link, permit))
}

/// Looks whether an answer is the server's answer to this very request.
fn check(shared: &Shared, call: &Call, head: &Parts) -> Result<(), Failure> {
    let dialect = &shared.dialect;
    // A second answer to an earlier request may come where this one's is expected.
    if head.headers.get(&dialect.request_id) != Some(&call.id) {
        return Err(Failure::Broken);
    }
    let is_not_run = head.headers.contains_key(&dialect.not_run);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::Fenced);
    }
    if is_not_run {
        return Err(Failure::Shed);
    }
    let is_signed = head.headers.contains_key(&dialect.signature);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    if head.status.is_success() && (!is_signed || is_encoded) {
        return Err(Failure::Broken);
    }
    // These would promise to the caller what the server has not promised.
    let promises = matches!(head.status.as_u16(), 408 | 429 | 503);
    if promises || head.status.is_informational() { Err(Failure::Broken) } else { Ok(()) }
}

/// The body of an answer, as far as it was held back.
enum Collected {
    Whole(Bytes),
    Start(VecDeque<Bytes>, Incoming),
}

async fn collect(mut body: Incoming, deadline: Instant) -> Result<Collected, Failure> {
    let mut parts: VecDeque<Bytes> = VecDeque::new();
    let mut held_bytes = 0;
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(None) => return Ok(Collected::Whole(join(parts, held_bytes))),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_broken))) => return Err(Failure::Broken),
            Err(_elapsed) => return Err(Failure::TimedOut),
        };
        let Ok(data) = frame.into_data() else { continue };
        held_bytes += data.len();
        parts.push_back(data);
        if held_bytes > HELD_BYTES {
            return Ok(Collected::Start(parts, body));
        }
    }
}

fn join(mut parts: VecDeque<Bytes>, bytes: usize) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(bytes);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

/// Reads how long the server keeps a connection without a request.
fn idle_limit_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse::<u64>().ok().map(|seconds| seconds * 1_000)
}

fn to_request(
    shared: &Shared,
    incarnation: &Incarnation,
    call: &Call,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = call.head.headers.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, call.host.clone());
    let left_ms = call.deadline_ms.saturating_sub(shared.clock.now_ms());
    headers.insert(shared.dialect.time_left_ms.clone(), HeaderValue::from(left_ms));
    let expected = HeaderValue::from_str(&incarnation.server).ok()?;
    headers.insert(shared.dialect.expected_server.clone(), expected);
    Some(request)
}

/// Tells a crash of the server from the loss of one connection.
async fn find_cause(server: &Server, failure: Failure) -> Failure {
    if failure != Failure::Broken {
        return failure;
    }
    sleep(PROBE_AFTER).await;
    let probe = timeout(PROBE_LIMIT, server.upstream.probe()).await;
    if matches!(probe, Ok(Ok(()))) { Failure::Broken } else { Failure::Crashed }
}

#[expect(clippy::cast_precision_loss, reason = "thousandths of some times the mean")]
fn note_answer(server: &Server, call: &Call, started: Instant) {
    let time_us = u32::try_from(started.elapsed().as_micros()).unwrap_or(u32::MAX);
    let slowness_milli = call.state.note_answer(time_us);
    server.note_slowness(slowness_milli as f32 / 1_000.0);
    server.upstream.note_answer(f64::from(time_us) / 1_000.0);
}

fn note_failure(shared: &Shared, server: &Server, call: &Call, failure: Failure, started: Instant) {
    let latency_ms = started.elapsed().as_secs_f64() * 1_000.0;
    match failure {
        Failure::Fenced => shared.counters.count(Counter::Fenced),
        Failure::Shed => {
            shared.counters.count(Counter::Shed);
            server.upstream.note_shed();
        }
        Failure::TimedOut => {
            server.upstream.note_timeout(latency_ms);
            server.upstream.note_loss();
        }
        Failure::Crashed => {
            shared.counters.count(Counter::Crashes);
            shared.note_crash(call.fingerprint(), &server.registration.incarnation);
            server.upstream.note_loss();
        }
        Failure::NotSent | Failure::Broken => server.upstream.note_loss(),
        Failure::Failed => {}
    }
}
