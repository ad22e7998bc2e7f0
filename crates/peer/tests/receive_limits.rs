//! Guards against connections of other daemons that take memory without end, and against bounds
//! on them that hurt sound ones.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use peer::{MAX_FRAME_BYTES, ReceiveLimits, Received, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep, timeout};

const MAX_HELD_BYTES: usize = 24 << 20;
/// Daemons of a large fleet, each of which sends a report on all keys at once.
const DAEMONS: usize = 300;
const REPORT_BYTES: usize = 400 << 10;
const SMALL_BYTES: usize = 500;
const QUEUED_FRAMES: usize = 4_096;
const TIMEOUT: Duration = Duration::from_secs(30);

struct Listener {
    address: SocketAddr,
    limits: Arc<ReceiveLimits>,
    frames: mpsc::Receiver<Received<Bytes>>,
}

impl Listener {
    async fn start(max_connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Arc::new(ReceiveLimits::new(max_connections, MAX_HELD_BYTES));
        let (messages, frames) = mpsc::channel(QUEUED_FRAMES);
        tokio::spawn(listen(listener, messages, Some, Arc::clone(&limits)));
        Self { address, limits, frames }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Receives so many frames; returns the number of those that have this length.
    async fn receive(&mut self, count: usize, length: usize) -> usize {
        let mut found = 0;
        for _ in 0..count {
            let frame = timeout(TIMEOUT, self.frames.recv()).await.expect("a frame").unwrap();
            found += usize::from(frame.message.len() == length);
        }
        found
    }
}

fn frame(length: usize) -> Vec<u8> {
    let mut bytes = vec![7; 4 + length];
    bytes[..4].copy_from_slice(&u32::try_from(length).unwrap().to_be_bytes());
    bytes
}

/// Sends all but the last byte of the longest frame on each connection.
async fn send_unfinished(listener: &Listener, connections: usize) -> JoinSet<()> {
    let bytes: Arc<[u8]> = frame(MAX_FRAME_BYTES).into();
    let mut senders = JoinSet::new();
    for _ in 0..connections {
        let (mut stream, bytes) = (listener.connect().await, Arc::clone(&bytes));
        senders.spawn(async move {
            drop(stream.write_all(&bytes[..bytes.len() - 1]).await);
            std::future::pending::<()>().await;
        });
    }
    senders
}

async fn send_reports(listener: &Listener, daemons: usize, size: usize) -> JoinSet<TcpStream> {
    let bytes: Arc<[u8]> = frame(size).into();
    let mut senders = JoinSet::new();
    for _ in 0..daemons {
        let (mut stream, bytes) = (listener.connect().await, Arc::clone(&bytes));
        senders.spawn(async move {
            stream.write_all(&bytes).await.unwrap();
            stream
        });
    }
    senders
}

#[tokio::test]
async fn unfinished_frames_hold_no_more_than_their_part() {
    let listener = Listener::start(1_000).await;
    let _senders = send_unfinished(&listener, 61).await;
    let mut held_bytes = 0;
    for _ in 0..20 {
        sleep(Duration::from_millis(100)).await;
        held_bytes = held_bytes.max(listener.limits.held_bytes());
    }
    assert!(held_bytes > MAX_HELD_BYTES / 2, "{held_bytes} bytes");
    assert!(held_bytes <= MAX_HELD_BYTES, "{held_bytes} bytes");
}

#[tokio::test]
async fn large_frames_arrive_beside_unfinished_ones() {
    let mut listener = Listener::start(1_000).await;
    let _unfinished = send_unfinished(&listener, 61).await;
    let _reports = send_reports(&listener, DAEMONS, REPORT_BYTES).await;
    assert_eq!(listener.receive(DAEMONS, REPORT_BYTES).await, DAEMONS);
}

#[tokio::test]
async fn reports_of_a_large_fleet_at_once() {
    let mut listener = Listener::start(1_000).await;
    let _reports = send_reports(&listener, DAEMONS, REPORT_BYTES).await;
    assert_eq!(listener.receive(DAEMONS, REPORT_BYTES).await, DAEMONS);
    assert_eq!(listener.limits.closed_connections(), 0);
    let _largest = send_reports(&listener, 20, MAX_FRAME_BYTES).await;
    assert_eq!(listener.receive(20, MAX_FRAME_BYTES).await, 20);
    assert_eq!(listener.limits.closed_connections(), 0);
    assert_eq!(listener.limits.held_bytes(), 0);
}

#[tokio::test]
async fn frames_that_are_not_handled_hold_their_room() {
    let mut listener = Listener::start(1_000).await;
    let _reports = send_reports(&listener, 20, MAX_FRAME_BYTES).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(listener.frames.len(), MAX_HELD_BYTES / MAX_FRAME_BYTES);
    assert_eq!(listener.receive(20, MAX_FRAME_BYTES).await, 20);
    assert_eq!(listener.limits.closed_connections(), 0);
}

#[tokio::test]
async fn small_frames_need_no_room() {
    let mut listener = Listener::start(1_000).await;
    let _unfinished = send_unfinished(&listener, 6).await;
    let held = async {
        while listener.limits.held_bytes() < MAX_HELD_BYTES - MAX_FRAME_BYTES {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, held).await.expect("little room left");
    let _reports = send_reports(&listener, DAEMONS, SMALL_BYTES).await;
    assert_eq!(listener.receive(DAEMONS, SMALL_BYTES).await, DAEMONS);
    assert_eq!(listener.limits.closed_connections(), 0);
}

#[tokio::test]
async fn slow_frame_goes_on_while_there_is_room() {
    let mut listener = Listener::start(1_000).await;
    let mut stream = listener.connect().await;
    let bytes = frame(REPORT_BYTES);
    let (first, last) = bytes.split_at(REPORT_BYTES / 2);
    stream.write_all(first).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    stream.write_all(last).await.unwrap();
    assert_eq!(listener.receive(1, REPORT_BYTES).await, 1);
}

#[tokio::test]
async fn silent_connections_make_way_for_new_ones() {
    let mut listener = Listener::start(20).await;
    let mut sender = listener.connect().await;
    sender.write_all(&frame(SMALL_BYTES)).await.unwrap();
    assert_eq!(listener.receive(1, SMALL_BYTES).await, 1);
    let mut silent = Vec::new();
    for _ in 0..60 {
        silent.push(listener.connect().await);
    }
    let first = timeout(TIMEOUT, silent[0].read(&mut [0; 1])).await;
    assert!(!matches!(first.expect("a closed connection"), Ok(1..)));
    sender.write_all(&frame(SMALL_BYTES)).await.unwrap();
    silent[59].write_all(&frame(SMALL_BYTES)).await.unwrap();
    assert_eq!(listener.receive(2, SMALL_BYTES).await, 2);
    assert_eq!(listener.limits.closed_connections(), 41);
}
