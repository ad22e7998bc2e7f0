//! A server that registers itself and may own keys, as PROTOCOL.md has it.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message, answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::{Store, duration, listen};

pub const KEYS: usize = 65_536;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a server may do beside its true answer.
#[derive(Clone, Debug)]
pub struct Answering {
    pub path: String,
    /// The number of answers that this connection has carried before.
    pub earlier: u64,
    /// Whether the order grants keys of which the server held none before, for a second or more.
    pub is_first_grant: bool,
    pub status: u16,
}

/// Returns bytes that belong to no request, which a faulty server writes before its answer.
pub type Fault = Arc<dyn Fn(&Answering) -> Option<Vec<u8>> + Send + Sync>;

#[derive(Default)]
struct Keys {
    seen: Vec<u64>,
    /// Until when each key is held, in milliseconds of the record.
    until_ms: Vec<f64>,
    running: HashMap<u16, u32>,
}

/// How many requests run and wait.
#[derive(Default)]
struct Slots {
    used: u32,
    waiting: u32,
}

/// One server; clones share it.
#[derive(Clone)]
pub struct Server(Arc<Inner>);

struct Inner {
    name: String,
    service: String,
    address: SocketAddr,
    is_keyed: bool,
    work: Duration,
    born_ms: u64,
    is_draining: AtomicBool,
    keys: Mutex<Keys>,
    ended: Condvar,
    slots: Mutex<Slots>,
    freed: Condvar,
    handovers: AtomicU64,
    record: Arc<Record>,
    fault: Fault,
    /// The end of the ids of requests that fail with status 500; none if it is empty.
    failing: &'static str,
}

const SLOTS: u32 = 3;
const QUEUE: u32 = 12;

/// What a server is started with.
pub struct Start<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub is_keyed: bool,
    pub work_ms: u64,
    pub failing: &'static str,
    pub fault: Fault,
}

impl Server {
    pub fn start(start: Start<'_>, store: &Store, record: &Arc<Record>) -> Self {
        let (listener, address) = listen("127.0.0.1");
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let keys = Keys { seen: vec![0; KEYS], until_ms: vec![0.0; KEYS], ..Keys::default() };
        let server = Self(Arc::new(Inner {
            name: start.name.to_owned(),
            service: start.service.to_owned(),
            address,
            is_keyed: start.is_keyed,
            work: Duration::from_millis(start.work_ms),
            born_ms: since_epoch.unwrap().as_millis() as u64,
            is_draining: AtomicBool::new(false),
            keys: Mutex::new(keys),
            ended: Condvar::new(),
            slots: Mutex::default(),
            freed: Condvar::new(),
            handovers: AtomicU64::new(0),
            record: Arc::clone(record),
            fault: start.fault,
            failing: start.failing,
        }));
        let served = server.clone();
        http::serve(listener, move |stream| served.answer_all(stream));
        let (registered, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            for seq in 1.. {
                registered.register(&store, seq);
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Reports `draining` from now on.
    pub fn drain(&self, store: &Store) {
        self.0.is_draining.store(true, Ordering::Relaxed);
        self.register(store, 1_000_000);
        self.0.record.note(&format!("{} reports draining", self.0.name));
    }

    fn register(&self, store: &Store, seq: u64) {
        let inner = &self.0;
        let is_draining = inner.is_draining.load(Ordering::Relaxed);
        let seq = if is_draining { seq.max(1_000_000) } else { seq };
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
             \"MaxConcurrency\":{SLOTS},\"State\":\"{state}\",\"WarmupLeft\":\"0ms\",\"Seq\":{seq},\
             \"born\":{}}}",
            inner.service, inner.address, inner.born_ms
        );
        store.write(&format!("servers/{}", inner.name), Some(&entry));
    }

    fn answer_all(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut earlier = 0;
        while let Ok(request) = http::read(&mut reader, false) {
            let (bytes, is_first_grant) = self.answer(&request);
            let status = std::str::from_utf8(&bytes[9..12]).ok().and_then(|text| text.parse().ok());
            let answering = Answering {
                path: request.path().to_owned(),
                earlier,
                is_first_grant,
                status: status.unwrap_or(0),
            };
            let mut written = Vec::new();
            if let Some(extra) = (self.0.fault)(&answering) {
                self.0.record.note(&format!(
                    "{} writes {:?} before its answer to {} {}",
                    self.0.name,
                    String::from_utf8_lossy(&extra),
                    request.line,
                    request.field("request-id").unwrap_or("")
                ));
                written.extend(extra);
            }
            written.extend(bytes);
            self.0.record.count_answer(&self.0.name);
            self.0.record.note(&format!(
                "{} answers {} to {} {}{}",
                self.0.name,
                answering.status,
                request.line,
                request.field("request-id").unwrap_or(""),
                // The keys and the fence of an order.
                String::from_utf8_lossy(&request.body)
            ));
            if writer.write_all(&written).is_err() {
                return;
            }
            earlier += 1;
        }
    }

    fn answer(&self, request: &Message) -> (Vec<u8>, bool) {
        let inner = &self.0;
        let expected = request.field("expect-instance");
        if expected.is_some_and(|expected| expected != inner.name) {
            let fields = [("Instance-Id", inner.name.as_str()), ("Not-Executed", "1")];
            return (answer("421 Misdirected Request", &fields, b""), false);
        }
        match request.path() {
            "/health" => (answer("200 OK", &[("Instance-Id", &inner.name)], b""), false),
            "/verbenadrift/grant" => self.grant(request),
            "/verbenadrift/release" => (self.release(request), false),
            _ => (self.run(request), false),
        }
    }

    fn grant(&self, request: &Message) -> (Vec<u8>, bool) {
        let inner = &self.0;
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (from, to) = (body.get("From").number() as usize, body.get("To").number() as usize);
        let (fence, hold) = (body.get("fence").number(), duration(body.get("Hold").text()));
        if !inner.is_keyed || from > to || to >= KEYS || hold > Duration::from_secs(10) {
            return (answer("400 Bad Request", &[], b""), false);
        }
        let mut keys = inner.keys.lock().unwrap();
        if keys.seen[from..=to].iter().any(|seen| *seen > fence) {
            return (answer("409 Conflict", &[], b""), false);
        }
        let now_ms = inner.record.now_ms();
        let is_new = keys.until_ms[from..=to].iter().all(|until_ms| *until_ms <= now_ms);
        let until_ms = now_ms + hold.as_secs_f64() * 1_000.0;
        keys.seen[from..=to].fill(fence);
        for key in from..=to {
            keys.until_ms[key] = keys.until_ms[key].max(until_ms);
        }
        inner.record.hold(&inner.name, from, to, until_ms);
        if is_new {
            inner.record.note(&format!(
                "{} takes {from}-{to} with fence {fence} for {} ms",
                inner.name,
                hold.as_millis()
            ));
        }
        (answer("200 OK", &[], b""), is_new && hold >= Duration::from_secs(1))
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        let inner = &self.0;
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (from, to) = (body.get("From").number() as usize, body.get("To").number() as usize);
        let to = to.min(KEYS - 1);
        let mut keys = inner.keys.lock().unwrap();
        let now_ms = inner.record.now_ms();
        keys.until_ms[from..=to].fill(0.0);
        inner.record.release(&inner.name, from, to, now_ms);
        inner.record.note(&format!("{} releases {from}-{to}", inner.name));
        while keys
            .running
            .iter()
            .any(|(key, count)| *count > 0 && (from..=to).contains(&usize::from(*key)))
        {
            keys = inner.ended.wait(keys).unwrap();
        }
        let number = inner.handovers.fetch_add(1, Ordering::Relaxed);
        answer("200 OK", &[("Handover", &format!("{}-{number}", inner.name))], b"")
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let inner = &self.0;
        let id = request.field("request-id").unwrap_or("").to_owned();
        let own = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        {
            let mut load = inner.slots.lock().unwrap();
            if load.used + load.waiting >= SLOTS + QUEUE {
                return answer("503 Service Unavailable", &own, b"");
            }
            load.waiting += 1;
            while load.used >= SLOTS {
                load = inner.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
            load.used += 1;
        }
        let bytes = self.run_in_slot(request, &id, &own);
        inner.slots.lock().unwrap().used -= 1;
        inner.freed.notify_one();
        bytes
    }

    fn run_in_slot(&self, request: &Message, id: &str, own: &[(&str, &str)]) -> Vec<u8> {
        let inner = &self.0;
        let key: u16 = request.field("shard-key").and_then(|key| key.parse().ok()).unwrap_or(0);
        if inner.is_keyed {
            let mut keys = inner.keys.lock().unwrap();
            if keys.until_ms[usize::from(key)] <= inner.record.now_ms() {
                return answer("421 Misdirected Request", own, b"");
            }
            *keys.running.entry(key).or_default() += 1;
        }
        inner.record.run(&inner.name, id, request.method());
        thread::sleep(inner.work);
        let is_failure = !inner.failing.is_empty() && id.ends_with(inner.failing);
        if inner.is_keyed {
            let mut keys = inner.keys.lock().unwrap();
            if let Some(count) = keys.running.get_mut(&key) {
                *count -= 1;
            }
            inner.ended.notify_all();
        }
        let status = if is_failure { "500 Internal Server Error" } else { "200 OK" };
        let signature = format!("{}.{id}.{}", inner.name, &status[..3]);
        let body = format!("{} ran {id}: {status}", inner.name);
        inner.record.answered(id, &status[..3]);
        let fields = [
            ("Content-Type", "text/plain"),
            ("Request-Id", id),
            ("Server-Signature", signature.as_str()),
        ];
        answer(status, &fields, body.as_bytes())
    }
}
