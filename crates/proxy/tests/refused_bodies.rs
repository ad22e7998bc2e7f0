//! Guards against refusals that are lost because the connection ends while the caller still sends.

use std::sync::Arc;

use googletest::prelude::*;
use proxy::{Clock, Traffic, TrafficLimits};
use telemetry::{Counters, Metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

const PIECES: usize = 6;
const PIECE: [u8; 10_000] = [b'x'; 10_000];
const REQUEST: &str = "GET /missing/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

/// Sends a request with a body in pieces for a service that does not exist; then another one.
///
/// Returns what is answered, or an error if the connection ends too soon.
async fn send_in_pieces(headers: &str, is_stopping: bool) -> std::io::Result<String> {
    let counters = Arc::new(Counters::default());
    let metrics = Metrics::new(&counters).unwrap();
    let limits = TrafficLimits::default();
    let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, limits));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (stop, end) = (CancellationToken::new(), CancellationToken::new());
    tokio::spawn(proxy::serve(traffic, listener, stop.clone(), end));
    let mut stream = TcpStream::connect(address).await?;
    let head = format!("POST /missing/x HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PIECES {
        // The connection must not end while the caller is still sending.
        sleep(Duration::from_millis(30)).await;
        if is_stopping {
            stop.cancel();
        }
        stream.write_all(&PIECE).await?;
    }
    stream.write_all(REQUEST.as_bytes()).await?;
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await?;
    Ok(answers)
}

fn length_header() -> String {
    format!("content-length: {}\r\n", PIECES * PIECE.len())
}

#[googletest::test]
#[tokio::test]
async fn body_of_a_refused_request() {
    let answers = send_in_pieces(&length_header(), false).await.unwrap();
    expect_that!(answers.matches("HTTP/1.1 404").count(), eq(2), "{answers}");
}

#[googletest::test]
#[tokio::test]
async fn body_of_a_refused_request_during_a_stop() {
    let answers = send_in_pieces(&length_header(), true).await.unwrap();
    expect_that!(answers, starts_with("HTTP/1.1 404"));
}

#[googletest::test]
#[tokio::test]
async fn body_with_ambiguous_framing() {
    let headers = format!("transfer-encoding: chunked\r\n{}", length_header());
    let answers = send_in_pieces(&headers, false).await.unwrap();
    expect_that!(answers.matches("HTTP/1.1 ").count(), eq(1), "{answers}");
    expect_that!(answers, starts_with("HTTP/1.1 400"));
}
