//! Receives frames of other daemons within bounds.

use std::cmp;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::{Buf, Bytes, BytesMut};
use document::HashMap;
use futures::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use tokio_util::codec::{Decoder, FramedRead};

use crate::link::{MAX_FRAME_BYTES, PROGRESS_TIMEOUT_MS};

/// Bounds on what the connections of other daemons take together.
///
/// A frame of more than 2 KiB waits until there is room for all of it. While others wait, a frame is
/// cut off with its connection if no bytes of it arrive for half a second or if it takes longer than
/// two seconds. A connection above the bound replaces the one from which no frame has come for
/// longest.
#[derive(Debug)]
pub struct ReceiveLimits {
    max_connections: usize,
    max_held_bytes: usize,
    /// A permit for each byte.
    room: Arc<Semaphore>,
    waiting_frames: AtomicUsize,
    wait_began: Notify,
    /// The number of the latest connection or frame.
    latest: AtomicU64,
    closed_connections: AtomicU64,
}

/// A message of another daemon, which holds the room of its frame until it is dropped.
#[derive(Debug)]
pub struct Received<T> {
    /// The message.
    pub message: T,
    /// `None` for a short frame.
    _room: Option<OwnedSemaphorePermit>,
}

/// A frame that waits for room.
struct Waiting<'a>(&'a ReceiveLimits);

/// The open connections.
struct Connections {
    tasks: JoinSet<()>,
    open: HashMap<Id, Open>,
    limits: Arc<ReceiveLimits>,
}

struct Open {
    task: AbortHandle,
    accepted: u64,
    /// The number of the latest frame; 0 if there was none.
    last_frame: Arc<AtomicU64>,
}

/// Splits what is read into frames.
#[derive(Debug)]
struct FrameDecoder {
    /// The length of the frame that is read.
    length: Option<usize>,
    /// When bytes of a frame arrived last.
    progressed_at: Instant,
}

#[derive(Debug)]
enum Part {
    /// The length of a frame that needs room.
    Announced(usize),
    Frame(BytesMut),
}

/// More than the largest fleet has daemons.
const MAX_CONNECTIONS: usize = 16_384;
/// The smallest memory limit of a deployment in force.
const DEFAULT_MEMORY_MB: u32 = 390;
/// The part of the memory limit that large frames may take.
const MEMORY_DIVISOR: usize = 16;
/// The longest frame that needs no room, and the buffer of each connection.
const FREE_BYTES: usize = 2 << 10;
const LENGTH_BYTES: usize = 4;
/// Longer than the system waits before it sends a lost part again.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A sender has passed all of a frame to its system within its own timeout.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2 * PROGRESS_TIMEOUT_MS);
/// How long to wait after a failed accept, for file descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl ReceiveLimits {
    /// Creates bounds; the longest frame always fits.
    #[must_use]
    pub fn new(max_connections: usize, max_held_bytes: usize) -> Self {
        let max_held_bytes = max_held_bytes.clamp(MAX_FRAME_BYTES, Semaphore::MAX_PERMITS);
        Self {
            max_connections,
            max_held_bytes,
            room: Arc::new(Semaphore::new(max_held_bytes)),
            waiting_frames: AtomicUsize::new(0),
            wait_began: Notify::new(),
            latest: AtomicU64::new(0),
            closed_connections: AtomicU64::new(0),
        }
    }

    /// Creates the bounds of a process that may take so much memory; `None` if the limit is unknown.
    #[must_use]
    pub fn for_memory(memory_mb: Option<u32>) -> Self {
        let memory_mb = usize::try_from(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        let memory_bytes = memory_mb.unwrap_or(usize::MAX).saturating_mul(1_000_000);
        Self::new(MAX_CONNECTIONS, memory_bytes / MEMORY_DIVISOR)
    }

    /// Returns how many bytes are reserved for large frames.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.max_held_bytes.saturating_sub(self.room.available_permits())
    }

    /// Returns how many connections were closed for others.
    #[must_use]
    pub fn closed_connections(&self) -> u64 {
        self.closed_connections.load(Ordering::Relaxed)
    }

    /// Waits until there is room for a frame.
    async fn reserve(&self, length: usize) -> Option<OwnedSemaphorePermit> {
        let length = u32::try_from(length).ok()?;
        if let Ok(room) = Arc::clone(&self.room).try_acquire_many_owned(length) {
            return Some(room);
        }
        let _waiting = Waiting::new(self);
        Arc::clone(&self.room).acquire_many_owned(length).await.ok()
    }

    /// Waits until a frame waits for room.
    async fn wait_for_need(&self) {
        loop {
            let began = self.wait_began.notified();
            if self.waiting_frames.load(Ordering::Relaxed) > 0 {
                return;
            }
            began.await;
        }
    }

    fn next_number(&self) -> u64 {
        self.latest.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn count_closed(&self) {
        self.closed_connections.fetch_add(1, Ordering::Relaxed);
    }
}

impl<'a> Waiting<'a> {
    fn new(limits: &'a ReceiveLimits) -> Self {
        limits.waiting_frames.fetch_add(1, Ordering::Relaxed);
        limits.wait_began.notify_waiters();
        Self(limits)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting_frames.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<T> From<T> for Received<T> {
    /// Wraps a message that was not received and holds no room.
    fn from(message: T) -> Self {
        Self { message, _room: None }
    }
}

/// Accepts connections and passes on their messages until the receiver of `messages` is dropped.
///
/// Frames for which `decode` returns `None` are skipped: a later version may have sent them.
pub async fn listen<T: Send + 'static>(
    listener: TcpListener,
    messages: mpsc::Sender<Received<T>>,
    decode: fn(Bytes) -> Option<T>,
    limits: Arc<ReceiveLimits>,
) {
    let mut connections = Connections { tasks: JoinSet::new(), open: HashMap::default(), limits };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.add(stream, messages.clone(), decode),
                // Until then, each further accept would fail at once.
                Err(_no_descriptor) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(ended) = connections.tasks.join_next_with_id() => connections.remove(ended),
            () = messages.closed() => return,
        }
    }
}

impl Connections {
    fn add<T: Send + 'static>(
        &mut self,
        stream: TcpStream,
        messages: mpsc::Sender<Received<T>>,
        decode: fn(Bytes) -> Option<T>,
    ) {
        if self.open.len() >= self.limits.max_connections {
            self.close_quietest();
        }
        let (limits, last_frame) = (Arc::clone(&self.limits), Arc::new(AtomicU64::new(0)));
        let accepted = limits.next_number();
        let counted = Arc::clone(&last_frame);
        let task = self.tasks.spawn(async move {
            receive(stream, messages, decode, &limits, &counted).await;
        });
        self.open.insert(task.id(), Open { task, accepted, last_frame });
    }

    /// Closes the connection from which no frame has come for longest; first those without any.
    fn close_quietest(&mut self) {
        let quietest = self.open.iter().min_by_key(|(_, open)| {
            let last_frame = open.last_frame.load(Ordering::Relaxed);
            (cmp::min(last_frame, 1), cmp::max(last_frame, open.accepted))
        });
        let Some(id) = quietest.map(|(id, _)| *id) else { return };
        if let Some(open) = self.open.remove(&id) {
            open.task.abort();
            self.limits.count_closed();
        }
    }

    fn remove(&mut self, ended: Result<(Id, ()), JoinError>) {
        let id = ended.map_or_else(|error| error.id(), |(id, ())| id);
        self.open.remove(&id);
    }
}

async fn receive<T>(
    stream: TcpStream,
    messages: mpsc::Sender<Received<T>>,
    decode: fn(Bytes) -> Option<T>,
    limits: &ReceiveLimits,
    last_frame: &AtomicU64,
) {
    let mut frames = FramedRead::with_capacity(stream, FrameDecoder::new(), FREE_BYTES);
    while let Some(Ok(part)) = frames.next().await {
        let (frame, room) = match part {
            Part::Frame(frame) => (frame, None),
            Part::Announced(length) => {
                let room = limits.reserve(length).await;
                let Some(frame) = read_rest(&mut frames, limits).await else { return };
                (frame, room)
            }
        };
        last_frame.store(limits.next_number(), Ordering::Relaxed);
        let Some(message) = decode(frame.freeze()) else { continue };
        if messages.send(Received { message, _room: room }).await.is_err() {
            return;
        }
    }
}

/// Reads a frame that has room; returns `None` if it was cut off or broke off.
async fn read_rest(
    frames: &mut FramedRead<TcpStream, FrameDecoder>,
    limits: &ReceiveLimits,
) -> Option<BytesMut> {
    let began_at = Instant::now();
    frames.decoder_mut().progressed_at = began_at;
    loop {
        let deadline =
            cmp::min(frames.decoder().progressed_at + STALL_TIMEOUT, began_at + FRAME_TIMEOUT);
        let is_needed = async {
            sleep_until(deadline).await;
            limits.wait_for_need().await;
        };
        tokio::select! {
            biased;
            part = frames.next() => match part {
                Some(Ok(Part::Frame(frame))) => return Some(frame),
                _ => return None,
            },
            () = is_needed => {}
        }
        let now = Instant::now();
        if now >= began_at + FRAME_TIMEOUT || now >= frames.decoder().progressed_at + STALL_TIMEOUT
        {
            limits.count_closed();
            return None;
        }
    }
}

impl FrameDecoder {
    fn new() -> Self {
        Self { length: None, progressed_at: Instant::now() }
    }
}

impl Decoder for FrameDecoder {
    type Item = Part;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Part>> {
        let Some(length) = self.length else {
            if src.len() < LENGTH_BYTES {
                return Ok(None);
            }
            let length = usize::try_from(src.get_u32()).unwrap_or(usize::MAX);
            if length > MAX_FRAME_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "frame is too long"));
            }
            self.length = Some(length);
            return if length > FREE_BYTES {
                Ok(Some(Part::Announced(length)))
            } else {
                self.decode(src)
            };
        };
        if src.len() < length {
            self.progressed_at = Instant::now();
            src.reserve(length - src.len());
            return Ok(None);
        }
        self.length = None;
        let frame = src.split_to(length);
        if length > FREE_BYTES {
            // Otherwise the connection would keep the memory of its largest frame.
            let mut rest = BytesMut::with_capacity(cmp::max(src.len(), FREE_BYTES));
            rest.extend_from_slice(src);
            *src = rest;
        }
        Ok(Some(Part::Frame(frame)))
    }
}
