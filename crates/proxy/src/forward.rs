//! Forwards one request of a caller: reads it, selects a server, sends it and retries it.

use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode, Version};
use http_body_util::Full;
use route::{
    Arrival, Attempts, Decision, Failure, Fingerprint, Next, Outcome, Reason, Refusal, Service,
    Target,
};
use telemetry::{Counter, Labels};
use tokio::time::{Duration, Instant, sleep};

use crate::answer::{AnswerBody, AnswerResources, InFlightGuard};
use crate::head;
use crate::upstream::{AdmissionError, Link, Permit};
use crate::{
    BodyError, CallerBody, Traffic, Upstream, WaitEnd, read_body, retry_after_ms, to_labels,
};

/// Answers one request of a caller.
///
/// A request with ambiguous framing is refused, and its connection is closed.
pub(crate) async fn answer(
    traffic: Arc<Traffic>,
    request: Request<CallerBody>,
    is_ambiguous: bool,
) -> Response<AnswerBody> {
    let started = Instant::now();
    traffic.counters.count(Counter::Requests);
    let service = find_service(&traffic, &request);
    let result = if is_ambiguous {
        Err(Refusal::not_run(Reason::BadFraming))
    } else {
        forward(&traffic, service.clone(), request).await
    };
    let upstream = service.as_ref().map_or(Labels::NONE, |service| service.document.name.as_str());
    record_latency(&traffic, started, upstream, &result);
    let mut response = count_result(&traffic, result);
    // After an ambiguous request, the bytes that follow may be its rest and must not be read as
    // another one. While the process stops, callers should send their next requests elsewhere.
    if is_ambiguous || traffic.stop.has_begun() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Records the latency of a request under its result; the label `route` stays empty here.
fn record_latency(
    traffic: &Traffic,
    started: Instant,
    upstream: &str,
    result: &Result<Response<AnswerBody>, Refusal>,
) {
    let (outcome, reason) = to_labels(result);
    let labels = Labels { route: Labels::NONE, upstream, outcome, reason };
    traffic.metrics.record_latency(elapsed_ms(started), &labels);
}

/// Returns the milliseconds since an instant.
fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}

/// Returns the service that the first segment of the path names.
fn find_service(
    traffic: &Traffic,
    request: &Request<CallerBody>,
) -> Option<Arc<Service<Upstream>>> {
    let name = request.uri().path().trim_start_matches('/').split('/').next();
    name.and_then(|name| traffic.service(name))
}

/// Counts the result of a request and returns the answer to the caller.
fn count_result(
    traffic: &Traffic,
    result: Result<Response<AnswerBody>, Refusal>,
) -> Response<AnswerBody> {
    match result {
        Ok(response) => {
            traffic.counters.count(Counter::Answered);
            response
        }
        Err(refusal) => {
            traffic.counters.count(match refusal.outcome {
                Outcome::NotRun => Counter::RefusedNotRun,
                Outcome::Unknown => Counter::RefusedUnknown,
            });
            to_response(&refusal)
        }
    }
}

/// A caller's request, read completely.
struct Call {
    head: http::request::Parts,
    body: Bytes,
    key: Option<String>,
    is_idempotent: bool,
    arrival: Arrival,
}

impl Call {
    fn fingerprint(&self) -> Fingerprint {
        let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
        Fingerprint::new(self.head.method.as_str(), path, &self.body)
    }
}

/// The result of one attempt.
enum AttemptResult {
    Answered(Response<AnswerBody>),
    Failed(Failure),
}

/// Reads a request and forwards it to a server of its service.
async fn forward(
    traffic: &Traffic,
    service: Option<Arc<Service<Upstream>>>,
    request: Request<CallerBody>,
) -> Result<Response<AnswerBody>, Refusal> {
    let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
    let call = read_call(traffic, &service, request).await?;
    service.in_flight.budget.earn();
    send_with_retries(traffic, service, &call).await
}

/// Reads a request completely and finds its class and key.
async fn read_call(
    traffic: &Traffic,
    service: &Service<Upstream>,
    request: Request<CallerBody>,
) -> Result<Call, Refusal> {
    let (mut head, body) = request.into_parts();
    head::check_framing(head.version, &head.headers)?;
    if head.version == Version::HTTP_11 && !head.headers.contains_key(HOST) {
        return Err(Refusal::not_run(Reason::NoIdentity));
    }
    let (_, class) = service.document.class(head.method.as_str(), head.uri.path());
    let deadline_ms = traffic.clock.now_ms() + class.timeout_ms;
    // Documents set no latency target, so an answer is due at the deadline.
    let arrival = Arrival {
        deadline_ms,
        target_deadline_ms: deadline_ms,
        priority: class.priority,
        max_waiting: class.max_queued,
        // Documents do not state how long requests of a class take.
        typical_latency_ms: 0,
        is_over_share: false,
    };
    let key = service.document.key.as_ref().and_then(|source| {
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        source.extract_key(head.uri.path(), head.uri.query(), header).map(str::to_owned)
    });
    if service.document.is_keyed() && key.is_none() {
        return Err(Refusal::not_run(Reason::NoKey));
    }
    head::strip_request_headers(&mut head.headers);
    let deadline = traffic.clock.to_instant(deadline_ms);
    let body = read_body(body, traffic.limits.max_body_bytes, &traffic.buffers, deadline);
    let body = match traffic.stop.bound(deadline, 0, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoRoom)) => {
            traffic.counters.count(Counter::BodiesWithoutRoom);
            return Err(Refusal::not_run(Reason::Overloaded));
        }
        Ok(Err(BodyError::TooLarge)) => return Err(Refusal::not_run(Reason::BodyTooLarge)),
        Ok(Err(BodyError::Aborted | BodyError::TimedOut)) | Err(WaitEnd::Elapsed) => {
            return Err(Refusal::not_run(Reason::BodyIncomplete));
        }
        Err(WaitEnd::Stopping) => {
            return Err(Refusal::not_run(Reason::Stopping).with_retry_after(0));
        }
    };
    Ok(Call { head, body, key, is_idempotent: class.idempotent, arrival })
}

/// Sends a request and retries it until it is answered or no retry is allowed.
async fn send_with_retries(
    traffic: &Traffic,
    mut service: Arc<Service<Upstream>>,
    call: &Call,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut attempts = Attempts::new(call.is_idempotent, call.arrival.deadline_ms);
    loop {
        if traffic.crashes.is_refused(|| call.fingerprint()) {
            return Err(attempts.to_refusal(Reason::Crashing));
        }
        let target = find_target(traffic, &mut service, call, &attempts).await?;
        let permit = acquire_permit(traffic, &target, call, &attempts).await?;
        let started = Instant::now();
        let deadline_ms = attempts.attempt_deadline_ms(traffic.clock.now_ms());
        let deadline = traffic.clock.to_instant(deadline_ms);
        let link = connect(traffic, &target, deadline).await;
        let in_flight =
            target.route_position.map(|position| InFlightGuard::new(&service.in_flight, position));
        // The shard may have been closed before the request was counted as in flight. The drain
        // of the shard then did not wait for the request, so the request must not be sent. The
        // route lease may have expired while the connection was opened.
        let current = traffic.service(&service.document.name);
        let is_current = current
            .as_ref()
            .is_some_and(|current| current.is_current(traffic.clock.now_ms(), &target));
        if !is_current {
            drop((link, in_flight, permit));
            if traffic.clock.now_ms() >= call.arrival.deadline_ms {
                return Err(attempts.to_refusal(Reason::Expired));
            }
            continue;
        }
        let result = if let Some(link) = link {
            let server = Arc::clone(&target.server);
            let resources = AnswerResources { link, upstream: server, permit, in_flight };
            send_once(traffic, &target, call, started, deadline, resources).await
        } else {
            drop((in_flight, permit));
            AttemptResult::Failed(Failure::NotSent)
        };
        let failure = match result {
            AttemptResult::Answered(response) => return Ok(response),
            AttemptResult::Failed(failure) => failure,
        };
        let failure = detect_crash(traffic, &target, failure).await;
        on_failure(traffic, &target, call, failure, elapsed_ms(started));
        match attempts.on_failure(traffic.clock.now_ms(), failure) {
            Next::Reroute => wait_for_change(traffic, call, REROUTE_TIMEOUT_MS).await,
            Next::Retry if service.in_flight.budget.spend() => {
                traffic.counters.count(Counter::Retries);
                if failure == Failure::NotSent {
                    wait_for_change(traffic, call, RETRY_BACKOFF_MS).await;
                }
            }
            // The retry budget is spent, or no further attempt is allowed.
            Next::Retry | Next::GiveUp => return Err(attempts.to_last_refusal()),
        }
    }
}

/// The delay after a broken connection before the server is probed with a new connection.
const PROBE_DELAY: Duration = Duration::from_millis(5);
/// The time in which a server must accept a connection to count as running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest wait of a fenced request for a newer table.
const REROUTE_TIMEOUT_MS: u64 = 50;
/// The longest wait for a newer table before the retry of a request that was not sent.
const RETRY_BACKOFF_MS: u64 = 20;

/// Selects the server for a request, and waits while its shard has no owner.
async fn find_target(
    traffic: &Traffic,
    service: &mut Arc<Service<Upstream>>,
    call: &Call,
    attempts: &Attempts,
) -> Result<Target<Upstream>, Refusal> {
    let mut wait_permit = None;
    let name = service.document.name.clone();
    loop {
        let changed = traffic.changed().notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        *service =
            traffic.service(&name).ok_or_else(|| attempts.to_refusal(Reason::UnknownService))?;
        let draw = (rand::random(), rand::random());
        match service.decide(traffic.clock.now_ms(), call.key.as_deref(), draw) {
            Decision::Forward(target) => return Ok(target),
            Decision::Refuse(refusal) => return Err(attempts.to_refusal(refusal.reason)),
            Decision::Wait => {}
        }
        if wait_permit.is_none() {
            wait_permit = traffic.try_wait_permit();
            traffic.counters.count(Counter::WaitedForOwner);
            if wait_permit.is_none() {
                return Err(attempts.to_refusal(Reason::Overloaded));
            }
        }
        let deadline = traffic.clock.to_instant(call.arrival.deadline_ms);
        match traffic.stop.bound(deadline, 0, changed).await {
            Ok(()) => {}
            Err(WaitEnd::Elapsed) => return Err(attempts.to_refusal(Reason::NoOwner)),
            Err(WaitEnd::Stopping) => return Err(stopping_refusal(attempts)),
        }
    }
}

/// Returns the refusal of a request for which a process that stops has no time.
///
/// Another daemon can take it at once.
fn stopping_refusal(attempts: &Attempts) -> Refusal {
    attempts.to_refusal(Reason::Stopping).with_retry_after(0)
}

/// Waits until the server admits a request.
async fn acquire_permit(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
    attempts: &Attempts,
) -> Result<Permit, Refusal> {
    match target.server.acquire(call.arrival, &traffic.stop).await {
        Ok((permit, has_waited)) => {
            if has_waited {
                traffic.counters.count(Counter::WaitedForSlot);
            }
            Ok(permit)
        }
        Err(AdmissionError::Paused { remaining_ms }) => {
            Err(attempts.to_refusal(Reason::Overloaded).with_retry_after(remaining_ms))
        }
        Err(AdmissionError::Overloaded { .. }) => Err(attempts.to_refusal(Reason::Overloaded)),
        Err(AdmissionError::Expired) => Err(attempts.to_refusal(Reason::Expired)),
        Err(AdmissionError::Stopping) => Err(stopping_refusal(attempts)),
    }
}

/// Takes or opens a connection; returns `None` if that fails or lasts until the deadline.
async fn connect(traffic: &Traffic, target: &Target<Upstream>, deadline: Instant) -> Option<Link> {
    let link = traffic.stop.bound(deadline, 0, target.server.connect()).await.ok()?.ok()?;
    if link.is_fresh() {
        traffic.counters.count(Counter::Connections);
    }
    Some(link)
}

/// Sends a request once and returns the server's answer or the failure.
async fn send_once(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
    started: Instant,
    deadline: Instant,
    mut resources: AnswerResources,
) -> AttemptResult {
    let Some(mut request) = to_request(traffic, target, call) else {
        return AttemptResult::Failed(Failure::NotSent);
    };
    let attempt = HeaderValue::from(rand::random::<u64>());
    request.headers_mut().insert(head::ATTEMPT, attempt.clone());
    let response = match traffic.stop.bound(deadline, 0, resources.link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            return AttemptResult::Failed(if is_unsent {
                Failure::NotSent
            } else {
                Failure::Broken
            });
        }
        // Returning drops the link and closes the connection, so a late answer is discarded.
        Err(WaitEnd::Elapsed) => return AttemptResult::Failed(Failure::TimedOut),
        Err(WaitEnd::Stopping) => return AttemptResult::Failed(Failure::Stopping),
    };
    let (mut head, body) = response.into_parts();
    if !head::may_answer(&head.headers, &attempt) {
        return AttemptResult::Failed(Failure::Broken);
    }
    // The library passes on the informational answer that changes the protocol; no request of
    // this daemon asks for that.
    if head.status.is_informational() || !head::has_unambiguous_end(&head.headers) {
        return AttemptResult::Failed(Failure::Broken);
    }
    if let Some(failure) = to_failure(&head) {
        if failure == Failure::Shed
            && let Some(for_ms) = retry_after_ms(&head.headers, SystemTime::now())
        {
            target.server.pause(for_ms);
        }
        // Returning closes the connection: a faulty server may write the refusal once more, which
        // would then count as the answer to the next request.
        return AttemptResult::Failed(failure);
    }
    let counters = Arc::clone(&traffic.counters);
    let body = AnswerBody::forwarded(body, traffic.limits.progress_timeout_ms, counters, resources);
    target.server.on_answer(elapsed_ms(started));
    // With the version of an older server, a body without a length would end with the caller's
    // connection, also where it broke off.
    head.version = Version::HTTP_11;
    head::strip_headers(&mut head.headers);
    AttemptResult::Answered(Response::from_parts(head, body))
}

/// Returns the failure if the answer is a server's refusal to run the request.
fn to_failure(head: &http::response::Parts) -> Option<Failure> {
    match (head.status, head::refusal_reason(&head.headers)?) {
        (StatusCode::MISDIRECTED_REQUEST, _) => Some(Failure::Fenced),
        (StatusCode::SERVICE_UNAVAILABLE, _) => Some(Failure::Shed),
        _ => None,
    }
}

/// Returns the request to send to a server; `None` if its path cannot be sent.
fn to_request(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = call.head.uri.path_and_query()?.as_str().parse().ok()?;
    *request.headers_mut() = call.head.headers.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, target.server.host());
    if let Some((shard, epoch)) = target.fence {
        headers.insert(head::SHARD, HeaderValue::from(shard.0));
        headers.insert(head::EPOCH, HeaderValue::from(epoch.0));
    }
    let deadline_ms = call.arrival.deadline_ms.min(traffic.stop.deadline_ms());
    let left_ms = deadline_ms.saturating_sub(traffic.clock.now_ms());
    headers.insert(head::TIME_LEFT_MS, HeaderValue::from(left_ms));
    Some(request)
}

/// Returns `Crashed` instead of `Broken` if the server accepts no new connection.
async fn detect_crash(traffic: &Traffic, target: &Target<Upstream>, failure: Failure) -> Failure {
    if failure != Failure::Broken {
        return failure;
    }
    // A process that exits closes its sockets one by one, so it may still accept at first.
    sleep(PROBE_DELAY).await;
    let deadline = Instant::now() + PROBE_TIMEOUT;
    match traffic.stop.bound(deadline, 0, target.server.probe()).await {
        Ok(Ok(())) | Err(WaitEnd::Stopping) => Failure::Broken,
        Ok(Err(_)) | Err(WaitEnd::Elapsed) => Failure::Crashed,
    }
}

/// Counts a failure and updates the state of the server.
fn on_failure(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
    failure: Failure,
    latency_ms: f64,
) {
    match failure {
        Failure::Fenced => traffic.counters.count(Counter::Fenced),
        Failure::Shed => {
            traffic.counters.count(Counter::Shed);
            target.server.on_shed();
        }
        Failure::TimedOut => {
            target.server.on_timeout(latency_ms);
            target.server.on_connection_loss();
        }
        Failure::Crashed => {
            traffic.counters.count(Counter::Crashes);
            traffic.crashes.on_crash(call.fingerprint());
            target.server.on_connection_loss();
        }
        Failure::NotSent | Failure::Broken | Failure::Reset | Failure::Failed => {
            target.server.on_connection_loss();
        }
        Failure::Stopping => {}
    }
}

/// Waits until the services change, `timeout_ms` have passed, or the call's deadline is reached.
async fn wait_for_change(traffic: &Traffic, call: &Call, timeout_ms: u64) {
    let deadline_ms = call.arrival.deadline_ms.min(traffic.clock.now_ms() + timeout_ms);
    let deadline = traffic.clock.to_instant(deadline_ms);
    // The result does not matter: the services are read again after a change or a timeout.
    let _is_changed = traffic.stop.bound(deadline, 0, traffic.changed().notified()).await.is_ok();
}

/// Builds the HTTP response for a refusal.
fn to_response(refusal: &Refusal) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(AnswerBody::own(format!("{refusal}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(head::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    headers.insert(head::REASON, HeaderValue::from_static(refusal.reason.as_str()));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(1_000)));
    }
    response
}

/// Returns whether a method would turn the connection into a tunnel.
pub(crate) fn is_tunnel(method: &Method) -> bool {
    *method == Method::CONNECT
}
