//! Guards against requests that a stopping daemon has accepted and never answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use googletest::prelude::*;
use store::{Expect, MemoryStore, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, timeout};
use verbenad::{Daemon, Settings};

const NOTICE_MS: u64 = 200;
const DRAIN_MS: u64 = 800;
/// More than a stop may take, even on a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
const POOLED: &str = "[service]\nname = archive\nkind = pooled\n\
    [class lookup]\nmethod = POST\npath = /archive/{id}\nidempotent = no\ndeadline = 30s\n\
    [class sheet]\nmethod = GET\npath = /archive/{id}\nidempotent = yes\ndeadline = 30s\n";
const KEYED: &str = "[service]\nname = archive\nkind = keyed\nkey = segment 2\n\
    [key-group all]\nprefix = a\nshards = 4\n\
    [class sheet]\nmethod = GET\npath = /archive/{key}\nidempotent = yes\ndeadline = 30s\n";

/// A server with one slot that answers each request after a time, if it has one.
struct Server {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    _task: JoinHandle<()>,
}

async fn start_server(answer_after: Option<Duration>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_requests(stream, answer_after, Arc::clone(&counter)));
        }
    });
    Server { address, requests, _task: task }
}

async fn answer_requests(
    mut stream: TcpStream,
    answer_after: Option<Duration>,
    requests: Arc<AtomicUsize>,
) {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        requests.fetch_add(1, Ordering::Relaxed);
        match answer_after {
            Some(delay) => sleep(delay).await,
            None => std::future::pending().await,
        }
        drop(stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await);
    }
}

/// Starts a daemon and waits until the document is in force, which it writes to the store.
async fn start(document: &str, server: &Server, more_settings: &str) -> (Daemon, MemoryStore) {
    let text = format!(
        "[instance]\nname = entry-1\ndata_centre = zurich\n[listen]\nhttp = 127.0.0.1:0\n\
         peer = 127.0.0.1:0\noperator = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[store]\n\
         address = 127.0.0.1:1\n[stop]\nnotice = {NOTICE_MS}ms\ndrain = {DRAIN_MS}ms\n\
         {more_settings}"
    );
    let settings = Settings::from_ini("entry-1.ini", &text).unwrap();
    let store = MemoryStore::default();
    let document = format!(
        "{document}[server s]\naddress = {}\ndata_centre = zurich\nslots = 1\nconnections = 8\n\
         state = serving\nchecks_fence = yes\n",
        server.address
    );
    store.write("docs/archive", Expect::Missing, &document, None).await.unwrap();
    let daemon = Daemon::start_with(&settings, &store).unwrap();
    wait_until(|| daemon.traffic().services().contains_key("archive")).await;
    (daemon, store)
}

async fn wait_until(is_reached: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_reached() {
        assert!(started.elapsed() < Duration::from_secs(30), "not reached within 30 s");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends bytes on a new connection and returns what the daemon answers until it closes it.
async fn exchange(address: SocketAddr, request: String) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // The connection may also end with a reset.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

fn send(daemon: &Daemon, method: &str, path: &str) -> JoinHandle<String> {
    let head = format!("{method} /archive/{path} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    tokio::spawn(exchange(daemon.settings().listen.http, head))
}

/// Stops a daemon; returns when it has stopped, which must not take longer than allowed.
async fn stop(daemon: Daemon) {
    let started = Instant::now();
    timeout(STOP_TIMEOUT, daemon.stop()).await.expect("the daemon stops in time");
    let slack = Duration::from_millis(500);
    let allowed = Duration::from_millis(NOTICE_MS + DRAIN_MS);
    assert!(started.elapsed() < allowed + slack, "stopped after {:?}", started.elapsed());
}

fn is_refusal(outcome: &str) -> impl Matcher<&str> {
    all!(starts_with("HTTP/1.1 50"), contains_substring(format!("verbena-outcome: {outcome}\r\n")))
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_for_room() {
    let server = start_server(None).await;
    let (daemon, _store) = start(POOLED, &server, "").await;
    let running = send(&daemon, "POST", "1");
    wait_until(|| server.requests.load(Ordering::Relaxed) == 1).await;
    let waiting = send(&daemon, "POST", "2");
    sleep(Duration::from_millis(100)).await;
    stop(daemon).await;
    expect_that!(waiting.await.unwrap().as_str(), is_refusal("not-run"));
    expect_that!(running.await.unwrap().as_str(), is_refusal("unknown"));
    expect_that!(server.requests.load(Ordering::Relaxed), eq(1));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_at_a_silent_server() {
    let server = start_server(None).await;
    let (daemon, _store) = start(POOLED, &server, "").await;
    let running = send(&daemon, "GET", "1");
    wait_until(|| server.requests.load(Ordering::Relaxed) == 1).await;
    stop(daemon).await;
    expect_that!(running.await.unwrap().as_str(), is_refusal("unknown"));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_for_an_owner() {
    let server = start_server(None).await;
    let (daemon, _store) = start(KEYED, &server, "").await;
    let waiting = send(&daemon, "GET", "a1");
    sleep(Duration::from_millis(100)).await;
    stop(daemon).await;
    expect_that!(waiting.await.unwrap().as_str(), is_refusal("not-run"));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_does_not_end() {
    let server = start_server(None).await;
    let (daemon, _store) = start(POOLED, &server, "").await;
    let head = "POST /archive/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf".to_owned();
    let unfinished = tokio::spawn(exchange(daemon.settings().listen.http, head));
    sleep(Duration::from_millis(100)).await;
    stop(daemon).await;
    let answer = unfinished.await.unwrap();
    expect_that!(answer, contains_substring("verbena-outcome: not-run\r\n"));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_comes_late_in_the_drain() {
    let server = start_server(Some(Duration::from_millis(NOTICE_MS + DRAIN_MS / 2))).await;
    let (daemon, _store) = start(POOLED, &server, "").await;
    let running = send(&daemon, "POST", "1");
    wait_until(|| server.requests.load(Ordering::Relaxed) == 1).await;
    stop(daemon).await;
    expect_that!(running.await.unwrap(), starts_with("HTTP/1.1 200 OK"));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn connection_that_waits_to_be_accepted() {
    let server = start_server(Some(Duration::from_millis(NOTICE_MS + DRAIN_MS / 4))).await;
    let (daemon, _store) = start(POOLED, &server, "[traffic]\nconnections = 1\n").await;
    let running = send(&daemon, "POST", "1");
    wait_until(|| server.requests.load(Ordering::Relaxed) == 1).await;
    let queued = [send(&daemon, "POST", "2"), send(&daemon, "POST", "3")];
    sleep(Duration::from_millis(100)).await;
    stop(daemon).await;
    expect_that!(running.await.unwrap(), starts_with("HTTP/1.1 200 OK"));
    for queued in queued {
        expect_that!(queued.await.unwrap(), starts_with("HTTP/1.1 "));
    }
}
