//! Guards against the loss of a connection that was idle for long and is taken as the reset of a
//! full server.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use document::{Server, ServerState};
use proxy::{Clock, Link, Upstream};
use route::ServerState as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

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
