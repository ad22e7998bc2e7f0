//! The threads of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::ResultExt;
use proxy::{Clock, Traffic};
use spdlog::info;
use store::{HttpStore, Store};
use telemetry::{Counters, Metrics};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::input::Input;
use crate::node::Node;
use crate::{Error, Listen, Result, Settings, admin, operators, watch};

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    tokens: Tokens,
    traffic: Arc<Traffic>,
    settings: Settings,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone, Debug, Default)]
struct Tokens {
    /// The daemon steps down as leader everywhere and says that it is not ready.
    stop: CancellationToken,
    /// Callers' connections end with the answers in progress.
    close: CancellationToken,
    /// Everything ends at once.
    end: CancellationToken,
}

/// The sockets of a daemon, opened before anything else.
struct Sockets {
    http: std::net::TcpListener,
    peer: std::net::TcpListener,
    operator: std::net::TcpListener,
    admin: std::net::TcpListener,
}

/// How many inputs wait for the control thread.
const INPUTS: usize = 4_096;

impl Daemon {
    /// Starts a daemon on threads of its own.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or a thread cannot be started.
    pub fn start(settings: &Settings) -> Result<Self> {
        let store = HttpStore::new(settings.store, settings.store_timeout_ms);
        Self::start_with(settings, &store)
    }

    /// Starts a daemon with another client of the platform's service.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or a thread cannot be started.
    pub fn start_with<S: Store + std::fmt::Debug>(settings: &Settings, store: &S) -> Result<Self> {
        let mut settings = settings.clone();
        let sockets = Sockets::open(&mut settings.listen)?;
        let counters = Arc::new(Counters::default());
        let metrics =
            Metrics::new(&counters).change_context_lazy(|| Error::new("metrics cannot start"))?;
        let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, settings.limits));
        let tokens = Tokens::default();
        let Sockets { http, peer, operator, admin } = sockets;
        let control = {
            let (settings, store) = (settings.clone(), store.clone());
            let (traffic, tokens) = (Arc::clone(&traffic), tokens.clone());
            move || run_control(settings, &store, &traffic, &tokens, (peer, operator, admin))
        };
        let carry = {
            let (threads, traffic, tokens) =
                (settings.threads, Arc::clone(&traffic), tokens.clone());
            move || run_traffic(threads, traffic, &tokens, http)
        };
        let threads = vec![spawn("control", control)?, spawn("traffic", carry)?];
        let name = settings.instance.as_str();
        info!("daemon started", kv: { instance = name, http:? = settings.listen.http });
        Ok(Self { tokens, traffic, settings, threads })
    }

    /// Returns the settings in force; a port that was 0 is the one that was found.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the shared state of the request path.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Stops gracefully: no answer in progress is cut off unless it takes too long.
    pub async fn stop(self) {
        let settings = &self.settings;
        self.tokens.stop.cancel();
        sleep(Duration::from_millis(settings.stop.notice_ms)).await;
        self.tokens.close.cancel();
        let end = self.tokens.end.clone();
        let drain = Duration::from_millis(settings.stop.drain_ms);
        let limit = tokio::spawn(async move {
            sleep(drain).await;
            end.cancel();
        });
        let threads = self.threads;
        // The traffic thread ends the others when it has finished.
        drop(tokio::task::spawn_blocking(move || threads.into_iter().for_each(join)).await);
        limit.abort();
    }

    /// Ends at once, as a lost process would.
    pub fn kill(self) {
        self.tokens.end.cancel();
        self.tokens.close.cancel();
        self.threads.into_iter().for_each(join);
    }
}

impl Sockets {
    /// Opens all sockets, and notes the ports that were found for port 0.
    fn open(listen: &mut Listen) -> Result<Self> {
        Ok(Self {
            http: bind("http", &mut listen.http)?,
            peer: bind("peer", &mut listen.peer)?,
            operator: bind("operator", &mut listen.operator)?,
            admin: bind("admin", &mut listen.admin)?,
        })
    }
}

fn bind(what: &str, address: &mut SocketAddr) -> Result<std::net::TcpListener> {
    let wanted = *address;
    let failed = || {
        Error::new(format!("[listen] {what} = {wanted} cannot be used, expected a free address"))
    };
    let listener = std::net::TcpListener::bind(wanted).change_context_lazy(failed)?;
    listener.set_nonblocking(true).change_context_lazy(failed)?;
    *address = listener.local_addr().change_context_lazy(failed)?;
    Ok(listener)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .change_context_lazy(|| Error::new(format!("thread {name} cannot start")))
}

fn join(thread: JoinHandle<()>) {
    // A thread that panicked has already said so.
    drop(thread.join());
}

fn run_control<S: Store + std::fmt::Debug>(
    settings: Settings,
    store: &S,
    traffic: &Arc<Traffic>,
    tokens: &Tokens,
    (peer, operator, admin): (std::net::TcpListener, std::net::TcpListener, std::net::TcpListener),
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a current-thread runtime needs nothing that can be missing");
    runtime.block_on(async {
        let (inputs, queue) = mpsc::channel(INPUTS);
        let from_std = |listener| {
            TcpListener::from_std(listener).expect("the socket is open and does not block")
        };
        let counters = &traffic.counters;
        let tasks = [
            tokio::spawn(peer_packets(from_std(peer), inputs.clone())),
            tokio::spawn(operators::serve(from_std(operator), store.clone(), inputs.clone())),
            tokio::spawn(admin::serve(
                from_std(admin),
                tokens.end.clone(),
                Arc::clone(traffic),
                inputs.clone(),
            )),
            tokio::spawn(watch::follow(
                store.clone(),
                watch::DOCUMENTS,
                Arc::clone(counters),
                inputs.clone(),
                Input::Documents,
            )),
            tokio::spawn(watch::follow(
                store.clone(),
                watch::INSTANCES,
                Arc::clone(counters),
                inputs.clone(),
                Input::Instances,
            )),
            tokio::spawn(watch::register(store.clone(), settings.clone(), Arc::clone(counters))),
        ];
        let key = format!("{}{}", watch::INSTANCES, settings.instance);
        let node =
            Node::new(settings, store.clone(), Arc::clone(traffic), new_incarnation(), inputs);
        node.run(queue, tokens.stop.clone(), tokens.end.clone()).await;
        for task in &tasks {
            task.abort();
        }
        if tokens.stop.is_cancelled() {
            // The lease ends the entry too, only later.
            drop(store.remove(&key).await);
        }
    });
}

async fn peer_packets(listener: TcpListener, inputs: mpsc::Sender<Input>) {
    let (packets, mut received) = mpsc::channel(INPUTS);
    let listening = peer::listen(listener, packets, |frame| peer::Packet::from_bytes(frame).ok());
    let passing = async {
        while let Some(packet) = received.recv().await {
            if inputs.send(Input::Packet(packet)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(listening, passing);
}

fn run_traffic(threads: u32, traffic: Arc<Traffic>, tokens: &Tokens, http: std::net::TcpListener) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(usize::try_from(threads).unwrap_or(1))
        .thread_name("carry")
        .enable_all()
        .build()
        .expect("a runtime needs nothing that can be missing but threads");
    runtime.block_on(async {
        let listener = TcpListener::from_std(http).expect("the socket is open and does not block");
        proxy::serve(traffic, listener, tokens.close.clone(), tokens.end.clone()).await;
    });
    // Nothing is left to finish; what is cut off now took longer than it may.
    runtime.shutdown_background();
    tokens.end.cancel();
}

/// Returns a number that no earlier process on this instance has used.
fn new_incarnation() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(since_1970.as_nanos()).unwrap_or(u64::MAX);
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}
