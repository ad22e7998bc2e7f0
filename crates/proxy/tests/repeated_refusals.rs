//! Guards against an earlier refusal, written once more, that counts as the answer to a request
//! which the server runs.

mod fixture;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::fixture::{call, header, read_head, start_proxy};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nverbena-refused: shed\r\ncontent-length: 0\r\n\r\n";
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(20);

/// The ids of the requests that ran, in order.
type Runs = Arc<Mutex<Vec<String>>>;

/// Refuses the first request of the first connection; on each later request of that connection
/// writes the refusal once more and runs the request.
async fn serve_connection(mut stream: TcpStream, mut refuses: bool, runs: Runs) {
    let mut repeated = "";
    while let Some(head) = read_head(&mut stream).await {
        if refuses {
            refuses = false;
            repeated = REFUSAL;
            stream.write_all(REFUSAL.as_bytes()).await.unwrap();
            continue;
        }
        let id = header(&head, "request-id").unwrap_or_default().to_owned();
        runs.lock().unwrap().push(id.clone());
        drop(stream.write_all(repeated.as_bytes()).await);
        sleep(RUN_TIME).await;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{id}", id.len());
        drop(stream.write_all(answer.as_bytes()).await);
    }
}

async fn start_server() -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Runs::default();
    let all_runs = Arc::clone(&runs);
    tokio::spawn(async move {
        let mut refuses = true;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, refuses, Arc::clone(&all_runs)));
            refuses = false;
        }
    });
    (address, runs)
}

/// Runs each request, and writes its answer or a refusal once more before the answer to the next one
/// on the connection.
async fn serve_late(mut stream: TcpStream, repeats_refusal: bool, runs: Runs) {
    let mut repeated = String::new();
    while let Some(head) = read_head(&mut stream).await {
        let id = header(&head, "request-id").unwrap_or_default().to_owned();
        let attempt = header(&head, "verbena-attempt").unwrap_or_default();
        runs.lock().unwrap().push(id.clone());
        drop(stream.write_all(repeated.as_bytes()).await);
        sleep(RUN_TIME).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nverbena-attempt: {attempt}\r\ncontent-length: {}\r\n\r\n{id}",
            id.len()
        );
        drop(stream.write_all(answer.as_bytes()).await);
        let refusal = REFUSAL.replace("verbena", &format!("verbena-attempt: {attempt}\r\nverbena"));
        repeated = if repeats_refusal { refusal } else { answer };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_other_attempts_are_not_believed() {
    for repeats_refusal in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let front = start_proxy(listener.local_addr().unwrap()).await;
        let runs = Runs::default();
        let all_runs = Arc::clone(&runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_late(stream, repeats_refusal, Arc::clone(&all_runs)));
            }
        });
        let first = call(front, "POST", "x1").await;
        assert!(first.ends_with("x1"), "{first}");
        let second = call(front, "POST", "x2").await;
        sleep(RUN_TIME * 4).await;
        assert_eq!(*runs.lock().unwrap(), ["x1", "x2"], "each ran once: {second}");
        assert!(second.starts_with("HTTP/1.1 502"), "it may have run: {second}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_is_not_answered_by_the_refusal_of_its_first_attempt() {
    let (server, runs) = start_server().await;
    let answer = call(start_proxy(server).await, "POST", "x1").await;
    sleep(RUN_TIME * 4).await;
    let runs = runs.lock().unwrap().clone();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("x1"), "{answer}");
    assert_eq!(runs, ["x1"], "it ran once: {answer}");
}
