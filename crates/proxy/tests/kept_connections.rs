//! Guards against connections that are kept although the next request would wait or fail on them,
//! and against the loss of one that was idle for long and is taken as the reset of a full server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::Bytes;
use document::{Server, ServerState};
use http::Request;
use http_body_util::{BodyExt, Full};
use proxy::{Clock, Link, Upstream};
use route::ServerState as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep, timeout};

/// The idle timeout that the server states; a connection is reused for half of it.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// More than half of the time for which an idle connection is reused, and less than all of it.
const LONG_IDLE: Duration = Duration::from_millis(1_400);

async fn listen() -> (TcpListener, Upstream) {
    let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.unwrap();
    let server = Server {
        name: "s".into(),
        address: listener.local_addr().unwrap(),
        data_centre: "a".into(),
        slots: 4,
        max_connections: 4,
        key_groups: Vec::new(),
        state: ServerState::Serving,
        checks_fence: true,
    };
    (listener, Upstream::new(server, 1, Clock::start()))
}

/// Opens a connection and keeps it, as after an answer.
async fn keep_one(listener: &TcpListener, upstream: &Upstream) -> TcpStream {
    let link: Link = upstream.connect().await.unwrap();
    assert!(link.is_fresh() && !link.is_recently_used());
    let (stream, from) = listener.accept().await.unwrap();
    assert_eq!(from.ip(), IpAddr::V4(Ipv4Addr::LOCALHOST));
    upstream.keep(link, Some(IDLE_TIMEOUT_MS));
    stream
}

#[tokio::test]
async fn connection_that_is_reused_at_once_is_recently_used() {
    let (listener, upstream) = listen().await;
    let _stream = keep_one(&listener, &upstream).await;
    let link = upstream.connect().await.unwrap();
    assert!(!link.is_fresh() && link.is_recently_used());
}

#[tokio::test]
async fn connection_that_was_idle_for_long_is_not_recently_used() {
    let (listener, upstream) = listen().await;
    let _stream = keep_one(&listener, &upstream).await;
    sleep(LONG_IDLE).await;
    let link = upstream.connect().await.unwrap();
    assert!(!link.is_fresh() && !link.is_recently_used());
}

#[tokio::test]
async fn reset_keeps_other_connections_and_a_loss_closes_them() {
    let (listener, upstream) = listen().await;
    let _stream = keep_one(&listener, &upstream).await;
    upstream.on_reset(0);
    assert!(upstream.has_idle());
    assert!(upstream.is_avoided(0), "requests that others can serve go elsewhere");
    upstream.on_connection_loss();
    assert!(!upstream.has_idle());
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// More than the buffers of two sockets hold.
const LARGE_BYTES: usize = 32 << 20;

/// Sends a request, to which the server answers after it has read some bytes of it, and keeps the
/// connection.
async fn keep_answered(
    listener: &TcpListener,
    upstream: &Upstream,
    (body_bytes, answer): (usize, Vec<u8>),
) -> TcpStream {
    let mut link = upstream.connect().await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let body = Full::new(Bytes::from(vec![0; body_bytes]));
    let request = Request::post("/x").header("host", "a").body(body).unwrap();
    let (response, ()) = tokio::join!(link.send(request), async {
        stream.read_u8().await.unwrap();
        stream.write_all(&answer).await.unwrap();
    });
    assert_eq!(response.unwrap().into_body().collect().await.unwrap().to_bytes(), "ok");
    upstream.keep(link, Some(IDLE_TIMEOUT_MS));
    stream
}

#[tokio::test]
async fn connection_with_a_second_answer_is_not_reused() {
    let (listener, upstream) = listen().await;
    let _stream = keep_answered(&listener, &upstream, (0, ANSWER.repeat(2))).await;
    assert!(upstream.connect().await.unwrap().is_fresh());
}

#[tokio::test]
async fn connection_on_which_more_arrives_is_not_reused() {
    let (listener, upstream) = listen().await;
    let mut stream = keep_answered(&listener, &upstream, (0, ANSWER.to_vec())).await;
    stream.write_all(b"H").await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(upstream.connect().await.unwrap().is_fresh());
}

#[tokio::test]
async fn connection_on_which_a_body_is_still_sent_is_not_waited_for() {
    let (listener, upstream) = listen().await;
    let stream = keep_answered(&listener, &upstream, (LARGE_BYTES, ANSWER.to_vec())).await;
    let link = timeout(Duration::from_millis(200), upstream.connect()).await;
    assert!(link.expect("it waits for the rest of the body").unwrap().is_fresh());
    drop(stream);
}
