//! Guards against answers that break off and look complete to the caller.

mod fixture;

use std::net::SocketAddr;

use crate::fixture::{Received, call_with, header, read_head, start_proxy};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};

/// An answer with a body of 12 bytes, unless its status allows none.
struct Answer {
    head: &'static str,
    body: &'static str,
    /// Whether the body ends with the connection.
    has_no_length: bool,
}

/// How a server ends the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Closed,
    Reset,
}

const BODY: &str = "twelve bytes";
const CHUNKS: &str = "6\r\ntwelve\r\n6;x=1\r\n bytes\r\n0\r\nx-trailer: a\r\n\r\n";
const SIZED: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nserver: a\r\ncontent-length: 12\r\nx-last: b\r\n\r\n",
    "HTTP/1.0 200 OK\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 200\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\ncontent-length: 12\n\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 12\r\n\r\n",
];
const CHUNKED: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n",
];
const WITHOUT_LENGTH: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nserver: a\r\n\r\n",
    "HTTP/1.0 200 OK\r\nserver: a\r\n\r\n",
    "HTTP/1.1 200 OK\nserver: a\n\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
];
/// Heads with more than one reading of where the body ends; none may pass as a success.
const AMBIGUOUS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\ncontent-length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\ncontent-length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 12, 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\ntransfer-encoding: identity\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
    "HTTP/1.1 200 OK\r\nserver: a\r\n folded\r\ncontent-length: 12\r\n\r\n",
];
/// Chunks whose decoded body is not the one that the server encoded.
const ENCODED: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n",
];
const WORKERS: usize = 8;

fn answers() -> Vec<Answer> {
    let with = |heads: &[&'static str], body, has_no_length| {
        heads.iter().map(|head| Answer { head, body, has_no_length }).collect::<Vec<_>>()
    };
    let no_body = ["HTTP/1.1 204 No Content\r\nserver: a\r\n\r\n"];
    [
        with(&SIZED, BODY, false),
        with(&CHUNKED, CHUNKS, false),
        with(&WITHOUT_LENGTH, BODY, true),
        with(&AMBIGUOUS, BODY, false),
        with(&ENCODED, CHUNKS, false),
        with(&no_body, "", false),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Answers requests; breaks off after the bytes that `x-cut` states, as `x-end` states.
async fn serve(mut stream: TcpStream) {
    while let Some(head) = read_head(&mut stream).await {
        let Some(cut) = header(&head, "x-cut").and_then(|cut| cut.parse::<usize>().ok()) else {
            let answer = format!("{}{BODY}", SIZED[0]);
            drop(stream.write_all(answer.as_bytes()).await);
            continue;
        };
        let answer = &answers()[header(&head, "x-answer").unwrap().parse::<usize>().unwrap()];
        let bytes = format!("{}{}", answer.head, answer.body).into_bytes();
        drop(stream.write_all(&bytes[..cut]).await);
        if header(&head, "x-end") == Some("Reset") {
            // The bytes are read before the reset arrives.
            sleep(Duration::from_millis(3)).await;
            drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
        }
        return;
    }
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Returns why a caller may not get this, if the server sent `cut` bytes of an answer.
fn find_fault(answer: &Answer, cut: usize, end: End, received: &Received) -> Option<&'static str> {
    if !(received.is_complete() && received.status().is_some_and(|status| status / 100 == 2)) {
        return None;
    }
    let body = received.body();
    let sent = format!("{}{}", answer.head, answer.body);
    if AMBIGUOUS.contains(&answer.head) || ENCODED.contains(&answer.head) {
        return Some("its end is ambiguous");
    }
    if answer.has_no_length {
        let is_whole = end == End::Closed && cut >= answer.head.len();
        let sent_body = sent.get(answer.head.len()..cut).unwrap_or_default();
        return (!is_whole || body != sent_body).then_some("it ended early");
    }
    let whole = if answer.body.is_empty() { "" } else { BODY };
    // The end of the chunks is not needed to know the last byte of the body.
    (cut < sent.len() || body != whole).then_some("it is not whole")
}

/// Sends a request for each answer cut at each byte, and returns the faults.
async fn run(worker: usize, server: SocketAddr) -> (usize, Vec<String>) {
    let front = start_proxy(server).await;
    let (mut sent, mut faults) = (0, Vec::new());
    for (number, answer) in answers().iter().enumerate() {
        for cut in (0..=answer.head.len() + answer.body.len()).skip(worker).step_by(WORKERS) {
            for (end, is_kept) in
                [End::Closed, End::Reset].map(|end| [(end, false), (end, true)]).concat()
            {
                if is_kept {
                    call_with(front, "POST", "").await;
                }
                let lines = format!("x-cut: {cut}\r\nx-answer: {number}\r\nx-end: {end:?}\r\n");
                let received = call_with(front, "POST", &lines).await;
                sent += 1;
                if let Some(fault) = find_fault(answer, cut, end, &received) {
                    let head = answer.head;
                    faults.push(format!("{head:?} cut at {cut}, {end:?}: {fault}: {received:?}"));
                }
            }
        }
    }
    (sent, faults)
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_cut_at_each_byte() {
    let server = start_server().await;
    let mut workers = JoinSet::new();
    for worker in 0..WORKERS {
        workers.spawn(run(worker, server));
    }
    let results = workers.join_all().await;
    let sent: usize = results.iter().map(|(sent, _)| sent).sum();
    let faults: Vec<String> = results.into_iter().flat_map(|(_, faults)| faults).collect();
    println!("{sent} requests, {} faults", faults.len());
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_asks_for_another_protocol() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = start_proxy(listener.local_addr().unwrap()).await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let answer =
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
        drop(stream.write_all(answer.as_bytes()).await);
        sleep(Duration::from_secs(1)).await;
    });
    let received = call_with(front, "POST", "").await;
    assert_eq!(received.status(), Some(502), "{received:?}");
}
