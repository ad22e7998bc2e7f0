//! Handles a request from its arrival to its answer.

use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use proxy::{CallerBody, Permit, WaitEnd};
use registry::Incarnation;
use route::{Attempts, Failure, Next, Reason, Refusal, RemotePenalty};
use shard::Owner;
use site::RequestKind;
use telemetry::{Counter, Labels};

use crate::Shared;
use crate::request::admission::{
    ABSENT_RETRY_AFTER_MS, MOVE_RETRY_AFTER_MS, admit, expected_work_ms, has_time, last_refusal,
    mean_latency_ms, paused_refusal, stop_refusal, unreachable_refusal, wait_refusal,
};
use crate::request::answer::AnswerBody;
use crate::request::attempt_log::{log_failure, log_served};
use crate::request::call::{self, Call};
use crate::request::detour;
use crate::request::exchange::{Exchange, ExchangeResult, exchange, is_out_of_reach};
use crate::request::in_flight::{Stage, Tracked};
use crate::request::refusal;
use crate::request::sent_to::{Reached, SentTo, add_sent_to};
use crate::request::server::Server;
use crate::request::tries::Tries;
use crate::request::turns::wait_for_turn;
use crate::request::view::{Destination, ServiceView};

/// The least time for which a request waits for a key that is moving to another server.
///
/// If the handover takes longer, the request is refused, and the caller decides whether to retry.
const MIN_MOVE_TIMEOUT_MS: u64 = 300;
/// The multiple of a route's mean latency for which its requests wait for a moving key.
///
/// A handover takes as long as the work that has to end first.
const MOVE_TIMEOUT_LATENCIES: u64 = 2;
/// How long a request waits for a newer table after a server answered that it does not own the
/// key.
const REROUTE_TIMEOUT_MS: u64 = 60;

/// How a request ended.
struct Handled {
    /// The request, if it could be read.
    call: Option<Arc<Call>>,
    /// The last server that it was sent to.
    last_sent: Option<SentTo>,
    result: Result<Response<AnswerBody>, Refusal>,
}

/// Answers one request of a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<CallerBody>,
) -> Response<AnswerBody> {
    let arrived_at_ms = shared.clock.now_ms();
    shared.counters.count(Counter::Requests);
    let id = request.headers().get(&shared.dialect.request_id).cloned();
    let tracked = shared.in_flight.begin(id.clone());
    let Handled { call, last_sent, result } =
        forward(&shared, request, tracked, arrived_at_ms).await;
    record_latency(&shared, call.as_deref(), arrived_at_ms, &result);
    let relayed = call.clone().filter(|call| call.is_relayed);
    let mut response = match result {
        Ok(response) => {
            shared.counters.count(Counter::Answered);
            response
        }
        Err(refusal) => {
            on_refusal(&shared, id.as_ref(), call.as_deref(), arrived_at_ms, &refusal);
            let mut response = refusal::to_response(&refusal);
            if let Some(call) = &relayed {
                detour::add_reason(&shared, call, &mut response, refusal.reason);
            }
            response
        }
    };
    if relayed.is_some() {
        add_sent_to(response.headers_mut(), last_sent.as_ref());
    }
    if shared.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Records the latency of a request with its outcome.
fn record_latency(
    shared: &Shared,
    call: Option<&Call>,
    arrived_at_ms: u64,
    result: &Result<Response<AnswerBody>, Refusal>,
) {
    let took_ms = shared.clock.now_ms() - arrived_at_ms;
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

/// Counts a refusal and logs it if the log rate allows.
fn on_refusal(
    shared: &Shared,
    id: Option<&HeaderValue>,
    call: Option<&Call>,
    arrived_at_ms: u64,
    refusal: &Refusal,
) {
    shared.counters.count(match refusal.outcome {
        route::Outcome::NotRun => Counter::RefusedNotRun,
        route::Outcome::Unknown => Counter::RefusedUnknown,
    });
    let now_ms = shared.clock.now_ms();
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    // A request that the stop ends is named unless there are very many.
    let is_named = refusal.reason == Reason::Stopping && shared.in_flight.may_name_stopped();
    if !is_named && !shared.log_sampler.may_write(now_ms, id.as_bytes()) {
        return;
    }
    let view = shared.view();
    let (waits_for, at, waited_ms) = call.map(|call| call.tracked.describe()).unwrap_or_default();
    spdlog::info!(
        "request not served",
        kv: {
            request = id, route = call.map_or("-", |call| call.route.name.as_str()),
            key:? = call.and_then(|call| call.key),
            reason = refusal.reason.as_str(), outcome = refusal.outcome.as_str(),
            held_ms = now_ms - arrived_at_ms, waits_for, at = at.as_str(), waited_ms,
            retry_after_ms:? = refusal.retry_after_ms,
            version = view.version(), tables:? = view.tables_version
        }
    );
}

/// Reads and runs a request.
async fn forward(
    shared: &Arc<Shared>,
    request: Request<CallerBody>,
    tracked: Tracked,
    arrived_at_ms: u64,
) -> Handled {
    let call = match read(shared, request, tracked, arrived_at_ms).await {
        Ok(call) => Arc::new(call),
        Err(refusal) => return Handled { call: None, last_sent: None, result: Err(refusal) },
    };
    if call.is_misdirected {
        // The daemon that passed it on, if it was one, sends it through another one now.
        let refusal = Refusal::not_run(Reason::Unreachable).with_retry_after(ABSENT_RETRY_AFTER_MS);
        return Handled { call: Some(call), last_sent: None, result: Err(refusal) };
    }
    let mut tries = Tries::new(new_attempts(&call), call.tried.clone());
    let result = run(shared, &call, &mut tries).await;
    Handled { call: Some(call), last_sent: tries.last_sent, result }
}

fn new_attempts(call: &Call) -> Attempts {
    let attempts = Attempts::new(call.is_idempotent(), call.deadline_ms)
        .with_max_attempts(call.route.max_attempts);
    if call.is_relayed { attempts.with_max_sent(1) } else { attempts }
}

/// Reads a request, finds its route and counts its expected load.
async fn read(
    shared: &Shared,
    request: Request<CallerBody>,
    tracked: Tracked,
    arrived_at_ms: u64,
) -> Result<Call, Refusal> {
    let view = shared.view();
    let site = view
        .site
        .as_ref()
        .ok_or_else(|| Refusal::not_run(Reason::NoSite).with_retry_after(ABSENT_RETRY_AFTER_MS))?;
    let call = call::read(shared, site, request, tracked, arrived_at_ms).await?;
    if let Some(service) = view.services.get(&call.service) {
        // The daemon that passed a request on has counted it.
        if !call.is_relayed {
            service.state.budget.earn();
            if let Some(key) = call.key.filter(|_| service.is_keyed) {
                service.state.on_request(key, call.route_state.mean_us());
            }
        }
    }
    Ok(call)
}

/// Sends a request to servers until it is answered or may not be retried.
async fn run(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    tries: &mut Tries,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut server_error = None;
    loop {
        if shared.crashes.is_refused(|| call.fingerprint()) {
            return Err(tries.attempts.to_refusal(Reason::Crashing));
        }
        if !has_time(shared, call) {
            return server_error.ok_or_else(|| stop_refusal(&tries.attempts));
        }
        let wait_started_at_ms = shared.clock.now_ms();
        call.tracked.wait_for(Stage::Owner);
        let found = find_server(shared, call, tries).await;
        let waited_ms = shared.clock.now_ms() - wait_started_at_ms;
        let (service, server, permit) = match found {
            Ok(found) => found,
            // A server's answer tells the caller more than a refusal.
            Err(refusal) => return server_error.ok_or(refusal),
        };
        if !has_time(shared, call) {
            return server_error.ok_or_else(|| stop_refusal(&tries.attempts));
        }
        if tries.attempts.failed_attempts() > 0 {
            shared.counters.count(Counter::Retries);
        }
        let chosen = &server.registration.incarnation;
        call.tracked.wait_for(Stage::Server(chosen.clone()));
        let Exchange { result, reached } = send(shared, &server, call, permit, tries).await;
        let server = match &reached {
            Reached::Other(other) => service.servers.get(other).unwrap_or(&server),
            Reached::Chosen | Reached::OneUnknown | Reached::Unknown => &server,
        };
        let incarnation = reached.server(chosen);
        let failure = match result {
            ExchangeResult::Answer(mut response) => {
                let slowness_milli = u64::from(server.slowness_milli());
                service.state.on_answer(incarnation, slowness_milli, server.rate_limit());
                log_served(shared, call, server, &reached, &tries.attempts, waited_ms);
                tries.last_sent = Some(SentTo { server: incarnation.clone(), failure: None });
                call.tracked.wait_for(Stage::Caller);
                response.body_mut().track(&call.tracked);
                return Ok(response);
            }
            // No other server may run requests for the key, so there is nothing to retry.
            ExchangeResult::ServerError(response) if service.is_keyed => {
                tries.on_failure(incarnation, Failure::Failed);
                return Ok(response);
            }
            ExchangeResult::ServerError(response) => {
                server_error = Some(response);
                Failure::Failed
            }
            ExchangeResult::Refused { retry_after_ms } => {
                let refusal = tries.attempts.to_refusal(Reason::Overloaded);
                return Err(refusal.with_retry_after(retry_after_ms));
            }
            ExchangeResult::NoAnswer(failure) => failure,
        };
        log_failure(shared, call, &reached, chosen, failure);
        if reached == Reached::Unknown {
            tries.attempts.use_up();
        }
        tries.on_failure(incarnation, failure);
        let next = tries.attempts.on_failure(shared.clock.now_ms(), failure);
        let has_budget = next != Next::GiveUp && service.state.budget.spend();
        if !has_budget {
            return server_error.ok_or_else(|| last_refusal(&tries.attempts, failure));
        }
        if next == Next::Reroute {
            wait_for_change(shared, call, REROUTE_TIMEOUT_MS).await;
        }
    }
}

/// Sends a request to a server.
///
/// When the caller disconnects, an idempotent request is cancelled at the server. Any other
/// request runs to its end, because cancelling it would leave unknown how much of it ran.
async fn send(
    shared: &Arc<Shared>,
    server: &Arc<Server>,
    call: &Arc<Call>,
    permit: Option<Permit>,
    tries: &Tries,
) -> Exchange {
    let deadline = shared.clock.to_instant(call.deadline_ms);
    let (shared, server) = (Arc::clone(shared), Arc::clone(server));
    let exchange = exchange(shared, server, Arc::clone(call), permit, tries.clone(), deadline);
    if call.is_idempotent() {
        return exchange.await;
    }
    let task = tokio::spawn(exchange);
    task.await.unwrap_or_else(|_panicked| ExchangeResult::NoAnswer(Failure::Broken).into())
}

/// Finds a server and waits for admission to it; checks after each wait that the server is
/// still the right one.
///
/// There is no permit for a server that is out of reach, and for which no other one can answer.
async fn find_server(
    shared: &Arc<Shared>,
    call: &Call,
    tries: &Tries,
) -> Result<(Arc<ServiceView>, Arc<Server>, Option<Permit>), Refusal> {
    let Tries { attempts, tried, .. } = tries;
    let move_deadline_ms = shared.clock.now_ms() + move_timeout_ms(call);
    loop {
        let changed = shared.view_changed().notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let view = shared.view();
        let service = view.services.get(&call.service).map(Arc::clone);
        let service = service.ok_or_else(|| unreachable_refusal(attempts))?;
        match find_destination(shared, call, &service, tried, attempts)? {
            Destination::Server(server) => {
                if is_out_of_reach(shared, &server) {
                    return Ok((service, server, None));
                }
                let incarnation = &server.registration.incarnation;
                call.tracked.wait_for(Stage::Room(incarnation.clone()));
                let permit = admit(shared, &service, &server, call, attempts).await?;
                call.tracked.wait_for(Stage::Turn(incarnation.clone()));
                let max_wait_ms = max_turn_wait_ms(shared, call, &service);
                let turn = wait_for_turn(shared, &server, max_wait_ms);
                let deadline = shared.clock.to_instant(call.deadline_ms);
                match shared.stop.bound(deadline, expected_work_ms(call), turn).await {
                    Ok(Ok(())) => {}
                    Ok(Err(remaining_ms)) if service.is_keyed => {
                        return Err(paused_refusal(attempts, remaining_ms));
                    }
                    // Another server of the pool is picked now.
                    Ok(Err(_)) => continue,
                    Err(end) => return Err(wait_refusal(attempts, end, Reason::Expired)),
                }
                if is_current(shared, call, &server) {
                    return Ok((service, server, Some(permit)));
                }
                continue;
            }
            Destination::NoOwner { remaining_ms } => {
                let refusal = attempts.to_refusal(Reason::NoOwner);
                return Err(refusal.with_retry_after(remaining_ms.max(MOVE_RETRY_AFTER_MS)));
            }
            Destination::Moving => call.tracked.wait_for(Stage::Owner),
        }
        let wait_deadline_ms = move_deadline_ms.min(call.deadline_ms);
        let has_timed_out = shared.clock.now_ms() >= wait_deadline_ms;
        let wait_deadline = shared.clock.to_instant(wait_deadline_ms);
        let waited = if has_timed_out {
            Err(WaitEnd::Elapsed)
        } else {
            shared.stop.bound(wait_deadline, expected_work_ms(call), changed).await
        };
        if let Err(end) = waited {
            let retry_after_ms = MOVE_RETRY_AFTER_MS.max(mean_latency_ms(call));
            let refusal = wait_refusal(attempts, end, Reason::NoOwner);
            return Err(match end {
                WaitEnd::Elapsed => refusal.with_retry_after(retry_after_ms),
                WaitEnd::Stopping => refusal,
            });
        }
        shared.counters.count(Counter::WaitedForOwner);
    }
}

/// Returns how long a request waits for a moving key: no longer than half of the time in which
/// its answer is due.
fn move_timeout_ms(call: &Call) -> u64 {
    let timeout_ms = mean_latency_ms(call) * MOVE_TIMEOUT_LATENCIES;
    timeout_ms.min(call.route.latency_target_ms / 2).max(MIN_MOVE_TIMEOUT_MS)
}

fn find_destination(
    shared: &Shared,
    call: &Call,
    service: &ServiceView,
    tried: &[Incarnation],
    attempts: &Attempts,
) -> Result<Destination, Refusal> {
    if service.is_keyed {
        let key = call.key.ok_or(Refusal::not_run(Reason::NoKey))?;
        if has_only_evacuated(service, key) {
            return Err(unreachable_refusal(attempts));
        }
        return Ok(service.destination(shared.clock.now_ms(), key));
    }
    let remote_penalty = match call.route.kind {
        RequestKind::Download => RemotePenalty::LARGE,
        RequestKind::Idempotent | RequestKind::NonIdempotent => RemotePenalty::SMALL,
    };
    let is_avoided = |server: &Server| {
        tried.contains(&server.registration.incarnation)
            || !server.is_open()
            || is_out_of_reach(shared, server)
    };
    let may_probe = call.is_idempotent() && tried.is_empty();
    let (near, random) = (&shared.data_centre, rand::random());
    let server = service.pick_server(near, remote_penalty, is_avoided, may_probe, random);
    // The view may be older than the close of its servers.
    let server = server.filter(|server| server.is_open());
    server.map(Destination::Server).ok_or_else(|| match service.pause_remaining_ms() {
        0 => unreachable_refusal(attempts),
        remaining_ms => paused_refusal(attempts, remaining_ms),
    })
}

/// Returns whether a key's owner gets no more requests because its data centre is evacuated, and
/// no server elsewhere can take the key.
fn has_only_evacuated(service: &ServiceView, key: u16) -> bool {
    let owner = service.table.find(key).and_then(|span| match &span.owner {
        Owner::Server(owner) => service.servers.get(owner),
        Owner::Moving(_) | Owner::Nobody { .. } => None,
    });
    owner.is_some_and(|owner| owner.is_evacuated() && !owner.is_open()) && service.pool.is_empty()
}

/// Returns whether a request that waited for admission may still go to the server.
fn is_current(shared: &Shared, call: &Call, server: &Arc<Server>) -> bool {
    if !server.is_open() {
        return false;
    }
    let view = shared.view();
    let Some(service) = view.services.get(&call.service) else { return false };
    if !service.is_keyed {
        return service.servers.contains_key(&server.registration.incarnation);
    }
    let owner = call.key.map(|key| service.destination(shared.clock.now_ms(), key));
    matches!(owner, Some(Destination::Server(owner)) if Arc::ptr_eq(&owner, server))
}

/// Returns how long a request may wait for its turn at a server that limits its rate.
///
/// A keyed request waits as long as its answer can still meet the latency target. Other requests do
/// not wait, because another server can run them.
fn max_turn_wait_ms(shared: &Shared, call: &Call, service: &ServiceView) -> u64 {
    if !service.is_keyed {
        return 0;
    }
    let target_deadline_ms = call.arrived_at_ms + call.route.latency_target_ms;
    let due_at_ms = target_deadline_ms.min(call.deadline_ms);
    due_at_ms.saturating_sub(shared.clock.now_ms() + mean_latency_ms(call))
}

/// Waits up to `timeout_ms` for a new view.
async fn wait_for_change(shared: &Shared, call: &Call, timeout_ms: u64) {
    let wait_deadline_ms = call.deadline_ms.min(shared.clock.now_ms() + timeout_ms);
    let wait_deadline = shared.clock.to_instant(wait_deadline_ms);
    let changed = shared.view_changed().notified();
    // The next attempt uses the current view in either case.
    let _is_changed = shared.stop.bound(wait_deadline, expected_work_ms(call), changed).await;
}
