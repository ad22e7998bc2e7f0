//! The way of one request.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use route::{
    Arrival, Attempts, Decision, Failure, Fingerprint, Next, Outcome, Reason, Refusal, Service,
    Target,
};
use telemetry::{Counter, Labels};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};

use crate::answer::{AnswerBody, Held, ShardPlace};
use crate::head;
use crate::upstream::{Permit, Refused};
use crate::{BodyFault, Traffic, Upstream, read_body, to_labels};

/// Answers one request of a caller.
pub(crate) async fn answer(
    traffic: Arc<Traffic>,
    request: Request<Incoming>,
    is_ambiguous: bool,
) -> Response<AnswerBody> {
    let started = Instant::now();
    traffic.counters.count(Counter::Requests);
    let service = service(&traffic, &request);
    let result = if is_ambiguous {
        Err(Refusal::not_run(Reason::BadFraming))
    } else {
        forward(&traffic, service.clone(), request).await
    };
    let upstream = service.as_ref().map_or(Labels::NONE, |service| service.document.name.as_str());
    record(&traffic, started, upstream, &result);
    let mut response = to_answer(&traffic, result);
    if is_ambiguous {
        // Whatever another reader may take for the next request must not be one here.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request by what came of it; documents of this kind name no routes.
fn record(
    traffic: &Traffic,
    started: Instant,
    upstream: &str,
    result: &Result<Response<AnswerBody>, Refusal>,
) {
    let (outcome, reason) = to_labels(result);
    let labels = Labels { route: Labels::NONE, upstream, outcome, reason };
    traffic.metrics.record_latency(to_ms(started), &labels);
}

/// Returns the milliseconds since an instant.
fn to_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}

/// Returns the service that the first part of the path names.
fn service(traffic: &Traffic, request: &Request<Incoming>) -> Option<Arc<Service<Upstream>>> {
    let name = request.uri().path().trim_start_matches('/').split('/').next();
    name.and_then(|name| traffic.service(name))
}

fn to_answer(
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

/// A caller's request, read whole.
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

/// What came of one attempt.
enum Attempt {
    Answered(Response<AnswerBody>),
    Failed(Failure),
}

async fn forward(
    traffic: &Traffic,
    service: Option<Arc<Service<Upstream>>>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
    let call = read(traffic, &service, request).await?;
    service.in_flight.budget.earn();
    run(traffic, service, &call).await
}

/// Reads a request whole and finds its class and key.
async fn read(
    traffic: &Traffic,
    service: &Service<Upstream>,
    request: Request<Incoming>,
) -> Result<Call, Refusal> {
    let (mut head, body) = request.into_parts();
    head::check_framing(head.version, &head.headers)?;
    if head.version == Version::HTTP_11 && !head.headers.contains_key(HOST) {
        return Err(Refusal::not_run(Reason::NoIdentity));
    }
    let (_, class) = service.document.class(head.method.as_str(), head.uri.path());
    let deadline_ms = traffic.clock.now_ms() + class.timeout_ms;
    // Documents of this kind set no aim before the deadline.
    let arrival = Arrival {
        deadline_ms,
        target_deadline_ms: deadline_ms,
        priority: class.priority,
        max_waiting: class.max_queued,
        // Nothing is known of how long requests of a class take.
        typical_latency_ms: 0,
    };
    let key = service.document.key.as_ref().and_then(|source| {
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        source.extract_key(head.uri.path(), head.uri.query(), header).map(str::to_owned)
    });
    if service.document.is_keyed() && key.is_none() {
        return Err(Refusal::not_run(Reason::NoKey));
    }
    head::strip_request(&mut head.headers);
    let deadline = traffic.clock.to_instant(deadline_ms);
    let body = read_body(body, traffic.limits.body_bytes, deadline).await.map_err(|fault| {
        Refusal::not_run(match fault {
            BodyFault::TooLarge => Reason::BodyTooLarge,
            BodyFault::BrokenOff | BodyFault::Late => Reason::BodyIncomplete,
        })
    })?;
    Ok(Call { head, body, key, is_idempotent: class.idempotent, arrival })
}

/// Sends a request until it is answered or given up.
async fn run(
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
        let permit = enter(traffic, &target, call, &attempts).await?;
        let place = target.position.map(|at| ShardPlace::new(&service.in_flight, at));
        // The request is counted now; a shard that closed before this must not get it.
        let current = traffic.service(&service.document.name);
        let is_current = current
            .as_ref()
            .is_some_and(|current| current.is_current(traffic.clock.now_ms(), &target));
        if !is_current {
            drop((place, permit));
            if traffic.clock.now_ms() >= call.arrival.deadline_ms {
                return Err(attempts.to_refusal(Reason::Expired));
            }
            continue;
        }
        let started = Instant::now();
        let failure = match attempt(traffic, &target, call, &attempts, permit, place).await {
            Attempt::Answered(response) => return Ok(response),
            Attempt::Failed(failure) => failure,
        };
        let failure = find_cause(&target, failure).await;
        note_failure(traffic, &target, call, failure, to_ms(started));
        match attempts.on_failure(traffic.clock.now_ms(), failure) {
            Next::Reroute => wait_for_change(traffic, call, REROUTE_WAIT_MS).await,
            Next::Retry if service.in_flight.budget.spend() => {
                traffic.counters.count(Counter::Retries);
                if failure == Failure::NotSent {
                    wait_for_change(traffic, call, RETRY_WAIT_MS).await;
                }
            }
            // Without a budget a retry is as good as none.
            Next::Retry | Next::GiveUp => return Err(attempts.to_last_refusal()),
        }
    }
}

/// How long after a connection broke it is looked whether the server is still there.
const PROBE_AFTER: Duration = Duration::from_millis(5);
/// How long a server may take to accept a connection after another one broke.
const PROBE_LIMIT: Duration = Duration::from_millis(100);
/// How long a fenced request waits for a newer table.
const REROUTE_WAIT_MS: u64 = 50;
/// How long a request waits before it tries an unreachable server again.
const RETRY_WAIT_MS: u64 = 20;

/// Finds the server for a request, and waits while its shard is between two owners.
async fn find_target(
    traffic: &Traffic,
    service: &mut Arc<Service<Upstream>>,
    call: &Call,
    attempts: &Attempts,
) -> Result<Target<Upstream>, Refusal> {
    let mut place = None;
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
        if place.is_none() {
            place = traffic.wait_place();
            traffic.counters.count(Counter::WaitedForOwner);
            if place.is_none() {
                return Err(attempts.to_refusal(Reason::Overloaded));
            }
        }
        let deadline = traffic.clock.to_instant(call.arrival.deadline_ms);
        if timeout_at(deadline, changed).await.is_err() {
            return Err(attempts.to_refusal(Reason::NoOwner));
        }
    }
}

async fn enter(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
    attempts: &Attempts,
) -> Result<Permit, Refusal> {
    match target.server.enter(call.arrival).await {
        Ok((permit, has_waited)) => {
            if has_waited {
                traffic.counters.count(Counter::WaitedForSlot);
            }
            Ok(permit)
        }
        Err(Refused::Full { .. }) => Err(attempts.to_refusal(Reason::Overloaded)),
        Err(Refused::Expired) => Err(attempts.to_refusal(Reason::Expired)),
    }
}

/// Sends a request once.
async fn attempt(
    traffic: &Traffic,
    target: &Target<Upstream>,
    call: &Call,
    attempts: &Attempts,
    permit: Permit,
    place: Option<ShardPlace>,
) -> Attempt {
    let started = Instant::now();
    let now_ms = traffic.clock.now_ms();
    let deadline = traffic.clock.to_instant(attempts.attempt_deadline_ms(now_ms));
    let Ok(Ok(mut link)) = timeout_at(deadline, target.server.connect()).await else {
        return Attempt::Failed(Failure::NotSent);
    };
    if link.is_fresh() {
        traffic.counters.count(Counter::Connections);
    }
    let Some(request) = to_request(traffic, target, call) else {
        return Attempt::Failed(Failure::NotSent);
    };
    let response = match timeout_at(deadline, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            return Attempt::Failed(if is_unsent { Failure::NotSent } else { Failure::Broken });
        }
        // The connection goes with the link: a late answer has nowhere to go.
        Err(_elapsed) => return Attempt::Failed(Failure::TimedOut),
    };
    let (mut head, body) = response.into_parts();
    let holds = Held { link, upstream: Arc::clone(&target.server), permit, place };
    let counters = Arc::clone(&traffic.counters);
    let body = AnswerBody::passed(body, traffic.limits.progress_timeout_ms, counters, holds);
    if let Some(failure) = to_failure(&head) {
        return Attempt::Failed(failure);
    }
    target.server.note_answer(to_ms(started));
    head::strip(&mut head.headers);
    Attempt::Answered(Response::from_parts(head, body))
}

/// Returns the failure that a server's refusal stands for.
fn to_failure(head: &http::response::Parts) -> Option<Failure> {
    match (head.status, head::refused(&head.headers)?) {
        (StatusCode::MISDIRECTED_REQUEST, _) => Some(Failure::Fenced),
        (StatusCode::SERVICE_UNAVAILABLE, _) => Some(Failure::Shed),
        _ => None,
    }
}

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
    let left_ms = call.arrival.deadline_ms.saturating_sub(traffic.clock.now_ms());
    headers.insert(head::TIME_LEFT_MS, HeaderValue::from(left_ms));
    Some(request)
}

/// Tells a crash of the server from the loss of one connection.
async fn find_cause(target: &Target<Upstream>, failure: Failure) -> Failure {
    if failure != Failure::Broken {
        return failure;
    }
    // A process that dies closes its sockets one by one.
    sleep(PROBE_AFTER).await;
    let probe = timeout(PROBE_LIMIT, target.server.probe()).await;
    if matches!(probe, Ok(Ok(()))) { Failure::Broken } else { Failure::Crashed }
}

fn note_failure(
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
            target.server.note_shed();
        }
        Failure::TimedOut => {
            target.server.note_timeout(latency_ms);
            target.server.note_loss();
        }
        Failure::Crashed => {
            traffic.counters.count(Counter::Crashes);
            traffic.crashes.note_crash(call.fingerprint());
            target.server.note_loss();
        }
        Failure::NotSent | Failure::Broken | Failure::Failed => target.server.note_loss(),
    }
}

/// Waits for newer services, but not for long.
async fn wait_for_change(traffic: &Traffic, call: &Call, most_ms: u64) {
    let until_ms = call.arrival.deadline_ms.min(traffic.clock.now_ms() + most_ms);
    let until = traffic.clock.to_instant(until_ms);
    // Whether a change came or the time ran out, the next step looks again.
    drop(timeout_at(until, traffic.changed().notified()).await);
}

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

/// Returns whether a method makes a connection into something else than requests.
pub(crate) fn is_tunnel(method: &Method) -> bool {
    *method == Method::CONNECT
}
