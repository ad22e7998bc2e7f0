//! A caller's request, with its whole body.

use std::sync::Arc;

use bytes::Bytes;
use document::Name;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use proxy::{BodyError, CallerBody, WaitEnd, read_body};
use registry::Incarnation;
use route::{Arrival, Caller, Fingerprint, Reason, Refusal};
use site::{Route, Site};
use telemetry::Counter;

use crate::Shared;
use crate::request::detour::{Sender, earlier_refusals, sender};
use crate::request::earlier_refusals::EarlierRefusals;
use crate::request::in_flight::Tracked;
use crate::request::refusal::stop_retry_after_ms;
use crate::request::report::RouteState;
use crate::request::sent_to::tried;

/// A caller's request, with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) id: HeaderValue,
    pub(crate) host: HeaderValue,
    pub(crate) key: Option<u16>,
    pub(crate) route: Arc<Route>,
    pub(crate) route_state: Arc<RouteState>,
    pub(crate) service: Name,
    /// Whether another daemon passed the request on.
    pub(crate) is_relayed: bool,
    /// Whether it names another token than this process's, so that it may be meant for an earlier process.
    pub(crate) is_misdirected: bool,
    /// The servers that the daemon that passed the request on has tried.
    pub(crate) tried: Vec<Incarnation>,
    /// The servers that refused earlier attempts.
    pub(crate) refusals: EarlierRefusals,
    /// Who sent the request; `None` if another daemon passed it on.
    pub(crate) caller: Option<Caller>,
    /// What the request waits for.
    pub(crate) tracked: Arc<Tracked>,
    pub(crate) arrived_at_ms: u64,
    /// When the final answer is due.
    pub(crate) deadline_ms: u64,
    /// Until when the caller waits, including its own retries.
    pub(crate) caller_deadline_ms: u64,
}

/// How many requests of one priority may wait for a server.
///
/// A longer queue is of no use: on a server with one slot, a request behind this many others
/// starts after any deadline that callers set.
const MAX_WAITING: u32 = 64;
/// The Retry-After of a request whose body has no room.
///
/// Another daemon may have room at once, but not for all these requests in the same moment.
const NO_ROOM_RETRY_AFTER_MS: u64 = 300;

impl Call {
    pub(crate) fn arrival(&self) -> Arrival {
        let (deadline_ms, priority) = (self.deadline_ms, self.route.priority.0);
        let target_deadline_ms = self.arrived_at_ms + self.route.latency_target_ms;
        let typical_latency_ms = self.route_state.mean_us() / 1_000;
        Arrival {
            deadline_ms,
            target_deadline_ms,
            priority,
            max_waiting: MAX_WAITING,
            typical_latency_ms,
            is_over_share: false,
        }
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let path = self.head.uri.path_and_query().map_or("", |path| path.as_str());
        let key_and_path = format!("{} {path}", self.key.map_or(-1, i32::from));
        Fingerprint::new(self.head.method.as_str(), &key_and_path, &self.body)
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }
}

/// Reads a request with its body and finds its route.
pub(crate) async fn read(
    shared: &Shared,
    site: &Site,
    request: Request<CallerBody>,
    tracked: Tracked,
    arrived_at_ms: u64,
) -> Result<Call, Refusal> {
    let (mut head, body) = request.into_parts();
    if !proxy::has_unambiguous_framing(head.version, &head.headers) {
        return Err(Refusal::not_run(Reason::BadFraming));
    }
    let (host, name) = split_host(&head).ok_or(Refusal::not_run(Reason::NoIdentity))?;
    let route = site.find_route(&name, head.uri.path()).ok_or(Refusal::not_run(Reason::NoRoute))?;
    let route = Arc::clone(route);
    let dialect = &shared.dialect;
    let id = head.headers.get(&dialect.request_id).cloned();
    let id = id.ok_or(Refusal::not_run(Reason::NoIdentity))?;
    let key = parse_header(&head.headers, &dialect.key);
    let time_left_ms =
        parse_header(&head.headers, &dialect.time_left_ms).unwrap_or(route.timeout_ms);
    let deadline_ms = arrived_at_ms + time_left_ms.min(route.timeout_ms);
    let picked = route.pick_service(rand::random()).cloned();
    let service = picked.ok_or(Refusal::not_run(Reason::NoRoute))?;
    let caller_deadline_ms = arrived_at_ms.saturating_add(time_left_ms);
    let sender = sender(shared, &head.headers);
    let is_relayed = sender != Sender::Caller;
    let (refusals, tried) = if is_relayed {
        (earlier_refusals(&head.headers), tried(&head.headers))
    } else {
        Default::default()
    };
    let caller = head.extensions.get().copied().filter(|_| !is_relayed);
    proxy::strip_request_headers(&mut head.headers);
    let deadline = shared.clock.to_instant(deadline_ms);
    let body = read_body(body, site.limits().max_body_bytes, &shared.buffers, deadline);
    // A request that arrives later could be cut off at a server that is at work on it.
    let body = match shared.stop.bound_arrival(deadline, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoRoom)) => {
            shared.counters.count(Counter::BodiesWithoutRoom);
            let refusal = Refusal::not_run(Reason::Overloaded);
            return Err(refusal.with_retry_after(NO_ROOM_RETRY_AFTER_MS));
        }
        Ok(Err(error)) => return Err(Refusal::not_run(to_reason(error))),
        Err(WaitEnd::Elapsed) => return Err(Refusal::not_run(Reason::Expired)),
        Err(WaitEnd::Stopping) => {
            let refusal = Refusal::not_run(Reason::Stopping);
            return Err(refusal.with_retry_after(stop_retry_after_ms()));
        }
    };
    tracked.on_read(&route, key);
    let route_state = shared.route_state(&route);
    Ok(Call {
        head,
        body,
        id,
        host,
        key,
        route,
        route_state,
        service,
        is_relayed,
        is_misdirected: sender == Sender::Unknown,
        tried,
        refusals,
        caller,
        tracked: Arc::new(tracked),
        arrived_at_ms,
        deadline_ms,
        caller_deadline_ms,
    })
}

fn to_reason(error: BodyError) -> Reason {
    match error {
        BodyError::TooLarge => Reason::BodyTooLarge,
        BodyError::Aborted => Reason::BodyIncomplete,
        BodyError::TimedOut => Reason::Expired,
        BodyError::NoRoom => Reason::Overloaded,
    }
}

/// Returns the host header and the host name in it, without a port.
fn split_host(head: &Parts) -> Option<(HeaderValue, String)> {
    let mut values = head.headers.get_all(HOST).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let text = value.to_str().ok()?;
    let name = text.rsplit_once(':').map_or(text, |(name, _port)| name);
    (!name.is_empty()).then(|| (value.clone(), name.to_owned()))
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
