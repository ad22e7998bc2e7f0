//! The connections between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use document::HashMap;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::task::AbortOnDropHandle;

/// The largest frame that is sent or taken.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// How many packets wait for a peer before more are dropped.
const QUEUE_PACKETS: usize = 256;
/// How long a connection attempt or a write may take.
const PROGRESS_TIMEOUT_MS: u64 = 1_000;
/// The pause before the next connection attempt.
const RECONNECT_MS: u64 = 100;

/// The connections to the other daemons.
#[derive(Debug, Default)]
pub struct Links {
    links: HashMap<SocketAddr, Link>,
    counters: Arc<Counters>,
}

#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Bytes>,
    _task: AbortOnDropHandle<()>,
}

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    sent_packets: AtomicU64,
    dropped_packets: AtomicU64,
}

impl Links {
    /// Sends a frame, or drops it when the peer does not take them fast enough.
    pub fn send(&mut self, to: SocketAddr, frame: Bytes) {
        let counters = &self.counters;
        let link = self.links.entry(to).or_insert_with(|| Link::open(to, Arc::clone(counters)));
        let counter = match link.queue.try_send(frame) {
            Ok(()) => &self.counters.sent_packets,
            Err(_full) => &self.counters.dropped_packets,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the connections to all but some addresses.
    pub fn retain(&mut self, is_kept: impl Fn(&SocketAddr) -> bool) {
        self.links.retain(|address, _| is_kept(address));
    }

    /// Returns how many bytes were written, and how many packets were queued and dropped.
    #[must_use]
    pub fn counts(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        (read(&counters.sent_bytes), read(&counters.sent_packets), read(&counters.dropped_packets))
    }
}

impl Link {
    fn open(to: SocketAddr, counters: Arc<Counters>) -> Self {
        let (queue, packets) = mpsc::channel(QUEUE_PACKETS);
        let task = AbortOnDropHandle::new(tokio::spawn(run(to, packets, counters)));
        Self { queue, _task: task }
    }
}

/// Receives packets from every connection, until the receiver of `packets` is gone.
///
/// A frame that `decode` cannot read comes from a later version and is skipped.
pub async fn listen<T: Send + 'static>(
    listener: TcpListener,
    packets: mpsc::Sender<T>,
    decode: fn(Bytes) -> Option<T>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(receive(stream, packets.clone(), decode));
                }
            }
            Some(_) = connections.join_next() => {}
            () = packets.closed() => return,
        }
    }
}

async fn receive<T>(stream: TcpStream, packets: mpsc::Sender<T>, decode: fn(Bytes) -> Option<T>) {
    let mut frames = Framed::new(stream, codec());
    while let Some(Ok(frame)) = frames.next().await {
        let Some(packet) = decode(frame.freeze()) else { continue };
        if packets.send(packet).await.is_err() {
            return;
        }
    }
}

async fn run(to: SocketAddr, mut packets: mpsc::Receiver<Bytes>, counters: Arc<Counters>) {
    let limit = Duration::from_millis(PROGRESS_TIMEOUT_MS);
    while let Some(first) = packets.recv().await {
        let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(to)).await else {
            // What waits for an unreachable peer is stale by the time it comes back.
            while packets.try_recv().is_ok() {}
            sleep(Duration::from_millis(RECONNECT_MS)).await;
            continue;
        };
        // Small packets must not wait for each other; without this they are only slower.
        drop(stream.set_nodelay(true));
        let mut frames = Framed::new(stream, codec());
        let mut next = Some(first);
        while let Some(frame) = next {
            let length = u64::try_from(frame.len()).unwrap_or(0);
            match timeout(limit, frames.send(frame)).await {
                Ok(Ok(())) => counters.sent_bytes.fetch_add(length, Ordering::Relaxed),
                _ => break,
            };
            next = packets.recv().await;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
