//! Sends requests through another daemon while this one does not reach their server.
//!
//! Links between daemons and servers are lost one by one or all at once, while other daemons reach
//! the servers. The other daemon handles such a request like one of its own callers', except that
//! it does not pass it on in turn and sends it to one server at most. Its answer tells whether the
//! request may have run, and names that server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::SystemTime;

use arc_swap::ArcSwapOption;
use document::{Name, Server as Description, ServerState};
use http::header::HeaderName;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use proxy::{Clock, Link, Upstream, retry_after_ms};
use rand::seq::SliceRandom;
use registry::Incarnation;
use route::{Failure, Reason, ServerState as _, move_avoided_last};
use telemetry::Counter;
use tokio::time::{Duration, Instant};

use crate::Shared;
use crate::log_sampler::is_sampled;
use crate::request::answer::AnswerBody;
use crate::request::call::Call;
use crate::request::earlier_refusals::EarlierRefusals;
use crate::request::exchange::{
    Exchange, ExchangeResult, check_answer, check_id, receive, to_failure, to_request,
};
use crate::request::in_flight::Stage;
use crate::request::sent_to::{self, Reached, Report, SentTo};
use crate::request::tries::Tries;

/// The header of a request that another daemon has passed on.
const RELAYED: HeaderName = HeaderName::from_static("verbena-relayed");
/// The value of this header if a server may have refused the request before.
const REFUSED_BEFORE: &str = "refused-before";
/// The header of a refusal of such a request, with the reason.
pub(crate) const REASON: HeaderName = HeaderName::from_static("verbena-reason");

/// The header of such a request with the token of the daemon that is to get it.
const TOKEN: HeaderName = HeaderName::from_static("verbena-relay-token");

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// Another daemon, which passes it on.
    Daemon,
    /// A daemon that knows only an earlier process at this address, or a caller that made a token up.
    Unknown,
}

/// Another daemon, to which requests can be passed on.
#[derive(Debug)]
pub struct Peer {
    name: Name,
    upstream: Arc<Upstream>,
    clock: Clock,
    /// Until when requests are rather passed on to other daemons.
    avoidance_deadline_ms: AtomicU64,
    /// Whether it sends a request to one server at most.
    ///
    /// A daemon of an earlier version sends it to as many servers as the route allows.
    sends_once: AtomicBool,
    /// What requests that are passed on to it have to name; `None` for an earlier version.
    token: ArcSwapOption<HeaderValue>,
}

/// What passing a request on to one daemon came to.
enum Relayed {
    Ended(Exchange),
    /// It was sent to no server, and another daemon may be able to run it.
    NotRun {
        /// How long the daemon asks to wait before it gets the request again.
        retry_after_ms: Option<u64>,
    },
}

/// How many requests may be under way through one daemon.
const MAX_RELAYED: u32 = 64;
/// How many daemons are tried for one request.
const MAX_TRIED: usize = 3;
/// How long a daemon that does not reach a server either is tried after the others.
const CUT_OFF_MS: u64 = 1_000;
/// How long a daemon that is stopping is tried after the others; it may be back earlier.
const STOPPING_MS: u64 = 6_000;
/// How long connecting to a daemon may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl Peer {
    /// Creates the state of a daemon that callers reach at `front`.
    #[must_use]
    pub fn new(name: &Name, front: SocketAddr, clock: Clock) -> Self {
        let description = Description {
            name: name.clone(),
            address: front,
            data_centre: name.clone(),
            slots: MAX_RELAYED,
            max_connections: MAX_RELAYED,
            key_groups: Vec::new(),
            state: ServerState::Serving,
            checks_fence: true,
        };
        Self {
            name: name.clone(),
            upstream: Arc::new(Upstream::new(description, 1, clock)),
            clock,
            avoidance_deadline_ms: AtomicU64::new(0),
            sends_once: AtomicBool::new(false),
            token: ArcSwapOption::empty(),
        }
    }

    /// Returns whether requests should rather be passed on to another daemon.
    fn is_avoided(&self) -> bool {
        let now_ms = self.clock.now_ms();
        now_ms < self.avoidance_deadline_ms.load(Ordering::Relaxed)
            || self.upstream.is_avoided(now_ms)
    }

    /// Sets whether the daemon sends a request to one server at most.
    pub fn set_sends_once(&self, sends_once: bool) {
        self.sends_once.store(sends_once, Ordering::Relaxed);
    }

    /// Sets what requests that are passed on to the daemon have to name.
    pub fn set_token(&self, token: Option<&str>) {
        let is_known =
            self.token.load().as_deref().map(HeaderValue::as_bytes) == token.map(str::as_bytes);
        if !is_known {
            // A token that a header cannot hold was not written by a daemon.
            let token = token.and_then(|token| HeaderValue::from_str(token).ok());
            self.token.store(token.map(Arc::new));
        }
    }

    /// Returns what a request may have reached through this daemon if its answer does not tell.
    fn unreported(&self) -> Reached {
        let sends_once = self.sends_once.load(Ordering::Relaxed);
        if sends_once { Reached::OneUnknown } else { Reached::Unknown }
    }

    /// Returns whether this daemon may get the request without exceeding the attempts of its route.
    fn may_get(&self, tries: &Tries) -> bool {
        !tries.attempts.has_sent() || self.sends_once.load(Ordering::Relaxed)
    }

    fn avoid_for(&self, for_ms: u64) {
        self.avoidance_deadline_ms.fetch_max(self.clock.now_ms() + for_ms, Ordering::Relaxed);
    }
}

/// Sends a request that has not been sent to its server through another daemon.
pub(crate) async fn send_elsewhere(
    shared: &Shared,
    call: &Call,
    tries: &Tries,
    deadline: Instant,
) -> Exchange {
    let view = shared.view();
    let mut peers: Vec<&Arc<Peer>> = view.peers.iter().filter(|peer| peer.may_get(tries)).collect();
    peers.shuffle(&mut rand::rng());
    // Links are often lost by a whole data centre, so daemons nearby come in no earlier.
    move_avoided_last(&mut peers, |peer| peer.is_avoided());
    let mut min_wait_ms: Option<u64> = None;
    for peer in peers.into_iter().take(MAX_TRIED) {
        shared.counters.count(Counter::Detours);
        let relayed = relay(shared, peer, call, &tries.tried, deadline).await;
        log_relayed(shared, call, peer, &relayed);
        match relayed {
            Relayed::Ended(exchange) => return exchange,
            Relayed::NotRun { retry_after_ms } => {
                min_wait_ms = min_wait_ms.into_iter().chain(retry_after_ms).min();
            }
        }
    }
    let result = match min_wait_ms {
        Some(retry_after_ms) => ExchangeResult::Refused { retry_after_ms },
        None => ExchangeResult::NoAnswer(Failure::NotSent),
    };
    Exchange { result, reached: Reached::Chosen }
}

async fn relay(
    shared: &Shared,
    peer: &Peer,
    call: &Call,
    tried: &[Incarnation],
    deadline: Instant,
) -> Relayed {
    let Ok((permit, _has_waited)) = peer.upstream.acquire(call.arrival(), &shared.stop).await
    else {
        return Relayed::NotRun { retry_after_ms: None };
    };
    call.tracked.wait_for(Stage::Daemon(peer.name.clone()));
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = shared.stop.bound(connect_deadline, 0, connect(peer, call)).await;
    let Ok(Ok(mut link)) = connected else {
        peer.upstream.on_connection_loss();
        return Relayed::NotRun { retry_after_ms: None };
    };
    let Some(request) = to_relayed_request(shared, peer, call, tried) else {
        return Relayed::NotRun { retry_after_ms: None };
    };
    let response = match shared.stop.bound(deadline, 0, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            peer.upstream.on_connection_loss();
            if error.take_message().is_some() {
                return Relayed::NotRun { retry_after_ms: None };
            }
            return failed(Failure::Broken, peer.unreported());
        }
        // Dropping the link resets the connection, so a late answer is discarded.
        Err(end) => {
            peer.upstream.on_connection_loss();
            return failed(to_failure(end), peer.unreported());
        }
    };
    let (head, body) = response.into_parts();
    let is_refusal = head.headers.contains_key(REASON);
    if is_refusal {
        call.refusals.add_unknown();
        if !is_own_refusal(shared, call, &head, link.is_fresh()) {
            return failed(Failure::Broken, peer.unreported());
        }
    } else if let Err(failure) =
        check_id(shared, call, &head).and_then(|()| check_answer(shared, &head))
    {
        return failed(failure, peer.unreported());
    }
    let report = sent_to::report(&head.headers);
    if is_refusal {
        return on_refusal(peer, &head, report);
    }
    let reached = match report {
        Report::Sent(sent_to) => Reached::Other(sent_to.server),
        Report::Unsent | Report::Missing => Reached::Unknown,
    };
    match receive(shared, &peer.upstream, head, body, (link, permit, deadline)).await {
        Ok(response) if response.status().is_server_error() => {
            ended(ExchangeResult::ServerError(response), reached)
        }
        Ok(response) => ended(ExchangeResult::Answer(response), reached),
        Err(failure) => failed(failure, reached),
    }
}

fn ended(result: ExchangeResult, reached: Reached) -> Relayed {
    Relayed::Ended(Exchange { result, reached })
}

fn failed(failure: Failure, reached: Reached) -> Relayed {
    ended(ExchangeResult::NoAnswer(failure), reached)
}

/// Returns a connection to another daemon, a new one unless the request may run twice.
///
/// Daemons of an earlier version name no request in their refusals.
async fn connect(peer: &Peer, call: &Call) -> std::io::Result<Link> {
    if call.is_idempotent() {
        peer.upstream.connect().await
    } else {
        peer.upstream.connect_new().await
    }
}

/// Returns whether a refusal of another daemon is the answer to this request.
///
/// On a connection that carried no other request it may come without an id.
fn is_own_refusal(shared: &Shared, call: &Call, head: &Parts, is_fresh: bool) -> bool {
    let has_id = head.headers.contains_key(&shared.dialect.request_id);
    if has_id { check_id(shared, call, head).is_ok() } else { is_fresh }
}

/// Handles an answer that the other daemon gave itself.
fn on_refusal(peer: &Peer, head: &Parts, report: Report) -> Relayed {
    let is_not_run =
        head.status.is_client_error() || head.status == StatusCode::SERVICE_UNAVAILABLE;
    if let Report::Sent(SentTo { server, failure }) = report {
        let failure = match failure {
            // Only the other daemon is stopping.
            Some(Failure::Stopping) | None => Failure::Broken,
            // The status is what the other daemon promises.
            Some(failure) if failure.is_certainly_not_run() != is_not_run => Failure::Broken,
            Some(failure) => failure,
        };
        return failed(failure, Reached::Other(server));
    }
    if !is_not_run {
        return failed(Failure::Broken, Reached::Unknown);
    }
    let is_cut_off = is_reason(&head.headers, Reason::Unreachable);
    let is_stopping = is_reason(&head.headers, Reason::Stopping);
    if is_cut_off {
        peer.avoid_for(CUT_OFF_MS);
    }
    if is_stopping {
        peer.avoid_for(STOPPING_MS);
    }
    let retry_after_ms = retry_after_ms(&head.headers, SystemTime::now());
    let may_have_sent = report == Report::Missing && !is_cut_off && !is_stopping;
    match retry_after_ms {
        // Servers that refused the request count as well.
        Some(retry_after_ms) if may_have_sent => {
            ended(ExchangeResult::Refused { retry_after_ms }, Reached::Unknown)
        }
        None if may_have_sent => failed(Failure::Shed, Reached::Unknown),
        _ => Relayed::NotRun { retry_after_ms },
    }
}

fn is_reason(headers: &HeaderMap, reason: Reason) -> bool {
    headers.get(REASON).is_some_and(|value| value == reason.as_str())
}

fn to_relayed_request(
    shared: &Shared,
    peer: &Peer,
    call: &Call,
    tried: &[Incarnation],
) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = to_request(shared, call)?;
    let is_first = call.refusals.is_empty();
    let value = HeaderValue::from_static(if is_first { "1" } else { REFUSED_BEFORE });
    request.headers_mut().insert(RELAYED, value);
    if let Some(token) = peer.token.load().as_deref() {
        request.headers_mut().insert(TOKEN, token.clone());
    }
    sent_to::add_tried(request.headers_mut(), tried);
    Some(request)
}

/// Returns who sent a request with these headers.
pub(crate) fn sender(shared: &Shared, headers: &HeaderMap) -> Sender {
    if !headers.contains_key(RELAYED) {
        return Sender::Caller;
    }
    match headers.get(TOKEN) {
        Some(token) if token.as_bytes() == shared.relay_token.as_bytes() => Sender::Daemon,
        Some(_) => Sender::Unknown,
        None if shared.has_earlier_daemons() => Sender::Daemon,
        None => Sender::Caller,
    }
}

/// Returns the servers that may have refused a request that another daemon passes on.
pub(crate) fn earlier_refusals(headers: &HeaderMap) -> EarlierRefusals {
    let refusals = EarlierRefusals::default();
    if headers.get(RELAYED).is_some_and(|value| value == REFUSED_BEFORE) {
        refusals.add_unknown();
    }
    refusals
}

/// Adds the reason of a refusal, and the request's id, for the daemon that passed the request on.
pub(crate) fn add_reason(
    shared: &Shared,
    call: &Call,
    response: &mut Response<AnswerBody>,
    reason: Reason,
) {
    let headers = response.headers_mut();
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    headers.insert(shared.dialect.request_id.clone(), call.id.clone());
}

/// Logs a request that was passed on, if it is sampled or was not answered.
fn log_relayed(shared: &Shared, call: &Call, peer: &Peer, relayed: &Relayed) {
    let (outcome, reached) = match relayed {
        Relayed::Ended(exchange) => (exchange.result.as_str(), Some(&exchange.reached)),
        Relayed::NotRun { .. } => ("not run", None),
    };
    let server = match reached {
        Some(Reached::Other(server)) => server.to_string(),
        Some(Reached::OneUnknown | Reached::Unknown) => "unknown".to_owned(),
        Some(Reached::Chosen) | None => "-".to_owned(),
    };
    let is_answered = outcome == ExchangeResult::ANSWERED;
    let is_worth_logging = !is_answered || is_sampled(call.id.as_bytes());
    let now_ms = shared.clock.now_ms();
    if !is_worth_logging || !shared.log_sampler.may_write(now_ms, call.id.as_bytes()) {
        return;
    }
    spdlog::info!(
        "request passed on",
        kv: {
            request = call.id.to_str().unwrap_or("-"), route = call.route.name.as_str(),
            key:? = call.key, daemon = peer.name.as_str(), server = server.as_str(), outcome
        }
    );
}
