//! The programs and their stand-ins: a store, servers, and daemons as processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use document::Name;
use lab::{RangeServer, Referee, SLOTS};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use platform_standin::{
    EntryFields, RouteFields, ServerFaults, entry_text, serve_kv, serve_server, site_text,
};
use registry::Life;
use store::{Expect, LeaseId, MemoryStore, Store};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{Duration, Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::link::Link;

/// The host that callers name.
pub const HOST: &str = "soak.example";
/// How long a silent server's entry stays: three heartbeats.
const LAPSE_MS: u64 = 1_800;
/// How often servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(600);

/// A daemon and its way to the store.
#[derive(Debug)]
pub struct Daemon {
    /// The name.
    pub name: String,
    /// Where it takes callers.
    pub front: SocketAddr,
    /// Its way to the store.
    pub to_store: Link,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// How often it was started; what it showed counts for one life only.
    pub lives: u32,
}

/// A server, its present life and the way to it.
#[derive(Debug)]
pub struct ServerSlot {
    /// The name.
    pub name: Name,
    /// The service.
    pub service: &'static str,
    /// The way of all daemons to it.
    pub link: Link,
    /// What goes wrong with its answers.
    pub faults: Arc<ServerFaults>,
    /// Whether it leaves.
    pub is_draining: Arc<AtomicBool>,
    life: Option<(Arc<RangeServer>, CancellationToken)>,
}

/// What a server tells the store of itself, again and again.
struct Heartbeat {
    store: MemoryStore,
    entry: EntryFields,
    key: String,
    is_draining: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// Everything that runs.
#[derive(Debug)]
pub struct Cluster {
    /// The platform's store.
    pub store: MemoryStore,
    /// What servers have seen.
    pub referee: Arc<Referee>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The servers, ended ones too.
    pub servers: Vec<ServerSlot>,
    /// The version of the last document.
    pub version: u64,
    program: PathBuf,
    is_change_due: bool,
    timeline: Mutex<Vec<String>>,
    started: Instant,
}

/// The result of starting or steering processes.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

impl Cluster {
    /// Starts the stand-ins and the daemons.
    ///
    /// # Errors
    ///
    /// Fails when a port, file or process cannot be had.
    pub async fn start(program: &Path, dir: &Path, daemons: usize) -> Result<Self> {
        let store = MemoryStore::default();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_port = listener.local_addr()?.port();
        tokio::spawn(serve_kv(store.clone(), listener, CancellationToken::new()));
        let mut cluster = Self {
            store,
            referee: Arc::default(),
            daemons: Vec::new(),
            servers: Vec::new(),
            version: 0,
            program: program.to_owned(),
            is_change_due: false,
            timeline: Mutex::default(),
            started: Instant::now(),
        };
        for number in 0..daemons {
            cluster.daemons.push(Daemon::prepare(dir, number, store_port).await?);
        }
        for number in 0..daemons.max(4) + 3 {
            let service = if number % 3 == 2 { "archive" } else { "ledger" };
            cluster.add_server(service).await?;
        }
        cluster.change_site().await;
        for at in 0..cluster.daemons.len() {
            cluster.start_daemon(at)?;
        }
        Ok(cluster)
    }

    /// Notes what happens, with the time.
    pub fn note(&self, what: &str) {
        let line = format!("{:>8.3} {what}", self.started.elapsed().as_secs_f64());
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Returns what has happened so far.
    pub fn timeline(&self) -> String {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner).join("\n")
    }

    /// Writes the next version of the document; each adds a route.
    pub async fn change_site(&mut self) {
        self.version += 1;
        let route = |prefix: String, kind, service| RouteFields {
            prefix,
            kind,
            service,
            timeout_ms: 1_000,
        };
        let mut routes = vec![
            route("/ledger/".into(), "idempotent", "ledger"),
            route("/swaps/".into(), "non_idempotent", "ledger"),
            route("/archive/".into(), "idempotent", "archive"),
        ];
        routes.extend(
            (1..=self.version)
                .map(|version| route(format!("/v{version}/"), "idempotent", "archive")),
        );
        let text = site_text(self.version, HOST, &routes);
        while self.store.write("op/config", Expect::Anything, &text, None).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
        self.note(&format!("version {} is accepted", self.version));
    }

    /// Has the document change as soon as the store takes it.
    pub fn change_site_soon(&mut self) {
        self.is_change_due = true;
    }

    /// Writes the next document if one is due and the store is up.
    pub async fn change_site_if_due(&mut self) {
        if self.is_change_due && !self.store.faults().is_down {
            self.is_change_due = false;
            self.change_site().await;
        }
    }

    /// Returns whether a daemon's process was started and not waited for.
    pub fn is_running(&self, at: usize) -> bool {
        self.daemons[at].child.is_some()
    }

    /// Adds a server and starts its first life.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn add_server(&mut self, service: &'static str) -> Result<()> {
        let name = Name::from(format!("s{}", self.servers.len()));
        let link = Link::open(1).await?;
        self.servers.push(ServerSlot {
            name,
            service,
            link,
            faults: Arc::default(),
            is_draining: Arc::default(),
            life: None,
        });
        self.start_server(self.servers.len() - 1).await
    }

    /// Starts a new life of a server.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start_server(&mut self, at: usize) -> Result<()> {
        self.end_server(at);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let slot = &mut self.servers[at];
        slot.link.lead_to(listener.local_addr()?.port());
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let born_ms = u64::try_from(now.as_millis())?;
        let life = Life { server: slot.name.clone(), born_ms };
        let is_keyed = slot.service == "ledger";
        let server = RangeServer::new(life, is_keyed, SLOTS, Arc::clone(&self.referee));
        let stop = CancellationToken::new();
        tokio::spawn(serve_server(
            Arc::clone(&server),
            Arc::clone(&slot.faults),
            listener,
            stop.clone(),
        ));
        tokio::spawn(
            Heartbeat {
                store: self.store.clone(),
                entry: EntryFields {
                    service: slot.service.to_owned(),
                    address: slot.link.address,
                    data_centre: "a".to_owned(),
                    slots: SLOTS,
                    is_draining: false,
                    number: 0,
                    born_ms,
                },
                key: format!("servers/{}", slot.name),
                is_draining: Arc::clone(&slot.is_draining),
                stop: stop.clone(),
            }
            .run(),
        );
        slot.life = Some((server, stop));
        Ok(())
    }

    /// Ends the present life of a server at once.
    pub fn end_server(&mut self, at: usize) {
        if let Some((server, stop)) = self.servers[at].life.take() {
            stop.cancel();
            self.servers[at].link.reset();
            self.referee.note_end(&server.life);
        }
    }

    /// Starts a daemon's process.
    ///
    /// # Errors
    ///
    /// Fails when the process or its log cannot be opened.
    pub fn start_daemon(&mut self, at: usize) -> Result<()> {
        let daemon = &mut self.daemons[at];
        let log = File::options().create(true).append(true).open(&daemon.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        daemon.child = Some(child);
        daemon.lives += 1;
        Ok(())
    }

    /// Sends a signal to a daemon that runs.
    pub fn signal(&self, at: usize, signal: Signal) {
        let id = self.daemons[at].child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // A process that ended by itself meanwhile is found by its exit.
            let _is_there = kill(Pid::from_raw(id), signal).is_ok();
        }
    }

    /// Starts daemons again that ended by themselves, as the platform does.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub fn supervise(&mut self) -> Result<()> {
        for at in 0..self.daemons.len() {
            let child = self.daemons[at].child.as_mut();
            let ended = child.and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                let name = &self.daemons[at].name;
                self.note(&format!("{name} ended by itself: {status}"));
                self.start_daemon(at)?;
            }
        }
        Ok(())
    }

    /// Waits for a daemon to end; returns whether it did.
    pub async fn wait(&mut self, at: usize, limit: Duration) -> bool {
        let Some(mut child) = self.daemons[at].child.take() else { return true };
        tokio::time::timeout(limit, child.wait()).await.is_ok()
    }
}

impl Heartbeat {
    async fn run(mut self) {
        let mut lease: Option<LeaseId> = None;
        while !self.stop.is_cancelled() {
            let kept = match lease {
                Some(lease) => self.store.keep_lease(lease).await.map(|()| lease),
                None => self.store.open_lease(LAPSE_MS).await,
            };
            lease = kept.ok();
            self.entry.number += 1;
            self.entry.is_draining = self.is_draining.load(Ordering::Relaxed);
            let text = entry_text(&self.entry);
            // A heartbeat that the store does not take is followed by the next.
            drop(self.store.write(&self.key, Expect::Anything, &text, lease).await);
            sleep(HEARTBEAT).await;
        }
    }
}

impl Daemon {
    async fn prepare(dir: &Path, number: usize, store_port: u16) -> Result<Self> {
        let name = format!("edge-{number}");
        let to_store = Link::open(store_port).await?;
        let ports = free_ports(4)?;
        let mut text = BTreeMap::new();
        for (at, key) in ["front", "ready", "peer", "admin"].into_iter().enumerate() {
            text.insert(key, format!("127.0.0.1:{}", ports[at]));
        }
        let settings = format!(
            "[instance]\nname = {name}\ndata_centre = a\n\
             [listen]\nfront = {}\nready = {}\npeer = {}\nadmin = {}\n\
             [store]\naddress = {}\n",
            text["front"], text["ready"], text["peer"], text["admin"], to_store.address
        );
        let path = dir.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        let front = text["front"].parse()?;
        let log = dir.join(format!("{name}.log"));
        Ok(Self { name, front, to_store, settings: path, log, child: None, lives: 0 })
    }
}

/// Ports that the system gives to no outgoing connection: one of those would hold a port
/// when the daemon that it is for starts again.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
const MOST_TRIES: usize = 10_000;

/// Returns ports that were free a moment ago.
fn free_ports(count: usize) -> Result<Vec<u16>> {
    let mut listeners = Vec::new();
    for _ in 0..MOST_TRIES {
        let port = rand::random_range(PORTS);
        // A port that is taken is as good as any other reason to try the next one.
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
