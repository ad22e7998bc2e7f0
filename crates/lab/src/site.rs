//! A whole site in one process: store, servers and daemons.

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

use crate::availability::Running;
use crate::serve_store;
use crate::upstream::{StandIn, StandInConfig};
use crate::witness::Witness;

/// A site that could not be set up.
#[derive(Debug)]
pub struct Error(Box<str>);

/// The result of work on a site.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What a site has.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The data centre of each daemon.
    pub daemons: Vec<Name>,
    /// How many threads carry each daemon's traffic.
    pub threads: u32,
}

/// One service of a site.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The name.
    pub name: Name,
    /// What its document says besides the servers.
    pub head: String,
    /// Whether its servers own keys.
    pub is_keyed: bool,
    /// The servers.
    pub servers: Vec<ServerPlan>,
    /// How long a request runs.
    pub run_ms: u64,
    /// How much longer the first request of a shard runs that was not prepared.
    pub cold_ms: u64,
    /// How long it takes to prepare a shard.
    pub prepare_ms: u64,
}

/// One server of a site.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// The name.
    pub name: Name,
    /// The data centre.
    pub data_centre: Name,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// What the document says of it at first; `None` when it is not in the document yet.
    pub state: Option<ServerState>,
    /// Whether it refuses stale fence epochs.
    pub checks_fence: bool,
}

impl ServicePlan {
    /// Creates a keyed service of one server that checks no fence and is never cold.
    #[must_use]
    pub fn of_one_server(head: &str, slots: u32, run_ms: u64) -> Self {
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
            head: head.to_owned(),
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
    /// The stand-in for the platform's service.
    pub store: MemoryStore,
    /// What the servers saw.
    pub witness: Arc<Witness>,
    /// The daemons; `None` for one that was stopped.
    pub daemons: Vec<Option<Daemon>>,
    /// The daemons that run, for those that look at them from other threads.
    pub running: Running,
    /// The settings of the daemons.
    pub settings: Vec<Settings>,
    /// The servers by service, in the plan's order.
    pub servers: Vec<(ServicePlan, Vec<RunningServer>)>,
    stop: CancellationToken,
}

/// A running server.
#[derive(Debug)]
pub struct RunningServer {
    /// The server.
    pub stand_in: Arc<StandIn>,
    /// Where it listens.
    pub address: SocketAddr,
    /// What ends it.
    pub stop: CancellationToken,
}

const SHEET_BYTES: usize = 64 << 10;
const POLL_MS: u64 = 20;
/// How long the first documents may take until every shard is open.
const OPEN_LIMIT_MS: u64 = 30_000;

impl Site {
    /// Starts everything, without any document.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be had or a daemon does not start.
    pub async fn start(plan: &Plan) -> Result<Self> {
        let stop = CancellationToken::new();
        let store = MemoryStore::default();
        let store_listener = bind().await?;
        let store_address = address_of(&store_listener)?;
        tokio::spawn(serve_store(store.clone(), store_listener, stop.clone()));
        let witness = Arc::new(Witness::default());
        let mut servers = Vec::new();
        for service in &plan.services {
            let mut running = Vec::new();
            for server in &service.servers {
                running.push(start_server(service, server, &witness, &stop).await?);
            }
            servers.push((service.clone(), running));
        }
        let mut site = Self {
            store,
            witness,
            daemons: Vec::new(),
            running: Running::default(),
            settings: Vec::new(),
            servers,
            stop,
        };
        for (number, data_centre) in (1..).zip(&plan.daemons) {
            let settings = settings(number, data_centre, store_address, plan.threads);
            let daemon = start_daemon(settings).await?;
            // A daemon that is started again takes the same ports.
            site.settings.push(daemon.settings().clone());
            site.daemons.push(Some(daemon));
        }
        site.note_running();
        Ok(site)
    }

    /// Starts everything, puts the first documents in force, and waits until all is served.
    ///
    /// # Errors
    ///
    /// Fails as [`Site::start`] does, and when opening takes too long.
    pub async fn start_open(plan: &Plan) -> Result<Self> {
        let site = Self::start(plan).await?;
        for service in 0..plan.services.len() {
            site.edit(service, |server| server.state).await?;
        }
        site.wait_until_open(OPEN_LIMIT_MS).await?;
        Ok(site)
    }

    /// Starts a daemon again that was stopped or killed.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not start.
    pub async fn restart_daemon(&mut self, at: usize) -> Result<()> {
        self.daemons[at] = Some(start_daemon(self.settings[at].clone()).await?);
        self.note_running();
        Ok(())
    }

    /// Ends a daemon at once, as the loss of its instance would.
    pub async fn kill_daemon(&mut self, at: usize) {
        if let Some(daemon) = self.daemons[at].take() {
            self.note_running();
            // Threads are waited for; that must not hold up this one.
            drop(tokio::task::spawn_blocking(move || daemon.kill()).await);
        }
    }

    /// Stops a daemon gracefully.
    pub async fn stop_daemon(&mut self, at: usize) {
        if let Some(daemon) = self.daemons[at].take() {
            self.note_running();
            daemon.stop().await;
        }
    }

    /// Ends a server at once, as the loss of its instance would.
    pub fn kill_server(&self, service: usize, at: usize) {
        let server = &self.servers[service].1[at];
        server.stop.cancel();
        server.stand_in.crash();
    }

    /// Returns the position of the daemon that controls a service.
    #[must_use]
    pub fn controller(&self, service: &str) -> Option<usize> {
        let daemon = self.daemons.iter().flatten().next()?;
        let services = daemon.traffic().services();
        let controller = services.get(service)?.table.as_ref()?.controller.clone();
        self.settings.iter().position(|settings| settings.instance == controller)
    }

    fn note_running(&self) {
        let running = self.daemons.iter().flatten().map(|d| Arc::clone(d.traffic())).collect();
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }

    /// Returns the address for callers of each daemon that runs.
    #[must_use]
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().zip(&self.settings).filter(|(d, _)| d.is_some());
        running.map(|(_, settings)| settings.listen.http).collect()
    }

    /// Writes a service's document, as an accepted edit would.
    ///
    /// # Errors
    ///
    /// Fails when the document is not valid or the store does not take it.
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
        self.witness.note_leaving(leaving.map(|server| server.name.clone()));
        let key = format!("docs/{}", plan.name);
        let written = self.store.write(&key, Expect::Anything, &text, None).await;
        written.change_context_lazy(|| Error::new("the store did not take the document"))
    }

    /// Waits until all daemons have tables in which every shard is open.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than the limit.
    pub async fn wait_until_open(&self, limit_ms: u64) -> Result<u64> {
        self.wait_until(limit_ms, "every shard is open", || self.is_open()).await
    }

    /// Waits for a condition.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than the limit.
    pub async fn wait_until(
        &self,
        limit_ms: u64,
        what: &str,
        condition: impl Fn() -> bool,
    ) -> Result<u64> {
        let start = Instant::now();
        loop {
            let waited_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            if condition() {
                return Ok(waited_ms);
            }
            if waited_ms > limit_ms {
                let message = format!("after {limit_ms} ms it is not so that {what}");
                return Err(Report::new(Error::new(message)));
            }
            sleep(Duration::from_millis(POLL_MS)).await;
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

    /// Returns how many shards each server of a service holds, by a daemon's table.
    #[must_use]
    pub fn shards_by_server(&self, service: &str) -> Vec<(Name, usize)> {
        let Some(daemon) = self.daemons.iter().flatten().next() else { return Vec::new() };
        let services = daemon.traffic().services();
        let Some(table) = services.get(service).and_then(|service| service.table.clone()) else {
            return Vec::new();
        };
        let count = |at: usize| {
            let at = u32::try_from(at).ok();
            table.routes.iter().filter(|route| route.server == at && at.is_some()).count()
        };
        table.servers.iter().enumerate().map(|(at, name)| (name.clone(), count(at))).collect()
    }

    /// Ends everything at once.
    pub async fn end(mut self) {
        for at in 0..self.daemons.len() {
            self.kill_daemon(at).await;
        }
        self.stop.cancel();
    }
}

/// Returns the text of a service's document.
#[must_use]
pub fn document_text(
    plan: &ServicePlan,
    running: &[RunningServer],
    state: impl Fn(&ServerPlan) -> Option<ServerState>,
) -> String {
    let mut text = plan.head.clone();
    for (server, running) in plan.servers.iter().zip(running) {
        let Some(state) = state(server) else { continue };
        let state = match state {
            ServerState::Serving => "serving",
            ServerState::Arriving => "arriving",
            ServerState::Leaving => "leaving",
        };
        let checks = if server.checks_fence { "yes" } else { "no" };
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "\n[server {}]\naddress = {}\ndata_centre = {}\nslots = {}\nconnections = {}\n\
             state = {state}\nchecks_fence = {checks}\n",
            server.name, running.address, server.data_centre, server.slots, server.connections,
        );
    }
    text
}

async fn start_server(
    service: &ServicePlan,
    server: &ServerPlan,
    witness: &Arc<Witness>,
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
    let stand_in = StandIn::new(config, Arc::clone(witness));
    let listener = bind().await?;
    let address = address_of(&listener)?;
    let stop = stop.child_token();
    tokio::spawn(Arc::clone(&stand_in).serve(listener, stop.clone()));
    Ok(RunningServer { stand_in, address, stop })
}

async fn start_daemon(settings: Settings) -> Result<Daemon> {
    let started = tokio::task::spawn_blocking(move || Daemon::start(&settings)).await;
    started
        .change_context_lazy(|| Error::new("a daemon panicked"))?
        .change_context_lazy(|| Error::new("a daemon did not start"))
}

fn settings(number: usize, data_centre: &Name, store: SocketAddr, threads: u32) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = Listen { http: any, peer: any, operator: any, admin: any };
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
    bound.change_context_lazy(|| Error::new("no free address on loopback"))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().change_context_lazy(|| Error::new("a socket has no address"))
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
