//! Guards against requests that have arrived when the process closes callers' connections, and
//! that are neither read nor answered.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use googletest::prelude::*;
use proxy::{Clock, Traffic, TrafficLimits};
use telemetry::{Counters, Metrics};
use tokio::io::AsyncReadExt;
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET /missing/x HTTP/1.1\r\nhost: x\r\n\r\n";

/// Callers' connections on the runtime of the test, which does nothing while the test sends.
struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    serving: JoinHandle<usize>,
}

async fn start() -> Server {
    let counters = Arc::new(Counters::default());
    let metrics = Metrics::new(&counters).unwrap();
    let limits = TrafficLimits { head_timeout_ms: 500, ..TrafficLimits::default() };
    let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, limits));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let serving =
        tokio::spawn(proxy::serve(traffic, listener, stop.clone(), CancellationToken::new()));
    Server { address, stop, serving }
}

/// Returns how many answers arrive on a connection until it is closed.
async fn count_answers(stream: TcpStream) -> usize {
    stream.set_nonblocking(true).unwrap();
    let mut stream = tokio::net::TcpStream::from_std(stream).unwrap();
    let mut answer = Vec::new();
    // The connection may also end with a reset.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).matches("HTTP/1.1 404").count()
}

#[googletest::test]
#[tokio::test]
async fn request_on_a_kept_connection() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address).unwrap();
    stream.write_all(REQUEST).unwrap();
    sleep(Duration::from_millis(100)).await;
    stream.write_all(REQUEST).unwrap();
    server.stop.cancel();
    expect_that!(count_answers(stream).await, eq(2));
    server.serving.await.unwrap();
}

#[googletest::test]
#[tokio::test]
async fn request_on_a_connection_that_is_not_accepted_yet() {
    let server = start().await;
    tokio::task::yield_now().await;
    let mut streams: Vec<_> =
        (0..20).map(|_| TcpStream::connect(server.address).unwrap()).collect();
    for stream in &mut streams {
        stream.write_all(REQUEST).unwrap();
    }
    server.stop.cancel();
    for stream in streams {
        expect_that!(count_answers(stream).await, eq(1));
    }
    server.serving.await.unwrap();
}

#[googletest::test]
#[tokio::test]
async fn request_whose_head_has_arrived_in_part() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address).unwrap();
    stream.write_all(&REQUEST[..20]).unwrap();
    sleep(Duration::from_millis(100)).await;
    server.stop.cancel();
    sleep(Duration::from_millis(100)).await;
    stream.write_all(&REQUEST[20..]).unwrap();
    expect_that!(count_answers(stream).await, eq(1));
    server.serving.await.unwrap();
}

#[googletest::test]
#[tokio::test]
async fn connections_without_a_request_end_soon() {
    let server = start().await;
    let mut kept = TcpStream::connect(server.address).unwrap();
    kept.write_all(REQUEST).unwrap();
    let unused = TcpStream::connect(server.address).unwrap();
    let mut partial = TcpStream::connect(server.address).unwrap();
    partial.write_all(&REQUEST[..20]).unwrap();
    sleep(Duration::from_millis(100)).await;
    server.stop.cancel();
    expect_that!(count_answers(kept).await, eq(1));
    let ended = tokio::time::timeout(Duration::from_secs(5), server.serving).await;
    expect_that!(ended.is_ok(), eq(true));
    drop((unused, partial));
}
