//! A server that checks no fence gets requests only while the route lease lasts.

mod fixture;

use crate::fixture::{call, read_head, start_leased_proxy};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Duration, sleep, timeout};

const LEASE_MS: u64 = 500;

/// Guards against a request written after the lease expired while the connection was opened.
#[tokio::test]
async fn slow_connection_outlasts_lease() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    // With a backlog of 0, one connection that is not accepted keeps the next one waiting.
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let front = start_leased_proxy(address, LEASE_MS).await;
    let blocker = TcpStream::connect(address).await.unwrap();
    let caller = tokio::spawn(async move { call(front, "GET", "1").await });
    sleep(Duration::from_millis(LEASE_MS + 200)).await;
    drop(listener.accept().await.unwrap());
    drop(blocker);
    let (mut stream, _) = listener.accept().await.unwrap();
    let head = timeout(Duration::from_millis(500), read_head(&mut stream)).await;
    assert!(!matches!(head, Ok(Some(_))), "the server got {head:?}");
    caller.abort();
}
