//! A stand-in for a server that owns keys, as PROTOCOL.md describes it.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::cluster::mix;
use crate::http::{Answer, Message, Reply, Served, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::{Store, address_of, parse_time};

/// The longest grant that a server accepts (`HoldMax`).
const HOLD_MAX: Duration = Duration::from_secs(10);
/// How many requests a server runs at once, and how many more wait.
const SLOTS: usize = 4;
const QUEUE: usize = 12;
/// How long a connection may be idle.
const IDLE: Duration = Duration::from_secs(10);
/// How often a server writes its entry (`Heartbeat`).
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// The number of keys.
pub const KEYS: usize = 65_536;

pub struct Server {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    born_ms: u64,
    is_sharded: bool,
    work: Duration,
    state: Mutex<State>,
    freed: Condvar,
    is_draining: AtomicBool,
    is_unregistered: AtomicBool,
    /// Whether the entry is to be written before the next heartbeat is due.
    reports_now: AtomicBool,
    has_left: AtomicBool,
    endless_bytes_per_s: AtomicU64,
    /// The bytes of all endless answers, and since when they are sent.
    endless: Mutex<Option<(Instant, usize)>>,
    /// How many in a thousand answers to orders are written a second time.
    repeated_per_mille: AtomicU64,
    /// The answers that are written a second time, by connection.
    repeats: Mutex<HashMap<SocketAddr, Vec<u8>>>,
    orders: AtomicU64,
    /// The connections, once they are served.
    served: OnceLock<Arc<Served>>,
    record: Arc<Record>,
}

struct State {
    /// The highest fence that was seen, and until when it is held, for each key.
    fences: Vec<u64>,
    held_until: Vec<Option<Instant>>,
    /// Until when each key would be held if it had not been released.
    granted_until: Vec<Option<Instant>>,
    running: usize,
    waiting: usize,
    /// How many requests run on each key.
    running_on: HashMap<u16, usize>,
    handovers: u64,
}

impl Server {
    /// Starts a server, which registers itself and answers until the process ends.
    pub fn start(
        id: &str,
        (service, is_sharded): (&'static str, bool),
        zone: &'static str,
        work: Duration,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            address: address_of(&listener),
            born_ms: now_ms(),
            is_sharded,
            work,
            state: Mutex::new(State {
                fences: vec![0; KEYS],
                held_until: vec![None; KEYS],
                granted_until: vec![None; KEYS],
                running: 0,
                waiting: 0,
                running_on: HashMap::new(),
                handovers: 0,
            }),
            freed: Condvar::new(),
            is_draining: AtomicBool::new(false),
            is_unregistered: AtomicBool::new(false),
            reports_now: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            endless_bytes_per_s: AtomicU64::new(0),
            endless: Mutex::default(),
            repeated_per_mille: AtomicU64::new(0),
            repeats: Mutex::default(),
            orders: AtomicU64::new(0),
            served: OnceLock::new(),
            record: Arc::clone(record),
        });
        record.add_server(&server);
        let answering = Arc::clone(&server);
        let served =
            serve(listener, IDLE, move |request, stream| answering.answer(request, stream));
        server.served.get_or_init(|| served);
        let (reporting, store) = (Arc::clone(&server), store.clone());
        std::thread::spawn(move || {
            let mut number = 0;
            let is_registered = || {
                let is_over = reporting.is_unregistered.load(Ordering::Relaxed);
                !is_over && !reporting.has_left()
            };
            while is_registered() {
                number += 1;
                store.write(&format!("servers/{}", reporting.id), &reporting.entry(number));
                // A change of its state is written at once.
                let (told, next_at) = (reporting.state_name(), Instant::now() + HEARTBEAT);
                while Instant::now() < next_at
                    && reporting.state_name() == told
                    && is_registered()
                    && !reporting.reports_now.swap(false, Ordering::Relaxed)
                {
                    std::thread::sleep(Duration::from_millis(30));
                }
            }
            store.remove(&format!("servers/{}", reporting.id));
        });
        server
    }

    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Writes the entry again.
    pub fn report_again(&self) {
        self.reports_now.store(true, Ordering::Relaxed);
    }

    /// Ends the registration; the server serves on.
    pub fn unregister(&self) {
        self.is_unregistered.store(true, Ordering::Relaxed);
    }

    /// Ends the server as its process would: nothing listens at its address any more.
    pub fn leave(&self) {
        self.has_left.store(true, Ordering::Relaxed);
        if let Some(served) = self.served.get() {
            served.end(self.address);
        }
    }

    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
    }

    /// From now on, bytes without end come in place of the answers to releases.
    pub fn answer_without_end(&self, bytes_per_s: usize) {
        self.endless_bytes_per_s.store(bytes_per_s as u64, Ordering::Relaxed);
    }

    /// Calls back for each of the keys that is held now.
    pub fn for_held(&self, keys: &[usize], mut held: impl FnMut(usize)) {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        for key in keys {
            if state.held_until[*key].is_some_and(|until| now < until) {
                held(*key);
            }
        }
    }

    fn state_name(&self) -> &'static str {
        if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" }
    }

    /// Returns the entry of another writer that names this server's address.
    pub fn entry_of_another(&self, service: &str) -> String {
        let born_ms = now_ms();
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"MaxConcurrency\":1,\"State\":\"ready\",\"WarmupLeft\":\"0ms\",\"Seq\":1,\
             \"born\":{born_ms}}}",
            self.address, self.zone
        )
    }

    fn entry(&self, number: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"MaxConcurrency\":{SLOTS},\"State\":\"{}\",\"WarmupLeft\":\"0ms\",\"Seq\":{number},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.state_name(),
            self.born_ms
        )
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> Reply {
        if self.has_left() {
            return Reply::Close;
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        let is_meant = request.header("expect-instance").is_none_or(|meant| meant == self.id);
        if !is_meant {
            return self.refuse(421, &id);
        }
        let connection = stream.peer_addr().ok();
        if let Some(connection) = connection
            && let Some(copy) = self.repeats.lock().unwrap().remove(&connection)
        {
            // The extra answer comes at the point where the next one is expected.
            self.record.write(&format!("server {} sends an earlier answer once more", self.id));
            let _ = stream.write_all(&copy);
        }
        match request.path() {
            "/verbenadrift/grant" => {
                self.repeat_some(connection, Reply::Answer(self.grant(request)))
            }
            "/verbenadrift/release" => {
                let reply = self.release(request, stream);
                self.repeat_some(connection, reply)
            }
            "/health" => {
                let status = if self.state_name() == "ready" { 200 } else { 503 };
                Reply::Answer(Answer::new(status, "").header("Instance-Id", &self.id))
            }
            _ => self.run(request, &id),
        }
    }

    /// Plans to write some of the answers to orders a second time.
    fn repeat_some(&self, connection: Option<SocketAddr>, reply: Reply) -> Reply {
        let number = self.orders.fetch_add(1, Ordering::Relaxed);
        let draw = mix(self.born_ms << 20 ^ number) % 1_000;
        if draw < self.repeated_per_mille.load(Ordering::Relaxed)
            && let (Some(connection), Reply::Answer(answer)) = (connection, &reply)
        {
            self.repeats.lock().unwrap().insert(connection, answer.to_bytes());
        }
        reply
    }

    /// Sets how many in a thousand answers to orders are written a second time.
    pub fn repeat_answers(&self, per_mille: u64) {
        self.repeated_per_mille.store(per_mille, Ordering::Relaxed);
    }

    /// Returns the keys of a range on which this server is at work although it was to give them up,
    /// and which it could still hold.
    pub fn at_work_on(&self, from: usize, to: usize) -> Vec<u16> {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        let running =
            state.running_on.keys().filter(|key| (from..=to).contains(&usize::from(**key)));
        let is_granted =
            |key: &&u16| state.granted_until[usize::from(**key)].is_some_and(|until| now < until);
        running.filter(is_granted).copied().collect()
    }

    fn refuse(&self, status: u16, id: &str) -> Reply {
        let answer = Answer::new(status, "").header("Not-Executed", 1);
        let answer = answer.header("Request-Id", id).header("Instance-Id", &self.id);
        Reply::Answer(answer)
    }

    fn grant(&self, request: &Message) -> Answer {
        let arrived_at = request.arrived_at.unwrap_or_else(Instant::now);
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let hold = body.get("Hold").text().and_then(parse_time);
        let (Some((from, to, fence)), Some(hold)) = (keys_of(&body), hold) else {
            return Answer::new(400, "");
        };
        if hold > HOLD_MAX || !self.is_sharded {
            return Answer::new(400, "");
        }
        self.record.on_grant(&self.id, from, to);
        let mut state = self.state.lock().unwrap();
        let is_fenced = state.fences[from..=to].iter().any(|seen| *seen > fence);
        let kind = if is_fenced { "refuses" } else { "takes" };
        let line = format!("{kind} grant {from}-{to} fence {fence} for {} ms", hold.as_millis());
        self.record.write(&format!("server {} {line}", self.id));
        if is_fenced {
            return Answer::new(409, "");
        }
        let until = arrived_at + hold;
        for key in from..=to {
            state.fences[key] = fence;
            let known = state.held_until[key].filter(|known| *known > until);
            state.held_until[key] = known.or(Some(until));
            state.granted_until[key] = state.held_until[key];
        }
        Answer::new(200, "")
    }

    fn release(&self, request: &Message, stream: &mut TcpStream) -> Reply {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let Some((from, to, fence)) = keys_of(&body).filter(|_| self.is_sharded) else {
            return Reply::Answer(Answer::new(400, ""));
        };
        let mut state = self.state.lock().unwrap();
        for key in from..=to {
            state.fences[key] = state.fences[key].max(fence);
            state.held_until[key] = None;
        }
        while state.running_on.keys().any(|key| (from..=to).contains(&usize::from(*key))) {
            state = self.freed.wait(state).unwrap();
        }
        state.handovers += 1;
        let token = format!("{}-{}", self.id, state.handovers);
        drop(state);
        self.record.write(&format!("server {} releases {from}-{to} fence {fence}", self.id));
        let bytes_per_s = self.endless_bytes_per_s.load(Ordering::Relaxed) as usize;
        if bytes_per_s > 0 {
            self.send_without_end(stream, bytes_per_s);
            return Reply::Taken;
        }
        Reply::Answer(Answer::new(200, "").header("Handover", token))
    }

    /// Sends bytes until the caller closes the connection; all connections share the rate of a link.
    fn send_without_end(&self, stream: &mut TcpStream, bytes_per_s: usize) {
        const STEPS_PER_S: usize = 500;
        let step = Duration::from_secs(1) / STEPS_PER_S as u32;
        let started_at = Instant::now();
        let bytes = vec![b'x'; bytes_per_s / STEPS_PER_S];
        let mut sent = 0;
        if stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").is_ok() {
            let _ = stream.set_write_timeout(Some(IDLE));
            while !self.has_left() {
                let may_send = {
                    let mut endless = self.endless.lock().unwrap();
                    let (since, total) = endless.get_or_insert((started_at, 0));
                    let due = (since.elapsed().as_secs_f64() * bytes_per_s as f64) as usize;
                    // What was not sent in time is not made up for.
                    *total = (*total).max(due.saturating_sub(bytes.len()));
                    let may_send = *total <= due;
                    *total += if may_send { bytes.len() } else { 0 };
                    may_send
                };
                if !may_send {
                    std::thread::sleep(step);
                } else if stream.write_all(&bytes).is_err() {
                    break;
                } else {
                    sent += bytes.len();
                }
            }
        }
        self.record.write(&format!(
            "server {} sent {} MB in place of an answer within {} ms, until the caller closed",
            self.id,
            sent / 1_000_000,
            started_at.elapsed().as_millis()
        ));
    }

    fn run(&self, request: &Message, id: &str) -> Reply {
        if id.is_empty() {
            return self.refuse(400, id);
        }
        let key = request.header("shard-key").and_then(|key| key.parse::<u16>().ok());
        let started_at = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.running >= SLOTS && state.waiting >= QUEUE {
            return self.refuse(503, id);
        }
        state.waiting += 1;
        while state.running >= SLOTS {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        let is_held = |state: &State| {
            let key = usize::from(key.unwrap_or(0));
            !self.is_sharded || state.held_until[key].is_some_and(|until| Instant::now() < until)
        };
        let left = request.header("deadline-ms").and_then(|left| left.parse().ok());
        let is_over = left.is_some_and(|left| started_at.elapsed() >= Duration::from_millis(left));
        if !is_held(&state) || is_over {
            drop(state);
            self.freed.notify_all();
            return self.refuse(if is_over { 503 } else { 421 }, id);
        }
        state.running += 1;
        if let Some(key) = key {
            *state.running_on.entry(key).or_default() += 1;
        }
        drop(state);
        self.record.on_run(id, &self.id, request);
        std::thread::sleep(self.work.mul_f64(0.5 + (mix(now_ms()) % 100) as f64 / 100.0));
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        if let Some(key) = key
            && let Some(count) = state.running_on.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                state.running_on.remove(&key);
            }
        }
        let status = if is_held(&state) { 200 } else { 500 };
        drop(state);
        self.freed.notify_all();
        let body = format!("{id} ran at {}", self.id);
        let answer = Answer::new(status, body).header("Request-Id", id);
        let answer = answer.header("Server-Signature", format!("{}.{}", self.id, self.born_ms));
        Reply::Answer(answer.header("Keep-Alive", format!("timeout={}", IDLE.as_secs())))
    }
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time after 1970").as_millis() as u64
}

fn keys_of(body: &Json) -> Option<(usize, usize, u64)> {
    let (from, to) = (body.get("From").number()? as usize, body.get("To").number()? as usize);
    (from <= to && to < KEYS).then_some((from, to, body.get("fence").number()?))
}
