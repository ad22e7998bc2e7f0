//! A small fake of what surrounds the control parts: clocks, messages, servers, store.
//!
//! Time is a number. Messages wait in a queue ordered by time. After every order that
//! a server follows, the safety rules are checked by name.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod schedule;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

use control::{
    Action, Beat, BeatReply, Control, Event, Instance, Record, RecordCopy, Stage, Tuning,
    WriteOutcome,
};
use document::{Document, Name, Revision};
use lease::{Admission, Epoch, Holder, Order, ShardEpoch, ShardId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::Table;

/// Stands for whatever daemon process there is when a message arrives.
const ANY_PROCESS: u64 = 0;
const TICK_MS: u64 = 20;
const BEAT_MS: u64 = 250;
const PREPARE_MS: u64 = 30;

pub struct World {
    pub now_ms: u64,
    pub rng: StdRng,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub store: Store,
    /// Pairs of data centres (or `store`) that cannot reach each other.
    pub cuts: BTreeSet<(Name, Name)>,
    /// The chance in 1000 that a message is lost.
    pub loss_permille: u32,
    /// The chance in 1000 that a message is late, by up to `late_ms`.
    pub late_permille: u32,
    pub late_ms: u64,
    /// Whether what servers answer to orders is traced as well.
    pub traces_orders: bool,
    pub trace: Option<Vec<String>>,
    /// By shard: the time at which it was last seen without an owner, and the longest gap.
    pub gaps: Gaps,
    queue: BinaryHeap<Reverse<Item>>,
    sequence: u64,
    highest: BTreeMap<ShardId, Epoch>,
    covered: BTreeSet<(ShardId, Name, Epoch)>,
    holders: BTreeMap<(ShardId, Epoch), Name>,
    documents: Vec<(Revision, Arc<Document>)>,
    tables: Vec<Option<Arc<Table>>>,
}

#[derive(Default)]
pub struct Gaps {
    pub since_ms: BTreeMap<ShardId, u64>,
    pub longest_ms: u64,
}

pub struct Daemon {
    pub name: Name,
    pub data_centre: Name,
    pub control: Option<Control>,
    pub paused_until_ms: u64,
    pub has_document: Revision,
    clock: Clock,
    incarnation: u64,
    route_deadline_ms: u64,
}

pub struct Server {
    pub name: Name,
    pub data_centre: Name,
    pub address: SocketAddr,
    pub checks_fence: bool,
    pub is_alive: bool,
    pub paused_until_ms: u64,
    holder: Holder,
    prepare_ready_ms: BTreeMap<ShardId, u64>,
    clock: Clock,
    incarnation: u64,
}

#[derive(Default)]
pub struct Store {
    pub is_down: bool,
    /// The chance in 1000 that a reply is lost after the write took effect.
    pub lost_reply_permille: u32,
    pub revision: u64,
    pub record: Option<RecordCopy>,
    pub writes: u64,
}

#[derive(Clone, Copy)]
struct Clock {
    offset_ms: u64,
    /// Parts in 1000 by which the clock is faster than true time, from -4 to 4.
    rate_permille: i64,
}

impl Clock {
    fn read(self, now_ms: u64) -> u64 {
        let skew = i64::try_from(now_ms).unwrap() * self.rate_permille / 1000;
        self.offset_ms + now_ms.checked_add_signed(skew).unwrap()
    }
}

#[derive(Clone, Debug)]
enum Delivery {
    Tick(usize),
    Beat(usize),
    ToDaemon(usize, u64, Box<Event>),
    RouteLease(usize, u64, BeatReply),
    ToServer { server: usize, from: usize, order: Order },
    StoreRead { from: usize },
    StoreWrite { from: usize, number: u64, expected: Option<Revision>, record: Arc<Record> },
}

struct Item {
    at_ms: u64,
    sequence: u64,
    delivery: Delivery,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

pub fn name(text: &str) -> Name {
    Name::from(text)
}

/// The text of a document: `(server, data centre, state, checks fence)`.
pub fn document_text(shards: u32, servers: &[(&str, &str, &str, bool)]) -> String {
    let mut text = format!(
        "[service]\nname = ledger\nkind = keyed\nkey = segment 2\nprepare = 200ms\n\
         [key-group all]\nprefix =\nshards = {shards}\n"
    );
    for (number, (server, data_centre, state, checks)) in servers.iter().enumerate() {
        let checks = if *checks { "yes" } else { "no" };
        write!(
            text,
            "[server {server}]\naddress = 127.0.0.1:{}\ndata_centre = {data_centre}\n\
             state = {state}\nchecks_fence = {checks}\n",
            9000 + number
        )
        .expect("a string takes all text");
    }
    text
}

impl World {
    /// Four daemons in three data centres, and servers that are named later by a document.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            daemons: Vec::new(),
            servers: Vec::new(),
            store: Store::default(),
            cuts: BTreeSet::new(),
            loss_permille: 0,
            late_permille: 0,
            late_ms: 0,
            traces_orders: false,
            trace: None,
            gaps: Gaps::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            highest: BTreeMap::new(),
            covered: BTreeSet::new(),
            holders: BTreeMap::new(),
            documents: Vec::new(),
            tables: vec![None; 4],
        };
        for (number, data_centre) in ["a", "a", "b", "c"].iter().enumerate() {
            let clock = world.random_clock();
            world.daemons.push(Daemon {
                name: name(&format!("entry-{}", number + 1)),
                data_centre: name(data_centre),
                control: None,
                paused_until_ms: 0,
                has_document: Revision(0),
                clock,
                incarnation: 0,
                route_deadline_ms: 0,
            });
        }
        world
    }

    pub fn start_all(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.start_daemon(daemon);
        }
    }

    pub fn start_daemon(&mut self, at: usize) {
        let instances = self
            .daemons
            .iter()
            .map(|d| Instance { name: d.name.clone(), data_centre: d.data_centre.clone() })
            .collect();
        let clock = self.random_clock();
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[at];
        daemon.clock = clock;
        daemon.incarnation += 1;
        daemon.paused_until_ms = 0;
        daemon.route_deadline_ms = 0;
        daemon.has_document = Revision(0);
        let local_ms = clock.read(now_ms);
        let tuning = Tuning::default();
        let incarnation = daemon.incarnation;
        daemon.control =
            Some(Control::new(local_ms, incarnation, name("ledger"), daemon.name.clone(), tuning));
        self.tables[at] = None;
        self.deliver(at, Event::Instances(instances));
        self.queue_in(1, Delivery::Tick(at));
        self.queue_in(BEAT_MS, Delivery::Beat(at));
    }

    pub fn kill_daemon(&mut self, at: usize) {
        self.daemons[at].control = None;
    }

    pub fn pause_daemon(&mut self, at: usize, length_ms: u64) {
        self.daemons[at].paused_until_ms = self.now_ms + length_ms;
    }

    pub fn kill_server(&mut self, server: &str) {
        let at = self.server_at(server);
        self.servers[at].is_alive = false;
    }

    pub fn start_server(&mut self, server: &str) {
        let clock = self.random_clock();
        let at = self.server_at(server);
        let server = &mut self.servers[at];
        server.is_alive = true;
        server.incarnation += 1;
        server.paused_until_ms = 0;
        server.clock = clock;
        server.holder = Holder::new(server.incarnation);
        server.prepare_ready_ms.clear();
    }

    pub fn pause_server(&mut self, server: &str, length_ms: u64) {
        let at = self.server_at(server);
        self.servers[at].paused_until_ms = self.now_ms + length_ms;
    }

    /// Starts a request at a shard's owner.
    pub fn begin_request(&mut self, shard: u32) -> (usize, ShardEpoch) {
        let owner = self.owner(shard).expect("the shard has an owner");
        let at = self.server_at(&owner);
        let server = &mut self.servers[at];
        let local_ms = server.clock.read(self.now_ms);
        let epoch = server.holder.is_owner(local_ms, ShardId(shard)).expect("it is the owner");
        let target = ShardEpoch { shard: ShardId(shard), epoch };
        assert_eq!(server.holder.begin(local_ms, target), Admission::Run);
        (at, target)
    }

    /// Ends a request; returns whether its result counts.
    pub fn end_request(&mut self, (at, target): (usize, ShardEpoch)) -> bool {
        let server = &mut self.servers[at];
        server.holder.end(server.clock.read(self.now_ms), target)
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((name(a), name(b)));
        self.cuts.insert((name(b), name(a)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Accepts an edit, as the store does; daemons learn of it by their watches.
    pub fn edit(&mut self, text: &str) {
        let document = Arc::new(Document::from_ini("ledger.ini", text).expect("a valid document"));
        for server in &document.servers {
            if !self.servers.iter().any(|known| known.name == server.name) {
                let clock = self.random_clock();
                self.servers.push(Server {
                    name: server.name.clone(),
                    data_centre: server.data_centre.clone(),
                    address: server.address,
                    checks_fence: server.checks_fence,
                    is_alive: true,
                    paused_until_ms: 0,
                    holder: Holder::new(1),
                    prepare_ready_ms: BTreeMap::new(),
                    clock,
                    incarnation: 1,
                });
            }
        }
        self.store.revision += 1;
        self.documents.push((Revision(self.store.revision), document));
    }

    pub fn run_for(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while let Some(Reverse(item)) = self.queue.peek() {
            if item.at_ms > end_ms {
                break;
            }
            let Reverse(item) = self.queue.pop().expect("the queue was peeked");
            self.now_ms = item.at_ms;
            self.handle(item.delivery);
        }
        self.now_ms = end_ms;
    }

    /// Runs until every shard is held where the document wants it; returns how long it took.
    pub fn run_until_settled(&mut self, limit_ms: u64) -> u64 {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + limit_ms {
            if self.is_settled() {
                return self.now_ms - start_ms;
            }
            self.run_for(10);
        }
        panic!("not settled after {limit_ms} ms: {}", self.describe());
    }

    /// Forgets the gaps that were measured so far.
    pub fn reset_gaps(&mut self) {
        self.update_gaps();
        self.gaps = Gaps::default();
    }

    pub fn is_settled(&self) -> bool {
        let Some((revision, document)) = self.documents.last() else {
            return false;
        };
        let Some(controller) = self.controller() else {
            return false;
        };
        let daemon = &self.daemons[controller];
        let local_ms = daemon.clock.read(self.now_ms);
        let status = daemon.control.as_ref().and_then(|c| c.status(local_ms)).unwrap();
        let newest = daemon.control.as_ref().and_then(Control::table).unwrap();
        let is_routed = self.daemons.iter().zip(&self.tables).all(|(daemon, table)| {
            daemon.control.is_none()
                || table
                    .as_ref()
                    .is_some_and(|t| t.sequence == newest.sequence && t.term == newest.term)
        });
        let is_in_force = status.document == *revision
            && self.daemons.iter().all(|d| d.control.is_none() || d.has_document == *revision);
        let all_open = newest.routes.iter().all(|route| route.is_open);
        let leaving_is_empty = status.servers.iter().all(|(server, status)| {
            status.shards == 0 || document.server(server).is_some_and(document::Server::is_welcome)
        });
        status.unsettled.is_empty() && is_routed && is_in_force && all_open && leaving_is_empty
    }

    pub fn controller(&self) -> Option<usize> {
        self.daemons.iter().position(|d| d.control.as_ref().is_some_and(Control::is_controller))
    }

    pub fn owner(&self, shard: u32) -> Option<Name> {
        let id = ShardId(shard);
        self.servers
            .iter()
            .find(|s| s.is_alive && s.holder.is_owner(s.clock.read(self.now_ms), id).is_some())
            .map(|s| s.name.clone())
    }

    pub fn shards_of(&self, server: &str) -> Vec<u32> {
        let count = self.store.record.as_ref().map_or(0, |copy| copy.record.shards.len());
        (0..u32::try_from(count).unwrap())
            .filter(|shard| self.owner(*shard).as_deref() == Some(server))
            .collect()
    }

    pub fn server_at(&self, server: &str) -> usize {
        self.servers.iter().position(|s| s.name == *server).expect("a known server")
    }

    fn describe(&self) -> String {
        let mut text = format!("at {} ms, revision {}\n", self.now_ms, self.store.revision);
        for (daemon, table) in self.daemons.iter().zip(&self.tables) {
            let local_ms = daemon.clock.read(self.now_ms);
            let status = daemon.control.as_ref().and_then(|c| c.status(local_ms));
            let table = table.as_ref().map(|t| (t.term, t.sequence));
            let lease_ms = daemon.route_deadline_ms.saturating_sub(local_ms);
            writeln!(
                text,
                "{} document {} table {table:?} route lease {lease_ms} ms status {status:?}",
                daemon.name, daemon.has_document
            )
            .expect("a string takes all text");
        }
        text
    }

    fn random_clock(&mut self) -> Clock {
        Clock {
            offset_ms: self.rng.random_range(0..1_000_000),
            rate_permille: self.rng.random_range(-4..=4),
        }
    }

    fn queue_in(&mut self, delay_ms: u64, delivery: Delivery) {
        self.sequence += 1;
        let item = Item { at_ms: self.now_ms + delay_ms, sequence: self.sequence, delivery };
        self.queue.push(Reverse(item));
    }

    /// Queues a message between two places, unless it is lost.
    fn send(&mut self, from: &Name, to: &Name, delivery: Delivery) {
        if self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        if self.rng.random_range(0..1000) < self.loss_permille {
            return;
        }
        let mut delay_ms = if from == to { 1 } else { 2 };
        if self.rng.random_range(0..1000) < self.late_permille {
            delay_ms += self.rng.random_range(0..=self.late_ms);
        }
        self.queue_in(delay_ms, delivery);
    }

    fn handle(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(at) => self.tick(at),
            Delivery::Beat(at) => self.beat(at),
            Delivery::ToDaemon(at, incarnation, event) => {
                if self.defer_daemon(at, &Delivery::ToDaemon(at, incarnation, event.clone())) {
                    return;
                }
                if incarnation == ANY_PROCESS || self.daemons[at].incarnation == incarnation {
                    self.deliver(at, *event);
                }
            }
            Delivery::RouteLease(at, incarnation, reply) => {
                let daemon = &mut self.daemons[at];
                let has_table =
                    self.tables[at].as_ref().is_some_and(|t| t.leader_epoch == reply.leader_epoch);
                if daemon.incarnation == reply.incarnation && has_table {
                    daemon.route_deadline_ms = daemon.route_deadline_ms.max(reply.deadline_ms);
                }
                if daemon.incarnation == incarnation {
                    self.deliver(at, Event::BeatReplied(reply));
                }
            }
            Delivery::ToServer { server, from, order } => self.order(server, from, &order),
            Delivery::StoreRead { from } => self.read_store(from),
            Delivery::StoreWrite { from, number, expected, record } => {
                self.write_store(from, number, expected, record);
            }
        }
    }

    fn defer_daemon(&mut self, at: usize, delivery: &Delivery) -> bool {
        let until_ms = self.daemons[at].paused_until_ms;
        if self.now_ms >= until_ms {
            return false;
        }
        self.queue_in(until_ms - self.now_ms, delivery.clone());
        true
    }

    fn tick(&mut self, at: usize) {
        if self.daemons[at].control.is_none() || self.defer_daemon(at, &Delivery::Tick(at)) {
            return;
        }
        self.update_gaps();
        self.watch_documents(at);
        self.deliver(at, Event::Tick);
        self.queue_in(TICK_MS, Delivery::Tick(at));
    }

    /// A daemon learns documents from the store, or else from a peer that it can reach.
    fn watch_documents(&mut self, at: usize) {
        let here = self.daemons[at].data_centre.clone();
        let can_read = !self.store.is_down && !self.cuts.contains(&(here.clone(), name("store")));
        let newest = if can_read {
            self.documents.last().map(|(revision, _)| *revision)
        } else {
            self.daemons
                .iter()
                .filter(|d| d.control.is_some())
                .filter(|d| !self.cuts.contains(&(here.clone(), d.data_centre.clone())))
                .map(|d| d.has_document)
                .max()
        };
        let Some(newest) = newest.filter(|newest| *newest > self.daemons[at].has_document) else {
            return;
        };
        let Some((_, document)) = self.documents.iter().find(|(r, _)| *r == newest).cloned() else {
            return;
        };
        self.daemons[at].has_document = newest;
        self.deliver(at, Event::Document(newest, document));
    }

    fn beat(&mut self, at: usize) {
        if self.daemons[at].control.is_none() || self.defer_daemon(at, &Delivery::Beat(at)) {
            return;
        }
        self.send_beat(at);
        self.queue_in(BEAT_MS, Delivery::Beat(at));
    }

    fn send_beat(&mut self, at: usize) {
        let table = self.tables[at].as_ref();
        let (term, leader_epoch, sequence) = table
            .map_or((lease::Term(0), lease::LeaderEpoch(0), 0), |t| {
                (t.term, t.leader_epoch, t.sequence)
            });
        let daemon = &self.daemons[at];
        let beat = Beat {
            instance: daemon.name.clone(),
            incarnation: daemon.incarnation,
            clock_ms: daemon.clock.read(self.now_ms),
            term,
            leader_epoch,
            sequence,
            is_drained: true,
            document: daemon.has_document,
            loads: Vec::new(),
        };
        let local_ms = daemon.clock.read(self.now_ms);
        let targets = daemon.control.as_ref().map_or(Vec::new(), |c| c.beat_targets(local_ms));
        for to in targets {
            self.send_event(at, &to, Event::Beat(beat.clone()));
        }
    }

    fn send_event(&mut self, from: usize, to: &Name, event: Event) {
        let Some(to) = self.daemons.iter().position(|d| d.name == *to) else {
            return;
        };
        // A peer's message may reach a later process at the same place.
        let incarnation = ANY_PROCESS;
        let from = self.daemons[from].data_centre.clone();
        let to_centre = self.daemons[to].data_centre.clone();
        self.send(&from, &to_centre, Delivery::ToDaemon(to, incarnation, Box::new(event)));
    }

    fn deliver(&mut self, at: usize, event: Event) {
        let local_ms = self.daemons[at].clock.read(self.now_ms);
        let table = if let Event::Table(table) = &event { Some(Arc::clone(table)) } else { None };
        let Some(control) = self.daemons[at].control.as_mut() else {
            return;
        };
        let actions = control.step(local_ms, event);
        if let Some(table) = table {
            self.put_in_force(at, table);
        }
        for action in actions {
            self.carry_out(at, action);
        }
    }

    /// A daemon routes by the newest table that it got, and tells the controller.
    fn put_in_force(&mut self, at: usize, table: Arc<Table>) {
        if self.tables[at].as_ref().is_some_and(|known| !table.is_after(known)) {
            return;
        }
        if self.tables[at].as_ref().is_some_and(|known| known.leader_epoch != table.leader_epoch) {
            self.daemons[at].route_deadline_ms = 0;
        }
        self.tables[at] = Some(table);
        self.send_beat(at);
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        self.note_trace(at, &action);
        let here = self.daemons[at].data_centre.clone();
        match action {
            Action::ReadRecord => {
                self.send(&here, &name("store"), Delivery::StoreRead { from: at });
            }
            Action::WriteRecord { number, expected, record } => {
                let delivery = Delivery::StoreWrite { from: at, number, expected, record };
                self.send(&here, &name("store"), delivery);
            }
            Action::AskPromise(to, ask) => self.send_event(at, &to, Event::PromiseAsked(ask)),
            Action::ReplyPromise(to, reply) => {
                self.send_event(at, &to, Event::PromiseReplied(reply));
            }
            Action::ReturnPromise(to, leader_epoch) => {
                self.send_event(at, &to, Event::PromiseReturned(leader_epoch));
            }
            Action::Order(server, _, order) => {
                let server = self.server_at(&server);
                let there = self.servers[server].data_centre.clone();
                self.send(&here, &there, Delivery::ToServer { server, from: at, order });
            }
            Action::Publish(table) => {
                for to in 0..self.daemons.len() {
                    let to = self.daemons[to].name.clone();
                    self.send_event(at, &to, Event::Table(Arc::clone(&table)));
                }
            }
            Action::SendTable(to, table) => self.send_event(at, &to, Event::Table(table)),
            Action::ReplyBeat(to, reply) => {
                let to = self.daemons.iter().position(|d| d.name == to).expect("a daemon");
                let there = self.daemons[to].data_centre.clone();
                let incarnation = self.daemons[to].incarnation;
                self.send(&here, &there, Delivery::RouteLease(to, incarnation, reply));
            }
        }
    }

    fn order(&mut self, at: usize, from: usize, order: &Order) {
        let server = &mut self.servers[at];
        if !server.is_alive {
            return;
        }
        if self.now_ms < server.paused_until_ms {
            let delay_ms = server.paused_until_ms - self.now_ms;
            let order = order.clone();
            self.queue_in(delay_ms, Delivery::ToServer { server: at, from, order });
            return;
        }
        let local_ms = server.clock.read(self.now_ms);
        let mut report = server.holder.follow(local_ms, order);
        let text = format!(
            "{} process {}: order {} for {:?}: {:?}",
            server.name, server.incarnation, order.number, order.incarnation, report.verdict
        );
        server.prepare_ready_ms.retain(|shard, _| order.prepares.contains(shard));
        for shard in &order.prepares {
            server.prepare_ready_ms.entry(*shard).or_insert(self.now_ms + PREPARE_MS);
        }
        let now_ms = self.now_ms;
        let ready = &server.prepare_ready_ms;
        report.prepared.retain(|shard| ready.get(shard).is_some_and(|at_ms| *at_ms <= now_ms));
        let event = Event::Reported(server.name.clone(), report);
        let here = server.data_centre.clone();
        let there = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        if self.traces_orders {
            self.note(&text);
        }
        self.check(at);
        self.send(&here, &there, Delivery::ToDaemon(from, incarnation, Box::new(event)));
    }

    fn read_store(&mut self, from: usize) {
        if self.store.is_down {
            return;
        }
        let event = Event::RecordRead(self.store.record.clone());
        let there = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        self.send(&name("store"), &there, Delivery::ToDaemon(from, incarnation, Box::new(event)));
    }

    fn write_store(
        &mut self,
        from: usize,
        number: u64,
        expected: Option<Revision>,
        record: Arc<Record>,
    ) {
        if self.store.is_down {
            // A slow store: the write may take effect when it comes back.
            if self.rng.random_range(0..4) == 0 {
                self.queue_in(1_000, Delivery::StoreWrite { from, number, expected, record });
            }
            return;
        }
        let present = self.store.record.as_ref().map(|copy| copy.revision);
        let outcome = if present == expected {
            self.store.revision += 1;
            self.store.writes += 1;
            self.cover(&record);
            let revision = Revision(self.store.revision);
            self.store.record = Some(RecordCopy { revision, record });
            WriteOutcome::Done(revision)
        } else {
            WriteOutcome::Conflict
        };
        let is_lost = self.rng.random_range(0..1000) < self.store.lost_reply_permille;
        let outcome = if is_lost { WriteOutcome::Unknown } else { outcome };
        let there = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        let event = Event::Written(number, outcome);
        self.send(&name("store"), &there, Delivery::ToDaemon(from, incarnation, Box::new(event)));
    }

    fn cover(&mut self, record: &Record) {
        for shard in &record.shards {
            for (server, epoch) in
                [(&shard.owner, shard.epoch), (&shard.successor, shard.successor_epoch)]
            {
                if let Some(server) = server {
                    self.covered.insert((shard.id, server.clone(), epoch));
                }
            }
        }
    }

    /// Checks the safety rules after a server followed an order.
    fn check(&mut self, at: usize) {
        let Some(copy) = self.store.record.clone() else {
            return;
        };
        for shard in &copy.record.shards {
            self.check_one_owner(shard.id);
            let server = &self.servers[at];
            let local_ms = server.clock.read(self.now_ms);
            let Some(epoch) = server.holder.is_owner(local_ms, shard.id) else {
                continue;
            };
            let highest = self.highest.entry(shard.id).or_default();
            assert!(
                epoch >= *highest,
                "rule epochs-rise: shard {} went from epoch {highest} to {epoch}",
                shard.id
            );
            *highest = epoch;
            let holder =
                self.holders.entry((shard.id, epoch)).or_insert_with(|| server.name.clone());
            assert_eq!(
                *holder, server.name,
                "rule epoch-of-one-server: shard {} epoch {epoch}",
                shard.id
            );
            assert!(
                self.covered.contains(&(shard.id, server.name.clone(), epoch)),
                "rule record-before-grant: shard {} epoch {epoch} on {}",
                shard.id,
                server.name
            );
        }
    }

    fn check_one_owner(&self, shard: ShardId) {
        let mut owners: BTreeSet<Name> = BTreeSet::new();
        for server in self.servers.iter().filter(|server| server.checks_fence) {
            let local_ms = server.clock.read(self.now_ms);
            if server.is_alive && server.holder.is_owner(local_ms, shard).is_some() {
                owners.insert(server.name.clone());
            }
        }
        for (daemon, table) in self.daemons.iter().zip(&self.tables) {
            let Some(table) = table else { continue };
            let is_leased = daemon.clock.read(self.now_ms) < daemon.route_deadline_ms;
            let route = table.routes.iter().find(|route| route.shard == shard);
            let Some(server) = route.filter(|r| r.is_open).and_then(|r| table.server_of(r)) else {
                continue;
            };
            let server = &self.servers[self.server_at(server)];
            if daemon.control.is_some() && is_leased && !server.checks_fence {
                owners.insert(server.name.clone());
            }
        }
        assert!(
            owners.len() <= 1,
            "rule one-owner: shard {shard} has {owners:?} at {} ms\n{}",
            self.now_ms,
            self.describe()
        );
    }

    /// Measures how long shards have no owner that daemons could reach.
    fn update_gaps(&mut self) {
        let count = self.store.record.as_ref().map_or(0, |copy| copy.record.shards.len());
        for shard in 0..u32::try_from(count).unwrap() {
            let id = ShardId(shard);
            let is_owned = self.servers.iter().any(|server| {
                server.is_alive
                    && self.now_ms >= server.paused_until_ms
                    && server.holder.is_owner(server.clock.read(self.now_ms), id).is_some()
            });
            if is_owned {
                if let Some(since_ms) = self.gaps.since_ms.remove(&id) {
                    self.gaps.longest_ms = self.gaps.longest_ms.max(self.now_ms - since_ms);
                }
            } else {
                self.gaps.since_ms.entry(id).or_insert(self.now_ms);
            }
        }
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:>6} ms {text}", self.now_ms);
        if let Some(trace) = &mut self.trace {
            trace.push(line);
        }
    }

    fn note_trace(&mut self, at: usize, action: &Action) {
        let text = match action {
            Action::ReadRecord => "read record".to_owned(),
            Action::WriteRecord { expected, record, .. } => {
                let expected = expected.map_or(0, |revision| revision.0);
                format!("write record over {expected}: {}", describe_record(record))
            }
            Action::AskPromise(to, ask) if ask.stage == Stage::Requesting => {
                format!("ask {to} for term {}", ask.term)
            }
            Action::Order(server, _, order) => match describe_order(order) {
                Some(text) => format!("order {server}: {text}"),
                None => return,
            },
            Action::Publish(table) => {
                let open = table.routes.iter().filter(|route| route.is_open).count();
                format!("publish {}.{}: {open} open", table.term, table.sequence)
            }
            _ => return,
        };
        self.note(&format!("{}: {text}", self.daemons[at].name.clone()));
    }
}

fn describe_record(record: &Record) -> String {
    let shards = record.shards.iter().map(|shard| {
        let place = |server: &Option<Name>, epoch: Epoch| match server {
            Some(server) => format!("{server}@{epoch}"),
            None => "-".to_owned(),
        };
        format!(
            "{}>{}",
            place(&shard.owner, shard.epoch),
            place(&shard.successor, shard.successor_epoch)
        )
    });
    format!("term {} {}", record.term, shards.collect::<Vec<_>>().join(" "))
}

fn describe_order(order: &Order) -> Option<String> {
    let grants: Vec<String> =
        order.grants.iter().map(|g| format!("{}@{}", g.shard, g.epoch)).collect();
    let releases: Vec<String> =
        order.releases.iter().map(|g| format!("{}@{}", g.shard, g.epoch)).collect();
    let prepares: Vec<String> = order.prepares.iter().map(ToString::to_string).collect();
    if releases.is_empty() && prepares.is_empty() && grants.is_empty() {
        return None;
    }
    Some(format!(
        "grant [{}] release [{}] prepare [{}]",
        grants.join(" "),
        releases.join(" "),
        prepares.join(" ")
    ))
}
