//! Guards against servers that send bytes without end in the head of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use proxy::Link;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Duration, timeout};

/// The most bytes that a server may send in vain: the bound, and what two socket buffers hold.
const MAX_SENT_BYTES: u64 = 16 << 20;
/// Far longer than the bytes up to the bound take.
const TIMEOUT: Duration = Duration::from_mins(1);
const CONNECTIONS: u64 = 100;

/// Starts a server that answers each request with `start` and then `repeated` without end.
///
/// Returns its address and the number of bytes that it has sent.
async fn start_server(
    start: &'static str,
    repeated: &'static str,
) -> (std::net::SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sent = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut request = [0; 1024];
                if stream.read(&mut request).await.is_err() {
                    return;
                }
                let mut bytes = start.as_bytes().to_vec();
                // The connection breaks when the client has had enough.
                while stream.write_all(&bytes).await.is_ok() {
                    sent.fetch_add(u64::try_from(bytes.len()).unwrap(), Ordering::Relaxed);
                    bytes = repeated.repeat(64).into_bytes();
                }
            });
        }
    });
    (address, sent)
}

/// Sends a request and expects that its connection is given up before the server has sent much.
async fn expect_cut(start: &'static str, repeated: &'static str) {
    let (address, sent) = start_server(start, repeated).await;
    let mut requests = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        requests.spawn(async move {
            let mut link = Link::open(address).await.unwrap();
            let request = Request::builder().uri("/x").header("host", "a");
            link.send(request.body(Full::new(Bytes::new())).unwrap()).await.is_err()
        });
    }
    let failed = timeout(TIMEOUT, requests.join_all()).await.expect("a request goes on");
    expect_that!(failed.iter().all(|failed| *failed), eq(true), "{start:?} {repeated:?}");
    let mean_bytes = sent.load(Ordering::Relaxed) / CONNECTIONS;
    expect_that!(mean_bytes, lt(MAX_SENT_BYTES), "{start:?} {repeated:?}");
}

#[googletest::test]
#[tokio::test]
async fn header_lines_without_end() {
    expect_cut("HTTP/1.1 200 OK\r\n", "x-filler: abcdefghijklmnopqrstuvwxyz\r\n").await;
}

#[googletest::test]
#[tokio::test]
async fn header_line_without_end() {
    expect_cut("HTTP/1.1 200 OK\r\nx-filler: ", "abcdefghijklmnopqrstuvwxyz").await;
}

#[googletest::test]
#[tokio::test]
async fn informational_answers_without_end() {
    expect_cut("", "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n").await;
}

#[googletest::test]
#[tokio::test]
async fn bytes_that_are_no_answer() {
    expect_cut("", "garbage that is no answer at all ").await;
}
