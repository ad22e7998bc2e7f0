//! A complete site in one process: store, servers and daemons.

use std::fmt;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use document::{Document, Name, Revision, ServerState};
use error_stack::{Report, ResultExt};
use proxy::TrafficLimits;
use store::{Expect, MemoryStore, Store};
use telemetry::LogFormat;
use tokio::net::TcpListener;
use tokio::time::{Duration, Instant, sleep};
use tokio_util::sync::CancellationToken;
use verbenad::{Daemon, Listen, LogSettings, Settings, StopSettings};

use crate::availability::RunningDaemons;
use crate::rule_checker::RuleChecker;
use crate::serve_store;
use crate::upstream::{StandIn, StandInConfig};

/// The error of a failed operation on a site, a measurement or a plot.
#[derive(Debug)]
pub struct Error(Box<str>);

/// The result of an operation that fails with [`Error`].
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The services, servers and daemons of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The services with their servers.
    pub services: Vec<ServicePlan>,
    /// The data centre of each daemon.
    pub daemons: Vec<Name>,
    /// How many threads each daemon has for requests.
    pub threads: u32,
}

/// One service of a site.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The name of the service in its document and in request paths.
    pub name: Name,
    /// The text of the document without the server sections.
    pub document_head: String,
    /// Whether its servers own keys.
    pub is_keyed: bool,
    /// The servers, including those that the first document leaves out.
    pub servers: Vec<ServerPlan>,
    /// How long a request runs.
    pub run_ms: u64,
    /// How much longer the first request of an unprepared shard runs.
    pub cold_ms: u64,
    /// How long a server takes to prepare a shard.
    pub prepare_ms: u64,
}

/// One server of a site.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// The name of the server in the document.
    pub name: Name,
    /// The data centre that the document states.
    pub data_centre: Name,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Its state in the first document; `None` leaves it out of the document.
    pub state: Option<ServerState>,
    /// Whether it refuses stale fence epochs.
    pub checks_fence: bool,
}

impl ServicePlan {
    /// Creates a keyed service with one server that checks no fence and needs no preparation.
    #[must_use]
    pub fn with_one_server(head: &str, slots: u32, run_ms: u64) -> Self {
        let server = ServerPlan {
            name: Name::from("ledger-1"),
            data_centre: Name::from("zurich"),
            slots,
            connections: 2 * slots.max(60),
            state: Some(ServerState::Serving),
            checks_fence: false,
        };
        Self {
            name: Name::from("ledger"),
            document_head: head.to_owned(),
            is_keyed: true,
            servers: vec![server],
            run_ms,
            cold_ms: 0,
            prepare_ms: 0,
        }
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The stand-in for the platform's key-value service.
    pub store: MemoryStore,
    /// The checker that all servers report to.
    pub rule_checker: Arc<RuleChecker>,
    /// The daemons; `None` for one that was stopped or killed.
    pub daemons: Vec<Option<Daemon>>,
    /// The request state of the running daemons, shared with [`crate::Availability`].
    pub running_daemons: RunningDaemons,
    /// The settings of the daemons, in the order of `daemons`.
    pub settings: Vec<Settings>,
    /// The servers by service, in the plan's order.
    pub servers: Vec<(ServicePlan, Vec<RunningServer>)>,
    stop: CancellationToken,
}

/// A running server.
#[derive(Debug)]
pub struct RunningServer {
    /// The stand-in server.
    pub stand_in: Arc<StandIn>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The token that stops it.
    pub stop: CancellationToken,
    /// Is cancelled when it accepts no more connections.
    ended: CancellationToken,
}

const SHEET_BYTES: usize = 64 << 10;
const POLL_INTERVAL_MS: u64 = 20;
/// How long to wait until every shard is open after the first documents.
const OPEN_TIMEOUT_MS: u64 = 30_000;

impl Site {
    /// Starts the store, the servers and the daemons, without any document.
    ///
    /// # Errors
    ///
    /// Fails when no address is free or a daemon does not start.
    pub async fn start(plan: &SitePlan) -> Result<Self> {
        let stop = CancellationToken::new();
        let store = MemoryStore::default();
        let store_listener = bind().await?;
        let store_address = address_of(&store_listener)?;
        tokio::spawn(serve_store(store.clone(), store_listener, stop.clone()));
        let rule_checker = Arc::new(RuleChecker::default());
        let mut servers = Vec::new();
        for service in &plan.services {
            let mut running = Vec::new();
            for server in &service.servers {
                running.push(start_server(service, server, &rule_checker, &stop).await?);
            }
            servers.push((service.clone(), running));
        }
        let mut site = Self {
            store,
            rule_checker,
            daemons: Vec::new(),
            running_daemons: RunningDaemons::default(),
            settings: Vec::new(),
            servers,
            stop,
        };
        for (number, data_centre) in (1..).zip(&plan.daemons) {
            let settings = settings(number, data_centre, store_address, plan.threads);
            let daemon = start_daemon(settings).await?;
            // The ports are known now; a restarted daemon uses them again.
            site.settings.push(daemon.settings().clone());
            site.daemons.push(Some(daemon));
        }
        site.update_running_daemons();
        Ok(site)
    }

    /// Starts a site, writes the first documents and waits until every shard is open.
    ///
    /// # Errors
    ///
    /// Fails as [`Site::start`] does, or when a shard is not open in time.
    pub async fn start_open(plan: &SitePlan) -> Result<Self> {
        let site = Self::start(plan).await?;
        for service in 0..plan.services.len() {
            site.edit(service, |server| server.state).await?;
        }
        site.wait_until_open(OPEN_TIMEOUT_MS).await?;
        Ok(site)
    }

    /// Restarts a daemon that was stopped or killed.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not start.
    pub async fn restart_daemon(&mut self, daemon: usize) -> Result<()> {
        self.daemons[daemon] = Some(start_daemon(self.settings[daemon].clone()).await?);
        self.update_running_daemons();
        Ok(())
    }

    /// Kills a daemon, as the loss of its instance would.
    pub async fn kill_daemon(&mut self, daemon: usize) {
        if let Some(running) = self.daemons[daemon].take() {
            self.update_running_daemons();
            // Killing joins threads, which must not block the runtime.
            drop(tokio::task::spawn_blocking(move || running.kill()).await);
        }
    }

    /// Stops a daemon gracefully.
    pub async fn stop_daemon(&mut self, daemon: usize) {
        if let Some(running) = self.daemons[daemon].take() {
            self.update_running_daemons();
            running.stop().await;
        }
    }

    /// Stops a server at once and clears its state, as the loss of its instance would.
    ///
    /// Returns when its address refuses connections: until the listener is closed, the kernel takes
    /// connections for it, and a request that is sent on one may have run.
    pub async fn kill_server(&self, service: usize, server: usize) {
        let server = &self.servers[service].1[server];
        server.stop.cancel();
        server.stand_in.crash();
        server.ended.cancelled().await;
    }

    /// Returns the index of the daemon that controls a service.
    ///
    /// The controller is taken from the table of the first running daemon.
    #[must_use]
    pub fn controller(&self, service: &str) -> Option<usize> {
        let daemon = self.daemons.iter().flatten().next()?;
        let services = daemon.traffic().services();
        let controller = services.get(service)?.table.as_ref()?.controller.clone();
        self.settings.iter().position(|settings| settings.instance == controller)
    }

    fn update_running_daemons(&self) {
        let running = self.daemons.iter().flatten().map(|d| Arc::clone(d.traffic())).collect();
        *self.running_daemons.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    /// Returns the addresses on which the running daemons accept callers.
    #[must_use]
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().zip(&self.settings).filter(|(d, _)| d.is_some());
        running.map(|(_, settings)| settings.listen.http).collect()
    }

    /// Writes the document of a service to the store, as a daemon does with an accepted edit.
    ///
    /// `state` returns the state of each server, or `None` to leave the server out.
    ///
    /// # Errors
    ///
    /// Fails when the document is not valid or the store refuses it.
    pub async fn edit(
        &self,
        service: usize,
        state: impl Fn(&ServerPlan) -> Option<ServerState>,
    ) -> Result<Revision> {
        let (plan, running) = &self.servers[service];
        let text = document_text(plan, running, state);
        let document = Document::from_ini(&plan.name, &text)
            .change_context_lazy(|| Error::new("the document of the site is not valid"))?;
        let leaving = document.servers.iter().filter(|server| !server.accepts_new_work());
        self.rule_checker.on_servers_leaving(leaving.map(|server| server.name.clone()));
        let key = format!("docs/{}", plan.name);
        let written = self.store.write(&key, Expect::Anything, &text, None).await;
        written.change_context_lazy(|| Error::new("the store refused the document"))
    }

    /// Waits until every shard is open in the tables of all daemons, and returns the wait in ms.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `timeout_ms`.
    pub async fn wait_until_open(&self, timeout_ms: u64) -> Result<u64> {
        self.wait_until(timeout_ms, "every shard is open", || self.is_open()).await
    }

    /// Waits until a condition holds, and returns the wait in ms.
    ///
    /// `goal` describes the condition in the error message.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `timeout_ms`.
    pub async fn wait_until(
        &self,
        timeout_ms: u64,
        goal: &str,
        condition: impl Fn() -> bool,
    ) -> Result<u64> {
        let start = Instant::now();
        loop {
            let waited_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            if condition() {
                return Ok(waited_ms);
            }
            if waited_ms > timeout_ms {
                let message = format!("timed out after {timeout_ms} ms waiting until {goal}");
                return Err(Report::new(Error::new(message)));
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    fn is_open(&self) -> bool {
        self.daemons.iter().flatten().all(|daemon| {
            let services = daemon.traffic().services();
            self.servers.iter().all(|(plan, _)| {
                services.get(&plan.name).is_some_and(|service| {
                    !plan.is_keyed
                        || service
                            .table
                            .as_ref()
                            .is_some_and(|table| table.routes.iter().all(|route| route.is_open))
                })
            })
        })
    }

    /// Returns how many shards each server owns in the first running daemon's table.
    #[must_use]
    pub fn shards_by_server(&self, service: &str) -> Vec<(Name, usize)> {
        let Some(daemon) = self.daemons.iter().flatten().next() else { return Vec::new() };
        let services = daemon.traffic().services();
        let Some(table) = services.get(service).and_then(|service| service.table.clone()) else {
            return Vec::new();
        };
        let count = |index: usize| {
            let index = u32::try_from(index).ok();
            table.routes.iter().filter(|route| route.server == index && index.is_some()).count()
        };
        table.servers.iter().enumerate().map(|(index, name)| (name.clone(), count(index))).collect()
    }

    /// Kills all daemons and stops the servers and the store.
    pub async fn end(mut self) {
        for daemon in 0..self.daemons.len() {
            self.kill_daemon(daemon).await;
        }
        self.stop.cancel();
    }
}

/// Returns the text of a service's document with its servers.
#[must_use]
pub fn document_text(
    plan: &ServicePlan,
    running: &[RunningServer],
    state: impl Fn(&ServerPlan) -> Option<ServerState>,
) -> String {
    let mut text = plan.document_head.clone();
    for (server, running) in plan.servers.iter().zip(running) {
        let Some(state) = state(server) else { continue };
        let state = match state {
            ServerState::Serving => "serving",
            ServerState::Arriving => "arriving",
            ServerState::Leaving => "leaving",
        };
        let checks_fence = if server.checks_fence { "yes" } else { "no" };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[server {}]\naddress = {}\ndata_centre = {}\nslots = {}\nconnections = {}\n\
             state = {state}\nchecks_fence = {checks_fence}\n",
            server.name, running.address, server.data_centre, server.slots, server.connections,
        );
    }
    text
}

async fn start_server(
    service: &ServicePlan,
    server: &ServerPlan,
    rule_checker: &Arc<RuleChecker>,
    stop: &CancellationToken,
) -> Result<RunningServer> {
    let config = StandInConfig {
        name: server.name.clone(),
        service: service.name.clone(),
        is_keyed: service.is_keyed,
        checks_fence: server.checks_fence,
        slots: server.slots,
        connections: server.connections,
        run_ms: service.run_ms,
        cold_ms: service.cold_ms,
        prepare_ms: service.prepare_ms,
        sheet_bytes: SHEET_BYTES,
    };
    let stand_in = StandIn::new(config, Arc::clone(rule_checker));
    let listener = bind().await?;
    let address = address_of(&listener)?;
    let stop = stop.child_token();
    let ended = CancellationToken::new();
    let serving = Arc::clone(&stand_in).serve(listener, stop.clone());
    let on_end = ended.clone().drop_guard();
    tokio::spawn(async move {
        serving.await;
        drop(on_end);
    });
    Ok(RunningServer { stand_in, address, stop, ended })
}

async fn start_daemon(settings: Settings) -> Result<Daemon> {
    let started = tokio::task::spawn_blocking(move || Daemon::start(&settings)).await;
    started
        .change_context_lazy(|| Error::new("a daemon panicked while it started"))?
        .change_context_lazy(|| Error::new("a daemon did not start"))
}

fn settings(number: usize, data_centre: &Name, store: SocketAddr, threads: u32) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { http: any_port, peer: any_port, operator: any_port, admin: any_port };
    Settings {
        instance: Name::from(format!("entry-{number}")),
        data_centre: data_centre.clone(),
        listen,
        store,
        store_timeout_ms: 1_000,
        limits: TrafficLimits::default(),
        threads,
        log: LogSettings { level: Name::from("warn"), format: LogFormat::Text },
        stop: StopSettings { notice_ms: 200, drain_ms: 10_000 },
        peers: Vec::new(),
    }
}

async fn bind() -> Result<TcpListener> {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    bound.change_context_lazy(|| Error::new("cannot bind a free port on the loopback interface"))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .change_context_lazy(|| Error::new("cannot read the local address of a socket"))
}

impl Error {
    pub(crate) fn new(message: impl Into<Box<str>>) -> Self {
        Self(message.into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}
