//! The daemons as processes, the platform around them, and callers.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Message, call, read_message};
use crate::record::Record;
use crate::server::{KEYS, Server};
use crate::store::{Store, address_of};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The option of `prctl` by which a process gets a signal when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;

/// The program and the template that the deploy file names.
const PROGRAM: &str = "target/release/verbena-edge";
const TEMPLATE: &str = "deploy/verbena-edge.ini";
/// The port for metrics, which the template fixes.
const ADMIN_PORT: u16 = 9464;
/// How soon the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
pub const HOST: &str = "review.example";

/// One machine of a small deployment.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub name: &'static str,
    pub zone: &'static str,
    pub memory_mb: u64,
    pub link_mbps: u64,
}

/// Machines like those of `doto-a` in the site file `hgbma-gate.toml`, in three zones.
pub const MACHINES: [Machine; 4] = [
    Machine { name: "edge-doto-a-1", zone: "doto-a", memory_mb: 390, link_mbps: 1_500 },
    Machine { name: "edge-doto-a-2", zone: "doto-a", memory_mb: 390, link_mbps: 1_500 },
    Machine { name: "edge-doto-b-1", zone: "doto-b", memory_mb: 390, link_mbps: 1_500 },
    Machine { name: "edge-doto-c-1", zone: "doto-c", memory_mb: 390, link_mbps: 1_500 },
];

pub struct Daemon {
    pub machine: Machine,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// How often the process was killed for its memory, and how often it ended otherwise.
    pub memory_kills: AtomicU64,
    pub own_ends: AtomicU64,
    /// The most memory that the process had, in kB.
    pub peak_kb: AtomicU64,
}

pub struct Cluster {
    pub daemons: Vec<Arc<Daemon>>,
    pub record: Arc<Record>,
    is_ending: Arc<AtomicBool>,
    watches: Mutex<Vec<std::thread::JoinHandle<()>>>,
}

impl Daemon {
    fn start(&self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        // SAFETY: `prctl` may be called between fork and exec, and takes no pointer here.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("VERBENADRIFT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: `kill` takes no pointers; the process was started here and not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// The memory of the process in kB.
    fn memory_kb(&self) -> Option<u64> {
        let pid = self.child.lock().unwrap().as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /verbenadrift/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_secs(1));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Cluster {
    /// Starts the daemons with the settings of the deploy file's template.
    pub fn start(dir: &Path, store: SocketAddr, record: &Arc<Record>) -> std::io::Result<Self> {
        let template = std::fs::read_to_string(TEMPLATE)?;
        let mut daemons = Vec::new();
        for machine in MACHINES {
            let ip = free_ip()?;
            let port = || TcpListener::bind((ip, 0)).map(|listener| address_of(&listener).port());
            let (front, ready) = (SocketAddr::new(ip, port()?), SocketAddr::new(ip, port()?));
            let values = HashMap::from([
                ("Node", machine.name.to_owned()),
                ("Zone", machine.zone.to_owned()),
                ("Ip", ip.to_string()),
                ("Limits.LinkMbps", machine.link_mbps.to_string()),
                ("Listen.Front", front.to_string()),
                ("Listen.Ready", ready.to_string()),
                ("PortRange.0", port()?.to_string()),
                ("Provider.Address", store.to_string()),
                ("Provider.TtlMin", "1000ms".to_owned()),
                ("Bounds.HoldMax", "10000ms".to_owned()),
                ("Bounds.Drain", "2000ms".to_owned()),
                ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
                ("Bounds.BudgetSlack", "56".to_owned()),
                ("Bounds.Grace", "6s".to_owned()),
            ]);
            let settings = dir.join(format!("{}.ini", machine.name));
            std::fs::write(&settings, fill_in(&template, &values))?;
            let daemon = Arc::new(Daemon {
                machine,
                front,
                ready,
                settings,
                log: dir.join(format!("{}.log", machine.name)),
                child: Mutex::default(),
                memory_kills: AtomicU64::new(0),
                own_ends: AtomicU64::new(0),
                peak_kb: AtomicU64::new(0),
            });
            daemon.start()?;
            daemons.push(daemon);
        }
        let is_ending = Arc::new(AtomicBool::new(false));
        let watches = daemons.iter().map(|daemon| {
            let (daemon, record) = (Arc::clone(daemon), Arc::clone(record));
            let is_ending = Arc::clone(&is_ending);
            std::thread::spawn(move || keep_running(&daemon, &record, &is_ending))
        });
        let watches = Mutex::new(watches.collect());
        Ok(Self { daemons, record: Arc::clone(record), is_ending, watches })
    }

    /// Waits until all daemons are ready and all keys have a holder; returns false if that takes too
    /// long.
    pub fn wait_until_held(&self, servers: &Mutex<Vec<Arc<Server>>>) -> bool {
        let ends_at = Instant::now() + Duration::from_secs(20);
        while Instant::now() < ends_at {
            let are_ready = self.daemons.iter().all(|daemon| daemon.is_ready());
            if are_ready && are_all_held(&servers.lock().unwrap()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all daemons.
    pub fn end(&self) {
        self.is_ending.store(true, Ordering::Relaxed);
        for watch in self.watches.lock().unwrap().drain(..) {
            let _ = watch.join();
        }
        for daemon in &self.daemons {
            daemon.signal(SIGKILL);
            if let Some(mut child) = daemon.child.lock().unwrap().take() {
                let _ = child.wait();
            }
        }
    }
}

/// Does the platform's part for one machine: a process that has more memory than the machine is
/// killed, and one that has ended is started again.
fn keep_running(daemon: &Daemon, record: &Record, is_ending: &AtomicBool) {
    let limit_kb = daemon.machine.memory_mb * 1_024;
    while !is_ending.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
        let memory_kb = daemon.memory_kb().unwrap_or(0);
        daemon.peak_kb.fetch_max(memory_kb, Ordering::Relaxed);
        let is_over = memory_kb > limit_kb;
        if is_over {
            daemon.signal(SIGKILL);
            daemon.memory_kills.fetch_add(1, Ordering::Relaxed);
            let (name, limit_mb) = (daemon.machine.name, daemon.machine.memory_mb);
            let memory_mb = memory_kb / 1_024;
            record.say(&format!("{name} has {memory_mb} MB of {limit_mb} MB and is killed"));
            while !daemon.has_ended() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        if daemon.has_ended() {
            if !is_over {
                daemon.own_ends.fetch_add(1, Ordering::Relaxed);
                record.say(&format!("{} has ended", daemon.machine.name));
            }
            std::thread::sleep(RESTART_DELAY);
            if !is_ending.load(Ordering::Relaxed) && daemon.start().is_err() {
                record.say(&format!("{} cannot be started", daemon.machine.name));
            }
        }
    }
}

/// Returns a loopback address at which the port for metrics is free.
fn free_ip() -> std::io::Result<IpAddr> {
    let seed = std::process::id() as u64 ^ u64::from(now_ns());
    for attempt in 0..50 {
        let bits = mix(seed + attempt);
        let octet = |shift: u32| (bits >> shift) as u8 % 250 + 2;
        let ip = IpAddr::V4(Ipv4Addr::new(127, octet(0), octet(8), octet(16)));
        if TcpListener::bind((ip, ADMIN_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(std::io::Error::other("no loopback address is free"))
}

fn now_ns() -> u32 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.subsec_nanos())
}

/// Mixes the bits of a number, for random choices.
pub fn mix(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Fills in the placeholders of the deploy file's template; sections without a value are left out.
fn fill_in(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = String::new();
    for line in template.lines().filter(|line| !line.contains("{{#")) {
        let mut line = line.to_owned();
        for (name, value) in values {
            line = line.replace(&format!("{{{{{name}}}}}"), value);
        }
        text.push_str(&line);
        text.push('\n');
    }
    text
}

/// The desired state: a sharded service, `desk`, and another one, `catalogue`.
pub fn desired_state(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"Timeout\":\"1200ms\",\"LatencyGoal\":\"400ms\",\"Priority\":1,\
             \"Service\":\"{service}\",\"Attempts\":2}}"
        )
    };
    let paths = [
        route("r-place", "/place/", "non_idempotent", "desk"),
        route("r-check", "/check/", "idempotent", "desk"),
        route("r-archive", "/archive/", "idempotent", "catalogue"),
    ];
    format!(
        "{{\"Version\":{version},\"Services\":[\
         {{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":46,\"Sharded\":true}},\
         {{\"Name\":\"catalogue\",\"HealthPath\":\"/health\",\"MaxConns\":46}}],\
         \"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\
         \"IdleTimeout\":\"15000ms\"}},\
         \"Hosts\":[{{\"Host\":\"{HOST}\",\"Paths\":[{}]}}]}}",
        paths.join(",")
    )
}

/// Callers that send requests until they are told to stop.
pub struct Callers {
    is_ending: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

/// How one request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_s: f64,
    /// 0 if the connection ended without a complete answer.
    pub status: u16,
    /// Whether the connection had carried another request before.
    pub is_kept: bool,
    /// Whether the caller's time limit had passed.
    pub is_late: bool,
}

/// How many requests a caller sends on one connection.
const REQUESTS_PER_CONNECTION: u64 = 25;
/// The time limit of the callers.
const TIME_LIMIT: Duration = Duration::from_millis(2_000);

impl Callers {
    /// Starts callers; each keeps a connection for [`REQUESTS_PER_CONNECTION`] requests.
    pub fn start(cluster: &Cluster, callers: u64, pause: Duration) -> Self {
        let is_ending = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let fronts: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.front).collect();
        let threads = (0..callers).map(|caller| {
            let (is_ending, outcomes) = (Arc::clone(&is_ending), Arc::clone(&outcomes));
            let (fronts, record) = (fronts.clone(), Arc::clone(&cluster.record));
            std::thread::spawn(move || {
                let mut connection = None;
                let mut number = 0;
                while !is_ending.load(Ordering::Relaxed) {
                    number += 1;
                    // Each caller takes a new connection, to the next daemon, from time to time.
                    if number % REQUESTS_PER_CONNECTION == 0 {
                        connection = None;
                    }
                    let front = fronts[(caller + number) as usize % fronts.len()];
                    let request = Request::new(caller, number);
                    if let Some(outcome) = send(&mut connection, front, &record, &request) {
                        outcomes.lock().unwrap().push(outcome);
                    }
                    std::thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self { is_ending, threads, outcomes }
    }

    /// Stops the callers and returns how all requests ended.
    pub fn end(self) -> Vec<Outcome> {
        self.is_ending.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap())
    }
}

/// One request of a caller.
struct Request {
    caller: u64,
    id: String,
    key: u64,
    is_idempotent: bool,
}

impl Request {
    fn new(caller: u64, number: u64) -> Self {
        let bits = mix(caller << 32 | number);
        let id = format!("{:016x}", mix(bits));
        let key = (bits >> 16) % KEYS as u64;
        Self { caller, id, key, is_idempotent: bits % 3 != 0 }
    }
}

/// Sends a request on the kept connection or a new one; `None` if no connection can be made.
fn send(
    connection: &mut Option<BufReader<TcpStream>>,
    front: SocketAddr,
    record: &Record,
    request: &Request,
) -> Option<Outcome> {
    let Request { caller, id, key, is_idempotent } = request;
    let (method, path) = if *is_idempotent { ("GET", "/check/a") } else { ("POST", "/place/a") };
    let length = if *is_idempotent { "" } else { "Content-Length: 5\r\n" };
    let body = if *is_idempotent { "" } else { "order" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Shard-Key: {key}\r\n{length}\r\n{body}",
        TIME_LIMIT.as_millis()
    );
    let is_kept = connection.is_some();
    if !is_kept {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut()?;
    let (sent_s, sent_at) = (record.elapsed_s(), Instant::now());
    let kind = if is_kept { "a kept" } else { "a new" };
    record.write(&format!(
        "caller {caller} sends {id} {method} {path} key {key} on {kind} connection"
    ));
    let is_sent = reader.get_mut().write_all(text.as_bytes()).is_ok();
    let answer = if is_sent { read_message(reader) } else { None };
    let is_late = sent_at.elapsed() >= TIME_LIMIT;
    let status = answer.as_ref().map_or(0, Message::status);
    let closes = answer.as_ref().and_then(|answer| answer.header("connection"));
    if status == 0 || closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        *connection = None;
    }
    record.write(&format!("caller {caller} gets {status} for {id}"));
    Some(Outcome { id: id.clone(), sent_s, status, is_kept, is_late })
}

/// Looks for keys that two servers hold at once.
pub struct OwnerCheck {
    is_ending: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<Vec<Overlap>>,
}

/// Two servers that held the same keys at the same time.
#[derive(Clone, Debug)]
pub struct Overlap {
    pub servers: (String, String),
    /// How many of the sampled keys, and for how long at least.
    pub keys: usize,
    pub from_s: f64,
    pub length: Duration,
}

/// Every key of so many is looked at, this often.
const SAMPLE_STEP: usize = 64;
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

impl OwnerCheck {
    /// Starts to look at servers; those that are added to the list later count too.
    pub fn start(servers: &Arc<Mutex<Vec<Arc<Server>>>>, record: &Arc<Record>) -> Self {
        let is_ending = Arc::new(AtomicBool::new(false));
        let (servers, record, ending) =
            (Arc::clone(servers), Arc::clone(record), Arc::clone(&is_ending));
        let thread = std::thread::spawn(move || {
            let keys: Vec<usize> = (0..KEYS).step_by(SAMPLE_STEP).collect();
            let mut current: HashMap<(String, String), Overlap> = HashMap::new();
            let mut ended = Vec::new();
            while !ending.load(Ordering::Relaxed) {
                std::thread::sleep(LOOK_INTERVAL);
                let mut holders: HashMap<usize, Vec<String>> = HashMap::new();
                for server in servers.lock().unwrap().iter().filter(|server| !server.has_left()) {
                    server.for_held(&keys, |key| {
                        holders.entry(key).or_default().push(server.id.clone());
                    });
                }
                let mut seen: HashMap<(String, String), usize> = HashMap::new();
                for pair in holders.values().filter(|holders| holders.len() > 1) {
                    *seen.entry((pair[0].clone(), pair[1].clone())).or_default() += 1;
                }
                for (servers, keys) in &seen {
                    let now_s = record.elapsed_s();
                    let overlap = current.entry(servers.clone()).or_insert_with(|| {
                        let (one, other) = servers;
                        record.say(&format!("{one} and {other} hold the same keys"));
                        let (servers, length) = (servers.clone(), Duration::ZERO);
                        Overlap { servers, keys: *keys, from_s: now_s, length }
                    });
                    overlap.keys = overlap.keys.max(*keys);
                    overlap.length = Duration::from_secs_f64(now_s - overlap.from_s);
                }
                current.retain(|servers, overlap| {
                    let goes_on = seen.contains_key(servers);
                    if !goes_on {
                        ended.push(overlap.clone());
                    }
                    goes_on
                });
            }
            ended.extend(current.into_values());
            ended
        });
        Self { is_ending, thread }
    }

    /// Ends the check and returns all overlaps, also those that lasted a moment.
    pub fn end(self) -> Vec<Overlap> {
        self.is_ending.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// How long two servers may hold the same keys.
const OWNER_BOUND: Duration = Duration::from_millis(500);

/// Decides whether the rule that keys have one holder was broken.
pub fn judge_owners(record: &Record, overlaps: &[Overlap], outcomes: &[Outcome]) -> Verdict {
    for overlap in overlaps {
        let (one, other) = &overlap.servers;
        record.say(&format!(
            "{one} and {other} held the same keys for {} ms from {:.3}, {} of the sampled ones",
            overlap.length.as_millis(),
            overlap.from_s,
            overlap.keys
        ));
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    record.say(&format!("{served} of {} requests were served", outcomes.len()));
    if overlaps.iter().any(|overlap| overlap.length > OWNER_BOUND) {
        record.say("OWNER is broken");
        return Verdict::Broken;
    }
    record.say("OWNER held");
    Verdict::Held
}

/// Returns whether all keys have a holder.
fn are_all_held(servers: &[Arc<Server>]) -> bool {
    let keys: Vec<usize> = (0..KEYS).step_by(SAMPLE_STEP).collect();
    let mut held = vec![false; KEYS];
    for server in servers {
        server.for_held(&keys, |key| held[key] = true);
    }
    keys.iter().all(|key| held[*key])
}

/// Returns how many keys out of 1,024 a server holds.
pub fn held_by(server: &Server) -> usize {
    let keys: Vec<usize> = (0..KEYS).step_by(SAMPLE_STEP).collect();
    let mut count = 0;
    server.for_held(&keys, |_| count += 1);
    count
}

/// Starts the store with a desired state.
pub fn start_store() -> (Store, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = address_of(&listener);
    let store = Store::start(listener);
    store.write("op/config", &desired_state(3));
    (store, address)
}
