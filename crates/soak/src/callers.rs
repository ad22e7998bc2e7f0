//! Callers: they keep connections, check every answer, and remember what was promised.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use document::Name;
use gateway::Dialect;
use http::header::HOST as HOST_HEADER;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use lab::Referee;
use proxy::Link;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::cluster::HOST;

/// What all callers together have seen.
#[derive(Debug)]
pub struct Callers {
    dialect: Dialect,
    referee: Arc<Referee>,
    next: AtomicU64,
    is_over: AtomicBool,
    /// Requests that were promised not to run.
    promised: Mutex<Vec<Name>>,
    counts: Mutex<Counts>,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// Answered by a server with success.
    pub served: u64,
    /// Said not to have run.
    pub refused: u64,
    /// Ended without anybody knowing.
    pub unknown: u64,
    /// Without a whole answer.
    pub cut: u64,
}

/// How long a caller waits for an answer, and says so.
const DEADLINE_MS: u64 = 1_500;
/// How long a caller waits before its next request.
const PAUSE: Duration = Duration::from_millis(25);
/// A share of the requests go to a few neighbouring keys.
const HOT_KEYS: u64 = 40;

impl Callers {
    /// Creates callers that tell a referee what they see.
    pub fn new(referee: Arc<Referee>) -> Arc<Self> {
        Arc::new(Self {
            dialect: platform::dialect(),
            referee,
            next: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            promised: Mutex::default(),
            counts: Mutex::default(),
        })
    }

    /// Has a caller send requests to a daemon until the end.
    pub async fn call(self: Arc<Self>, front: SocketAddr) {
        let mut link = None;
        while !self.is_over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let exchange = self.exchange(front, &mut link, number);
            let ended = timeout(Duration::from_millis(DEADLINE_MS * 2), exchange).await;
            if !matches!(ended, Ok(true)) {
                link = None;
                self.count(|counts| counts.cut += 1);
            }
            sleep(PAUSE).await;
        }
    }

    /// Sends one request; returns whether a whole answer came.
    async fn exchange(&self, front: SocketAddr, link: &mut Option<Link>, number: u64) -> bool {
        // Every fourth request comes on a connection of its own.
        if number.is_multiple_of(4) {
            *link = None;
        }
        if link.is_none() {
            *link = Link::open(front).await.ok();
        }
        let Some(connection) = link else { return false };
        let id = Name::from(format!("q{number}"));
        let Some(request) = self.request(&id, number) else { return false };
        let Ok(response) = connection.send(request).await else { return false };
        let (head, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return false };
        self.check(&id, &Response::from_parts(head, body.to_bytes()));
        true
    }

    fn request(&self, id: &Name, number: u64) -> Option<Request<Full<Bytes>>> {
        let key = if number.is_multiple_of(3) {
            30_000 + number % HOT_KEYS
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
            .header(&self.dialect.time_left_ms, DEADLINE_MS)
            .header(&self.dialect.key, key)
            .body(Full::default())
            .ok()
    }

    fn check(&self, id: &Name, response: &Response<Bytes>) {
        let status = response.status();
        match status.as_u16() {
            200 => {
                let is_own = response.body().starts_with(format!("{id} ").as_bytes());
                let is_signed = response.headers().contains_key(&self.dialect.signature);
                if !is_own || !is_signed {
                    let body = response.body().escape_ascii();
                    self.referee.note_broken(format!("{id} got another answer: {body}"));
                }
                self.count(|counts| counts.served += 1);
            }
            408 | 421 | 429 | 503 => {
                self.promised.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
                self.count(|counts| counts.refused += 1);
            }
            400..=499 => {
                self.referee.note_broken(format!("{id} was denied with {status}"));
            }
            _ => self.count(|counts| counts.unknown += 1),
        }
    }

    /// Watches that a daemon never goes back to an earlier document.
    ///
    /// `life` tells how often the daemon was started; each start may begin anew.
    pub async fn watch_version(
        self: Arc<Self>,
        front: SocketAddr,
        life: Arc<AtomicU64>,
        latest: Arc<AtomicU64>,
    ) {
        let mut shown = (0, 0);
        while !self.is_over.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(150)).await;
            let (before, version) = (life.load(Ordering::Relaxed), latest.load(Ordering::Relaxed));
            for version in [shown.1, version] {
                let Some(status) = self.probe(front, version).await else { continue };
                if life.load(Ordering::Relaxed) != before || version == 0 {
                    continue;
                }
                if shown.0 != before {
                    shown = (before, 0);
                }
                match status {
                    StatusCode::NOT_FOUND if version <= shown.1 => {
                        let broken = format!("{front} went back behind version {version}");
                        self.referee.note_broken(broken);
                    }
                    StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => {}
                    _ => shown = (before, version.max(shown.1)),
                }
            }
        }
    }

    async fn probe(&self, front: SocketAddr, version: u64) -> Option<StatusCode> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let request = Request::builder()
            .uri(format!("/v{version}/x"))
            .header(HOST_HEADER, HOST)
            .header(&self.dialect.request_id, format!("p{number}"))
            .header(&self.dialect.time_left_ms, DEADLINE_MS)
            .body(Full::default())
            .ok()?;
        let exchange = async {
            let mut link = Link::open(front).await.ok()?;
            Some(link.send(request).await.ok()?.status())
        };
        timeout(Duration::from_millis(DEADLINE_MS), exchange).await.ok()?
    }

    /// Ends all callers.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Notes every request that ran although it was promised not to.
    pub fn check_promises(&self) {
        let promised = self.promised.lock().unwrap_or_else(PoisonError::into_inner);
        for id in promised.iter().filter(|id| self.referee.runs(id) > 0) {
            self.referee.note_broken(format!("{id} ran and was said not to"));
        }
    }

    /// Returns how requests ended so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the part of requests served over some time.
    pub async fn served_part(&self, over: Duration) -> f64 {
        let before = self.counts();
        let end = Instant::now() + over;
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        let after = self.counts();
        let served = after.served - before.served;
        let all = served + after.refused - before.refused + after.unknown - before.unknown
            + after.cut
            - before.cut;
        if all == 0 { 0.0 } else { lab::from_u64(served) / lab::from_u64(all) }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
