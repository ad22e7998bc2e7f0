//! A stand-in for a server of a keyed service (a ledger) or a pooled one (an archive).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use bytes::Bytes;
use document::Name;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lease::{Admission, Epoch, GrantTable, Order, ShardEpoch, ShardId};
use proxy::Clock;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::rule_checker::RuleChecker;

type Answer = Response<Full<Bytes>>;

/// A stand-in server.
#[derive(Debug)]
pub struct StandIn {
    /// The configuration, which does not change.
    pub config: StandInConfig,
    clock: Clock,
    rule_checker: Arc<RuleChecker>,
    slots: Semaphore,
    /// How many requests wait for a slot.
    waiting: AtomicUsize,
    /// The token of the first call of [`Self::serve`].
    stop: OnceLock<CancellationToken>,
    state: Mutex<State>,
}

/// The configuration of a stand-in server.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// The name of the server in the document.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Whether it owns keys.
    pub is_keyed: bool,
    /// Whether it refuses stale fence epochs.
    pub checks_fence: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How long a request runs.
    pub run_ms: u64,
    /// How much longer the first request of an unprepared shard runs.
    pub cold_ms: u64,
    /// How long the server takes to prepare a shard.
    pub prepare_ms: u64,
    /// The length of the answer to a sheet request.
    pub sheet_bytes: usize,
}

/// Faults to inject into a stand-in server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StandInFaults {
    /// How long the server processes nothing.
    pub freeze_ms: u64,
    /// Whether the server loses its state, as in a crash.
    pub crash: bool,
    /// Whether connections that are open now get no more answers.
    pub silence: bool,
}

#[derive(Debug)]
struct State {
    grants: GrantTable,
    /// When the preparation of each shard is or was complete.
    prepared_at: BTreeMap<ShardId, Instant>,
    /// Shards that were prepared or have run a request, so that requests run without `cold_ms`.
    warm_shards: BTreeSet<ShardId>,
    freeze_deadline: Instant,
    /// Connections accepted before this time get no answers.
    silent_before: Option<Instant>,
    /// How many requests were started.
    runs: u64,
    /// How many requests were refused because too many waited.
    shed: u64,
}

/// How many requests per slot may wait; further ones are refused.
const MAX_WAITING_PER_SLOT: usize = 8;
/// The header of a request that crashes the server.
pub const CRASH_HEADER: &str = "x-crash";
/// The header that identifies an attempt to run a request; answers repeat it.
const ATTEMPT: &str = "verbena-attempt";
/// The header that identifies a request of the load; answers repeat it.
pub const REQUEST_ID: &str = "request-id";

impl StandIn {
    /// Creates a server that holds no shards.
    #[must_use]
    pub fn new(config: StandInConfig, rule_checker: Arc<RuleChecker>) -> Arc<Self> {
        let slots = usize::try_from(config.slots).unwrap_or(1);
        Arc::new(Self {
            clock: Clock::start(),
            rule_checker,
            slots: Semaphore::new(slots),
            waiting: AtomicUsize::new(0),
            stop: OnceLock::new(),
            state: Mutex::new(State {
                grants: GrantTable::new(rand::random()),
                prepared_at: BTreeMap::new(),
                warm_shards: BTreeSet::new(),
                freeze_deadline: Instant::now(),
                silent_before: None,
                runs: 0,
                shed: 0,
            }),
            config,
        })
    }

    /// Serves requests and orders until the token is cancelled.
    ///
    /// A second call ignores its own token and ends when the first one's is cancelled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        // The first token also stops the server on a crash.
        let stop = self.stop.get_or_init(|| stop).clone();
        let connections = usize::try_from(self.config.connections).unwrap_or(usize::MAX);
        let handler = move |request| {
            let server = Arc::clone(&self);
            async move { server.answer(request).await }
        };
        web::serve_limited(listener, stop, connections, handler).await;
    }

    /// Returns the shards that the server serves now, with their epochs; none while frozen.
    #[must_use]
    pub fn live_shards(&self) -> Vec<ShardEpoch> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        if Instant::now() < state.freeze_deadline {
            return Vec::new();
        }
        state.grants.live_shards(now_ms)
    }

    /// Returns how many requests the server has started.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.lock().runs
    }

    /// Freezes the server: it processes nothing for `duration_ms`.
    pub fn freeze(&self, duration_ms: u64) {
        self.lock().freeze_deadline = Instant::now() + Duration::from_millis(duration_ms);
    }

    /// Stops answering on connections that are open now; new connections work.
    pub fn silence(&self) {
        self.lock().silent_before = Some(Instant::now());
    }

    /// Clears grants and prepared shards, as a crash would.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.grants = GrantTable::new(rand::random());
        state.prepared_at.clear();
        state.warm_shards.clear();
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == "/health" {
            // A frozen server still reports that it is healthy, as real health endpoints do.
            return web::status(StatusCode::OK, "healthy\n");
        }
        if self.is_silent(&request) {
            std::future::pending::<()>().await;
        }
        self.wait_while_frozen().await;
        let path = request.uri().path().to_owned();
        let attempt = request.headers().get(ATTEMPT).cloned();
        let mut answer = match path.as_str() {
            "/verbena/orders" => self.on_order(&web::read_body(request).await),
            "/lab/faults" => self.on_faults(&web::read_body(request).await),
            "/lab/runs" => {
                let state = self.lock();
                web::json(format!("{{\"runs\":{},\"shed\":{}}}", state.runs, state.shed))
            }
            _ => self.run(request, &path).await,
        };
        self.wait_while_frozen().await;
        if let Some(attempt) = attempt {
            answer.headers_mut().insert(ATTEMPT, attempt);
        }
        answer
    }

    fn is_silent(&self, request: &Request<Incoming>) -> bool {
        let silent_before = self.lock().silent_before;
        let accepted = request.extensions().get::<web::AcceptedAt>();
        accepted.zip(silent_before).is_some_and(|(accepted, before)| accepted.0 < before)
    }

    /// Waits until the server is no longer frozen.
    async fn wait_while_frozen(&self) {
        loop {
            let deadline = self.lock().freeze_deadline;
            if Instant::now() >= deadline {
                return;
            }
            sleep_until(deadline).await;
        }
    }

    fn on_order(&self, body: &Bytes) -> Answer {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return web::status(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if order.service != self.config.service {
            return web::status(StatusCode::BAD_REQUEST, "another service's order\n");
        }
        let mut state = self.lock();
        let mut report = state.grants.on_order(self.clock.now_ms(), &order);
        let now = Instant::now();
        let ready_at = now + Duration::from_millis(self.config.prepare_ms);
        state.prepared_at.retain(|shard, _| order.prepares.contains(shard));
        for shard in &order.prepares {
            state.prepared_at.entry(*shard).or_insert(ready_at);
        }
        let prepared_at = state.prepared_at.clone();
        report
            .prepared
            .retain(|shard| prepared_at.get(shard).is_some_and(|ready_at| *ready_at <= now));
        for shard in &report.prepared {
            state.warm_shards.insert(*shard);
        }
        web::json(serde_json::to_vec(&report).unwrap_or_default())
    }

    fn on_faults(&self, body: &Bytes) -> Answer {
        match serde_json::from_slice::<StandInFaults>(body) {
            Ok(faults) => {
                self.freeze(faults.freeze_ms);
                if faults.silence {
                    self.silence();
                }
                if faults.crash {
                    self.crash();
                }
                web::json("{}")
            }
            Err(error) => web::status(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn run(&self, request: Request<Incoming>, path: &str) -> Answer {
        let fence = match self.fence_of(&request) {
            Ok(fence) => fence,
            Err(answer) => return *answer,
        };
        let max_waiting = MAX_WAITING_PER_SLOT * usize::try_from(self.config.slots).unwrap_or(1);
        let Some(_permit) = self.wait_for_slot(max_waiting).await else {
            self.lock().shed += 1;
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "shed");
        };
        // The grant may expire while the request waits, so the fence is checked after the wait.
        let Some(is_cold) = self.begin_request(fence) else {
            return refuse(StatusCode::MISDIRECTED_REQUEST, "stale-epoch");
        };
        let running = RunningRequest { server: self, fence };
        let id = header(&request, REQUEST_ID).and_then(|id| id.parse().ok());
        let is_idempotent = request.method() == http::Method::GET;
        if let Some(id) = id {
            self.rule_checker.on_run(&self.config.name, id, is_idempotent);
        }
        if header(&request, CRASH_HEADER).is_some() {
            self.crash();
            if let Some(stop) = self.stop.get() {
                stop.cancel();
            }
            // A crashed process sends no answer.
            std::future::pending::<()>().await;
        }
        let body = web::read_body(request).await;
        let cold_ms = if is_cold { self.config.cold_ms } else { 0 };
        sleep(Duration::from_millis(self.config.run_ms + cold_ms)).await;
        self.wait_while_frozen().await;
        if !running.commit() {
            // The grant expired before the commit, so the request ran without effect.
            return web::status(StatusCode::INTERNAL_SERVER_ERROR, "lost the shard\n");
        }
        self.to_answer(path, id, &body)
    }

    async fn wait_for_slot(&self, max_waiting: usize) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let already_waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = WaitingRequest(&self.waiting);
        if already_waiting >= max_waiting {
            return None;
        }
        self.slots.acquire().await.ok()
    }

    fn fence_of(&self, request: &Request<Incoming>) -> Result<Option<ShardEpoch>, Box<Answer>> {
        if !self.config.is_keyed {
            return Ok(None);
        }
        let number = |name| header(request, name).and_then(|text| text.parse().ok());
        let shard = number("verbena-shard").and_then(|shard: u64| u32::try_from(shard).ok());
        match (shard, number("verbena-epoch")) {
            (Some(shard), Some(epoch)) => {
                Ok(Some(ShardEpoch { shard: ShardId(shard), epoch: Epoch(epoch) }))
            }
            _ => Err(Box::new(web::status(StatusCode::BAD_REQUEST, "no fence epoch\n"))),
        }
    }

    /// Starts a request and returns whether its shard is cold; `None` refuses the request.
    fn begin_request(&self, fence: Option<ShardEpoch>) -> Option<bool> {
        let mut state = self.lock();
        state.runs += 1;
        let Some(target) = fence else { return Some(false) };
        let admission = state.grants.begin(self.clock.now_ms(), target);
        if self.config.checks_fence && admission != Admission::Run {
            state.runs -= 1;
            return None;
        }
        Some(state.warm_shards.insert(target.shard))
    }

    /// Ends a request and returns whether its result may be committed.
    fn end_request(&self, fence: Option<ShardEpoch>) -> bool {
        let Some(target) = fence else { return true };
        let is_owner = self.lock().grants.end(self.clock.now_ms(), target);
        is_owner || !self.config.checks_fence
    }

    fn to_answer(&self, path: &str, id: Option<u64>, body: &Bytes) -> Answer {
        let is_sheet = path.contains("/sheets/");
        let text = if is_sheet {
            Bytes::from(vec![b'#'; self.config.sheet_bytes])
        } else {
            Bytes::from(format!("{path} {} bytes at {}\n", body.len(), self.config.name))
        };
        let mut answer = web::status(StatusCode::OK, text);
        if let Some(id) = id {
            answer.headers_mut().insert(REQUEST_ID, id.into());
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running request, which ends without effect when dropped before its commit.
struct RunningRequest<'a> {
    server: &'a StandIn,
    fence: Option<ShardEpoch>,
}

impl RunningRequest<'_> {
    /// Ends the request and returns whether its result was committed.
    fn commit(self) -> bool {
        let server = self.server;
        let shard_epoch = self.fence.map(|target| (target.shard, target.epoch));
        let is_committed = server.end_request(self.fence);
        // The request has ended already; dropping it would end it twice.
        std::mem::forget(self);
        if is_committed {
            server.rule_checker.on_commit(&server.config.service, &server.config.name, shard_epoch);
        }
        is_committed
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.server.end_request(self.fence);
    }
}

/// A request that waits for a slot and is counted until dropped.
struct WaitingRequest<'a>(&'a AtomicUsize);

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn refuse(status: StatusCode, reason: &'static str) -> Answer {
    let mut answer = web::status(status, format!("{reason}\n"));
    answer.headers_mut().insert("verbena-refused", http::HeaderValue::from_static(reason));
    answer
}
