//! Open-loop load: requests are sent at scheduled times, however long the answers take.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hdrhistogram::Histogram;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::time::{Duration, Instant, sleep_until};
use web::{Call, Category, Client};

use crate::rule_checker::RuleChecker;
use crate::upstream::REQUEST_ID;
use crate::zipf::Zipf;

/// Options of the load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    /// How long requests are sent.
    pub duration_ms: u64,
    /// The number of keys.
    pub keys: u32,
    /// The Zipf exponent of the keys; 0 makes them uniform.
    pub skew: f64,
    /// The seed of the random choices.
    pub seed: u64,
    /// The keyed service, if requests go to one.
    pub keyed: Option<String>,
    /// The pooled service, if requests go to one.
    pub pooled: Option<String>,
}

/// The daemons that requests are sent to in turn, as a load balancer would.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    clients: Arc<Mutex<Vec<Client>>>,
    next: Arc<AtomicUsize>,
}

/// Sends open-loop load and counts the outcomes.
#[derive(Debug)]
pub struct Load {
    options: LoadOptions,
    targets: Targets,
    rule_checker: Option<Arc<RuleChecker>>,
    counters: Mutex<Counters>,
    sent: AtomicU64,
}

/// The outcomes of the requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Requests answered with success.
    pub answered: u64,
    /// Requests that certainly did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a successful answer, by status and reason.
    pub reasons: BTreeMap<String, u64>,
    /// The median latency, from when the request was due to its complete answer.
    pub p50_ms: f64,
    /// The 99th percentile of the latency.
    pub p99_ms: f64,
    /// The largest latency.
    pub max_ms: f64,
}

/// The outcomes of all requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// How many requests were sent.
    pub sent: u64,
    /// How many requests were not sent because too many were open.
    pub held_back: u64,
    /// The outcomes by class of request.
    pub classes: BTreeMap<String, Outcomes>,
}

#[derive(Debug, Default)]
struct Counters {
    classes: BTreeMap<&'static str, ClassCounters>,
    held_back: u64,
}

#[derive(Debug)]
struct ClassCounters {
    outcomes: Outcomes,
    latency_us: Histogram<u64>,
}

/// One request of the load.
struct LoadRequest {
    class: &'static str,
    call: Call,
    id: u64,
    /// The minimum length of a complete answer.
    min_bytes: usize,
}

/// How many requests may be open at once.
const MAX_OPEN_REQUESTS: usize = 4_000;
const REQUEST_TIMEOUT_MS: u64 = 8_000;
const MAX_LATENCY_US: u64 = 60_000_000;
/// The shares of balance and swap requests; the rest are sheets.
const BALANCE_PERCENT: u32 = 78;
const SWAP_PERCENT: u32 = 17;
const SHEET_BYTES: usize = 64 << 10;

impl Targets {
    /// Replaces the addresses that load is sent to.
    pub fn set(&self, addresses: &[SocketAddr]) {
        let clients = addresses.iter().copied().map(Client::new).collect();
        *self.clients.lock().unwrap_or_else(PoisonError::into_inner) = clients;
    }

    fn next(&self) -> Option<Client> {
        let clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        (!clients.is_empty()).then(|| clients[index % clients.len()].clone())
    }
}

impl Load {
    /// Creates a load without sending requests.
    #[must_use]
    pub fn new(
        options: LoadOptions,
        targets: Targets,
        rule_checker: Option<Arc<RuleChecker>>,
    ) -> Arc<Self> {
        let (counters, sent) = (Mutex::default(), AtomicU64::new(0));
        Arc::new(Self { options, targets, rule_checker, counters, sent })
    }

    /// Returns how many requests have been sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Sends all requests and waits for their answers.
    pub async fn run(self: Arc<Self>) -> LoadReport {
        let mut random = StdRng::seed_from_u64(self.options.seed);
        let zipf = Zipf::new(self.options.keys, self.options.skew);
        let open = Arc::new(Semaphore::new(MAX_OPEN_REQUESTS));
        let start = Instant::now();
        let deadline = start + Duration::from_millis(self.options.duration_ms);
        let mut due_at = start;
        while due_at < deadline {
            sleep_until(due_at).await;
            let request = self.draw_request(&mut random, &zipf);
            match Arc::clone(&open).try_acquire_owned() {
                Ok(permit) => {
                    let load = Arc::clone(&self);
                    tokio::spawn(async move {
                        load.send_and_record(request, due_at).await;
                        drop(permit);
                    });
                }
                Err(_full) => self.counters().held_back += 1,
            }
            // Exponential intervals make arrivals independent of each other.
            let interval_s = -(1.0 - random.random::<f64>()).ln() / self.options.rate_per_s;
            due_at += Duration::from_secs_f64(interval_s);
        }
        let max_open = u32::try_from(MAX_OPEN_REQUESTS).unwrap_or(u32::MAX);
        drop(open.acquire_many(max_open).await);
        self.to_report()
    }

    fn draw_request(&self, random: &mut StdRng, zipf: &Zipf) -> LoadRequest {
        let id: u64 = random.random();
        let key = zipf.sample(random);
        let percent = random.random_range(0..100);
        let (class, method, path) = match (&self.options.keyed, &self.options.pooled) {
            (Some(keyed), _) if percent < BALANCE_PERCENT => {
                ("balance", Method::GET, format!("/{keyed}/account-{key}/balance"))
            }
            (Some(keyed), _) if percent < BALANCE_PERCENT + SWAP_PERCENT => {
                ("swap", Method::POST, format!("/{keyed}/account-{key}/swaps"))
            }
            (_, Some(pooled)) => ("sheet", Method::GET, format!("/{pooled}/sheets/{key}")),
            (Some(keyed), None) => {
                ("balance", Method::GET, format!("/{keyed}/account-{key}/balance"))
            }
            (None, None) => ("none", Method::GET, "/".to_owned()),
        };
        let min_bytes = if class == "sheet" { SHEET_BYTES } else { 1 };
        let body = if class == "swap" { "liters=20" } else { "" };
        let call = Call::new(method, path)
            .header(REQUEST_ID, id.to_string())
            .body(body)
            .timeout_ms(REQUEST_TIMEOUT_MS);
        LoadRequest { class, call, id, min_bytes }
    }

    async fn send_and_record(&self, request: LoadRequest, due_at: Instant) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let path = request.call.path().to_owned();
        let result = self.send_to_any_daemon(request.call).await;
        let elapsed_us = u64::try_from(due_at.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut reason = None;
        // `Some(true)`: answered; `Some(false)`: not run; `None`: unknown.
        let outcome = match result {
            Ok(answer) if answer.status().is_success() => {
                self.check_answer(request.id, &path, &answer, request.min_bytes);
                Some(true)
            }
            Ok(answer) => {
                let header = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
                let outcome_text = header("verbena-outcome").unwrap_or("none").to_owned();
                // Only daemons send a reason, so an answer without one comes from the server.
                let reason_text = header("verbena-reason").unwrap_or("server").to_owned();
                reason = Some(format!("{} {reason_text}", answer.status().as_u16()));
                (outcome_text == "not-run").then(|| {
                    if let Some(rule_checker) = &self.rule_checker {
                        rule_checker.on_not_run_answer(request.id);
                    }
                    false
                })
            }
            Err(report) => {
                let category = report.current_context().category();
                reason = Some(format!("no answer: {report}"));
                (category == Category::NotSent).then_some(false)
            }
        };
        let mut counters = self.counters();
        let class = counters.classes.entry(request.class).or_default();
        match outcome {
            Some(true) => {
                class.outcomes.answered += 1;
                class.latency_us.saturating_record(elapsed_us);
            }
            Some(false) => class.outcomes.not_run += 1,
            None => class.outcomes.unknown += 1,
        }
        if let Some(reason) = reason {
            *class.outcomes.reasons.entry(reason).or_default() += 1;
        }
    }

    /// Sends a request to the next daemon, and to another one if it could not be sent.
    async fn send_to_any_daemon(&self, call: Call) -> web::Result<http::Response<bytes::Bytes>> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let Some(client) = self.targets.next() else {
                // Without daemons the request fails as one that was not sent.
                return Client::new(SocketAddr::from(([127, 0, 0, 1], 1))).call(call).await;
            };
            let result = client.call(call.clone()).await;
            let is_unsent = result
                .as_ref()
                .is_err_and(|report| report.current_context().category() == Category::NotSent);
            if !is_unsent || attempts >= MAX_ATTEMPTS {
                return result;
            }
        }
    }

    /// Checks that an answer belongs to the request and has the expected length.
    fn check_answer(
        &self,
        id: u64,
        path: &str,
        answer: &http::Response<bytes::Bytes>,
        min_bytes: usize,
    ) {
        let Some(rule_checker) = &self.rule_checker else { return };
        let own_id = id.to_string();
        let echoed_id = answer.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
        // Stand-in servers start each answer with the request's path, except for sheets.
        let has_own_path = path.contains("/sheets/") || answer.body().starts_with(path.as_bytes());
        if echoed_id != Some(own_id.as_str()) || !has_own_path {
            rule_checker.on_foreign_answer();
        }
        if answer.body().len() < min_bytes {
            rule_checker.on_short_answer();
        }
    }

    fn counters(&self) -> std::sync::MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn to_report(&self) -> LoadReport {
        let counters = self.counters();
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1_000.0;
        let classes = counters
            .classes
            .iter()
            .map(|(name, class)| {
                let mut outcomes = class.outcomes.clone();
                outcomes.p50_ms = ms(class.latency_us.value_at_quantile(0.5));
                outcomes.p99_ms = ms(class.latency_us.value_at_quantile(0.99));
                outcomes.max_ms = ms(class.latency_us.max());
                ((*name).to_owned(), outcomes)
            })
            .collect();
        LoadReport { sent: self.sent(), held_back: counters.held_back, classes }
    }
}

/// The number of attempts after which a request that could not be sent is given up.
const MAX_ATTEMPTS: u32 = 4;

impl Default for ClassCounters {
    fn default() -> Self {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are valid");
        Self { outcomes: Outcomes::default(), latency_us }
    }
}
