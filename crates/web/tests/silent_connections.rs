//! Connections that went silent must not hold up calls on new ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use web::{Call, Client};

/// How many connections the client keeps before they go silent.
const KEPT: usize = 4;
/// The limit of the call that meets a silent connection: nothing answers it.
const SILENT_LIMIT_MS: u64 = 50;
/// The limit of calls that are answered; far above what a loaded machine needs.
const ANSWERED_LIMIT_MS: u64 = 20_000;

/// Answers on each connection until all connections up to then go silent.
async fn serve(listener: TcpListener, is_silent: Arc<AtomicBool>, together: Arc<Barrier>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let was_silent = is_silent.load(Ordering::SeqCst);
        let (is_silent, together) = (Arc::clone(&is_silent), Arc::clone(&together));
        tokio::spawn(async move {
            // A connection from after the silence answers.
            let ends = move || !was_silent && is_silent.load(Ordering::SeqCst);
            converse(stream, ends, (!was_silent).then_some(together)).await;
        });
    }
}

async fn converse(
    mut stream: TcpStream,
    is_silent: impl Fn() -> bool,
    first: Option<Arc<Barrier>>,
) {
    let mut buffer = [0; 1_024];
    let mut together = first;
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        if is_silent() {
            std::future::pending::<()>().await;
        }
        // All first calls are in flight at once, so that each has its own connection.
        if let Some(together) = together.take() {
            together.wait().await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    }
}

#[googletest::test]
#[tokio::test]
async fn one_timeout_suffices() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let is_silent = Arc::new(AtomicBool::new(false));
    tokio::spawn(serve(listener, Arc::clone(&is_silent), Arc::new(Barrier::new(KEPT))));

    let mut calls = JoinSet::new();
    for _ in 0..KEPT {
        let client = client.clone();
        calls.spawn(async move { client.call(get(ANSWERED_LIMIT_MS)).await.is_ok() });
    }
    assert_that!(calls.join_all().await, each(eq(&true)));

    is_silent.store(true, Ordering::SeqCst);
    let silenced = client.call(get(SILENT_LIMIT_MS)).await;
    expect_that!(silenced.is_err(), eq(true), "the connection is silent");
    let renewed = client.call(get(ANSWERED_LIMIT_MS)).await;
    expect_that!(renewed.is_ok(), eq(true), "calls after it take a new connection");
}

fn get(limit_ms: u64) -> Call {
    Call::new(Method::GET, "/").limit_ms(limit_ms)
}
