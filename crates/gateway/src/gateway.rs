//! The process: its threads, and how it starts and stops.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use document::{Name, Revision};
use error_stack::{Report, ResultExt};
use peer::{FleetFrame, ReceiveLimits};
use proxy::{BufferBudget, Clock};
use store::Store;
use telemetry::{Counters, Metrics};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::control::era::follow_era;
use crate::control::follow::{DAEMONS_PREFIX, DaemonEntry, FLEET_PREFIX, Follower, register};
use crate::control::input::{Input, Topic};
use crate::control::node::{Node, NodeParts};
use crate::control::operators_relay::OperatorsControl;
use crate::essential_tasks::EssentialTasks;
use crate::request::front::{self, StopSignals};
use crate::{Dialect, Orders, Settings, Shared, Source, StopPlan, gauges, status};

/// The implementations through which a gateway uses its platform.
#[derive(Clone, Debug)]
pub struct Ports<S, O, R> {
    /// The platform's store.
    pub store: S,
    /// Sends orders to servers.
    pub orders: O,
    /// Parses documents and servers' entries.
    pub source: R,
    /// The names of HTTP headers.
    pub dialect: Dialect,
}

/// The daemon for sites whose servers register themselves.
#[derive(Debug)]
pub struct Gateway<S, O, R> {
    settings: Settings,
    settings_path: PathBuf,
    ports: Ports<S, O, R>,
}

/// An error that keeps the daemon from starting or running.
#[derive(Debug)]
pub struct RunError;

/// How many inputs may wait for the control thread.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// How long the traffic thread has to end after the last connections were cut off.
const THREAD_END_TIMEOUT_MS: u64 = 100;
/// How often the settings file is checked for changes.
const SETTINGS_INTERVAL_MS: u64 = 1_000;
/// The least time between two reads of the servers' entries.
///
/// Every server's heartbeat changes its entry. A leaving server is noticed up to this much
/// later, which uses part of its drain time.
const MIN_SERVERS_INTERVAL_MS: u64 = 350;
/// How long a watch of the servers' entries waits.
///
/// A daemon that relays the entries has to notice soon that the store does not answer.
const SERVERS_WATCH_TIMEOUT_MS: u64 = 500;
/// How long a watch of daemons' entries waits; each costs one call.
///
/// The store must keep its history for longer than twice this, so that it reaches back to the
/// revision from which the next watch starts.
const FLEET_WATCH_TIMEOUT_MS: u64 = 9_000;
/// The least time between two reads of documents, which may change in quick succession.
const MIN_SITE_INTERVAL_MS: u64 = 60;
/// The least time between two reads of daemons' entries; many change together when many daemons
/// start at once.
const MIN_FLEET_INTERVAL_MS: u64 = 250;

impl<S: Store, O: Orders, R: Source> Gateway<S, O, R> {
    /// Creates a gateway; `settings_path` is the file from which settings are reloaded.
    #[must_use]
    pub fn new(settings: Settings, settings_path: PathBuf, ports: Ports<S, O, R>) -> Self {
        Self { settings, settings_path, ports }
    }

    /// Runs until a stop signal, then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a thread cannot be started. Fails after a graceful
    /// stop when a task or thread has ended that the process cannot do without.
    pub fn run(self) -> Result<(), Report<RunError>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(RunError)?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> Result<(), Report<RunError>> {
        let Self { settings, settings_path, ports } = self;
        let counters = Arc::new(Counters::default());
        let metrics = Metrics::new(&counters).change_context(RunError)?;
        let data_centre = settings.data_centre.clone();
        let clock = Clock::start();
        // By default, each of these signals ends the process at once.
        let signals = Signals::receive().change_context(RunError)?;
        let (inputs, queue) = mpsc::channel(MAX_QUEUED_INPUTS);
        let dialect = ports.dialect.clone();
        let buffers = Arc::new(BufferBudget::for_memory(settings.memory_mb));
        gauges::observe_buffers(&metrics, &buffers);
        let limits = Arc::new(ReceiveLimits::for_memory(settings.memory_mb));
        gauges::observe_peers(&metrics, &limits);
        let control = inputs.clone();
        let shared = Shared::new(clock, counters, metrics, dialect, data_centre, buffers, control);
        let shared = Arc::new(shared);
        // Stops the servers for readiness checks and administrators.
        let end = CancellationToken::new();
        let ready = bind(settings.listen.ready).await?;
        let admin = bind(settings.listen.admin).await?;
        let peer = bind(settings.listen.peer).await?;
        let mut tasks = EssentialTasks::default();
        tasks.spawn("readiness", status::serve_readiness(Arc::clone(&shared), ready, end.clone()));
        let administrators =
            status::serve_admin(Arc::clone(&shared), inputs.clone(), admin, end.clone());
        tasks.spawn("administrators", administrators);
        tasks.spawn("messages", receive_frames(peer, inputs.clone(), limits));
        let stop = StopSignals::default();
        let mut traffic = start_traffic(&shared, settings.listen.front, stop.clone())?;
        spdlog::info!("started", kv: { instance = settings.instance.as_str(), front: = settings.listen.front });
        let (needs_entries, are_entries_needed) = watch::channel(false);
        let (needs_fleet, is_fleet_needed) = watch::channel(true);
        let (entry_missing_since, missing_since) = watch::channel(Revision(0));
        let needed = Needed { entries: are_entries_needed, fleet: is_fleet_needed, missing_since };
        let operators = OperatorsControl::new();
        let call_restarts =
            follow_store(&mut tasks, &ports, &settings, &shared, &inputs, &needed, &operators);
        let resign = CancellationToken::new();
        let store = ports.store.clone();
        let mut node = Node::new(NodeParts {
            settings: settings.clone(),
            store: ports.store,
            orders: ports.orders,
            source: ports.source,
            shared: Arc::clone(&shared),
            inputs: inputs.clone(),
            call_restarts,
            operators,
            needs_entries,
            needs_fleet,
            entry_missing_since,
        });
        let resign_requested = resign.clone();
        tasks.spawn("control", async move { node.run(queue, resign_requested).await });
        let mut grace_ms = settings.grace_ms;
        let result = tokio::select! {
            () = wait_for_stop(signals, settings_path, &mut grace_ms, &inputs) => Ok(()),
            () = tasks.ended() => Err(Report::new(RunError).attach("a task ended")),
            _ = &mut traffic => {
                spdlog::error!("traffic thread ended, stopping the process");
                return Err(Report::new(RunError).attach("the traffic thread ended"));
            }
        };
        spdlog::info!("stopping", kv: { instance = settings.instance.as_str() });
        let plan = StopPlan::new(clock.now_ms(), grace_ms);
        shared.stop.begin_with_arrivals(plan.close_at_ms, plan.answer_deadline_ms);
        resign.cancel();
        drain(clock, plan, &stop, traffic).await;
        // The entry's lease would expire too, but later.
        drop(store.remove(&format!("{DAEMONS_PREFIX}{}", settings.instance)).await);
        end.cancel();
        spdlog::info!("stopped", kv: { instance = settings.instance.as_str() });
        spdlog::default_logger().flush();
        result
    }
}

/// Starts the thread that serves callers; the receiver is notified when it ends.
fn start_traffic(
    shared: &Arc<Shared>,
    address: SocketAddr,
    stop: StopSignals,
) -> Result<oneshot::Receiver<()>, Report<RunError>> {
    let listener = std::net::TcpListener::bind(address)
        .attach_with(|| format!("cannot listen on {address}: expected a free local address"))
        .change_context(RunError)?;
    listener.set_nonblocking(true).change_context(RunError)?;
    let shared = Arc::clone(shared);
    let (traffic_ended, traffic) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(RunError)?;
    let run_traffic = move || {
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => front::serve(shared, listener, stop).await,
                Err(error) => spdlog::error!("cannot serve callers", kv: { error: }),
            }
        });
        // The receiver is dropped only when the process exits without a drain.
        let _is_awaited = traffic_ended.send(()).is_ok();
    };
    std::thread::Builder::new()
        .name("traffic".into())
        .spawn(run_traffic)
        .change_context(RunError)?;
    Ok(traffic)
}

/// Whether topics of the store have to be watched here, and the own entry written again.
struct Needed {
    entries: watch::Receiver<bool>,
    fleet: watch::Receiver<bool>,
    /// The last revision at which the own entry was found to be missing.
    missing_since: watch::Receiver<Revision>,
}

/// Starts the tasks that watch the store; changing the returned sender's value restarts waiting
/// calls.
fn follow_store<S: Store, O: Orders, R: Source>(
    tasks: &mut EssentialTasks,
    ports: &Ports<S, O, R>,
    settings: &Settings,
    shared: &Arc<Shared>,
    inputs: &mpsc::Sender<Input>,
    needed: &Needed,
    operators: &OperatorsControl,
) -> watch::Sender<u64> {
    let (call_restarts, restarts) = watch::channel(0);
    let always = watch::channel(true).1;
    let never_told = watch::channel(Revision(0)).1;
    let topics = [
        (
            "operators",
            Topic::Operators,
            ports.source.operators_prefix(),
            MIN_SITE_INTERVAL_MS,
            operators.watch_timeout_ms.subscribe(),
            operators.told.subscribe(),
            &always,
        ),
        (
            "servers",
            Topic::Servers,
            ports.source.servers_prefix(),
            MIN_SERVERS_INTERVAL_MS,
            watch::channel(SERVERS_WATCH_TIMEOUT_MS).1,
            never_told.clone(),
            &needed.entries,
        ),
        (
            "fleet",
            Topic::Fleet,
            FLEET_PREFIX,
            MIN_FLEET_INTERVAL_MS,
            watch::channel(FLEET_WATCH_TIMEOUT_MS).1,
            never_told,
            &needed.fleet,
        ),
    ];
    for (task, topic, prefix, min_interval_ms, watch_timeout_ms, told, is_needed) in topics {
        let follower = Follower {
            store: ports.store.clone(),
            topic,
            prefix: Name::from(prefix),
            min_interval_ms,
            watch_timeout_ms,
            told,
            counters: Arc::clone(&shared.counters),
            inputs: inputs.clone(),
            restarts: restarts.clone(),
            era: ports.store.era(),
            failed_lists: 0,
            is_needed: is_needed.clone(),
        };
        tasks.spawn(task, follower.run());
    }
    tasks.spawn("era", follow_era(ports.store.era(), inputs.clone()));
    let entry = DaemonEntry {
        address: settings.listen.peer,
        data_centre: settings.data_centre.clone(),
        link_mbps: settings.link_mbps,
        front: Some(front_address(settings)),
        sends_once: true,
        relay_token: Some(shared.relay_token.clone()),
    };
    let key = format!("{DAEMONS_PREFIX}{}", settings.instance);
    let counters = Arc::clone(&shared.counters);
    let (store, inputs) = (ports.store.clone(), inputs.clone());
    let registration = register(
        store,
        key,
        entry,
        counters,
        inputs,
        needed.entries.clone(),
        needed.missing_since.clone(),
    );
    tasks.spawn("registration", registration);
    call_restarts
}

/// Returns the address at which other daemons reach the one for callers.
fn front_address(settings: &Settings) -> SocketAddr {
    let front = settings.listen.front;
    let is_any = front.ip().is_unspecified();
    let ip = if is_any { settings.listen.peer.ip() } else { front.ip() };
    SocketAddr::new(ip, front.port())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<RunError>> {
    TcpListener::bind(address)
        .await
        .attach_with(|| format!("cannot listen on {address}: expected a free local address"))
        .change_context(RunError)
}

async fn receive_frames(
    listener: TcpListener,
    inputs: mpsc::Sender<Input>,
    limits: Arc<ReceiveLimits>,
) {
    let (frames, mut received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let decode = |bytes| FleetFrame::from_bytes(bytes).ok();
    let listening = peer::listen(listener, frames, decode, limits);
    let forwarding = async {
        while let Some(frame) = received.recv().await {
            if inputs.send(Input::Frame(frame)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(listening, forwarding);
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn receive() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for a stop signal; reloads the settings when the file changes or on SIGHUP.
///
/// `grace_ms` is set to the grace period in force.
async fn wait_for_stop(
    mut signals: Signals,
    path: PathBuf,
    grace_ms: &mut u64,
    inputs: &mpsc::Sender<Input>,
) {
    let mut ticks = interval(Duration::from_millis(SETTINGS_INTERVAL_MS));
    let mut last_text = std::fs::read_to_string(&path).ok();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => {
                spdlog::info!("reloading settings");
                last_text = None;
            }
            _ = ticks.tick() => {}
        }
        let text = std::fs::read_to_string(&path).ok();
        if text.is_some() && text != last_text {
            if let Some(settings) = text.as_deref().and_then(|text| parse_settings(&path, text)) {
                *grace_ms = settings.grace_ms;
                // If the queue is full, the file is read again with the next tick. Waiting for room would
                // keep a stop signal from being noticed.
                if inputs.try_send(Input::Reload(Box::new(settings))).is_err() {
                    continue;
                }
            }
            last_text = text;
        }
    }
}

fn parse_settings(path: &std::path::Path, text: &str) -> Option<Settings> {
    match Settings::from_ini(&path.display().to_string(), text) {
        Ok(settings) => Some(settings),
        Err(report) => {
            spdlog::error!("invalid settings, keeping the previous ones", kv: { cause: = report });
            None
        }
    }
}

/// Keeps accepting connections while the platform may still send them, then finishes requests in
/// flight.
async fn drain(
    clock: Clock,
    plan: StopPlan,
    stop: &StopSignals,
    mut traffic: oneshot::Receiver<()>,
) {
    sleep_until(clock.to_instant(plan.close_at_ms)).await;
    stop.close.cancel();
    if timeout_at(clock.to_instant(plan.cut_at_ms), &mut traffic).await.is_err() {
        stop.cut.cancel();
        // The thread ends by itself.
        drop(timeout(Duration::from_millis(THREAD_END_TIMEOUT_MS), traffic).await);
    }
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the daemon failed to start or run")
    }
}

impl std::error::Error for RunError {}
