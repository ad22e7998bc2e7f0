//! Guards against a request whose framing is judged by bytes of another one on its connection.

use std::sync::Arc;

use proxy::{Clock, Traffic, TrafficLimits};
use telemetry::{Counters, Metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep, timeout};
use tokio_util::sync::CancellationToken;

const SOUND: &str =
    "POST /missing/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
const AMBIGUOUS: &str = "POST /missing/x HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
    transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
const LAST: &str = "GET /missing/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const PAUSE: Duration = Duration::from_millis(30);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends pieces with pauses between them; returns the statuses of the answers.
async fn send<'a>(pieces: impl IntoIterator<Item = &'a [u8]>, pause: Duration) -> Vec<u16> {
    let counters = Arc::new(Counters::default());
    let metrics = Metrics::new(&counters).unwrap();
    let limits = TrafficLimits::default();
    let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, limits));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (stop, end) = (CancellationToken::new(), CancellationToken::new());
    tokio::spawn(proxy::serve(traffic, listener, stop, end));
    for piece in pieces {
        stream.write_all(piece).await.unwrap();
        sleep(pause).await;
    }
    let mut answers = String::new();
    let read = stream.read_to_string(&mut answers);
    timeout(ANSWER_TIMEOUT, read).await.expect("a closed connection").unwrap();
    let statuses = answers.split("HTTP/1.1 ").skip(1);
    statuses.map(|answer| answer[..3].parse().unwrap()).collect()
}

async fn send_at_once(bytes: &str) -> Vec<u16> {
    send([bytes.as_bytes()], Duration::ZERO).await
}

#[tokio::test]
async fn ambiguous_request_before_a_sound_one() {
    assert_eq!(send_at_once(&format!("{AMBIGUOUS}{SOUND}")).await, [400]);
}

#[tokio::test]
async fn sound_request_before_an_ambiguous_one() {
    assert_eq!(send_at_once(&format!("{SOUND}{AMBIGUOUS}")).await, [404, 400]);
}

#[tokio::test]
async fn request_line_in_a_header() {
    let header = "x: POST /missing/x HTTP/1.1\r\ntransfer-encoding";
    let request = AMBIGUOUS.replace("transfer-encoding", header);
    assert_eq!(send_at_once(&request).await, [400]);
}

#[tokio::test]
async fn length_after_a_bare_line_feed() {
    let request = AMBIGUOUS.replace("host: x\r\n", "host: x\n");
    assert_eq!(send_at_once(&request).await, [400]);
}

#[tokio::test]
async fn sound_requests_that_are_spelled_otherwise() {
    let lines = SOUND.replace("HTTP/1.1\r\n", "HTTP/1.1\n");
    let target = SOUND.replace("POST /", "POST http://x/");
    assert_eq!(send_at_once(&format!("{lines}{target}{LAST}")).await, [404, 404, 404]);
}

#[tokio::test]
async fn bodies_that_contain_heads() {
    let chunked = SOUND.replace(
        "\r\n0\r\n",
        &format!("\r\n{:X};a=b\r\n{AMBIGUOUS}\r\n0002 \r\n\r\n\r\n0\r\na: b\r\n", AMBIGUOUS.len()),
    );
    let sized = format!(
        "POST /missing/x HTTP/1.1\r\nhost: x\r\nContent-Length: {}\r\n\r\n{SOUND}\r\n",
        SOUND.len()
    );
    let bytes = format!("{chunked}{sized}{SOUND}{sized}{chunked}{AMBIGUOUS}");
    let statuses = [404, 404, 404, 404, 404, 400];
    assert_eq!(send_at_once(&bytes).await, statuses);
    assert_eq!(send(bytes.as_bytes().chunks(1), Duration::ZERO).await, statuses);
}

/// Sends a long body, with whose end a head begins that comes in two pieces.
async fn send_after_body(head_end: &str) -> Vec<u16> {
    let chunk = format!("{:x}\r\n{}\r\n", 60_000, "x".repeat(60_000));
    let head = SOUND.replace("0\r\n\r\n", "");
    let body_end = "0\r\n\r\nPOST /missing/y HTTP/1.1\r\nhost: x\r\ntransfer-encod";
    let pieces = [&head, &chunk, &chunk, &chunk, body_end, head_end];
    send(pieces.map(str::as_bytes), PAUSE).await
}

#[tokio::test]
async fn head_that_begins_with_the_end_of_a_refused_body() {
    let sound = "ing: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n";
    assert_eq!(send_after_body(sound).await, [404, 404]);
    let ambiguous = "ing: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n";
    assert_eq!(send_after_body(ambiguous).await, [404, 400]);
}
