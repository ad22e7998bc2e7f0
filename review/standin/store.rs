//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Message, Reply, serve};
use crate::json::{Json, from_base64, quote, to_base64};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    changed: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    length: Duration,
    ends_at: Instant,
}

/// One change; `value` is `None` for a removal.
#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

/// Everything that the store keeps, so that a copy is a clone.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    events: Vec<Event>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    next_lease: u64,
    is_down: bool,
    era: u64,
}

/// A store that a thread serves; clones share their state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// A copy of everything that a store kept at one time.
pub struct Copy(Contents);

impl Contents {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, changed: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.changed)
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    /// Starts to serve a store and to end its leases.
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        store.lock().contents.revision = 100;
        let ending = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                ending.end_due_leases();
            }
        });
        let served = store.clone();
        serve(listener, Duration::from_secs(60), move |request, _| served.answer(request));
        store
    }

    /// Writes a key as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        state.contents.revision += 1;
        state.contents.put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    /// Removes a key as the platform does with the entry of a server that has left.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.contents.revision += 1;
        state.contents.remove(key);
        self.0.1.notify_all();
    }

    pub fn revision(&self) -> u64 {
        self.lock().contents.revision
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.0.1.notify_all();
    }

    /// Takes a copy of everything.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().contents.clone())
    }

    /// Goes on from a copy: what was written since is gone, and so are renewals of leases.
    pub fn go_on_from(&self, copy: Copy) {
        let mut state = self.lock();
        state.contents = copy.0;
        state.era += 1;
        drop(state);
        self.end_due_leases();
        self.0.1.notify_all();
    }

    fn end_due_leases(&self) {
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        let now = Instant::now();
        let due = state.contents.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for lease in due {
            state.contents.end_lease(lease);
            self.0.1.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap()
    }

    fn answer(&self, request: &Message) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        if self.lock().is_down {
            return Reply::Answer(self.with_era(Answer::new(503, "{}")));
        }
        let path = request.path().trim_start_matches("/verbenadrift/").to_owned();
        let answer = match (request.method(), path.as_str()) {
            ("GET", "kv-key") => self.get(request),
            ("GET", "kv-range") => self.range(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.transaction(request),
            ("POST", "kv-lease") => self.open_lease(request),
            ("POST", path) if path.starts_with("kv-keep/") => self.keep_lease(path),
            ("DELETE", path) if path.starts_with("kv-lease-end/") => self.drop_lease(path),
            _ => Answer::new(400, "{}"),
        };
        Reply::Answer(self.with_era(answer))
    }

    fn with_era(&self, answer: Answer) -> Answer {
        answer.header("Content-Type", "application/json").header("Store-Era", self.lock().era)
    }

    fn get(&self, request: &Message) -> Answer {
        let key = request.parameter("Key").unwrap_or_default();
        let state = self.lock();
        match state.contents.items.get(&key) {
            Some(item) => {
                let text = item_text(&key, item, Some(state.contents.revision));
                Answer::new(200, text)
            }
            None => Answer::new(404, "{}"),
        }
    }

    fn range(&self, request: &Message) -> Answer {
        let prefix = request.parameter("Prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let state = self.lock();
        let listed = state.contents.items.iter();
        let listed = listed.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = listed.map(|(key, item)| item_text(key, item, None)).collect();
        let revision = state.contents.revision;
        let items = items.join(",");
        Answer::new(
            200,
            format!("{{\"items\":[{items}],\"Truncated\":false,\"StoreRevision\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Message) -> Answer {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.parameter("Prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let ends_at = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_down {
                return Answer::new(503, "{}");
            }
            let contents = &state.contents;
            // A watch of an earlier era, or from a revision that the store doesn't have.
            if state.era != era || after > contents.revision {
                return Answer::new(410, "{}");
            }
            let new = contents.events.iter().filter(|event| event.revision > after);
            let new = new.filter(|event| event.key.starts_with(&prefix));
            let events: Vec<String> = new.map(event_text).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let (events, revision) = (events.join(","), contents.revision);
                return Answer::new(
                    200,
                    format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
                );
            }
            state = self.0.1.wait_timeout(state, ends_at - now).unwrap().0;
        }
    }

    fn transaction(&self, request: &Message) -> Answer {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Answer::new(400, "{}");
        };
        let mut state = self.lock();
        let contents = &mut state.contents;
        let conditions = body.get("Precondition").list();
        let fails = |condition: &&Json| {
            let key = condition.get("Key").text().unwrap_or("");
            contents.revision_of(key) != condition.get("ModRevision").number().unwrap_or(0)
        };
        if conditions.iter().any(|condition| fails(&condition)) {
            let current = conditions.iter().filter_map(|condition| {
                let key = condition.get("Key").text()?;
                Some(item_text(key, contents.items.get(key)?, None))
            });
            let items: Vec<String> = current.collect();
            return Answer::new(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("SetKeys").list();
        let leases = puts.iter().filter_map(|put| put.get("Lease").number());
        if leases.filter(|lease| *lease > 0).any(|lease| !contents.leases.contains_key(&lease)) {
            return Answer::new(404, "{}");
        }
        contents.revision += 1;
        for put in puts {
            let value = from_base64(put.get("Value").text().unwrap_or(""));
            let lease = put.get("Lease").number().unwrap_or(0);
            contents.put(put.get("Key").text().unwrap_or(""), value, lease);
        }
        for key in body.get("DeleteKeys").list() {
            contents.remove(key.text().unwrap_or(""));
        }
        let revision = contents.revision;
        self.0.1.notify_all();
        Answer::new(200, format!("{{\"ModRevision\":{revision}}}"))
    }

    fn open_lease(&self, request: &Message) -> Answer {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let Some(length) = body.get("Ttl_time").text().and_then(parse_time) else {
            return Answer::new(400, "{}");
        };
        let mut state = self.lock();
        state.next_lease += 1;
        let id = 70_000 + state.next_lease;
        let ends_at = request.arrived_at.unwrap_or_else(Instant::now) + length;
        state.contents.leases.insert(id, Lease { length, ends_at });
        Answer::new(200, format!("{{\"Lease\":{id},\"Ttl_time\":\"{}ms\"}}", length.as_millis()))
    }

    fn keep_lease(&self, path: &str) -> Answer {
        let mut state = self.lock();
        match state.contents.leases.get_mut(&lease_id(path)) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.length;
                let length_ms = lease.length.as_millis();
                Answer::new(200, format!("{{\"Ttl_time\":\"{length_ms}ms\"}}"))
            }
            None => Answer::new(404, "{}"),
        }
    }

    fn drop_lease(&self, path: &str) -> Answer {
        let mut state = self.lock();
        if !state.contents.leases.contains_key(&lease_id(path)) {
            return Answer::new(404, "{}");
        }
        state.contents.end_lease(lease_id(path));
        self.0.1.notify_all();
        Answer::new(200, "{}")
    }
}

fn lease_id(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn item_text(key: &str, item: &Item, revision: Option<u64>) -> String {
    let revision = revision.map(|revision| format!(",\"StoreRevision\":{revision}"));
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"ModRevision\":{},\"CreateRevision\":{},\"Lease\":{}{}}}",
        quote(key),
        to_base64(&item.value),
        item.changed,
        item.created,
        item.lease,
        revision.unwrap_or_default()
    )
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => item_text(&event.key, item, None),
        None => {
            let key = quote(&event.key);
            format!("{{\"Key\":{key},\"ModRevision\":{},\"Deleted\":true}}", event.revision)
        }
    }
}

/// Parses a time such as `1500ms` or `2.5s`.
pub fn parse_time(text: &str) -> Option<Duration> {
    let (number, unit_ms) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    number.parse::<f64>().ok().map(|number| Duration::from_secs_f64(number * unit_ms / 1_000.0))
}

/// Returns the address at which a listener can be reached.
pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound address")
}
