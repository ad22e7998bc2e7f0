//! The system under test: daemons as processes, and stand-ins for the store and servers.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use document::Name;
use lab::{OwnershipChecker, RangeServer, SLOTS, ServerFaults, ServerProcess, WorkTimes};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use platform_standin::{
    Addresses, EntryFields, RouteFields, entry_text, serve_kv, serve_server, site_text,
};
use registry::Incarnation;
use store::{Expect, LeaseId, MemoryStore, Store, Transaction};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{Duration, Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::link::{Link, LinkMode};

/// The host header of all requests.
pub const HOST: &str = "soak.example";
/// How long the lease of a server's entry lasts without a renewal: three heartbeat intervals.
const ENTRY_LEASE_MS: u64 = 1_800;
/// The key under which daemons store the leader's name, followed by a space.
const LEADER_KEY: &str = "fleet/leader";
/// How often servers write their entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// The times of all routes unless others are set.
const DEFAULT_ROUTE_TIMES: RouteTimes = RouteTimes { timeout_ms: 1_000, latency_goal_ms: 250 };

/// The longest time that a daemon may take until it handles signals.
const START_TIME: Duration = Duration::from_secs(1);

/// One in so many servers is slow under [`ServerLoad`].
const SLOW_SERVER_INTERVAL: usize = 4;

/// How a cluster is set up.
#[derive(Clone, Debug)]
pub struct ClusterOptions<'a> {
    /// The data centre of each daemon.
    data_centres: Vec<&'a str>,
    /// Whether each daemon has links of its own to all servers.
    has_own_links: bool,
    route_times: RouteTimes,
    server_load: Option<ServerLoad>,
    /// The number of servers; `None` for some more than daemons.
    server_count: Option<usize>,
}

/// The times that the document states for all routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// The time within which a caller gets a final answer.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value.
    pub latency_goal_ms: u64,
}

/// How long servers work, and how many requests wait at each of them.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad {
    /// How long most servers work on requests.
    pub work_times: WorkTimes,
    /// How many times longer every fourth server works.
    pub slowness: u64,
    /// How many requests wait at a server at most.
    pub max_waiting: usize,
}

/// A daemon, run as a process, and its link to the store.
#[derive(Debug)]
pub struct Daemon {
    /// The name of the instance.
    pub name: String,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for administrators.
    pub admin: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The link from this daemon to the store.
    pub store_link: Link,
    /// Its own links to the servers, if it has any.
    server_links: Vec<Link>,
    /// The addresses of these links.
    server_addresses: Addresses,
    /// The program that the next start runs.
    pub(crate) program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// The process; `None` before the first start and after its exit was waited for.
    child: Option<Child>,
    /// How often the process was started.
    pub start_count: u32,
    /// When it was started last.
    started_at: Instant,
}

/// A stand-in server with its link and its current incarnation.
#[derive(Debug)]
pub struct ServerHandle {
    /// The name of the server.
    pub name: Name,
    /// The name of the service.
    pub service: &'static str,
    /// The data centre that it runs in.
    pub data_centre: &'static str,
    /// The link from all daemons to the server.
    pub link: Link,
    /// The faults to inject into its answers.
    pub faults: Arc<ServerFaults>,
    /// Whether its entry says that it drains.
    pub is_draining: Arc<AtomicBool>,
    /// Whether its entry is removed while it runs on, and another writer's entry has its address.
    pub is_unlisted: Arc<AtomicBool>,
    /// The running incarnation and the token that stops it; `None` while the server is stopped.
    running: Option<(Arc<RangeServer>, CancellationToken)>,
}

/// The task that keeps a server's entry in the store up to date.
struct HeartbeatTask {
    store: MemoryStore,
    entry: EntryFields,
    key: String,
    is_draining: Arc<AtomicBool>,
    is_unlisted: Arc<AtomicBool>,
    process: ServerProcess,
    stop: CancellationToken,
}

/// All daemons and stand-ins of a run.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in for the platform's store.
    pub store: MemoryStore,
    /// Checks who owns keys and how often requests run, and collects every broken rule.
    pub checker: Arc<OwnershipChecker>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The servers, including stopped ones.
    pub servers: Vec<ServerHandle>,
    /// The version of the newest document.
    pub version: u64,
    /// Whether to write the next document once the store is up.
    is_change_due: bool,
    /// Whether each daemon has links of its own to the servers.
    has_own_links: bool,
    route_times: RouteTimes,
    server_load: Option<ServerLoad>,
    /// The events so far, each as one line with its time.
    timeline: Mutex<Vec<String>>,
    pub(crate) started_at: Instant,
}

/// The result of starting or controlling processes.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

impl<'a> ClusterOptions<'a> {
    /// Creates options with one daemon in each of the data centres.
    #[must_use]
    pub fn new(data_centres: &[&'a str]) -> Self {
        Self {
            data_centres: data_centres.to_vec(),
            has_own_links: false,
            route_times: DEFAULT_ROUTE_TIMES,
            server_load: None,
            server_count: None,
        }
    }

    /// Gives each daemon links of its own to all servers.
    ///
    /// Daemons of one data centre tell each other of these links, so it should have only one.
    #[must_use]
    pub fn own_links(mut self) -> Self {
        self.has_own_links = true;
        self
    }

    /// Sets the number of servers.
    #[must_use]
    pub fn servers(mut self, servers: usize) -> Self {
        self.server_count = Some(servers);
        self
    }

    /// Sets the times of all routes.
    #[must_use]
    pub fn route_times(mut self, times: RouteTimes) -> Self {
        self.route_times = times;
        self
    }

    /// Sets how long servers work, and how many requests wait at each of them.
    #[must_use]
    pub fn server_load(mut self, load: ServerLoad) -> Self {
        self.server_load = Some(load);
        self
    }
}

impl Cluster {
    /// Starts the stand-ins and the given number of daemons.
    ///
    /// # Errors
    ///
    /// Fails when no port is free, or a file or process cannot be created.
    pub async fn start(program: &Path, dir: &Path, daemons: usize) -> Result<Self> {
        Self::start_in(program, dir, &vec!["a"; daemons], false).await
    }

    /// Starts the stand-ins and one daemon in each of the data centres.
    ///
    /// With `has_own_links`, each daemon has links of its own to all servers. Daemons of one data
    /// centre tell each other of these links, so it should have only one.
    ///
    /// # Errors
    ///
    /// Fails when no port is free, or a file or process cannot be created.
    pub async fn start_in(
        program: &Path,
        dir: &Path,
        data_centres: &[&str],
        has_own_links: bool,
    ) -> Result<Self> {
        let options = ClusterOptions::new(data_centres);
        let options = if has_own_links { options.own_links() } else { options };
        Self::start_with(program, dir, options).await
    }

    /// Starts the stand-ins and daemons as the options say.
    ///
    /// # Errors
    ///
    /// Fails when no port is free, or a file or process cannot be created.
    pub async fn start_with(
        program: &Path,
        dir: &Path,
        options: ClusterOptions<'_>,
    ) -> Result<Self> {
        let daemons = options.data_centres.len();
        let mut cluster = Self {
            store: MemoryStore::default(),
            checker: Arc::default(),
            daemons: Vec::new(),
            servers: Vec::new(),
            version: 0,
            is_change_due: false,
            has_own_links: options.has_own_links,
            route_times: options.route_times,
            server_load: options.server_load,
            timeline: Mutex::default(),
            started_at: Instant::now(),
        };
        for (number, data_centre) in options.data_centres.iter().enumerate() {
            let daemon = Daemon::create(program, dir, number, data_centre, &cluster.store).await?;
            cluster.daemons.push(daemon);
        }
        for number in 0..options.server_count.unwrap_or(daemons.max(4) + 3) {
            let service = if number % 3 == 2 { "archive" } else { "ledger" };
            cluster.add_server(service).await?;
        }
        cluster.write_next_document().await;
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index)?;
        }
        Ok(cluster)
    }

    /// Returns the daemon that the store names as the leader.
    pub async fn leader(&self) -> Option<usize> {
        let entry = self.store.read(LEADER_KEY).await.ok().flatten()?;
        let name = entry.text.split(' ').next()?;
        self.daemons.iter().position(|daemon| &*daemon.name == name)
    }

    /// Adds an event to the timeline, with the seconds since the start.
    pub fn log_event(&self, event: &str) {
        let line = format!("{:>8.3} {event}", self.started_at.elapsed().as_secs_f64());
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Returns the events so far, one per line.
    pub fn timeline(&self) -> String {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner).join("\n")
    }

    /// Writes the next version of the document, which adds a route `/v{version}/`.
    ///
    /// Repeats the write until the store accepts it.
    pub async fn write_next_document(&mut self) {
        self.version += 1;
        let RouteTimes { timeout_ms, latency_goal_ms } = self.route_times;
        let route = |prefix: String, kind, service| RouteFields {
            prefix,
            kind,
            service,
            timeout_ms,
            latency_goal_ms,
        };
        let mut routes = vec![
            route("/ledger/".into(), "idempotent", "ledger"),
            route("/swaps/".into(), "non_idempotent", "ledger"),
            route("/archive/".into(), "idempotent", "archive"),
            route("/orders/".into(), "non_idempotent", "archive"),
        ];
        routes.extend(
            (1..=self.version)
                .map(|version| route(format!("/v{version}/"), "idempotent", "archive")),
        );
        let text = site_text(self.version, HOST, &routes);
        while self.store.write("op/config", Expect::Anything, &text, None).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
        self.log_event(&format!("document version {} is written", self.version));
    }

    /// Marks the next document as due; [`Self::write_document_if_due`] writes it.
    pub fn schedule_document_change(&mut self) {
        self.is_change_due = true;
    }

    /// Writes the next document if one is due and the store is up.
    pub async fn write_document_if_due(&mut self) {
        if self.is_change_due && !self.store.faults().is_down {
            self.is_change_due = false;
            self.write_next_document().await;
        }
    }

    /// Opens a link from each daemon to a server that is being added.
    async fn open_server_links(&mut self, server: SocketAddr) -> Result<()> {
        for daemon in &mut self.daemons {
            let link = Link::open(server.port()).await?;
            daemon.server_addresses.replace(server, link.address);
            daemon.server_links.push(link);
        }
        Ok(())
    }

    /// Sets the mode of a daemon's own links to all servers.
    pub fn set_server_links(&self, daemon: usize, mode: LinkMode) {
        for link in &self.daemons[daemon].server_links {
            link.set_mode(mode);
        }
    }

    /// Returns a daemon's own link to a server.
    ///
    /// # Panics
    ///
    /// Panics if the daemon has no links of its own.
    #[must_use]
    pub fn server_link(&self, daemon: usize, server: usize) -> &Link {
        &self.daemons[daemon].server_links[server]
    }

    /// Resets a daemon's own connections to all servers.
    pub fn reset_server_links(&self, daemon: usize) {
        for link in &self.daemons[daemon].server_links {
            link.reset();
        }
    }

    /// Returns whether a daemon has a process, running or exited but not yet waited for.
    pub fn is_running(&self, index: usize) -> bool {
        self.daemons[index].child.is_some()
    }

    /// Adds a server and starts it.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn add_server(&mut self, service: &'static str) -> Result<()> {
        self.add_server_in(service, "a").await
    }

    /// Adds a server in a data centre and starts it.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn add_server_in(
        &mut self,
        service: &'static str,
        data_centre: &'static str,
    ) -> Result<()> {
        let name = Name::from(format!("s{}", self.servers.len()));
        let link = Link::open(1).await?;
        if self.has_own_links {
            self.open_server_links(link.address).await?;
        }
        self.servers.push(ServerHandle {
            name,
            service,
            data_centre,
            link,
            faults: Arc::new(self.server_faults()),
            is_draining: Arc::default(),
            is_unlisted: Arc::default(),
            running: None,
        });
        self.start_server(self.servers.len() - 1).await
    }

    /// Returns the initial faults of the next server, which may be a slow one.
    fn server_faults(&self) -> ServerFaults {
        let Some(ServerLoad { work_times, slowness, .. }) = self.server_load else {
            return ServerFaults::default();
        };
        let is_slow = self.servers.len() % SLOW_SERVER_INTERVAL == SLOW_SERVER_INTERVAL - 1;
        let min_ms = work_times.min_ms * if is_slow { slowness } else { 1 };
        ServerFaults { work_times: WorkTimes { min_ms, ..work_times }, ..ServerFaults::default() }
    }

    /// Starts a new incarnation of a server; a running one is stopped first.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start_server(&mut self, index: usize) -> Result<()> {
        self.stop_server(index);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let handle = &mut self.servers[index];
        handle.link.set_target(listener.local_addr()?.port());
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let born_ms = u64::try_from(now.as_millis())?;
        let incarnation = Incarnation { server: handle.name.clone(), born_ms };
        let is_keyed = handle.service == "ledger";
        let checker = Arc::clone(&self.checker);
        let server = match self.server_load {
            Some(ServerLoad { max_waiting, .. }) => {
                RangeServer::with_queue(incarnation, is_keyed, SLOTS, max_waiting, checker)
            }
            None => RangeServer::new(incarnation, is_keyed, SLOTS, checker),
        };
        let stop = CancellationToken::new();
        tokio::spawn(serve_server(
            Arc::clone(&server),
            Arc::clone(&handle.faults),
            listener,
            stop.clone(),
        ));
        tokio::spawn(
            HeartbeatTask {
                store: self.store.clone(),
                entry: EntryFields {
                    service: handle.service.to_owned(),
                    address: handle.link.address,
                    data_centre: handle.data_centre.to_owned(),
                    slots: SLOTS,
                    is_draining: false,
                    number: 0,
                    born_ms,
                },
                key: format!("servers/{}", handle.name),
                is_draining: Arc::clone(&handle.is_draining),
                is_unlisted: Arc::clone(&handle.is_unlisted),
                process: server.process.clone(),
                stop: stop.clone(),
            }
            .run(),
        );
        handle.running = Some((server, stop));
        Ok(())
    }

    /// Stops the running incarnation of a server at once, as a crash does.
    pub fn stop_server(&mut self, index: usize) {
        if let Some((server, stop)) = self.servers[index].running.take() {
            server.stop();
            stop.cancel();
            self.servers[index].link.reset();
            self.checker.on_incarnation_end(&server.incarnation);
        }
    }

    /// Starts a daemon's process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or its log cannot be opened.
    pub fn start_daemon(&mut self, index: usize) -> Result<()> {
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(&daemon.log_path)?;
        let child = Command::new(&daemon.program)
            .arg("--settings")
            .arg(&daemon.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        daemon.child = Some(child);
        daemon.start_count += 1;
        daemon.started_at = Instant::now();
        Ok(())
    }

    /// Sends a signal to a daemon's process, if it has one.
    pub fn signal(&self, index: usize, signal: Signal) {
        let id = self.daemons[index].child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // A process that has already exited is found by `restart_exited_daemons`.
            let _is_running = kill(Pid::from_raw(id), signal).is_ok();
        }
    }

    /// Restarts daemons whose processes have exited, as the platform does.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn restart_exited_daemons(&mut self) -> Result<()> {
        for index in 0..self.daemons.len() {
            let child = self.daemons[index].child.as_mut();
            let exited = child.and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = exited {
                let name = &self.daemons[index].name;
                self.log_event(&format!("{name} exited: {status}"));
                self.start_daemon(index)?;
            }
        }
        Ok(())
    }

    /// Waits until a daemon's process exits; returns whether it did in time.
    ///
    /// A process that is still running then is killed.
    pub async fn wait_for_exit(&mut self, index: usize, timeout: Duration) -> bool {
        let Some(mut child) = self.daemons[index].child.take() else { return true };
        tokio::time::timeout(timeout, child.wait()).await.is_ok()
    }
}

impl ServerHandle {
    /// Returns the running incarnation, whose process may be suspended.
    pub(crate) fn process(&self) -> Option<&Arc<RangeServer>> {
        self.running.as_ref().map(|(server, _)| server)
    }

    /// Returns whether the server is to end and not to start again.
    pub(crate) fn is_leaving(&self) -> bool {
        [&self.is_draining, &self.is_unlisted].iter().any(|flag| flag.load(Ordering::Relaxed))
    }
}

impl HeartbeatTask {
    async fn run(mut self) {
        let mut lease: Option<LeaseId> = None;
        while self.stop.run_until_cancelled(self.process.running()).await.is_some() {
            let renewed = match lease {
                Some(lease) => self.store.renew_lease(lease).await.map(|()| lease),
                None => self.store.open_lease(ENTRY_LEASE_MS).await,
            };
            lease = renewed.ok();
            if self.is_unlisted.load(Ordering::Relaxed) {
                return self.replace_entry().await;
            }
            self.entry.number += 1;
            self.entry.is_draining = self.is_draining.load(Ordering::Relaxed);
            let text = entry_text(&self.entry);
            // A write that fails needs no retry: the next heartbeat writes a newer entry.
            drop(self.store.write(&self.key, Expect::Anything, &text, lease).await);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Removes the entry and writes one of another writer with the same address.
    async fn replace_entry(mut self) {
        let key = self.key.replace("servers/", "servers/agent-of-");
        "agent".clone_into(&mut self.entry.service);
        self.entry.born_ms += 1;
        let text = entry_text(&self.entry);
        let replaced = Transaction::new().put(&key, &text, None).remove(&self.key);
        while !self.stop.is_cancelled() && self.store.commit(&replaced).await.is_err() {
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

impl Daemon {
    /// Returns the id of the running process.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Returns whether the process was started just now and does not handle SIGHUP yet.
    ///
    /// A program can handle no signal in its first moments.
    #[must_use]
    pub fn is_starting(&self) -> bool {
        self.started_at.elapsed() < START_TIME
            && self.process_id().is_some_and(|id| !handles(id, Signal::SIGHUP))
    }

    /// Opens the link to the store and writes the settings file; starts no process.
    async fn create(
        program: &Path,
        dir: &Path,
        number: usize,
        data_centre: &str,
        store: &MemoryStore,
    ) -> Result<Self> {
        let name = format!("edge-{number}");
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_link = Link::open(listener.local_addr()?.port()).await?;
        let server_addresses = Addresses::default();
        let stop = CancellationToken::new();
        tokio::spawn(serve_kv(store.clone(), server_addresses.clone(), listener, stop));
        let ports = free_ports(4)?;
        let mut addresses = BTreeMap::new();
        for (index, key) in ["front", "ready", "peer", "admin"].into_iter().enumerate() {
            addresses.insert(key, format!("127.0.0.1:{}", ports[index]));
        }
        let settings = format!(
            "[instance]\nname = {name}\ndata_centre = {data_centre}\n\
             [listen]\nfront = {}\nready = {}\npeer = {}\nadmin = {}\n\
             [store]\naddress = {}\n",
            addresses["front"],
            addresses["ready"],
            addresses["peer"],
            addresses["admin"],
            store_link.address
        );
        let path = dir.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        let front = addresses["front"].parse()?;
        let admin = addresses["admin"].parse()?;
        let ready = addresses["ready"].parse()?;
        let log_path = dir.join(format!("{name}.log"));
        Ok(Self {
            name,
            front,
            admin,
            ready,
            store_link,
            server_links: Vec::new(),
            server_addresses,
            program: program.to_owned(),
            settings_path: path,
            log_path,
            child: None,
            start_count: 0,
            started_at: Instant::now(),
        })
    }
}

/// The range of the daemons' ports, below the system's range for outgoing connections.
///
/// Otherwise a connection could occupy a daemon's port while that daemon is stopped.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
const MAX_PORT_ATTEMPTS: usize = 10_000;

/// A UDP socket at each port that this process has handed out.
///
/// A daemon may bind its port only later, and another soak that runs meanwhile must not hand it out.
static USED_PORTS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns ports that were free when checked, each of them only once.
fn free_ports(count: usize) -> Result<Vec<u16>> {
    let mut used = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut listeners = Vec::new();
    for _ in 0..MAX_PORT_ATTEMPTS {
        let port = rand::random_range(PORTS);
        // If a port cannot be bound, for whatever reason, another one is drawn.
        let Ok(reservation) = UdpSocket::bind(("127.0.0.1", port)) else { continue };
        used.push(reservation);
        listeners.extend(StdListener::bind(("127.0.0.1", port)).ok());
        if listeners.len() == count {
            break;
        }
    }
    let mut ports = Vec::new();
    for listener in &listeners {
        ports.push(listener.local_addr()?.port());
    }
    Ok(ports)
}

/// Returns whether a process has a handler for a signal, as Linux lists it.
fn handles(process_id: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask & (1 << (signal as u32 - 1)) != 0)
}
