//! One attempt to send a request to a server.

use std::collections::VecDeque;
use std::error::Error as _;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use http::header::{CONTENT_ENCODING, HOST, HeaderName, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use proxy::{BodyBuffer, BodyKind, Link, Permit, Upstream, WaitEnd, retry_after_ms};
use registry::Incarnation;
use route::{Failure, Pace, Rate, ServerLoad};
use telemetry::Counter;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::Shared;
use crate::request::answer::AnswerBody;
use crate::request::call::Call;
use crate::request::detour;
use crate::request::sent_to::Reached;
use crate::request::server::Server;
use crate::request::tries::Tries;

/// The result of sending a request to a server.
#[derive(Debug)]
pub(crate) enum ExchangeResult {
    /// The server's answer.
    Answer(Response<AnswerBody>),
    /// A failure status from the server; another server may be tried.
    ServerError(Response<AnswerBody>),
    /// There is no answer that can be passed on.
    NoAnswer(Failure),
    /// Another daemon refused the request, which has not run.
    Refused {
        /// How long the caller should wait before it sends the request again.
        retry_after_ms: u64,
    },
}

/// The result of an attempt, and the servers that it was sent to.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) result: ExchangeResult,
    pub(crate) reached: Reached,
}

/// How long connecting may take; reachable servers accept within milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// The largest answer that is buffered whole.
///
/// When such an answer breaks off, an idempotent request can be retried without the caller
/// noticing.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// The part of the time for which a server wants no requests by which daemons' returns differ.
const QUIET_SPREAD_DIVISOR: u64 = 10;
/// The largest difference between daemons' returns.
const MAX_QUIET_SPREAD_MS: u64 = 500;
/// The delay between the loss of a connection and the probe of its server.
///
/// A process that dies closes its sockets one by one, so its listener may accept a little longer.
const PROBE_DELAY: Duration = Duration::from_millis(5);
/// How long a probed server may take to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

impl ExchangeResult {
    /// The name of [`ExchangeResult::Answer`] in logs.
    pub(crate) const ANSWERED: &str = "answered";

    /// Returns the name of the result in logs.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Answer(_) => Self::ANSWERED,
            Self::ServerError(_) => "failed",
            Self::Refused { .. } => "refused",
            Self::NoAnswer(_) => "no answer",
        }
    }
}

/// Why a server's answer is missing.
enum Loss {
    Failed(Failure),
    /// The kernel ended the connection because the server acknowledged nothing for too long.
    Unacknowledged,
}

impl From<Failure> for Loss {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl From<ExchangeResult> for Exchange {
    /// Creates the result of an attempt at the server that was chosen here.
    fn from(result: ExchangeResult) -> Self {
        Self { result, reached: Reached::Chosen }
    }
}

/// Sends a request to a server and returns its answer, or its failure after a probe for a
/// crash.
///
/// Without a permit the server is out of reach, and the request is sent through another daemon.
pub(crate) async fn exchange(
    shared: Arc<Shared>,
    server: Arc<Server>,
    call: Arc<Call>,
    permit: Option<Permit>,
    tries: Tries,
    deadline: Instant,
) -> Exchange {
    let started_at = Instant::now();
    let Some(permit) = permit else {
        return exchange_elsewhere(&shared, &call, &tries, deadline).await;
    };
    let result = try_exchange(&shared, &server, &call, permit, deadline).await;
    let loss = match result {
        Ok(response) => {
            let slowness = on_answer(&server, &call, started_at);
            shared.crashes.on_answer(|| call.fingerprint());
            let is_failure = response.status().is_server_error();
            server.on_outcome(is_failure);
            if !is_failure {
                server.update_pace(|pace, now_ms| pace.on_answer(now_ms, f64::from(slowness)));
            }
            let result = if is_failure {
                ExchangeResult::ServerError(response)
            } else {
                ExchangeResult::Answer(response)
            };
            return result.into();
        }
        Err(loss) => loss,
    };
    let failure = match loss {
        Loss::Failed(failure) => detect_crash(&server, failure).await,
        Loss::Unacknowledged => {
            on_unacknowledged(&shared, &server).await;
            Failure::Broken
        }
    };
    if matches!(failure, Failure::NotSent | Failure::Crashed) {
        shared.reach().on_lost(&server.registration.incarnation);
    }
    on_failure(&shared, &server, &call, failure, started_at);
    if matches!(failure, Failure::Shed | Failure::Fenced) {
        call.refusals.add(&server.registration.incarnation);
    }
    if failure == Failure::NotSent {
        return exchange_elsewhere(&shared, &call, &tries, deadline).await;
    }
    ExchangeResult::NoAnswer(failure).into()
}

/// Sends a request that was not sent to its server through another daemon, if it may be.
async fn exchange_elsewhere(
    shared: &Shared,
    call: &Call,
    tries: &Tries,
    deadline: Instant,
) -> Exchange {
    if call.is_relayed {
        return ExchangeResult::NoAnswer(Failure::NotSent).into();
    }
    detour::send_elsewhere(shared, call, tries, deadline).await
}

/// Returns whether a server is known to accept no connection from this daemon, and there is
/// another daemon that may reach it.
pub(crate) fn is_out_of_reach(shared: &Shared, server: &Server) -> bool {
    let reach = shared.reach();
    if reach.has_all() || !shared.has_peers() {
        return false;
    }
    let is_lost = reach.is_lost(&server.registration.incarnation);
    reach.is_cut_off() || (is_lost && !server.upstream.has_idle())
}

async fn try_exchange(
    shared: &Shared,
    server: &Server,
    call: &Call,
    permit: Permit,
    deadline: Instant,
) -> Result<Response<AnswerBody>, Loss> {
    let connect_deadline = deadline.min(Instant::now() + Duration::from_millis(CONNECT_TIMEOUT_MS));
    let mut link = match shared.stop.bound(connect_deadline, 0, connect(server, call)).await {
        Ok(Ok(link)) => link,
        Ok(Err(error)) => {
            server.start_slowly();
            if error.kind() == ErrorKind::ConnectionRefused {
                server.on_down();
            }
            return Err(Failure::NotSent.into());
        }
        Err(WaitEnd::Elapsed) => {
            server.start_slowly();
            return Err(Failure::NotSent.into());
        }
        Err(WaitEnd::Stopping) => return Err(Failure::NotSent.into()),
    };
    if link.is_fresh() {
        shared.counters.count(Counter::Connections);
        shared.reach().on_connected(&server.registration.incarnation);
    }
    let request = to_server_request(shared, &server.registration.incarnation, call)
        .ok_or(Failure::NotSent)?;
    let response = match shared.stop.bound(deadline, 0, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            if is_full_server(&server.upstream, &link, is_unsent, error.error()) {
                return Err(Failure::Reset.into());
            }
            if link.is_fresh() {
                // Servers reset connections beyond those that they accept.
                server.upstream.on_shed();
            }
            return Err(match error.error() {
                _ if is_unsent => Failure::NotSent.into(),
                error if is_kernel_timeout(error) => Loss::Unacknowledged,
                _ => Failure::Broken.into(),
            });
        }
        // Dropping the link resets the connection, so a late answer is discarded.
        Err(end) => return Err(to_failure(end).into()),
    };
    let (head, body) = response.into_parts();
    shared.reach().on_answer();
    check_id(shared, call, &head)?;
    note_state(shared, server, call, &head);
    check_answer(shared, &head)?;
    let received = receive(shared, &server.upstream, head, body, (link, permit, deadline)).await;
    received.map_err(Loss::Failed)
}

/// Returns the failure of an attempt whose answer did not come in time.
pub(crate) fn to_failure(end: WaitEnd) -> Failure {
    match end {
        WaitEnd::Elapsed => Failure::TimedOut,
        WaitEnd::Stopping => Failure::Stopping,
    }
}

/// Returns a connection for an attempt, a new one if an earlier refusal may arrive on a kept one.
///
async fn connect(server: &Server, call: &Call) -> std::io::Result<Link> {
    let may_repeat = call.refusals.may_include(&server.registration.incarnation);
    if may_repeat { server.upstream.connect_new().await } else { server.upstream.connect().await }
}

/// Returns whether a server reset a connection because it was full.
///
/// The loss of a connection that was idle for long has other causes. Before a server reset a kept
/// connection or reported its load, a reset of a new one only tells that it accepts no more.
fn is_full_server(upstream: &Upstream, link: &Link, is_unsent: bool, error: &hyper::Error) -> bool {
    let is_meaningful = link.is_recently_used() || link.is_fresh() && upstream.is_target_ordered();
    !is_unsent && is_meaningful && is_reset(error)
}

fn is_reset(error: &hyper::Error) -> bool {
    matches!(io_kind(error), Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe))
}

/// Returns whether the kernel ended a connection because its peer acknowledged nothing.
///
/// Linux names the reason instead if a router has told it.
fn is_kernel_timeout(error: &hyper::Error) -> bool {
    let kind = io_kind(error);
    let is_unreachable =
        matches!(kind, Some(ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable));
    is_unreachable || kind == Some(ErrorKind::TimedOut)
}

fn io_kind(error: &hyper::Error) -> Option<ErrorKind> {
    error.source().and_then(|source| source.downcast_ref()).map(std::io::Error::kind)
}

/// Receives the body of an answer, or its start if it is large.
pub(crate) async fn receive(
    shared: &Shared,
    upstream: &Upstream,
    mut head: Parts,
    body: Incoming,
    (link, permit, deadline): (Link, Permit, Instant),
) -> Result<Response<AnswerBody>, Failure> {
    let idle_timeout_ms = idle_timeout_ms(&head.headers);
    // With the version of an older server, a body without a length would end with the caller's
    // connection, also where it broke off.
    head.version = Version::HTTP_11;
    proxy::strip_headers(&mut head.headers);
    match buffer(shared, body, deadline).await? {
        Buffered::Whole(bytes) => {
            upstream.keep(link, idle_timeout_ms);
            drop(permit);
            Ok(Response::from_parts(head, AnswerBody::whole(bytes)))
        }
        Buffered::Start(start, rest) => {
            Ok(stream_answer(head, start, rest, (link, permit, deadline)))
        }
    }
}

fn stream_answer(
    head: Parts,
    start: VecDeque<Bytes>,
    rest: Incoming,
    (link, permit, deadline): (Link, Permit, Instant),
) -> Response<AnswerBody> {
    Response::from_parts(head, AnswerBody::stream(start, rest, link, permit, deadline))
}

/// Checks that an answer is to this request: the server may have answered an earlier one on the
/// connection a second time.
///
/// A head with several ids consists of the heads of several answers, the first of which broke off.
pub(crate) fn check_id(shared: &Shared, call: &Call, head: &Parts) -> Result<(), Failure> {
    let mut ids = head.headers.get_all(&shared.dialect.request_id).iter();
    let is_own = ids.next() == Some(&call.id) && ids.next().is_none();
    if is_own { Ok(()) } else { Err(Failure::Broken) }
}

/// Handles what an answer tells of its server: that it is leaving, or wants no requests for now.
///
/// Another server at the address answers 421. Then the one that was meant has ended, and may as
/// well be taken as leaving.
fn note_state(shared: &Shared, server: &Server, call: &Call, head: &Parts) {
    if head.headers.get(&shared.dialect.leaving).is_some_and(|value| value == "1") {
        shared.on_leaving(&server.registration.incarnation);
    }
    note_rate_limit(shared, server, call, head);
    note_cold(shared, server, head);
    note_load(shared, server, call, head);
    let is_turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE
        && head.headers.contains_key(&shared.dialect.not_run);
    if !is_turned_away || !head.headers.contains_key(RETRY_AFTER) {
        return;
    }
    let is_first = server.upstream.pause_remaining_ms() == 0;
    let for_ms = retry_after_ms(&head.headers, SystemTime::now());
    if let Some(for_ms) = for_ms {
        // Daemons that were told the same do not return together.
        let spread_ms = (for_ms / QUIET_SPREAD_DIVISOR).min(MAX_QUIET_SPREAD_MS);
        server.upstream.pause(for_ms + rand::random_range(0..=spread_ms));
        server.start_slowly();
    }
    if is_first && shared.log_sampler.may_write(shared.clock.now_ms(), call.id.as_bytes()) {
        let server = &server.registration.incarnation;
        spdlog::info!(
            "server wants no requests",
            kv: { request = call.id.to_str().unwrap_or("-"), server: = server, for_ms:? = for_ms }
        );
    }
}

/// Handles the rate limit that an answer names, or the lack of one.
fn note_rate_limit(shared: &Shared, server: &Server, call: &Call, head: &Parts) {
    let value = head.headers.get(&shared.dialect.rate_limit);
    let limit = value.and_then(|value| Rate::parse(value.to_str().ok()?));
    let previous = server.set_rate_limit(limit);
    if limit == previous || !shared.log_sampler.may_write(shared.clock.now_ms(), call.id.as_bytes())
    {
        return;
    }
    spdlog::info!(
        "server's rate limit",
        kv: {
            request = call.id.to_str().unwrap_or("-"),
            server: = server.registration.incarnation, value:? = value,
            limit: = to_text(limit), previous: = to_text(previous)
        }
    );
}

/// Handles how much longer the server stays cold, if the answer says so.
///
/// A server that answers 421 may be another one than was meant.
fn note_cold(shared: &Shared, server: &Server, head: &Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let value = head.headers.get(&shared.dialect.cold_ms).and_then(|value| value.to_str().ok());
    if let Some(cold_ms) = value.and_then(|value| value.trim().parse().ok()) {
        server.on_cold(cold_ms);
    }
}

/// Handles the load that an answer reports.
///
/// Another server at the address answers 421, and its load is not that of the server that was meant.
fn note_load(shared: &Shared, server: &Server, call: &Call, head: &Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let value = head.headers.get(&shared.dialect.load);
    let load = value.and_then(|value| ServerLoad::parse(value.to_str().ok()?));
    server.set_load(load);
    if load.is_some() {
        server.upstream.order_by_target();
    }
    if value.is_none() || load.is_some() {
        return;
    }
    shared.counters.count(Counter::MalformedLoads);
    if shared.log_sampler.may_write(shared.clock.now_ms(), call.id.as_bytes()) {
        spdlog::info!(
            "server's load is not readable",
            kv: {
                request = call.id.to_str().unwrap_or("-"),
                server: = server.registration.incarnation, value:? = value
            }
        );
    }
}

fn to_text(limit: Option<Rate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

/// Checks that an answer is the server's own and may be passed on.
pub(crate) fn check_answer(shared: &Shared, head: &Parts) -> Result<(), Failure> {
    let dialect = &shared.dialect;
    if !proxy::has_unambiguous_end(&head.headers) {
        return Err(Failure::Broken);
    }
    let is_not_run = head.headers.contains_key(&dialect.not_run);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::Fenced);
    }
    if is_not_run {
        // No other status may mean that the request did not run, so such a head is damaged.
        let is_refusal = matches!(head.status.as_u16(), 400 | 408 | 429 | 503);
        return Err(if is_refusal { Failure::Shed } else { Failure::Broken });
    }
    let is_signed = head.headers.get_all(&dialect.signature).iter().count() == 1;
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    if head.status.is_success() && (!is_signed || is_encoded) {
        return Err(Failure::Broken);
    }
    // These statuses promise the caller that the request did not run, which the server has not
    // said.
    let is_promise = matches!(head.status.as_u16(), 408 | 429 | 503);
    if is_promise || head.status.is_informational() { Err(Failure::Broken) } else { Ok(()) }
}

/// The body of an answer: whole, or its buffered start with the rest still to come.
enum Buffered {
    Whole(Bytes),
    Start(VecDeque<Bytes>, Incoming),
}

async fn buffer(
    shared: &Shared,
    mut body: Incoming,
    deadline: Instant,
) -> Result<Buffered, Failure> {
    let expected_bytes = body.size_hint().lower();
    let mut buffer = BodyBuffer::new(&shared.buffers, BodyKind::Answer, expected_bytes);
    loop {
        let frame = match shared.stop.bound(deadline, 0, body.frame()).await {
            Ok(None) => return Ok(Buffered::Whole(buffer.into_bytes())),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_broken))) => return Err(Failure::Broken),
            Err(end) => return Err(to_failure(end)),
        };
        let Ok(data) = frame.into_data() else { continue };
        let is_large = buffer.len() + data.len() > MAX_BUFFERED_BYTES;
        if !is_large && buffer.push(&data) {
            continue;
        }
        if !is_large {
            shared.counters.count(Counter::AnswersWithoutRoom);
        }
        return Ok(Buffered::Start(VecDeque::from([buffer.into_bytes(), data]), body));
    }
}

/// Returns how long the server keeps an idle connection open.
fn idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse::<u64>().ok().map(|seconds| seconds.saturating_mul(1_000))
}

fn to_server_request(
    shared: &Shared,
    incarnation: &Incarnation,
    call: &Call,
) -> Option<Request<Full<Bytes>>> {
    let mut request = to_request(shared, call)?;
    let expected = HeaderValue::from_str(&incarnation.server).ok()?;
    request.headers_mut().insert(shared.dialect.expected_server.clone(), expected);
    Some(request)
}

/// Returns the caller's request with the time that is left, here and for the caller; `None` if a stop
/// leaves none.
pub(crate) fn to_request(shared: &Shared, call: &Call) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = call.head.headers.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, call.host.clone());
    let deadline_ms = call.deadline_ms.min(shared.stop.deadline_ms());
    let left_ms = deadline_ms.saturating_sub(shared.clock.now_ms());
    if left_ms == 0 && shared.stop.has_begun() {
        return None;
    }
    headers.insert(shared.dialect.time_left_ms.clone(), HeaderValue::from(left_ms));
    Some(request)
}

/// Probes the server to tell a crash from the loss of one connection.
async fn detect_crash(server: &Server, failure: Failure) -> Failure {
    if !matches!(failure, Failure::Broken | Failure::Reset) {
        return failure;
    }
    sleep(PROBE_DELAY).await;
    if is_reachable(server).await { failure } else { Failure::Crashed }
}

/// Notes whether a server is lost that has acknowledged nothing for too long.
///
/// The connection of a process that crashes ends with a reset instead, so this is no crash.
async fn on_unacknowledged(shared: &Shared, server: &Server) {
    if !is_reachable(server).await {
        shared.reach().on_lost(&server.registration.incarnation);
        server.start_slowly();
    }
}

async fn is_reachable(server: &Server) -> bool {
    let probe = timeout(PROBE_TIMEOUT, server.upstream.probe()).await;
    matches!(probe, Ok(Ok(())))
}

/// Handles an answer; returns its latency relative to the mean of its route.
#[expect(clippy::cast_precision_loss, reason = "the slowness in thousandths is small")]
fn on_answer(server: &Server, call: &Call, started_at: Instant) -> f32 {
    let latency_us = u32::try_from(started_at.elapsed().as_micros()).unwrap_or(u32::MAX);
    let slowness_milli = call.route_state.on_answer(latency_us);
    let slowness = slowness_milli as f32 / 1_000.0;
    server.on_slowness(slowness);
    server.upstream.on_answer(f64::from(latency_us) / 1_000.0);
    slowness
}

fn on_failure(
    shared: &Shared,
    server: &Server,
    call: &Call,
    failure: Failure,
    started_at: Instant,
) {
    let latency_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
    // The other failures tell of the table or the link, not of the server.
    if !matches!(failure, Failure::Fenced | Failure::NotSent | Failure::Stopping) {
        server.on_outcome(true);
    }
    match failure {
        Failure::Fenced => shared.counters.count(Counter::Fenced),
        Failure::Shed => {
            shared.counters.count(Counter::Shed);
            server.upstream.on_shed();
            server.update_pace(|pace, _now_ms| pace.on_refused());
        }
        Failure::Reset => {
            shared.counters.count(Counter::Resets);
            let sent_ago_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            server.upstream.on_reset(sent_ago_ms);
        }
        Failure::TimedOut => {
            server.update_pace(Pace::on_lost);
            server.upstream.on_timeout(latency_ms);
            server.upstream.on_connection_loss();
        }
        Failure::Crashed => {
            shared.counters.count(Counter::Crashes);
            shared.on_crash(call.fingerprint(), &server.registration.incarnation);
            server.start_slowly();
            server.on_down();
            server.upstream.on_connection_loss();
        }
        Failure::Broken => {
            server.update_pace(Pace::on_lost);
            server.upstream.on_connection_loss();
        }
        Failure::NotSent => server.upstream.on_connection_loss(),
        Failure::Failed | Failure::Stopping => {}
    }
}
