//! Callers that load daemons through the platform, on connections that they keep or open for each request.

use std::sync::Arc;

use document::Name;
use http::header::RETRY_AFTER;
use http::{Response, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Duration, Instant, sleep};

use crate::HOST;
use crate::callers::Callers;
use crate::exchange::{Answer, CallerConnection, Exchange, RequestBytes};
use crate::loss_check::{Ending, LossCheck};
use crate::rotation::Rotation;

/// What the callers of a run share.
#[derive(Debug)]
pub(crate) struct KeptCallers {
    pub(crate) callers: Arc<Callers>,
    pub(crate) rotation: Arc<Rotation>,
    pub(crate) losses: Arc<LossCheck>,
}

/// How a caller uses connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// It sends on its connection until the daemon closes it.
    Kept,
    /// It opens a connection for each request.
    New,
}

/// A request and what its caller knows of it.
struct Request {
    id: Name,
    bytes: RequestBytes,
    time_limit: Duration,
}

/// The time limits that callers state; long enough for requests to wait in a daemon's queues.
const TIME_LIMIT_MS: std::ops::Range<u64> = 2_500..8_000;
/// How much longer than its time limit a caller waits for the answer.
const EXTRA_TIME: Duration = Duration::from_millis(1_500);
/// How long a caller waits before its next request.
const PAUSE_MS: std::ops::Range<u64> = 0..200;
/// How long a caller waits before its next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// How long a caller takes for a body that it sends in two parts.
const BODY_DELAY_MS: std::ops::Range<u64> = 50..600;
/// The busy keys, which lie next to each other, and their share of requests.
const HOT_KEYS: std::ops::Range<u16> = 30_000..30_040;
const HOT_SHARE: f64 = 0.35;

impl KeptCallers {
    /// Runs one caller until the callers are stopped.
    pub(crate) async fn run(self: Arc<Self>, caller: u64, reuse: Reuse, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed ^ caller.rotate_left(32));
        let mut connection: Option<(usize, CallerConnection)> = None;
        let mut attempt = 0;
        while !self.callers.is_stopped() {
            if connection.is_none() {
                let (daemon, address) = self.rotation.choose(caller, attempt);
                let opened = CallerConnection::open(address).await;
                connection = opened.map(|opened| (daemon, opened));
            }
            let Some((daemon, open)) = &mut connection else {
                self.callers.update_counts(|counts| counts.unconnected += 1);
                attempt += 1;
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            let request = self.draw_request(&mut random);
            let wait = self.send(*daemon, open, &request).await;
            if wait.is_none() || reuse == Reuse::New {
                connection = None;
            }
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            sleep(pause + wait.unwrap_or_default()).await;
        }
    }

    /// Sends a request and records how it ended.
    ///
    /// Returns how long the caller was told to wait, or `None` if the connection has ended.
    async fn send(
        &self,
        daemon: usize,
        connection: &mut CallerConnection,
        request: &Request,
    ) -> Option<Duration> {
        let began_at = Instant::now();
        let mut sent_at = None;
        let deadline = began_at + request.time_limit + EXTRA_TIME;
        let exchange = connection.exchange(&request.bytes, deadline, &mut sent_at).await;
        let ending = |status| Ending {
            id: request.id.clone(),
            daemon,
            began_at,
            sent_at: sent_at.unwrap_or_else(Instant::now),
            ended_at: Instant::now(),
            time_limit: request.time_limit,
            status,
        };
        match exchange {
            Exchange::Answer(Answer { response, closes }) => {
                self.callers.check_response(&request.id, &response);
                if self.is_own_failure(&response) {
                    self.losses.on_ending(ending(Some(response.status())));
                }
                let wait = retry_after(&response).min(request.time_limit / 3);
                (!closes).then_some(wait)
            }
            Exchange::Cut { has_read } => {
                self.callers.update_counts(|counts| {
                    counts.cut += 1;
                    counts.unread += u64::from(!has_read);
                });
                if has_read {
                    self.losses.on_ending(ending(None));
                }
                None
            }
            Exchange::Invalid(text) => {
                self.callers.checker.add_violation(format!("{} got {text}", request.id));
                None
            }
            Exchange::Expired => {
                self.callers.update_counts(|counts| counts.expired += 1);
                None
            }
        }
    }

    /// Returns whether an answer is a failure that no server gave and that promises nothing.
    fn is_own_failure(&self, response: &Response<bytes::Bytes>) -> bool {
        let status = response.status();
        let is_own = !response.headers().contains_key(&self.callers.dialect.signature);
        is_own && status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE
    }

    fn draw_request(&self, random: &mut StdRng) -> Request {
        let id = Name::from(format!("q{}", self.callers.next_number()));
        let is_hot = random.random_bool(HOT_SHARE);
        let key = if is_hot { random.random_range(HOT_KEYS) } else { random.random() };
        let time_limit_ms = random.random_range(TIME_LIMIT_MS);
        let dialect = &self.callers.dialect;
        let (method, path) = match random.random_range(0..10) {
            0 | 1 => ("POST", "/swaps/x"),
            2 => ("POST", "/orders/x"),
            3 | 4 => ("GET", "/archive/x"),
            _ => ("GET", "/ledger/x"),
        };
        let body: &[u8] = if method == "POST" { b"amount=1&account=2" } else { b"" };
        let mut first = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: {time_limit_ms}\r\n\
             {}: {key}\r\ncontent-length: {}\r\n\r\n",
            dialect.request_id,
            dialect.time_left_ms,
            dialect.key,
            body.len()
        )
        .into_bytes();
        let mut rest = None;
        if !body.is_empty() && random.random_bool(0.3) {
            let (start, end) = body.split_at(body.len() / 2);
            first.extend_from_slice(start);
            let delay = Duration::from_millis(random.random_range(BODY_DELAY_MS));
            rest = Some((delay, end.to_vec()));
        } else {
            first.extend_from_slice(body);
        }
        let time_limit = Duration::from_millis(time_limit_ms);
        Request { id, bytes: RequestBytes { first, rest }, time_limit }
    }
}

/// Returns the time that a refusal tells the caller to wait.
fn retry_after(response: &Response<bytes::Bytes>) -> Duration {
    let seconds = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds: Option<f64> = seconds.and_then(|text| text.parse().ok());
    seconds.and_then(|wait_s| Duration::try_from_secs_f64(wait_s).ok()).unwrap_or_default()
}
