//! The platform's store, as PROTOCOL.md has it.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, from_base64, quote, to_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    changed: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    length: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in ascending order; `None` is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

/// The platform's store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

const PAGE_ITEMS: usize = 500;

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, changed: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let has_ended = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if has_ended && !held.is_empty() {
            self.revision += 1;
            held.iter().for_each(|key| self.remove(key));
        }
        has_ended
    }

    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

fn to_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"ModRevision\":{},\"CreateRevision\":{},\"Lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.changed,
        item.created,
        item.lease
    )
}

pub fn duration(text: &str) -> Duration {
    let text = text.trim();
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.trim_end_matches('s'), 1_000.0),
    };
    Duration::from_millis((number.parse().unwrap_or(0.0) * factor) as u64)
}

impl Store {
    /// Starts the store on an address; what writes without a call uses [`Store::write`].
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let served = store.clone();
        http::serve(listener, move |stream| served.answer_all(stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                if expiring.0.0.lock().unwrap().end_leases() {
                    expiring.0.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item as the operator or a server; `None` removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        match value {
            Some(value) => state.put(key, value.as_bytes().to_vec(), 0),
            None => state.remove(key),
        }
        self.0.1.notify_all();
    }

    fn answer_all(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read(&mut reader, false) {
            let (status, body) = self.answer(&request);
            let fields = [("Content-Type", "application/json")];
            if writer.write_all(&http::answer(status, &fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().strip_prefix("/verbenadrift/").unwrap_or("").to_owned();
        let (call, id) = path.split_once('/').unwrap_or((&path, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), call) {
            ("GET", "kv-key") => self.item(&request.query("Key").unwrap_or_default()),
            ("GET", "kv-range") => {
                let prefix = request.query("Prefix").unwrap_or_default();
                self.range(&prefix, request.query("after"))
            }
            ("GET", "kv-watch") => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let prefix = request.query("Prefix").unwrap_or_default();
                self.watch(&prefix, number("after").unwrap_or(0), number("WaitMs").unwrap_or(0))
            }
            ("POST", "kv-txn") => self.transaction(&Json::parse(&body).unwrap_or(Json::Null)),
            ("POST", "kv-lease") => {
                let length =
                    duration(Json::parse(&body).unwrap_or(Json::Null).get("Ttl_time").text());
                let mut state = self.0.0.lock().unwrap();
                state.last_lease += 1;
                let id = 1_000 + state.last_lease;
                state.leases.insert(id, Lease { length, ends_at: Instant::now() + length });
                ("200 OK", format!("{{\"Lease\":{id},\"Ttl_time\":\"{}ms\"}}", length.as_millis()))
            }
            ("POST", "kv-keep") => {
                let mut state = self.0.0.lock().unwrap();
                state.end_leases();
                let Some(lease) = state.leases.get_mut(&id.parse().unwrap_or(0)) else {
                    return ("404 Not Found", "{}".into());
                };
                lease.ends_at = Instant::now() + lease.length;
                ("200 OK", format!("{{\"Ttl_time\":\"{}ms\"}}", lease.length.as_millis()))
            }
            ("DELETE", "kv-lease-end") => {
                let has_ended = self.0.0.lock().unwrap().end_lease(id.parse().unwrap_or(0));
                self.0.1.notify_all();
                (if has_ended { "200 OK" } else { "404 Not Found" }, "{}".into())
            }
            _ => ("400 Bad Request", "{}".into()),
        }
    }

    fn item(&self, key: &str) -> (&'static str, String) {
        let state = self.0.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = to_json(key, item);
                let text = text.trim_end_matches('}');
                ("200 OK", format!("{text},\"StoreRevision\":{}}}", state.revision))
            }
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (&'static str, String) {
        let state = self.0.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && after.as_ref().is_none_or(|after| *key > after)
        });
        let items: Vec<String> = items.map(|(key, item)| to_json(key, item)).collect();
        let is_truncated = items.len() > PAGE_ITEMS;
        let items = items[..items.len().min(PAGE_ITEMS)].join(",");
        let revision = state.revision;
        let body = format!(
            "{{\"items\":[{items}],\"Truncated\":{is_truncated},\"StoreRevision\":{revision}}}"
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changes =
                state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let changes: Vec<String> = changes
                .map(|(at, key, item)| match item {
                    Some(item) => to_json(key, item),
                    None => {
                        format!("{{\"Key\":{},\"ModRevision\":{at},\"Deleted\":true}}", quote(key))
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (events, revision) = (changes.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.0.0.lock().unwrap();
        state.end_leases();
        let conditions = body.get("Precondition").list();
        let holds = |row: &Json| {
            let known = state.items.get(row.get("Key").text());
            known.map_or(0, |item| item.changed) == row.get("ModRevision").number()
        };
        if !conditions.iter().all(holds) {
            let items = conditions.iter().filter_map(|row| {
                let key = row.get("Key").text();
                state.items.get(key).map(|item| to_json(key, item))
            });
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("SetKeys").list();
        let lease_of = |put: &Json| put.get("Lease").number();
        if puts.iter().any(|put| lease_of(put) > 0 && !state.leases.contains_key(&lease_of(put))) {
            return ("404 Not Found", "{}".into());
        }
        state.revision += 1;
        for put in puts {
            state.put(put.get("Key").text(), from_base64(put.get("Value").text()), lease_of(put));
        }
        for key in body.get("DeleteKeys").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        self.0.1.notify_all();
        ("200 OK", format!("{{\"ModRevision\":{revision}}}"))
    }
}

/// Returns a listener on a free port of an address.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port on a loopback address");
    let address = listener.local_addr().expect("the address of a listener");
    (listener, address)
}
