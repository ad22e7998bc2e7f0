//! The stand-in for a server: a ledger that owns keys, or an archive.

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

use crate::witness::Witness;

type Answer = Response<Full<Bytes>>;

/// One server.
#[derive(Debug)]
pub struct StandIn {
    /// What it is.
    pub config: StandInConfig,
    clock: Clock,
    witness: Arc<Witness>,
    slots: Semaphore,
    waiting: AtomicUsize,
    stop: OnceLock<CancellationToken>,
    state: Mutex<State>,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// Its name.
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
    /// How much longer the first request of a shard runs that was not prepared.
    pub cold_ms: u64,
    /// How long it takes to prepare a shard.
    pub prepare_ms: u64,
    /// The length of a sheet.
    pub sheet_bytes: usize,
}

/// What goes wrong with a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct StandInFaults {
    /// How long it does nothing.
    pub freeze_ms: u64,
    /// Whether it forgets everything, as a crash would.
    pub crash: bool,
    /// Whether the connections that are open now go silent for good.
    pub silence: bool,
}

#[derive(Debug)]
struct State {
    holder: GrantTable,
    prepared_at: BTreeMap<ShardId, Instant>,
    warm: BTreeSet<ShardId>,
    frozen_until: Instant,
    /// Connections from before this are silent for good.
    silent_before: Option<Instant>,
    runs: u64,
    shed: u64,
}

/// How many requests wait for a slot before more are shed, for each slot.
const WAITING_PER_SLOT: usize = 8;
/// The header that crashes the server that runs the request.
pub const CRASH: &str = "x-crash";
/// The header that identifies a request of the load.
pub const REQUEST_ID: &str = "request-id";

impl StandIn {
    /// Creates a server that holds nothing.
    #[must_use]
    pub fn new(config: StandInConfig, witness: Arc<Witness>) -> Arc<Self> {
        let slots = usize::try_from(config.slots).unwrap_or(1);
        Arc::new(Self {
            clock: Clock::start(),
            witness,
            slots: Semaphore::new(slots),
            waiting: AtomicUsize::new(0),
            stop: OnceLock::new(),
            state: Mutex::new(State {
                holder: GrantTable::new(rand::random()),
                prepared_at: BTreeMap::new(),
                warm: BTreeSet::new(),
                frozen_until: Instant::now(),
                silent_before: None,
                runs: 0,
                shed: 0,
            }),
            config,
        })
    }

    /// Serves requests and orders until the token is cancelled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        // A second listener would end with the first one.
        let stop = self.stop.get_or_init(|| stop).clone();
        let connections = usize::try_from(self.config.connections).unwrap_or(usize::MAX);
        let handler = move |request| {
            let server = Arc::clone(&self);
            async move { server.answer(request).await }
        };
        web::serve_limited(listener, stop, connections, handler).await;
    }

    /// Returns the shards that the server serves now, with their epochs.
    #[must_use]
    pub fn live(&self) -> Vec<ShardEpoch> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        if Instant::now() < state.frozen_until {
            return Vec::new();
        }
        state.holder.live_shards(now_ms)
    }

    /// Returns how many requests the server has started to run.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.lock().runs
    }

    /// Makes the server do nothing for a while.
    pub fn freeze(&self, length_ms: u64) {
        self.lock().frozen_until = Instant::now() + Duration::from_millis(length_ms);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence(&self) {
        self.lock().silent_before = Some(Instant::now());
    }

    /// Makes the server forget everything, as a crash would.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.holder = GrantTable::new(rand::random());
        state.prepared_at.clear();
        state.warm.clear();
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == "/health" {
            // Health endpoints mislead: a frozen server still says that it is well.
            return web::status(StatusCode::OK, "healthy\n");
        }
        if self.is_silent(&request) {
            std::future::pending::<()>().await;
        }
        self.thaw().await;
        let path = request.uri().path().to_owned();
        let answer = match path.as_str() {
            "/verbena/orders" => self.take_order(&web::read(request).await),
            "/lab/faults" => self.take_faults(&web::read(request).await),
            "/lab/runs" => {
                let state = self.lock();
                web::json(format!("{{\"runs\":{},\"shed\":{}}}", state.runs, state.shed))
            }
            _ => self.run(request, &path).await,
        };
        self.thaw().await;
        answer
    }

    fn is_silent(&self, request: &Request<Incoming>) -> bool {
        let silent_before = self.lock().silent_before;
        let accepted = request.extensions().get::<web::AcceptedAt>();
        accepted.zip(silent_before).is_some_and(|(accepted, before)| accepted.0 < before)
    }

    /// Waits until the server is not frozen.
    async fn thaw(&self) {
        loop {
            let until = self.lock().frozen_until;
            if Instant::now() >= until {
                return;
            }
            sleep_until(until).await;
        }
    }

    fn take_order(&self, body: &Bytes) -> Answer {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return web::status(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if order.service != self.config.service {
            return web::status(StatusCode::BAD_REQUEST, "another service's order\n");
        }
        let mut state = self.lock();
        let mut report = state.holder.on_order(self.clock.now_ms(), &order);
        let now = Instant::now();
        let ready = now + Duration::from_millis(self.config.prepare_ms);
        state.prepared_at.retain(|shard, _| order.prepares.contains(shard));
        for shard in &order.prepares {
            state.prepared_at.entry(*shard).or_insert(ready);
        }
        let prepared = state.prepared_at.clone();
        report.prepared.retain(|shard| prepared.get(shard).is_some_and(|at| *at <= now));
        for shard in &report.prepared {
            state.warm.insert(*shard);
        }
        web::json(serde_json::to_vec(&report).unwrap_or_default())
    }

    fn take_faults(&self, body: &Bytes) -> Answer {
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
        let fence = match self.fence(&request) {
            Ok(fence) => fence,
            Err(answer) => return *answer,
        };
        let waiting = WAITING_PER_SLOT * usize::try_from(self.config.slots).unwrap_or(1);
        let Some(_place) = self.wait_for_slot(waiting).await else {
            self.lock().shed += 1;
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "shed");
        };
        // The wait may have outlasted the grant, so the fence is looked at only now.
        let Some(is_cold) = self.begin(fence) else {
            return refuse(StatusCode::MISDIRECTED_REQUEST, "stale-epoch");
        };
        let running = Running { server: self, fence };
        let id = header(&request, REQUEST_ID).and_then(|id| id.parse().ok());
        let is_idempotent = request.method() == http::Method::GET;
        if let Some(id) = id {
            self.witness.note_run(&self.config.name, id, is_idempotent);
        }
        if header(&request, CRASH).is_some() {
            self.crash();
            if let Some(stop) = self.stop.get() {
                stop.cancel();
            }
            // The process is gone; nothing of it answers any more.
            std::future::pending::<()>().await;
        }
        let body = web::read(request).await;
        let cold_ms = if is_cold { self.config.cold_ms } else { 0 };
        sleep(Duration::from_millis(self.config.run_ms + cold_ms)).await;
        self.thaw().await;
        if !running.commit() {
            // It ran without effect: the grant ended before it could be committed.
            return web::status(StatusCode::INTERNAL_SERVER_ERROR, "lost the shard\n");
        }
        self.to_answer(path, id, &body)
    }

    async fn wait_for_slot(&self, most_waiting: usize) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(place) = self.slots.try_acquire() {
            return Some(place);
        }
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        if before >= most_waiting {
            return None;
        }
        self.slots.acquire().await.ok()
    }

    fn fence(&self, request: &Request<Incoming>) -> Result<Option<ShardEpoch>, Box<Answer>> {
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

    /// Starts a request; returns whether its shard is cold, or `None` when it is refused.
    fn begin(&self, fence: Option<ShardEpoch>) -> Option<bool> {
        let mut state = self.lock();
        state.runs += 1;
        let Some(target) = fence else { return Some(false) };
        let admission = state.holder.begin(self.clock.now_ms(), target);
        if self.config.checks_fence && admission != Admission::Run {
            state.runs -= 1;
            return None;
        }
        Some(state.warm.insert(target.shard))
    }

    /// Ends a request; returns whether its result counts.
    fn end(&self, fence: Option<ShardEpoch>) -> bool {
        let Some(target) = fence else { return true };
        let is_owner = self.lock().holder.end(self.clock.now_ms(), target);
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

/// A request that runs; it ends without effect when the caller goes away.
struct Running<'a> {
    server: &'a StandIn,
    fence: Option<ShardEpoch>,
}

impl Running<'_> {
    /// Ends the request; returns whether its result counts.
    fn commit(self) -> bool {
        let server = self.server;
        let pair = self.fence.map(|target| (target.shard, target.epoch));
        let counts = server.end(self.fence);
        // It has ended, so nothing is left to do when it is dropped.
        std::mem::forget(self);
        if counts {
            server.witness.note_commit(&server.config.service, &server.config.name, pair);
        }
        counts
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.server.end(self.fence);
    }
}

/// A request that waits for a slot; it is not counted any more when dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn refuse(status: StatusCode, why: &'static str) -> Answer {
    let mut answer = web::status(status, format!("{why}\n"));
    answer.headers_mut().insert("verbena-refused", http::HeaderValue::from_static(why));
    answer
}
