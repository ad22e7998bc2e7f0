//! The process: its threads, and how it starts and stops.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use document::Name;
use error_stack::{Report, ResultExt};
use peer::FleetFrame;
use proxy::Clock;
use store::Store;
use telemetry::{Counters, Metrics};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::follow::{DAEMONS, DaemonEntry, FLEET, Follower, register};
use crate::front::{self, Stop};
use crate::input::{Input, Topic};
use crate::node::{Node, Parts};
use crate::{Dialect, Orders, Settings, Shared, Source, status};

/// What a gateway meets outside.
#[derive(Clone, Debug)]
pub struct Ports<S, O, R> {
    /// The platform's store.
    pub store: S,
    /// The way of orders to servers.
    pub orders: O,
    /// What documents and entries say.
    pub source: R,
    /// The names of headers.
    pub dialect: Dialect,
}

/// A daemon for sites whose servers register themselves.
#[derive(Debug)]
pub struct Gateway<S, O, R> {
    settings: Settings,
    path: PathBuf,
    ports: Ports<S, O, R>,
}

/// A gateway that cannot run.
#[derive(Debug)]
pub struct CannotRun;

/// How many inputs wait for the control thread.
const INPUTS: usize = 4_096;
/// How long the platform goes on sending new connections to an instance that says that it
/// is not ready: two questions, a second apart, and the way of the last connections.
const NOTICE_MS: u64 = 2_900;
/// How long before the end of the grace what is left is cut off.
const CUT_MARGIN_MS: u64 = 600;
/// How often the settings file is looked at.
const SETTINGS_MS: u64 = 1_000;
/// The least time between two readings of the servers' entries.
///
/// Every server's heartbeat changes its entry; a leaving server may wait this long of its
/// drain.
const SERVERS_PACE_MS: u64 = 350;
/// How long a watch of the servers' entries waits: whoever reads them for others has to know
/// soon that the store is silent.
const SERVERS_WATCH_MS: u64 = 500;
/// How long another watch waits: a waiting watch costs one call. Two of them are shorter than
/// the store's history, which has to reach back to the last revision that counts.
const WATCH_MS: u64 = 9_000;
/// The least time between two readings of documents, which may come in quick succession.
const SITE_PACE_MS: u64 = 60;
/// The least time between two readings of daemons' entries, which come together when many
/// start at once.
const FLEET_PACE_MS: u64 = 250;

impl<S: Store, O: Orders, R: Source> Gateway<S, O, R> {
    /// Creates a gateway; `path` is where its settings are read again.
    #[must_use]
    pub fn new(settings: Settings, path: PathBuf, ports: Ports<S, O, R>) -> Self {
        Self { settings, path, ports }
    }

    /// Runs until a signal to stop, then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on or a thread cannot be started.
    pub fn run(self) -> Result<(), Report<CannotRun>> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(CannotRun)?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> Result<(), Report<CannotRun>> {
        let Self { settings, path, ports } = self;
        let counters = Arc::new(Counters::default());
        let metrics = Metrics::new(&counters).change_context(CannotRun)?;
        let data_centre = settings.data_centre.clone();
        let clock = Clock::start();
        let shared = Shared::new(clock, counters, metrics, ports.dialect.clone(), data_centre);
        let shared = Arc::new(shared);
        let (inputs, queue) = mpsc::channel(INPUTS);
        let end = CancellationToken::new();
        let ready = bind(settings.listen.ready).await?;
        let admin = bind(settings.listen.admin).await?;
        let peer = bind(settings.listen.peer).await?;
        tokio::spawn(status::serve_readiness(Arc::clone(&shared), ready, end.clone()));
        tokio::spawn(status::serve_admin(Arc::clone(&shared), inputs.clone(), admin, end.clone()));
        tokio::spawn(receive(peer, inputs.clone()));
        let stop = Stop::default();
        let traffic = start_traffic(&shared, settings.listen.front, stop.clone())?;
        spdlog::info!("started", kv: { instance = settings.instance.as_str(), front: = settings.listen.front });
        let (needs_entries, are_entries_needed) = watch::channel(true);
        let renewals = follow(&ports, &settings, &shared, &inputs, &are_entries_needed);
        let resign = CancellationToken::new();
        let store = ports.store.clone();
        let mut node = Node::new(Parts {
            settings: settings.clone(),
            store: ports.store,
            orders: ports.orders,
            source: ports.source,
            shared: Arc::clone(&shared),
            inputs: inputs.clone(),
            renewals,
            needs_entries,
        });
        let is_over = resign.clone();
        tokio::spawn(async move { node.run(queue, is_over).await });
        wait_for_stop(path, &inputs).await.change_context(CannotRun)?;
        spdlog::info!("stopping", kv: { instance = settings.instance.as_str() });
        shared.stop();
        resign.cancel();
        drain(&settings, &stop, traffic).await;
        // The entry goes with its lease too, only later.
        drop(store.remove(&format!("{DAEMONS}{}", settings.instance)).await);
        end.cancel();
        spdlog::info!("stopped", kv: { instance = settings.instance.as_str() });
        spdlog::default_logger().flush();
        Ok(())
    }
}

/// Starts the thread that carries traffic; the receiver hears of its end.
fn start_traffic(
    shared: &Arc<Shared>,
    address: SocketAddr,
    stop: Stop,
) -> Result<oneshot::Receiver<()>, Report<CannotRun>> {
    let listener = std::net::TcpListener::bind(address)
        .attach_with(|| format!("{address}: expected an address that can be listened on"))
        .change_context(CannotRun)?;
    listener.set_nonblocking(true).change_context(CannotRun)?;
    let shared = Arc::clone(shared);
    let (ended, traffic) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(CannotRun)?;
    let carry = move || {
        runtime.block_on(async {
            match TcpListener::from_std(listener) {
                Ok(listener) => front::serve(shared, listener, stop).await,
                Err(error) => spdlog::error!("callers cannot be served", kv: { error: }),
            }
        });
        // Nobody waits only when the process ends without a drain.
        let _is_awaited = ended.send(()).is_ok();
    };
    std::thread::Builder::new().name("traffic".into()).spawn(carry).change_context(CannotRun)?;
    Ok(traffic)
}

/// Starts to follow the store; a change of what is returned makes waiting calls anew.
fn follow<S: Store, O: Orders, R: Source>(
    ports: &Ports<S, O, R>,
    settings: &Settings,
    shared: &Arc<Shared>,
    inputs: &mpsc::Sender<Input>,
    are_entries_needed: &watch::Receiver<bool>,
) -> watch::Sender<u64> {
    let (renewals, renewed) = watch::channel(0);
    let always = watch::channel(true).1;
    let topics = [
        (Topic::Site, ports.source.site_key(), SITE_PACE_MS, WATCH_MS, &always),
        (
            Topic::Servers,
            ports.source.servers_prefix(),
            SERVERS_PACE_MS,
            SERVERS_WATCH_MS,
            are_entries_needed,
        ),
        (Topic::Fleet, FLEET, FLEET_PACE_MS, WATCH_MS, &always),
    ];
    for (topic, prefix, pace_ms, wait_ms, is_needed) in topics {
        let follower = Follower {
            store: ports.store.clone(),
            topic,
            prefix: Name::from(prefix),
            pace_ms,
            wait_ms,
            counters: Arc::clone(&shared.counters),
            inputs: inputs.clone(),
            renewed: renewed.clone(),
            is_needed: is_needed.clone(),
        };
        tokio::spawn(follower.run());
    }
    let entry =
        DaemonEntry { address: settings.listen.peer, data_centre: settings.data_centre.clone() };
    let key = format!("{DAEMONS}{}", settings.instance);
    let counters = Arc::clone(&shared.counters);
    tokio::spawn(register(
        ports.store.clone(),
        key,
        entry,
        counters,
        inputs.clone(),
        are_entries_needed.clone(),
    ));
    renewals
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<CannotRun>> {
    TcpListener::bind(address)
        .await
        .attach_with(|| format!("{address}: expected an address that can be listened on"))
        .change_context(CannotRun)
}

async fn receive(listener: TcpListener, inputs: mpsc::Sender<Input>) {
    let (frames, mut received) = mpsc::channel(INPUTS);
    let listening = peer::listen(listener, frames, |bytes| FleetFrame::from_bytes(bytes).ok());
    let passing = async {
        while let Some(frame) = received.recv().await {
            if inputs.send(Input::Frame(frame)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(listening, passing);
}

/// Waits for a signal to stop; reads the settings again when they change or a signal says so.
async fn wait_for_stop(path: PathBuf, inputs: &mpsc::Sender<Input>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut ticks = interval(Duration::from_millis(SETTINGS_MS));
    let mut known = std::fs::read_to_string(&path).ok();
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                spdlog::info!("told to reload");
                known = None;
            }
            _ = ticks.tick() => {}
        }
        let text = std::fs::read_to_string(&path).ok();
        if text.is_some() && text != known {
            if let Some(settings) = text.as_deref().and_then(|text| read(&path, text)) {
                // Nobody listens only at the end of the process.
                drop(inputs.send(Input::Reload(Box::new(settings))).await);
            }
            known = text;
        }
    }
}

fn read(path: &std::path::Path, text: &str) -> Option<Settings> {
    match Settings::from_ini(&path.display().to_string(), text) {
        Ok(settings) => Some(settings),
        Err(report) => {
            spdlog::error!("settings refused; the old ones stay", kv: { cause: = report });
            None
        }
    }
}

/// Goes on serving for the notice, then finishes what is in flight within the grace.
async fn drain(settings: &Settings, stop: &Stop, mut traffic: oneshot::Receiver<()>) {
    let notice_ms = NOTICE_MS.min(settings.grace_ms / 2);
    sleep(Duration::from_millis(notice_ms)).await;
    stop.close.cancel();
    let rest_ms = settings.grace_ms.saturating_sub(notice_ms + CUT_MARGIN_MS);
    if timeout(Duration::from_millis(rest_ms), &mut traffic).await.is_err() {
        stop.cut.cancel();
        // The thread ends by itself; what it could not finish goes with the process.
        drop(timeout(Duration::from_millis(CUT_MARGIN_MS / 2), traffic).await);
    }
}

impl std::fmt::Display for CannotRun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the daemon cannot run")
    }
}

impl std::error::Error for CannotRun {}
