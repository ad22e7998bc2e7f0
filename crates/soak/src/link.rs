//! A TCP proxy on the loopback interface that injects network faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::probes;

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkMode {
    /// Passes bytes on.
    Pass,
    /// Passes bytes on with a delay, even if the connection is reset meanwhile.
    Delay,
    /// Holds bytes back in both directions, and the ends of connections too.
    ///
    /// What a connection sent that its client has reset meanwhile is dropped. If the client has
    /// keepalive probes, the connection ends for it as if its kernel had given it up, and what it
    /// sent still arrives once the mode changes.
    Silence,
    /// Passes bytes to the target and holds back those from it.
    OneWay,
    /// Resets open and new connections.
    Refuse,
    /// Refuses new connections; open ones go on.
    Closed,
    /// Like [`LinkMode::Silence`], and lets new connections hang.
    Hang,
}

/// A proxy from a listening address to a target port.
#[derive(Debug)]
pub struct Link {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    /// The mode, as an index into [`MODES`].
    mode: Arc<AtomicU8>,
    target_port: Arc<AtomicU64>,
    /// How much later bytes arrive in [`LinkMode::Delay`].
    delay_ms: Arc<AtomicU64>,
    /// The number of resets; each change resets all open connections.
    resets: watch::Sender<u64>,
}

/// All modes; a mode is stored as its index in this array.
const MODES: [LinkMode; 7] = [
    LinkMode::Pass,
    LinkMode::Delay,
    LinkMode::Silence,
    LinkMode::OneWay,
    LinkMode::Refuse,
    LinkMode::Closed,
    LinkMode::Hang,
];
/// How much later bytes arrive in [`LinkMode::Delay`] unless a delay is set.
const DEFAULT_DELAY_MS: u64 = 60;
/// More connections than a listener of the shortest queue takes.
const QUEUED_CONNECTIONS: usize = 4;
/// How long after the last answer of its peer a client's kernel gives a connection up: an idle time of
/// a second and two probes a second apart.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a link looks again whether a client has probes.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often a link that holds bytes back checks its mode again.
///
/// A connection also stays open this long after one of its ends has closed.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Link {
    /// Opens a link to a port on the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn open(target_port: u16) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(0));
        let target_port = Arc::new(AtomicU64::new(u64::from(target_port)));
        let delay_ms = Arc::new(AtomicU64::new(DEFAULT_DELAY_MS));
        let (resets, reset) = watch::channel(0);
        tokio::spawn(run(
            listener,
            Arc::clone(&mode),
            Arc::clone(&target_port),
            Arc::clone(&delay_ms),
            reset,
        ));
        Ok(Self { address, mode, target_port, delay_ms, resets })
    }

    /// Sets how much later bytes arrive in [`LinkMode::Delay`].
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Sets the mode, also for connections that are already open.
    pub fn set_mode(&self, mode: LinkMode) {
        let index = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(u8::try_from(index).unwrap_or(0), Ordering::Relaxed);
        if mode == LinkMode::Refuse {
            self.reset();
        }
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Sends new connections to another port and resets open ones.
    pub fn set_target(&self, port: u16) {
        self.target_port.store(u64::from(port), Ordering::Relaxed);
        self.reset();
    }
}

fn current_mode(mode: &AtomicU8) -> LinkMode {
    MODES[usize::from(mode.load(Ordering::Relaxed)) % MODES.len()]
}

/// Accepts connections and proxies each in a task of its own.
async fn run(
    listener: TcpListener,
    mode: Arc<AtomicU8>,
    target_port: Arc<AtomicU64>,
    delay_ms: Arc<AtomicU64>,
    reset: watch::Receiver<u64>,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        if current_mode(&mode) == LinkMode::Closed {
            drop(listener.take());
            refuse(address, &mode).await;
            continue;
        }
        if current_mode(&mode) == LinkMode::Hang {
            drop(listener.take());
            hang(address, &mode).await;
            continue;
        }
        let Some(open) = &listener else {
            // The port may be in use for a moment; then the next round tries again.
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                sleep(MODE_CHECK_INTERVAL).await;
            }
            continue;
        };
        let Ok(accepted) = timeout(MODE_CHECK_INTERVAL, open.accept()).await else { continue };
        let Ok((client, _)) = accepted else { return };
        let (mode, delay_ms) = (Arc::clone(&mode), Arc::clone(&delay_ms));
        let mut reset = reset.clone();
        let port = u16::try_from(target_port.load(Ordering::Relaxed)).unwrap_or(0);
        tokio::spawn(async move {
            // With a linger time of zero, closing the socket sends a reset, as a broken link would.
            drop(SockRef::from(&client).set_linger(Some(Duration::ZERO)));
            reset.mark_unchanged();
            if current_mode(&mode) == LinkMode::Refuse {
                return;
            }
            let Ok(target) = TcpStream::connect(("127.0.0.1", port)).await else { return };
            let Ok(peer) = client.peer_addr() else { return };
            let (client_read, mut client_write) = client.into_split();
            let (target_read, mut target_write) = target.into_split();
            let path = Path::new(mode, delay_ms);
            let end = tokio::select! {
                end = copy(client_read, &mut target_write, &path, true) => end,
                end = copy(target_read, &mut client_write, &path, false) => end,
                _ = reset.changed() => CopyEnd::Closed,
                () = keepalive_timeout(peer, address, &path) => CopyEnd::GivenUp,
            };
            if end != CopyEnd::Closed {
                // Dropping the half would end the connection before closing the socket resets it.
                client_write.forget();
            }
            if end == CopyEnd::GivenUp {
                path.deliver_held(&mut target_write).await;
            }
        });
    }
}

/// Refuses new connections until the mode changes.
///
/// The port stays bound, so that no other process gets it meanwhile.
async fn refuse(address: SocketAddr, mode: &AtomicU8) {
    let _bound = bind(address);
    while current_mode(mode) == LinkMode::Closed {
        sleep(MODE_CHECK_INTERVAL).await;
    }
}

/// Binds a socket that does not listen.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Sockets of earlier connections may still use the port.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Lets new connections hang until the mode changes.
///
/// The kernel drops the first packet of a connection to a listener whose queue is full.
async fn hang(address: SocketAddr, mode: &AtomicU8) {
    let Ok(socket) = bind(address) else {
        sleep(MODE_CHECK_INTERVAL).await;
        return;
    };
    let Ok(_listener) = socket.listen(1) else { return };
    let mut queued = JoinSet::new();
    for _ in 0..QUEUED_CONNECTIONS {
        queued.spawn(TcpStream::connect(address));
    }
    while current_mode(mode) == LinkMode::Hang {
        sleep(MODE_CHECK_INTERVAL).await;
    }
}

/// A connection through a link, as far as both of its directions know it.
#[derive(Debug)]
struct Path {
    mode: Arc<AtomicU8>,
    delay_ms: Arc<AtomicU64>,
    /// What the client has sent and the link holds back.
    held: Mutex<Vec<u8>>,
}

/// How a connection through a link ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CopyEnd {
    /// One of its ends has closed it.
    Closed,
    /// The target has reset it.
    Reset,
    /// The client's kernel has given it up; the target has not learned of it.
    GivenUp,
}

impl Path {
    fn new(mode: Arc<AtomicU8>, delay_ms: Arc<AtomicU64>) -> Self {
        Self { mode, delay_ms, held: Mutex::default() }
    }

    fn mode(&self) -> LinkMode {
        current_mode(&self.mode)
    }

    fn is_held(&self, is_to_target: bool) -> bool {
        match self.mode() {
            LinkMode::Silence | LinkMode::Hang => true,
            LinkMode::OneWay => !is_to_target,
            _ => false,
        }
    }

    fn set_held(&self, bytes: &[u8]) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.clear();
        held.extend_from_slice(bytes);
    }

    /// Sends the target what the link holds back, once the mode allows it.
    async fn deliver_held(&self, to: &mut OwnedWriteHalf) {
        let held = std::mem::take(&mut *self.held.lock().unwrap_or_else(PoisonError::into_inner));
        while self.is_held(true) {
            sleep(MODE_CHECK_INTERVAL).await;
        }
        drop(to.write_all(&held).await);
        close(to).await;
    }
}

/// Waits until the client's kernel gives a connection up because keepalive probes are not answered.
///
/// Linux waits longer while sent bytes are not acknowledged; the users' platform does not.
///
/// While the link passes bytes, probes are answered too.
async fn keepalive_timeout(client: SocketAddr, link: SocketAddr, path: &Path) {
    let mut held_since = None;
    loop {
        sleep(MODE_CHECK_INTERVAL).await;
        if !path.is_held(false) {
            held_since = None;
            continue;
        }
        let deadline = *held_since.get_or_insert_with(Instant::now) + KEEPALIVE_TIMEOUT;
        if Instant::now() < deadline {
            continue;
        }
        if probes::is_probed(client.port(), link.port()).await {
            return;
        }
        // A timer that is just firing is not listed.
        sleep(PROBE_CHECK_INTERVAL).await;
    }
}

/// Copies bytes in one direction until an end closes, as the mode of the link demands.
async fn copy(
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    path: &Path,
    is_to_target: bool,
) -> CopyEnd {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) => break,
            Ok(count) => count,
            Err(_) if !is_to_target && path.mode() == LinkMode::Pass => return CopyEnd::Reset,
            Err(_) => break,
        };
        let was_held = path.is_held(is_to_target);
        if was_held && is_to_target {
            path.set_held(&buffer[..count]);
        }
        while path.is_held(is_to_target) {
            sleep(MODE_CHECK_INTERVAL).await;
        }
        if path.mode() == LinkMode::Delay {
            sleep(Duration::from_millis(path.delay_ms.load(Ordering::Relaxed))).await;
        }
        if was_held && is_to_target {
            path.set_held(&[]);
        }
        if was_held && matches!(from.as_ref().take_error(), Ok(Some(_)) | Err(_)) {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    while matches!(path.mode(), LinkMode::Silence | LinkMode::Hang) {
        sleep(MODE_CHECK_INTERVAL).await;
    }
    close(to).await;
    CopyEnd::Closed
}

/// Ends a direction and gives the bytes already written time to arrive: the caller drops the other
/// direction too.
async fn close(to: &mut OwnedWriteHalf) {
    drop(to.shutdown().await);
    sleep(MODE_CHECK_INTERVAL).await;
}
