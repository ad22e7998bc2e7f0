//! Guards against heads that are misjudged because a part of them came with the body before.

use std::sync::Arc;

use proxy::{Clock, Traffic, TrafficLimits};
use telemetry::{Counters, Metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

const HEAD: &str = "POST /missing/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKS: usize = 3;
static CHUNK: [u8; 60_000] = [b'x'; 60_000];
/// The end of the first body and the first part of the next head.
const BODY_END: &str = "0\r\n\r\nPOST /missing/y HTTP/1.1\r\nhost: x\r\ntransfer-encod";
const PAUSE: Duration = Duration::from_millis(30);

/// Sends a long body, with whose end the next head begins; returns the answers to both requests.
async fn send(head_end: &str) -> String {
    let counters = Arc::new(Counters::default());
    let metrics = Metrics::new(&counters).unwrap();
    let limits = TrafficLimits::default();
    let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, limits));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stop, end) = (CancellationToken::new(), CancellationToken::new());
    tokio::spawn(proxy::serve(traffic, listener, stop, end));
    stream.write_all(HEAD.as_bytes()).await.unwrap();
    for _ in 0..CHUNKS {
        sleep(PAUSE).await;
        stream.write_all(format!("{:x}\r\n", CHUNK.len()).as_bytes()).await.unwrap();
        stream.write_all(&CHUNK).await.unwrap();
        stream.write_all(b"\r\n").await.unwrap();
    }
    sleep(PAUSE).await;
    stream.write_all(BODY_END.as_bytes()).await.unwrap();
    sleep(PAUSE).await;
    stream.write_all(head_end.as_bytes()).await.unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    answers
}

#[tokio::test]
async fn head_that_begins_with_the_end_of_a_body_is_found() {
    let answers = send("ing: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n").await;
    assert_eq!(answers.matches("HTTP/1.1 404").count(), 2, "{answers}");
}

#[tokio::test]
async fn ambiguous_head_that_begins_with_the_end_of_a_body_is_refused() {
    let answers = send("ing: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n").await;
    assert_eq!(answers.matches("HTTP/1.1 404").count(), 1, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 400").count(), 1, "{answers}");
}
