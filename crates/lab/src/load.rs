//! Open-loop load: requests start by the clock, however long the answers take.

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

use crate::upstream::REQUEST_ID;
use crate::witness::Witness;
use crate::zipf::Zipf;

/// What load is sent.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long it lasts.
    pub length_ms: u64,
    /// How many keys there are.
    pub keys: u32,
    /// How skewed they are; 0 for not at all.
    pub skew: f64,
    /// The seed of all choices.
    pub seed: u64,
    /// The name of the keyed service, if requests go to it.
    pub keyed: Option<String>,
    /// The name of the pooled service, if requests go to it.
    pub pooled: Option<String>,
}

/// Where load goes: the addresses of daemons, as a balancer would see them.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    clients: Arc<Mutex<Vec<Client>>>,
    next: Arc<AtomicUsize>,
}

/// Open-loop load.
#[derive(Debug)]
pub struct Load {
    options: LoadOptions,
    targets: Targets,
    witness: Option<Arc<Witness>>,
    tally: Mutex<Tally>,
    sent: AtomicU64,
}

/// What came of the requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Answered by a server.
    pub answered: u64,
    /// Refused, certainly not run.
    pub not_run: u64,
    /// Maybe run.
    pub unknown: u64,
    /// By status and reason, those that were not answered.
    pub reasons: BTreeMap<String, u64>,
    /// The median time to the whole answer.
    pub p50_ms: f64,
    /// The time that 99 in 100 answers do not exceed.
    pub p99_ms: f64,
    /// The longest time.
    pub max_ms: f64,
}

/// What came of all requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// How many requests were sent.
    pub sent: u64,
    /// How many were not sent because too many were open.
    pub held_back: u64,
    /// By class.
    pub classes: BTreeMap<String, Outcomes>,
}

#[derive(Debug, Default)]
struct Tally {
    classes: BTreeMap<&'static str, ClassTally>,
    held_back: u64,
}

#[derive(Debug)]
struct ClassTally {
    outcomes: Outcomes,
    latency_us: Histogram<u64>,
}

/// One request.
struct Shot {
    class: &'static str,
    call: Call,
    id: u64,
    least_bytes: usize,
}

/// The most requests that are open at once.
const MOST_OPEN: usize = 4_000;
const LIMIT_MS: u64 = 8_000;
const LONGEST_US: u64 = 60_000_000;
/// The parts in 100 of each class; the rest are sheets.
const BALANCE_PERCENT: u32 = 78;
const SWAP_PERCENT: u32 = 17;
const SHEET_BYTES: usize = 64 << 10;

impl Targets {
    /// Sets the addresses that load goes to from now on.
    pub fn set(&self, addresses: &[SocketAddr]) {
        let clients = addresses.iter().copied().map(Client::new).collect();
        *self.clients.lock().unwrap_or_else(PoisonError::into_inner) = clients;
    }

    fn next(&self) -> Option<Client> {
        let clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        (!clients.is_empty()).then(|| clients[at % clients.len()].clone())
    }
}

impl Load {
    /// Creates a load; nothing is sent yet.
    #[must_use]
    pub fn new(options: LoadOptions, targets: Targets, witness: Option<Arc<Witness>>) -> Arc<Self> {
        let (tally, sent) = (Mutex::default(), AtomicU64::new(0));
        Arc::new(Self { options, targets, witness, tally, sent })
    }

    /// Returns how many requests were sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Sends everything and waits for the answers.
    pub async fn run(self: Arc<Self>) -> LoadReport {
        let mut random = StdRng::seed_from_u64(self.options.seed);
        let zipf = Zipf::new(self.options.keys, self.options.skew);
        let open = Arc::new(Semaphore::new(MOST_OPEN));
        let start = Instant::now();
        let end = start + Duration::from_millis(self.options.length_ms);
        let mut due = start;
        while due < end {
            sleep_until(due).await;
            let shot = self.draw(&mut random, &zipf);
            match Arc::clone(&open).try_acquire_owned() {
                Ok(place) => {
                    let load = Arc::clone(&self);
                    tokio::spawn(async move {
                        load.fire(shot, due).await;
                        drop(place);
                    });
                }
                Err(_full) => self.tally().held_back += 1,
            }
            // Exponential pauses make arrivals independent of each other.
            let pause_s = -(1.0 - random.random::<f64>()).ln() / self.options.rate_per_s;
            due += Duration::from_secs_f64(pause_s);
        }
        let all = u32::try_from(MOST_OPEN).unwrap_or(u32::MAX);
        drop(open.acquire_many(all).await);
        self.to_report()
    }

    fn draw(&self, random: &mut StdRng, zipf: &Zipf) -> Shot {
        let id: u64 = random.random();
        let key = zipf.draw(random);
        let draw = random.random_range(0..100);
        let (class, method, path) = match (&self.options.keyed, &self.options.pooled) {
            (Some(keyed), _) if draw < BALANCE_PERCENT => {
                ("balance", Method::GET, format!("/{keyed}/account-{key}/balance"))
            }
            (Some(keyed), _) if draw < BALANCE_PERCENT + SWAP_PERCENT => {
                ("swap", Method::POST, format!("/{keyed}/account-{key}/swaps"))
            }
            (_, Some(pooled)) => ("sheet", Method::GET, format!("/{pooled}/sheets/{key}")),
            (Some(keyed), None) => {
                ("balance", Method::GET, format!("/{keyed}/account-{key}/balance"))
            }
            (None, None) => ("none", Method::GET, "/".to_owned()),
        };
        let least_bytes = if class == "sheet" { SHEET_BYTES } else { 1 };
        let body = if class == "swap" { "liters=20" } else { "" };
        let call = Call::new(method, path)
            .header(REQUEST_ID, id.to_string())
            .body(body)
            .timeout_ms(LIMIT_MS);
        Shot { class, call, id, least_bytes }
    }

    async fn fire(&self, shot: Shot, due: Instant) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        let path = shot.call.path().to_owned();
        let result = self.send(shot.call).await;
        let elapsed_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(LONGEST_US);
        let mut reason = None;
        let outcome = match result {
            Ok(answer) if answer.status().is_success() => {
                self.check(shot.id, &path, &answer, shot.least_bytes);
                Some(true)
            }
            Ok(answer) => {
                let header = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
                let outcome = header("verbena-outcome").unwrap_or("none").to_owned();
                let why = header("verbena-reason").unwrap_or("server").to_owned();
                reason = Some(format!("{} {why}", answer.status().as_u16()));
                (outcome == "not-run").then(|| {
                    if let Some(witness) = &self.witness {
                        witness.note_not_run(shot.id);
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
        let mut tally = self.tally();
        let class = tally.classes.entry(shot.class).or_default();
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

    /// Sends a request to the next daemon; one that takes no connection is passed over.
    async fn send(&self, call: Call) -> web::Result<http::Response<bytes::Bytes>> {
        let mut tries = 0;
        loop {
            tries += 1;
            let Some(client) = self.targets.next() else {
                return Client::new(SocketAddr::from(([127, 0, 0, 1], 1))).call(call).await;
            };
            let result = client.call(call.clone()).await;
            let is_unsent = result
                .as_ref()
                .is_err_and(|report| report.current_context().category() == Category::NotSent);
            if !is_unsent || tries >= MOST_TRIES {
                return result;
            }
        }
    }

    fn check(&self, id: u64, path: &str, answer: &http::Response<bytes::Bytes>, least: usize) {
        let Some(witness) = &self.witness else { return };
        let own = id.to_string();
        let echoed = answer.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok());
        let names_path = path.contains("/sheets/") || answer.body().starts_with(path.as_bytes());
        if echoed != Some(own.as_str()) || !names_path {
            witness.note_foreign();
        }
        if answer.body().len() < least {
            witness.note_short();
        }
    }

    fn tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn to_report(&self) -> LoadReport {
        let tally = self.tally();
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1_000.0;
        let classes = tally
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
        LoadReport { sent: self.sent(), held_back: tally.held_back, classes }
    }
}

/// How many daemons are tried when they take no connection.
const MOST_TRIES: u32 = 4;

impl Default for ClassTally {
    fn default() -> Self {
        let latency_us =
            Histogram::new_with_max(LONGEST_US, 3).expect("the bounds of the histogram are valid");
        Self { outcomes: Outcomes::default(), latency_us }
    }
}
