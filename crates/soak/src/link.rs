//! A proxy on the loopback interface that breaks links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Duration, sleep};

/// What a link does to bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass late.
    Delay,
    /// They vanish, and nobody is told.
    Silence,
    /// They pass to the server and not back.
    OneWay,
    /// Connections are reset.
    Refuse,
}

/// A link from a listening address to a target.
#[derive(Debug)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    target: Arc<AtomicU64>,
    resets: watch::Sender<u64>,
}

const MODES: [Mode; 5] = [Mode::Pass, Mode::Delay, Mode::Silence, Mode::OneWay, Mode::Refuse];
const DELAY: Duration = Duration::from_millis(60);
/// How often a silent link looks whether it works again.
const LOOK_EVERY: Duration = Duration::from_millis(50);

impl Link {
    /// Opens a link to a port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn open(target_port: u16) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(0));
        let target = Arc::new(AtomicU64::new(u64::from(target_port)));
        let (resets, reset) = watch::channel(0);
        tokio::spawn(run(listener, Arc::clone(&mode), Arc::clone(&target), reset));
        Ok(Self { address, mode, target, resets })
    }

    /// Sets what the link does from now on, also to connections that are open.
    pub fn set(&self, mode: Mode) {
        let at = MODES.iter().position(|known| *known == mode).unwrap_or(0);
        self.mode.store(u8::try_from(at).unwrap_or(0), Ordering::Relaxed);
        if mode == Mode::Refuse {
            self.reset();
        }
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Leads new connections to another port.
    pub fn lead_to(&self, port: u16) {
        self.target.store(u64::from(port), Ordering::Relaxed);
        self.reset();
    }
}

fn now(mode: &AtomicU8) -> Mode {
    MODES[usize::from(mode.load(Ordering::Relaxed)) % MODES.len()]
}

async fn run(
    listener: TcpListener,
    mode: Arc<AtomicU8>,
    target: Arc<AtomicU64>,
    reset: watch::Receiver<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (mode, mut reset) = (Arc::clone(&mode), reset.clone());
        let port = u16::try_from(target.load(Ordering::Relaxed)).unwrap_or(0);
        tokio::spawn(async move {
            // A dropped connection is reset, as a broken link would do.
            drop(SockRef::from(&near).set_linger(Some(Duration::ZERO)));
            reset.mark_unchanged();
            if now(&mode) == Mode::Refuse {
                return;
            }
            let Ok(far) = TcpStream::connect(("127.0.0.1", port)).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = copy(near_read, far_write, &mode, true) => {}
                () = copy(far_read, near_write, &mode, false) => {}
                _ = reset.changed() => {}
            }
        });
    }
}

/// Copies bytes until one end closes; waits while the link is silent.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &AtomicU8, is_there: bool) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        loop {
            match now(mode) {
                Mode::Pass | Mode::Refuse => break,
                Mode::OneWay if is_there => break,
                Mode::Delay => {
                    sleep(DELAY).await;
                    break;
                }
                Mode::Silence | Mode::OneWay => sleep(LOOK_EVERY).await,
            }
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // What was already copied still arrives; the other direction ends with the select.
    drop(to.shutdown().await);
    sleep(LOOK_EVERY).await;
}
