//! Callers that send requests, check every response, and remember refused requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use document::Name;
use gateway::Dialect;
use http::header::HOST as HOST_HEADER;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use lab::OwnershipChecker;
use proxy::Link as Connection;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::cluster::HOST;

/// The shared state and counts of all callers of a run.
#[derive(Debug)]
pub struct Callers {
    pub(crate) dialect: Dialect,
    pub(crate) checker: Arc<OwnershipChecker>,
    next_number: AtomicU64,
    is_stopped: AtomicBool,
    /// The ids of requests that were refused as not run.
    refused_ids: Mutex<Vec<Name>>,
    counts: Mutex<Counts>,
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Answered by a server with status 200.
    pub served: u64,
    /// Refused with a status that promises that they did not run.
    pub refused: u64,
    /// Answered with a status that leaves open whether they ran.
    pub unknown: u64,
    /// Ended without a complete response.
    pub cut: u64,
    /// Closed, although the daemon had read them and nothing excuses it, or answered with a failure
    /// in place of a server that was at work; see [`LossCheck`](crate::LossCheck).
    pub lost: u64,
    /// Closed before the daemon had read them.
    pub unread: u64,
    /// Like the lost ones, but excused: their time limit had passed, their server stopped, or it
    /// was at work at the end of the grace period.
    pub excused: u64,
    /// Not answered when the caller gave up.
    pub expired: u64,
    /// Not sent, as no connection could be opened.
    pub unconnected: u64,
}

/// The time limit that callers state in each request; they wait twice as long for the response.
const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// How long a caller waits between requests.
const REQUEST_DELAY: Duration = Duration::from_millis(25);
/// The number of neighbouring keys that get a third of the requests.
const HOT_KEY_COUNT: u64 = 40;

impl Callers {
    /// Creates callers that report broken rules to a checker.
    pub fn new(checker: Arc<OwnershipChecker>) -> Arc<Self> {
        Arc::new(Self {
            dialect: platform::dialect(),
            checker,
            next_number: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            refused_ids: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    /// Runs one caller, which sends requests to a daemon until [`Self::stop`] is called.
    pub async fn run_caller(self: Arc<Self>, front: SocketAddr) {
        let mut connection = None;
        while !self.is_stopped() {
            let number = self.next_number();
            let exchange = self.send_request(front, &mut connection, number);
            let ended = timeout(Duration::from_millis(REQUEST_TIMEOUT_MS * 2), exchange).await;
            if !matches!(ended, Ok(true)) {
                connection = None;
                self.update_counts(|counts| counts.cut += 1);
            }
            sleep(REQUEST_DELAY).await;
        }
    }

    /// Sends one request and checks its response; returns whether the response was complete.
    async fn send_request(
        &self,
        front: SocketAddr,
        connection: &mut Option<Connection>,
        number: u64,
    ) -> bool {
        // Every fourth request opens a new connection.
        if number.is_multiple_of(4) {
            *connection = None;
        }
        if connection.is_none() {
            *connection = Connection::open(front).await.ok();
        }
        let Some(connection) = connection else { return false };
        let id = Name::from(format!("q{number}"));
        let Some(request) = self.build_request(&id, number) else { return false };
        let Ok(response) = connection.send(request).await else { return false };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return false };
        self.check_response(&id, &Response::from_parts(head, body.to_bytes()));
        true
    }

    fn build_request(&self, id: &Name, number: u64) -> Option<Request<Full<Bytes>>> {
        let key = if number.is_multiple_of(3) {
            30_000 + number % HOT_KEY_COUNT
        } else {
            number.wrapping_mul(7_919) % (1 << 16)
        };
        let (method, path) = match number % 5 {
            0 => (Method::POST, "/swaps/x"),
            1 => (Method::GET, "/archive/x"),
            _ => (Method::GET, "/ledger/x"),
        };
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST_HEADER, HOST)
            .header(&self.dialect.request_id, id.as_str())
            .header(&self.dialect.time_left_ms, REQUEST_TIMEOUT_MS)
            .header(&self.dialect.key, key)
            .body(Full::default())
            .ok()
    }

    /// Counts a response by its status, and reports a violation if it has one.
    ///
    /// A violation is a 200 that is unsigned, incomplete or belongs to another request, or a
    /// status that rejects the request as invalid; the latter is not counted.
    pub(crate) fn check_response(&self, id: &Name, response: &Response<Bytes>) {
        let status = response.status();
        match status.as_u16() {
            200 => {
                let signature = response.headers().get(&self.dialect.signature);
                let signature = signature.and_then(|value| value.to_str().ok());
                let is_whole = signature
                    .is_some_and(|text| response.body() == format!("{id} {text}").as_bytes());
                if !is_whole {
                    let body = response.body().escape_ascii();
                    self.checker.add_violation(format!(
                        "{id} got a foreign, incomplete or unsigned response: {body}"
                    ));
                }
                self.update_counts(|counts| counts.served += 1);
            }
            408 | 421 | 429 | 503 => {
                self.refused_ids.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
                self.update_counts(|counts| counts.refused += 1);
            }
            400..=499 => {
                self.checker
                    .add_violation(format!("{id} was rejected with unexpected status {status}"));
            }
            _ => self.update_counts(|counts| counts.unknown += 1),
        }
    }

    /// Checks that a daemon never returns to an earlier document.
    ///
    /// `start_count` is how often the daemon was started; after a start it may have any
    /// version. `latest` is the newest version that was written to the store.
    pub async fn watch_version(
        self: Arc<Self>,
        front: SocketAddr,
        start_count: Arc<AtomicU64>,
        latest: Arc<AtomicU64>,
    ) {
        // The start count, and the newest version that the daemon has served since that start.
        let mut seen = (0, 0);
        while !self.is_stopped() {
            sleep(Duration::from_millis(150)).await;
            let (count_before, latest_version) =
                (start_count.load(Ordering::Relaxed), latest.load(Ordering::Relaxed));
            for version in [seen.1, latest_version] {
                let Some(status) = self.probe_version(front, version).await else { continue };
                if start_count.load(Ordering::Relaxed) != count_before || version == 0 {
                    continue;
                }
                if seen.0 != count_before {
                    seen = (count_before, 0);
                }
                match status {
                    StatusCode::NOT_FOUND if version <= seen.1 => {
                        let violation = format!("{front} no longer serves version {version}");
                        self.checker.add_violation(violation);
                    }
                    StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => {}
                    _ => seen = (count_before, version.max(seen.1)),
                }
            }
        }
    }

    /// Requests the route that a document version added; returns the status.
    async fn probe_version(&self, front: SocketAddr, version: u64) -> Option<StatusCode> {
        let number = self.next_number();
        let request = Request::builder()
            .uri(format!("/v{version}/x"))
            .header(HOST_HEADER, HOST)
            .header(&self.dialect.request_id, format!("p{number}"))
            .header(&self.dialect.time_left_ms, REQUEST_TIMEOUT_MS)
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let mut connection = Connection::open(front).await.ok()?;
            Some(connection.send(request).await.ok()?.status())
        };
        timeout(Duration::from_millis(REQUEST_TIMEOUT_MS), exchange).await.ok()?
    }

    /// Returns a number that no other request has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether [`Self::stop`] was called.
    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Stops all callers and version checks.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Reports every request that ran although it was refused as not run.
    pub fn check_refusals(&self) {
        let refused_ids = self.refused_ids.lock().unwrap_or_else(PoisonError::into_inner);
        for id in refused_ids.iter().filter(|id| self.checker.runs(id) > 0) {
            self.checker.add_violation(format!("{id} ran although it was refused as not run"));
        }
    }

    /// Returns how requests ended so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a period and returns the share of requests that were served in it.
    pub async fn served_share(&self, period: Duration) -> f64 {
        let before = self.counts();
        let deadline = Instant::now() + period;
        while Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }
        let after = self.counts();
        let served = after.served - before.served;
        let all = served + after.refused - before.refused + after.unknown - before.unknown
            + after.cut
            - before.cut;
        if all == 0 { 0.0 } else { lab::f64_from_u64(served) / lab::f64_from_u64(all) }
    }

    pub(crate) fn update_counts(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
