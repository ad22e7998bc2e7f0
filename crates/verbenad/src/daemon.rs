//! Starting and stopping the threads of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

use error_stack::ResultExt;
use peer::ReceiveLimits;
use proxy::{Clock, Traffic};
use spdlog::{error, info, warn};
use store::{HttpStore, Store};
use telemetry::{Counters, Metrics};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;

use crate::control_thread::ControlThread;
use crate::input::Input;
use crate::{Error, Listen, Result, Settings, StopSettings, admin, operators, watch};

/// A running daemon.
///
/// Its threads keep running if it is dropped without [`Daemon::stop`] or [`Daemon::kill`].
#[derive(Debug)]
pub struct Daemon {
    tokens: Tokens,
    traffic: Arc<Traffic>,
    settings: Settings,
    threads: Vec<JoinHandle<()>>,
}

/// The tokens that stop a daemon, cancelled in this order on a graceful stop.
#[derive(Clone, Debug, Default)]
struct Tokens {
    /// The daemon resigns as controller of every service and reports that it is not ready.
    stop: CancellationToken,
    /// No connection of a caller or an operator is accepted; open ones close after the answers in
    /// progress.
    close: CancellationToken,
    /// All callers' connections have ended.
    served: CancellationToken,
    /// All threads end at once; answers in progress are cut off.
    end: CancellationToken,
    /// A thread has ended, by a stop or by a fault.
    ended: CancellationToken,
}

/// The listening sockets of a daemon, opened before any thread starts.
struct Sockets {
    http: std::net::TcpListener,
    peer: std::net::TcpListener,
    operator: std::net::TcpListener,
    admin: std::net::TcpListener,
}

/// The longest time between the deadline of answers and the end of the drain, in which they are
/// written.
const MAX_MARGIN_MS: u64 = 600;
/// The part of a short drain timeout that this time takes.
const MARGIN_DIVISOR: u64 = 10;
/// The capacity of the control thread's queue, and of the queue of packets in front of it.
const MAX_QUEUED_INPUTS: usize = 4_096;

impl Daemon {
    /// Starts a daemon on its own threads, with the store that the settings name.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used, or if metrics or a thread cannot be started.
    pub fn start(settings: &Settings) -> Result<Self> {
        let store = HttpStore::new(settings.store, settings.store_timeout_ms);
        Self::start_with(settings, &store)
    }

    /// Starts a daemon on its own threads, with another client of the store.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used, or if metrics or a thread cannot be started.
    pub fn start_with<S: Store + std::fmt::Debug>(settings: &Settings, store: &S) -> Result<Self> {
        let mut settings = settings.clone();
        let sockets = Sockets::open(&mut settings.listen)?;
        let counters = Arc::new(Counters::default());
        let metrics =
            Metrics::new(&counters).change_context_lazy(|| Error::new("cannot set up metrics"))?;
        let traffic = Arc::new(Traffic::new(Clock::start(), counters, metrics, settings.limits));
        let buffers = Arc::clone(&traffic.buffers);
        traffic.metrics.observe(
            "verbena_buffered_bytes",
            "memory reserved for bodies",
            move || u64::try_from(buffers.used_bytes()).unwrap_or(u64::MAX),
        );
        let tokens = Tokens::default();
        let Sockets { http, peer, operator, admin } = sockets;
        let control = {
            let (settings, store) = (settings.clone(), store.clone());
            let (traffic, tokens) = (Arc::clone(&traffic), tokens.clone());
            move || run_control(settings, &store, &traffic, &tokens, (peer, operator, admin))
        };
        let serve_traffic = {
            let (threads, traffic, tokens) =
                (settings.threads, Arc::clone(&traffic), tokens.clone());
            move || run_traffic(threads, traffic, &tokens, http)
        };
        let threads =
            vec![spawn("control", &tokens, control)?, spawn("traffic", &tokens, serve_traffic)?];
        let name = settings.instance.as_str();
        info!("daemon started", kv: { instance = name, http:? = settings.listen.http });
        Ok(Self { tokens, traffic, settings, threads })
    }

    /// Returns the settings in force; port 0 is replaced by the port that the system assigned.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the state that the request path and the control thread share.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Waits until a thread, or a task that the daemon cannot do without, has ended.
    ///
    /// Before a stop that is a fault. The daemon then goes on with what it knew until then, so it
    /// should be stopped and started again.
    pub async fn ended(&self) {
        self.tokens.ended.cancelled().await;
    }

    /// Stops gracefully: answers in progress are finished within the drain timeout.
    ///
    /// The daemon resigns as controller, reports that it is not ready, and accepts connections for
    /// another `notice_ms`. Then it closes the listener and waits up to `drain_ms`. A request that
    /// cannot be answered by then is refused, at once if that is known; of answers that have begun,
    /// the rest is cut off.
    pub async fn stop(self) {
        let settings = &self.settings;
        self.traffic.stop.begin(answer_deadline_ms(self.traffic.clock.now_ms(), settings.stop));
        self.tokens.stop.cancel();
        sleep(Duration::from_millis(settings.stop.notice_ms)).await;
        self.tokens.close.cancel();
        let end = self.tokens.end.clone();
        let drain = Duration::from_millis(settings.stop.drain_ms);
        let drain_timer = tokio::spawn(async move {
            sleep(drain).await;
            end.cancel();
        });
        let threads = self.threads;
        // `end` is cancelled earlier when all callers and operators have their answers.
        drop(tokio::task::spawn_blocking(move || threads.into_iter().for_each(join)).await);
        drain_timer.abort();
    }

    /// Stops at once, as if the process had crashed: without resigning or deregistering.
    pub fn kill(self) {
        self.tokens.end.cancel();
        self.tokens.close.cancel();
        self.threads.into_iter().for_each(join);
    }
}

impl Sockets {
    /// Opens all sockets, and replaces port 0 in `listen` by the port that the system assigned.
    fn open(listen: &mut Listen) -> Result<Self> {
        Ok(Self {
            http: bind("http", &mut listen.http)?,
            peer: bind("peer", &mut listen.peer)?,
            operator: bind("operator", &mut listen.operator)?,
            admin: bind("admin", &mut listen.admin)?,
        })
    }
}

/// Returns when callers must have been answered if a stop begins now.
fn answer_deadline_ms(now_ms: u64, stop: StopSettings) -> u64 {
    let margin_ms = (stop.drain_ms / MARGIN_DIVISOR).min(MAX_MARGIN_MS);
    now_ms.saturating_add(stop.notice_ms).saturating_add(stop.drain_ms - margin_ms)
}

fn bind(key: &str, address: &mut SocketAddr) -> Result<std::net::TcpListener> {
    let requested = *address;
    let failed = || {
        Error::new(format!(
            "cannot listen on [listen] {key} = {requested}, expected a free local address"
        ))
    };
    let listener = std::net::TcpListener::bind(requested).change_context_lazy(failed)?;
    listener.set_nonblocking(true).change_context_lazy(failed)?;
    *address = listener.local_addr().change_context_lazy(failed)?;
    Ok(listener)
}

fn spawn(
    name: &str,
    tokens: &Tokens,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>> {
    let ended = tokens.ended.clone().drop_guard();
    let run = move || {
        // Dropped at the end of the thread, also by a panic.
        let _ended = ended;
        run();
    };
    Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .change_context_lazy(|| Error::new(format!("cannot start thread {name}")))
}

fn join(thread: JoinHandle<()>) {
    // The panic of a thread has already been reported by the panic hook.
    drop(thread.join());
}

/// Runs the control thread and the tasks that feed it, until `end` is cancelled.
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
        .expect("a current-thread runtime can be built");
    runtime.block_on(async {
        let (inputs, queue) = mpsc::channel(MAX_QUEUED_INPUTS);
        let from_std = |listener| {
            TcpListener::from_std(listener).expect("the socket is open and non-blocking")
        };
        let counters = &traffic.counters;
        let serve_operators = operators::serve(
            from_std(operator),
            store.clone(),
            inputs.clone(),
            tokens.close.clone(),
        );
        let mut tasks = JoinSet::new();
        let limits = Arc::new(ReceiveLimits::for_memory(None));
        observe_peers(&traffic.metrics, &limits);
        tasks.spawn(receive_packets(from_std(peer), inputs.clone(), limits));
        tasks.spawn(end_when_served(serve_operators, tokens.clone()));
        tasks.spawn(admin::serve(
            from_std(admin),
            tokens.end.clone(),
            Arc::clone(traffic),
            inputs.clone(),
        ));
        tasks.spawn(watch::follow(
            store.clone(),
            watch::DOCUMENTS_PREFIX,
            Arc::clone(counters),
            inputs.clone(),
            Input::Documents,
        ));
        tasks.spawn(watch::follow(
            store.clone(),
            watch::INSTANCES_PREFIX,
            Arc::clone(counters),
            inputs.clone(),
            Input::Instances,
        ));
        tasks.spawn(watch::register(store.clone(), settings.clone(), Arc::clone(counters)));
        let key = format!("{}{}", watch::INSTANCES_PREFIX, settings.instance);
        let control_thread = ControlThread::new(
            settings,
            store.clone(),
            Arc::clone(traffic),
            new_incarnation(),
            inputs,
        );
        tokio::select! {
            () = control_thread.run(queue, tokens.stop.clone(), tokens.end.clone()) => {}
            Some(ended) = tasks.join_next() => log_ended_task(&ended, tokens),
        }
        tasks.abort_all();
        if tokens.stop.is_cancelled() {
            // Without this, the entry of this instance would stay until its lease expires.
            drop(store.remove(&key).await);
        }
    });
}

/// Logs the end of a task that the control thread cannot do without, except at the end of all.
fn log_ended_task(ended: &std::result::Result<(), JoinError>, tokens: &Tokens) {
    if !tokens.end.is_cancelled() {
        let cause = ended.as_ref().map_or_else(ToString::to_string, |()| "it returned".to_owned());
        error!("task ended, the control thread ends", kv: { cause });
    }
}

/// Serves operators, and ends the threads once callers and operators have their answers.
async fn end_when_served(serve_operators: impl Future<Output = ()>, tokens: Tokens) {
    serve_operators.await;
    tokens.served.cancelled().await;
    tokens.end.cancel();
}

/// Exports what the connections of other daemons take and how many were closed for others.
fn observe_peers(metrics: &Metrics, limits: &Arc<ReceiveLimits>) {
    let (held, closed) = (Arc::clone(limits), Arc::clone(limits));
    metrics.observe(
        "verbena_peer_frame_bytes",
        "memory reserved for frames of other daemons",
        move || u64::try_from(held.held_bytes()).unwrap_or(u64::MAX),
    );
    metrics.observe(
        "verbena_peer_connections_closed",
        "connections of other daemons closed for others",
        move || closed.closed_connections(),
    );
}

/// Receives packets of other daemons and forwards them to the control thread.
async fn receive_packets(
    listener: TcpListener,
    inputs: mpsc::Sender<Input>,
    limits: Arc<ReceiveLimits>,
) {
    let (packets, mut received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let decode = |frame| peer::Packet::from_bytes(frame).ok();
    let listening = peer::listen(listener, packets, decode, limits);
    let forwarding = async {
        while let Some(packet) = received.recv().await {
            if inputs.send(Input::Packet(packet)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(listening, forwarding);
}

/// Serves callers until `close` is cancelled and their connections have ended.
///
/// Cancelling `end` cuts off the remaining connections.
fn run_traffic(threads: u32, traffic: Arc<Traffic>, tokens: &Tokens, http: std::net::TcpListener) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(usize::try_from(threads).unwrap_or(1))
        .thread_name("carry")
        .enable_all()
        .build()
        .expect("the worker threads of the runtime can be started");
    runtime.block_on(async {
        let listener = TcpListener::from_std(http).expect("the socket is open and non-blocking");
        let connections =
            proxy::serve(traffic, listener, tokens.close.clone(), tokens.end.clone()).await;
        if connections > 0 {
            warn!("connections cut off", kv: { connections });
        }
    });
    // Answers still in progress are cut off: after the drain timeout, or because of `kill`.
    runtime.shutdown_background();
    tokens.served.cancel();
}

/// Returns a number that in practice differs from that of every earlier process of this instance.
///
/// The process id separates two starts at the same clock reading.
fn new_incarnation() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let nanos = u64::try_from(since_1970.as_nanos()).unwrap_or(u64::MAX);
    nanos ^ u64::from(std::process::id()).rotate_left(32)
}
