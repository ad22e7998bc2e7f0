//! Silent connections must not delay calls that use new connections.
//!
//! A peer or network can go silent without resetting its connections. The first call that times
//! out closes all idle connections of the client, so that the next call opens a new one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use tokio::time::{Duration, timeout};
use web::{Call, Client};

/// The number of idle connections that go silent.
const IDLE_CONNECTIONS: usize = 4;
/// The timeout of the call on a silent connection; nothing answers it.
const SILENT_TIMEOUT_MS: u64 = 50;
/// The timeout of calls that are answered; far above what a loaded machine needs.
const ANSWERED_TIMEOUT_MS: u64 = 20_000;

/// More than the time for which an idle connection without probes is kept.
const IDLE_BOUND: Duration = Duration::from_secs(10);

/// Answers all requests until `is_silent` is set, then only those on new connections.
async fn serve(listener: TcpListener, is_silent: Arc<AtomicBool>, barrier: Arc<Barrier>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let opened_after_silence = is_silent.load(Ordering::SeqCst);
        let (is_silent, barrier) = (Arc::clone(&is_silent), Arc::clone(&barrier));
        tokio::spawn(async move {
            let falls_silent = move || !opened_after_silence && is_silent.load(Ordering::SeqCst);
            answer_requests(stream, falls_silent, (!opened_after_silence).then_some(barrier)).await;
        });
    }
}

async fn answer_requests(
    mut stream: TcpStream,
    is_silent: impl Fn() -> bool,
    barrier: Option<Arc<Barrier>>,
) {
    let mut buffer = [0; 1_024];
    let mut barrier = barrier;
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        if is_silent() {
            std::future::pending::<()>().await;
        }
        // Waits until all first calls are in flight, so that each has its own connection.
        if let Some(barrier) = barrier.take() {
            barrier.wait().await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    }
}

#[googletest::test]
#[tokio::test]
async fn one_timeout_closes_all_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let is_silent = Arc::new(AtomicBool::new(false));
    tokio::spawn(serve(listener, Arc::clone(&is_silent), Arc::new(Barrier::new(IDLE_CONNECTIONS))));

    let mut calls = JoinSet::new();
    for _ in 0..IDLE_CONNECTIONS {
        let client = client.clone();
        calls.spawn(async move { client.call(get(ANSWERED_TIMEOUT_MS)).await.is_ok() });
    }
    assert_that!(calls.join_all().await, each(eq(&true)));

    is_silent.store(true, Ordering::SeqCst);
    let silent_call = client.call(get(SILENT_TIMEOUT_MS)).await;
    expect_that!(silent_call.is_err(), eq(true), "the connection is silent");
    let next_call = client.call(get(ANSWERED_TIMEOUT_MS)).await;
    expect_that!(next_call.is_ok(), eq(true), "the next call uses a new connection");
}

/// Guards against connections to peers that vanished, which no probe ends.
#[googletest::test]
#[tokio::test]
async fn idle_connection_without_probes_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.call(get(ANSWERED_TIMEOUT_MS).without_probes()).await.is_ok() }
    });
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    assert_that!(call.await.unwrap(), eq(true));
    let mut request = Vec::new();
    let end = timeout(IDLE_BOUND, stream.read_to_end(&mut request)).await;
    expect_that!(end.is_ok(), eq(true), "the client keeps the connection");
    drop(client);
}

fn get(timeout_ms: u64) -> Call {
    Call::new(Method::GET, "/").timeout_ms(timeout_ms)
}
