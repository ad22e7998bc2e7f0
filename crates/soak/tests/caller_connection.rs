//! Callers know whether a request was read by the process that closed its connection.
use soak::{CallerConnection, Exchange, RequestBytes};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant, sleep};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Sends a request to a peer that handles the connection, and returns how the exchange ended.
async fn exchange<F: Future<Output = ()> + Send + 'static>(
    peer: impl FnOnce(TcpStream) -> F,
    send_delay: Duration,
) -> Exchange {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection = CallerConnection::open(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    tokio::spawn(peer(stream));
    sleep(send_delay).await;
    let request = RequestBytes { first: REQUEST.to_vec(), rest: None };
    let deadline = Instant::now() + Duration::from_secs(5);
    connection.exchange(&request, deadline, &mut None).await
}

async fn read_request(stream: &mut TcpStream) {
    stream.read_exact(&mut [0; REQUEST.len()]).await.unwrap();
}

/// Returns whether the request counts as read, if the connection was closed.
fn has_read(exchange: &Exchange) -> Option<bool> {
    if let Exchange::Cut { has_read } = exchange { Some(*has_read) } else { None }
}

#[tokio::test]
async fn closed_after_reading() {
    let peer = async |mut stream: TcpStream| read_request(&mut stream).await;
    assert_eq!(has_read(&exchange(peer, Duration::ZERO).await), Some(true));
}

#[tokio::test]
async fn closed_without_reading() {
    let peer = async |stream: TcpStream| {
        stream.readable().await.unwrap();
    };
    assert_eq!(has_read(&exchange(peer, Duration::ZERO).await), Some(false));
}

#[tokio::test]
async fn closed_after_a_part() {
    let peer = async |mut stream: TcpStream| {
        stream.read_exact(&mut [0; 4]).await.unwrap();
    };
    assert_eq!(has_read(&exchange(peer, Duration::ZERO).await), Some(false));
}

#[tokio::test]
async fn closed_before_sending() {
    let peer = async |stream: TcpStream| drop(stream);
    assert_eq!(has_read(&exchange(peer, Duration::from_millis(100)).await), Some(false));
}

#[tokio::test]
async fn closed_within_an_answer() {
    let peer = async |mut stream: TcpStream| {
        read_request(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc").await.unwrap();
    };
    assert_eq!(has_read(&exchange(peer, Duration::ZERO).await), Some(true));
}

#[tokio::test]
async fn more_than_an_answer() {
    let peer = async |mut stream: TcpStream| {
        read_request(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabc").await.unwrap();
    };
    assert!(matches!(exchange(peer, Duration::ZERO).await, Exchange::Invalid(_)));
}

#[tokio::test]
async fn whole_answer() {
    let peer = async |mut stream: TcpStream| {
        read_request(&mut stream).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nab";
        stream.write_all(answer).await.unwrap();
    };
    let Exchange::Answer(answer) = exchange(peer, Duration::ZERO).await else {
        panic!("expected an answer");
    };
    assert!(answer.closes);
    assert_eq!(answer.response.body(), "ab");
}
