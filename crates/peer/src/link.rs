//! TCP connections between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use document::HashMap;
use futures::SinkExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::task::AbortOnDropHandle;

/// The largest frame that is sent or received.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The largest number of frames that wait for one peer; further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 256;
/// The timeout of a connection attempt or a write.
pub(crate) const PROGRESS_TIMEOUT_MS: u64 = 1_000;
/// The backoff after a failed connection attempt.
const RECONNECT_BACKOFF_MS: u64 = 100;

/// The outgoing connections to other daemons, one for each address.
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
    queued_frames: AtomicU64,
    dropped_frames: AtomicU64,
}

impl Links {
    /// Queues a frame for a peer, or drops it if the peer's queue is full.
    ///
    /// The first frame to an address starts a task that connects to it.
    pub fn send(&mut self, to: SocketAddr, frame: Bytes) {
        let counters = &self.counters;
        let link = self.links.entry(to).or_insert_with(|| Link::open(to, Arc::clone(counters)));
        let counter = match link.queue.try_send(frame) {
            Ok(()) => &self.counters.queued_frames,
            Err(_full) => &self.counters.dropped_frames,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the connections to all addresses for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&SocketAddr) -> bool) {
        self.links.retain(|address, _| is_kept(address));
    }

    /// Returns the numbers of bytes written, frames queued, and frames dropped by full queues.
    ///
    /// Queued frames that are lost when a connection fails are not counted as dropped.
    #[must_use]
    pub fn counts(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        (read(&counters.sent_bytes), read(&counters.queued_frames), read(&counters.dropped_frames))
    }
}

impl Link {
    fn open(to: SocketAddr, counters: Arc<Counters>) -> Self {
        let (queue, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
        let task = AbortOnDropHandle::new(tokio::spawn(send_queued(to, queued, counters)));
        Self { queue, _task: task }
    }
}

async fn send_queued(to: SocketAddr, mut queued: mpsc::Receiver<Bytes>, counters: Arc<Counters>) {
    let progress_timeout = Duration::from_millis(PROGRESS_TIMEOUT_MS);
    while let Some(first) = queued.recv().await {
        let Ok(Ok(stream)) = timeout(progress_timeout, TcpStream::connect(to)).await else {
            // The queued frames would be stale once the peer is reachable again.
            while queued.try_recv().is_ok() {}
            sleep(Duration::from_millis(RECONNECT_BACKOFF_MS)).await;
            continue;
        };
        // An error is ignored: without TCP_NODELAY small frames are only delayed.
        drop(stream.set_nodelay(true));
        let mut frames = Framed::new(stream, codec());
        let mut next = Some(first);
        while let Some(frame) = next {
            let length = u64::try_from(frame.len()).unwrap_or(0);
            match timeout(progress_timeout, frames.send(frame)).await {
                Ok(Ok(())) => counters.sent_bytes.fetch_add(length, Ordering::Relaxed),
                _ => break,
            };
            next = queued.recv().await;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
