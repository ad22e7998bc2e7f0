//! The way of one request.

use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use proxy::{Permit, Refused};
use registry::Incarnation;
use route::{Attempts, Failure, Next, Reason, Refusal, RemotePenalty};
use site::RequestKind;
use telemetry::{Counter, Labels};
use tokio::time::timeout_at;

use crate::Shared;
use crate::answer::AnswerBody;
use crate::call::{self, Call};
use crate::exchange::{Exchanged, exchange};
use crate::lines::is_sampled;
use crate::refuse;
use crate::server::Server;
use crate::view::{Place, ServiceView};

/// How long a request waits for a key that is on its way to a server.
///
/// A handover takes about as long as the work that has to end; longer ones are refused, so
/// that the caller can decide.
const MOVE_WAIT_MS: u64 = 300;
/// How long a fenced request waits for a newer table.
const REROUTE_WAIT_MS: u64 = 60;
/// When to come back while a key moves.
const MOVE_RETRY_MS: u64 = 100;
/// When to come back at the earliest where servers have no room.
const BUSY_RETRY_MS: u64 = 150;
/// When to come back at the latest where servers have no room: load changes within seconds,
/// and so does what is known of the queue.
const MOST_BUSY_RETRY_MS: u64 = 1_000;
/// When to come back where a daemon or a server is not there yet.
const ABSENT_RETRY_MS: u64 = 300;

/// Answers one request of a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_ms = shared.clock.now_ms();
    shared.counters.count(Counter::Requests);
    let id = request.headers().get(&shared.dialect.request_id).cloned();
    let (call, result) = forward(&shared, request, arrived_ms).await;
    record(&shared, call.as_deref(), arrived_ms, &result);
    let mut response = match result {
        Ok(response) => {
            shared.counters.count(Counter::Answered);
            response
        }
        Err(refusal) => {
            note_refusal(&shared, id.as_ref(), call.as_deref(), arrived_ms, &refusal);
            refuse::to_response(&refusal)
        }
    };
    if shared.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request by what came of it.
fn record(
    shared: &Shared,
    call: Option<&Call>,
    arrived_ms: u64,
    result: &Result<Response<AnswerBody>, Refusal>,
) {
    let took_ms = shared.clock.now_ms() - arrived_ms;
    let (outcome, reason) = match proxy::to_labels(result) {
        ("served", none) if call.is_some_and(|call| took_ms > call.route.latency_target_ms) => {
            ("late", none)
        }
        labels => labels,
    };
    let route = call.map_or(Labels::NONE, |call| call.route.name.as_str());
    let upstream = call.map_or(Labels::NONE, |call| call.service.as_str());
    let latency_ms = f64::from(u32::try_from(took_ms).unwrap_or(u32::MAX));
    shared.metrics.record_latency(latency_ms, &Labels { route, upstream, outcome, reason });
}

fn note_refusal(
    shared: &Shared,
    id: Option<&HeaderValue>,
    call: Option<&Call>,
    arrived_ms: u64,
    refusal: &Refusal,
) {
    shared.counters.count(match refusal.outcome {
        route::Outcome::NotRun => Counter::RefusedNotRun,
        route::Outcome::Unknown => Counter::RefusedUnknown,
    });
    let now_ms = shared.clock.now_ms();
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    if !shared.lines.may_write(now_ms, id.as_bytes()) {
        return;
    }
    let view = shared.view();
    spdlog::info!(
        "request not served",
        kv: {
            request = id, route = call.map_or("-", |call| call.route.name.as_str()),
            key:? = call.and_then(|call| call.key),
            reason = refusal.reason.as_str(), outcome = refusal.outcome.as_str(),
            held_ms = now_ms - arrived_ms, retry_after_ms:? = refusal.retry_after_ms,
            version = view.version(), tables:? = view.tables_from
        }
    );
}

/// Reads and runs a request; returns what was read, and what came of it.
async fn forward(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    arrived_ms: u64,
) -> (Option<Arc<Call>>, Result<Response<AnswerBody>, Refusal>) {
    match read(shared, request, arrived_ms).await {
        Ok(call) => {
            let call = Arc::new(call);
            (Some(Arc::clone(&call)), run(shared, call).await)
        }
        Err(refusal) => (None, Err(refusal)),
    }
}

async fn read(
    shared: &Shared,
    request: Request<Incoming>,
    arrived_ms: u64,
) -> Result<Call, Refusal> {
    let view = shared.view();
    let site = view
        .site
        .as_ref()
        .ok_or_else(|| Refusal::not_run(Reason::NoSite).retry_after_ms(ABSENT_RETRY_MS))?;
    let call = call::read(shared, site, request, arrived_ms).await?;
    if let Some(service) = view.services.get(&call.service) {
        service.state.budget.earn();
        if let Some(key) = call.key.filter(|_| service.is_keyed) {
            service.state.note_request(key, call.state.mean_us());
        }
    }
    Ok(call)
}

/// Sends a request until it is answered or given up.
async fn run(shared: &Arc<Shared>, call: Arc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    let attempts = Attempts::new(call.is_idempotent(), call.deadline_ms);
    let mut attempts = attempts.with_max_attempts(call.route.max_attempts);
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut signed_failure = None;
    loop {
        if shared.crashes.is_refused(|| call.fingerprint()) {
            return Err(attempts.to_refusal(Reason::Crashing));
        }
        let waits_from_ms = shared.clock.now_ms();
        let place = find_server(shared, &call, &attempts, &tried).await;
        let waited_ms = shared.clock.now_ms() - waits_from_ms;
        let (service, server, permit) = match place {
            Ok(found) => found,
            // What a server has answered is better than a refusal after it.
            Err(refusal) => return signed_failure.ok_or(refusal),
        };
        if attempts.failed() > 0 {
            shared.counters.count(Counter::Retries);
        }
        let incarnation = server.registration.incarnation.clone();
        let exchanged = send(shared, &server, &call, permit).await;
        let failure = match exchanged {
            Exchanged::Answer(response) => {
                service.state.note_answer(&incarnation, server.slowness_milli().into());
                note_served(shared, &call, &server, &attempts, waited_ms);
                return Ok(response);
            }
            // The owner of a key is the only one to ask, and has answered.
            Exchanged::Failed(response) if service.is_keyed => return Ok(response),
            Exchanged::Failed(response) => {
                signed_failure = Some(response);
                Failure::Failed
            }
            Exchanged::Nothing(failure) => failure,
        };
        note_failure(shared, &call, &incarnation, failure);
        tried.push(incarnation);
        let next = attempts.on_failure(shared.clock.now_ms(), failure);
        let has_budget = next != Next::GiveUp && service.state.budget.spend();
        if !has_budget {
            return signed_failure.ok_or_else(|| last_refusal(&attempts, failure));
        }
        if next == Next::Reroute {
            wait_for_change(shared, &call, REROUTE_WAIT_MS).await;
        }
    }
}

/// Returns the answer after a failure that is not repeated.
fn last_refusal(attempts: &Attempts, failure: Failure) -> Refusal {
    let retry_after_ms = match failure {
        Failure::Fenced => MOVE_RETRY_MS,
        Failure::NotSent => ABSENT_RETRY_MS,
        _ => BUSY_RETRY_MS,
    };
    attempts.to_last_refusal().retry_after_ms(retry_after_ms)
}

/// Sends a request to a server.
///
/// When the caller leaves, a repeatable request is cancelled at the server; another one
/// runs to its end, because nobody could say how far it came.
async fn send(
    shared: &Arc<Shared>,
    server: &Arc<Server>,
    call: &Arc<Call>,
    permit: Permit,
) -> Exchanged {
    let deadline = shared.clock.to_instant(call.deadline_ms);
    let (shared, server) = (Arc::clone(shared), Arc::clone(server));
    let exchange = exchange(shared, server, Arc::clone(call), permit, deadline);
    if call.is_idempotent() {
        return exchange.await;
    }
    let running = tokio::spawn(exchange);
    running.await.unwrap_or(Exchanged::Nothing(Failure::Broken))
}

/// Finds a server and waits for its admission; says again where to go after each wait.
async fn find_server(
    shared: &Arc<Shared>,
    call: &Call,
    attempts: &Attempts,
    tried: &[Incarnation],
) -> Result<(Arc<ServiceView>, Arc<Server>, Permit), Refusal> {
    let move_deadline_ms = shared.clock.now_ms() + MOVE_WAIT_MS;
    loop {
        let changed = shared.changed().notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let view = shared.view();
        let service = view.services.get(&call.service).map(Arc::clone);
        let service = service.ok_or_else(|| absent(attempts))?;
        match place(shared, call, &service, tried, attempts)? {
            Place::Server(server) => {
                let permit = enter(&server, call, attempts).await?;
                if is_current(shared, call, &server) {
                    return Ok((service, server, permit));
                }
                continue;
            }
            Place::Nobody { for_ms } => {
                let refusal = attempts.to_refusal(Reason::NoOwner);
                return Err(refusal.retry_after_ms(for_ms.max(MOVE_RETRY_MS)));
            }
            Place::Moving => {}
        }
        let until_ms = move_deadline_ms.min(call.deadline_ms);
        let is_late = shared.clock.now_ms() >= until_ms;
        let until = shared.clock.to_instant(until_ms);
        if is_late || timeout_at(until, changed).await.is_err() {
            return Err(attempts.to_refusal(Reason::NoOwner).retry_after_ms(MOVE_RETRY_MS));
        }
        shared.counters.count(Counter::WaitedForOwner);
    }
}

fn place(
    shared: &Shared,
    call: &Call,
    service: &ServiceView,
    tried: &[Incarnation],
    attempts: &Attempts,
) -> Result<Place, Refusal> {
    if service.is_keyed {
        let key = call.key.ok_or(Refusal::not_run(Reason::NoKey))?;
        return Ok(service.owner(shared.clock.now_ms(), key));
    }
    let distance = match call.route.kind {
        RequestKind::Download => RemotePenalty::LARGE,
        RequestKind::Idempotent | RequestKind::NonIdempotent => RemotePenalty::SMALL,
    };
    let server = service.any(&shared.data_centre, distance, tried, rand::random());
    server.map(Place::Server).ok_or_else(|| absent(attempts))
}

fn absent(attempts: &Attempts) -> Refusal {
    attempts.to_refusal(Reason::Unreachable).retry_after_ms(ABSENT_RETRY_MS)
}

/// Returns whether a request that waited may still go to the server.
fn is_current(shared: &Shared, call: &Call, server: &Arc<Server>) -> bool {
    if !server.is_open() {
        return false;
    }
    let view = shared.view();
    let Some(service) = view.services.get(&call.service) else { return false };
    if !service.is_keyed {
        return service.servers.contains_key(&server.registration.incarnation);
    }
    let owner = call.key.map(|key| service.owner(shared.clock.now_ms(), key));
    matches!(owner, Some(Place::Server(owner)) if Arc::ptr_eq(&owner, server))
}

async fn enter(server: &Server, call: &Call, attempts: &Attempts) -> Result<Permit, Refusal> {
    match server.upstream.enter(call.arrival()).await {
        Ok((permit, _has_waited)) => Ok(permit),
        Err(Refused::Full { for_ms }) => {
            let retry_after_ms = for_ms.clamp(BUSY_RETRY_MS, MOST_BUSY_RETRY_MS);
            Err(attempts.to_refusal(Reason::Overloaded).retry_after_ms(retry_after_ms))
        }
        Err(Refused::Expired) => {
            Err(attempts.to_refusal(Reason::Expired).retry_after_ms(BUSY_RETRY_MS))
        }
    }
}

/// Waits for a newer view, but not for long.
async fn wait_for_change(shared: &Shared, call: &Call, most_ms: u64) {
    let until_ms = call.deadline_ms.min(shared.clock.now_ms() + most_ms);
    let until = shared.clock.to_instant(until_ms);
    // Whether a change came or the time ran out, the next step looks again.
    drop(timeout_at(until, shared.changed().notified()).await);
}

fn note_failure(shared: &Shared, call: &Call, incarnation: &Incarnation, failure: Failure) {
    let now_ms = shared.clock.now_ms();
    if !shared.lines.may_write(now_ms, call.id.as_bytes()) {
        return;
    }
    let view = shared.view();
    spdlog::info!(
        "attempt failed",
        kv: {
            request = call.id.to_str().unwrap_or("-"), route = call.route.name.as_str(),
            key:? = call.key, server: = incarnation, failure:? = failure,
            took_ms = now_ms - call.arrived_ms,
            left_ms = call.deadline_ms.saturating_sub(now_ms),
            version = view.version(), tables:? = view.tables_from
        }
    );
}

/// Writes a line about a request that was late, repeated or sampled.
fn note_served(shared: &Shared, call: &Call, server: &Server, attempts: &Attempts, waited_ms: u64) {
    let now_ms = shared.clock.now_ms();
    let took_ms = now_ms - call.arrived_ms;
    let is_late = took_ms > call.route.latency_target_ms;
    let is_notable = is_late || attempts.failed() > 0 || is_sampled(call.id.as_bytes());
    if !is_notable || !shared.lines.may_write(now_ms, call.id.as_bytes()) {
        return;
    }
    let (in_flight, waiting, limit) = server.upstream.occupancy();
    let view = shared.view();
    spdlog::info!(
        "request served",
        kv: {
            request = call.id.to_str().unwrap_or("-"), route = call.route.name.as_str(),
            key:? = call.key, server: = server.registration.incarnation,
            is_near = server.registration.data_centre == shared.data_centre, took_ms, waited_ms,
            aim_ms = call.route.latency_target_ms, failed_attempts = attempts.failed(), in_flight,
            waiting, limit, slowness: = server.slowness(), version = view.version(),
            tables:? = view.tables_from
        }
    );
}
