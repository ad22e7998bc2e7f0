//! Compares a daemon with a plain forwarder that uses the same HTTP library.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use document::Name;
use error_stack::ResultExt;
use hdrhistogram::Histogram;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant, sleep};
use tokio_util::sync::CancellationToken;
use web::{Call, Client};

use super::Rows;
use crate::site::{Error, Result, ServicePlan, Site, SitePlan};
use crate::upstream::REQUEST_ID;

const ROUND_DURATION: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const CONNECTIONS: usize = 24;
const LEDGER: &str = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
    [key-group accounts]\nprefix =\nshards = 64\n\
    [class balance]\nmethod = GET\npath = /ledger/{key}/balance\nidempotent = yes\n";

/// Measures throughput and latency of a plain forwarder and of a daemon, in turn.
///
/// # Errors
///
/// Fails when the site does not start.
pub async fn measure_cost() -> Result<Rows> {
    let site = Site::start_open(&site_plan()).await?;
    let upstream = site.servers[0].1[0].address;
    let stop = CancellationToken::new();
    let forwarder = start_forwarder(upstream, stop.clone()).await?;
    let daemon = site.callers_addresses()[0];
    let mut rows = Rows::new("cost: closed loop, 24 connections, one server that answers at once");
    let mut sums = [0.0; 2];
    for round in 0..ROUNDS {
        for (index, (name, address)) in
            [("plain forwarder", forwarder), ("daemon", daemon)].into_iter().enumerate()
        {
            let result = run_closed_loop(address).await;
            sums[index] += result.answers_per_s;
            rows.push(
                format!("{name}, round {}", round + 1),
                &[
                    ("per_s", result.answers_per_s),
                    ("p50_ms", result.p50_ms),
                    ("p99_ms", result.p99_ms),
                ],
            );
        }
    }
    rows.push("daemon relative to the plain forwarder", &[("throughput", sums[1] / sums[0])]);
    stop.cancel();
    site.end().await;
    Ok(rows)
}

struct LoopResult {
    answers_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Sends requests on 24 connections; each sends its next request after the previous answer.
async fn run_closed_loop(address: SocketAddr) -> LoopResult {
    let is_finished = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let senders: Vec<_> = (0..CONNECTIONS)
        .map(|sender| {
            let (is_finished, answered) = (Arc::clone(&is_finished), Arc::clone(&answered));
            tokio::spawn(send_until_finished(address, sender, is_finished, answered))
        })
        .collect();
    sleep(ROUND_DURATION).await;
    is_finished.store(true, Ordering::Relaxed);
    let mut total_us = new_histogram();
    for sender in senders {
        if let Ok(latency_us) = sender.await {
            total_us += latency_us;
        }
    }
    let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1_000.0;
    let count = f64::from(u32::try_from(answered.load(Ordering::Relaxed)).unwrap_or(u32::MAX));
    LoopResult {
        answers_per_s: count / start.elapsed().as_secs_f64(),
        p50_ms: ms(total_us.value_at_quantile(0.5)),
        p99_ms: ms(total_us.value_at_quantile(0.99)),
    }
}

async fn send_until_finished(
    address: SocketAddr,
    sender: usize,
    is_finished: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
) -> Histogram<u64> {
    let client = Client::new(address);
    let mut latency_us = new_histogram();
    let mut number = sender;
    while !is_finished.load(Ordering::Relaxed) {
        number += CONNECTIONS;
        let start = Instant::now();
        let path = format!("/ledger/account-{number}/balance");
        let call =
            Call::new(Method::GET, path).header("verbena-shard", "0").header("verbena-epoch", "0");
        let answer = client.call(call).await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            answered.fetch_add(1, Ordering::Relaxed);
            latency_us.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(0));
        }
    }
    latency_us
}

/// Returns a histogram of latencies up to 10 s, in microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(10_000_000, 3).expect("the bounds of the histogram are valid")
}

/// Starts a proxy that forwards every request to one server, and returns its address.
pub(super) async fn start_forwarder(
    upstream: SocketAddr,
    stop: CancellationToken,
) -> Result<SocketAddr> {
    let listen_error = || Error::new("the plain forwarder cannot listen on the loopback interface");
    let listener = TcpListener::bind("127.0.0.1:0").await.change_context_lazy(listen_error)?;
    let address = listener.local_addr().change_context_lazy(listen_error)?;
    let client = Client::new(upstream);
    std::thread::spawn(move || {
        // As many threads as the daemon of the cost measurement has for requests.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(usize::try_from(TRAFFIC_THREADS).unwrap_or(1))
            .enable_all()
            .build()
            .expect("the threads of the runtime start");
        let listener = listener.into_std().and_then(|listener| {
            let _guard = runtime.enter();
            TcpListener::from_std(listener)
        });
        if let Ok(listener) = listener {
            runtime.block_on(web::serve(listener, stop, move |request| {
                let client = client.clone();
                async move { forward(&client, request).await }
            }));
        }
    });
    Ok(address)
}

async fn forward(client: &Client, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut call = Call::new(request.method().clone(), request.uri().path());
    // A keyed stand-in needs the fence headers, although it checks no fence here.
    call =
        call.header("verbena-shard", "0").header("verbena-epoch", "0").timeout_ms(CALL_TIMEOUT_MS);
    if let Some(id) = request.headers().get(REQUEST_ID).and_then(|value| value.to_str().ok()) {
        call = call.header(REQUEST_ID, id);
    }
    match client.call(call.body(web::read_body(request).await)).await {
        Ok(answer) => answer.map(Full::new),
        Err(report) => web::status(StatusCode::BAD_GATEWAY, report.to_string()),
    }
}

const TRAFFIC_THREADS: u32 = 2;
const SLOTS: u32 = 256;
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Returns a site of one daemon and one server with many slots that checks no fence.
fn site_plan() -> SitePlan {
    let service = ServicePlan::with_one_server(LEDGER, SLOTS, 0);
    SitePlan {
        services: vec![service],
        daemons: vec![Name::from("zurich")],
        threads: TRAFFIC_THREADS,
    }
}
