//! A simulated environment of the control state machines: clocks, messages, servers, store.
//!
//! Time is simulated, and messages wait in a queue ordered by time. After every order that
//! a server handles, the safety rules are checked; a failure names the broken rule.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod faults;
pub mod late_orders;
pub mod schedule;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

use control::{
    Action, Config, Control, Event, Heartbeat, HeartbeatReply, Instance, Record, RecordCopy, Stage,
    WriteOutcome,
};
use document::{Document, Name, Revision};
use lease::{Admission, Epoch, GrantTable, Order, ShardEpoch, ShardId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::Table;

use faults::Faults;
use late_orders::LateOrders;

/// Addresses a message to whichever process of the daemon runs when the message arrives.
const ANY_INCARNATION: u64 = 0;
const TICK_INTERVAL_MS: u64 = 20;
const HEARTBEAT_INTERVAL_MS: u64 = 250;
const PREPARE_MS: u64 = 30;
/// Separates the incarnations of a server's processes at different addresses.
const FIRST_OF_ADDRESS: u64 = 1_000;

pub struct World {
    pub now_ms: u64,
    pub rng: StdRng,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Server>,
    pub store: Store,
    /// Pairs of data centres (or `store`) of which the first cannot reach the second.
    pub partitions: BTreeSet<(Name, Name)>,
    /// The probability, in 1/1000, that a message is lost.
    pub loss_permille: u32,
    /// The probability, in 1/1000, that a message is delayed by up to `max_delay_ms`.
    pub late_permille: u32,
    pub max_delay_ms: u64,
    /// Faults that a schedule sets beside those above.
    pub faults: Faults,
    /// Whether the servers' answers to orders are traced as well.
    pub traces_reports: bool,
    /// The lines of the trace; `None` if the session is not traced.
    pub trace: Option<Vec<String>>,
    /// The times during which shards had no owner.
    pub gaps: Gaps,
    queue: BinaryHeap<Reverse<QueuedDelivery>>,
    sequence: u64,
    /// By shard, the highest epoch with which a server owned it.
    max_epochs: BTreeMap<ShardId, Epoch>,
    /// Every grant that a written record has allowed.
    recorded_grants: BTreeSet<(ShardId, Name, Epoch)>,
    /// By shard and epoch, the only server that may own it with this epoch.
    epoch_owners: BTreeMap<(ShardId, Epoch), Name>,
    documents: Vec<(Revision, Arc<Document>)>,
    /// By daemon, the table that it routes by.
    tables: Vec<Option<Arc<Table>>>,
}

#[derive(Default)]
pub struct Gaps {
    /// By shard without an owner, the time since which it has had none.
    pub unowned_since_ms: BTreeMap<ShardId, u64>,
    /// The length of the longest gap.
    pub max_ms: u64,
}

pub struct Daemon {
    pub name: Name,
    pub data_centre: Name,
    pub control: Option<Control>,
    pub resumes_at_ms: u64,
    pub document_revision: Revision,
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
    pub resumes_at_ms: u64,
    grant_table: GrantTable,
    late_orders: LateOrders,
    prepared_at_ms: BTreeMap<ShardId, u64>,
    clock: Clock,
    incarnation: u64,
}

#[derive(Default)]
pub struct Store {
    pub is_down: bool,
    /// The probability, in 1/1000, that a reply is lost after the write took effect.
    pub lost_reply_permille: u32,
    pub revision: u64,
    pub record: Option<RecordCopy>,
    pub writes: u64,
}

#[derive(Clone, Copy)]
struct Clock {
    offset_ms: u64,
    /// By how much the clock is faster than true time, in 1/1000; from -4 to 4.
    rate_permille: i64,
}

impl Clock {
    fn read(self, now_ms: u64) -> u64 {
        let drift_ms = i64::try_from(now_ms).unwrap() * self.rate_permille / 1000;
        self.offset_ms + now_ms.checked_add_signed(drift_ms).unwrap()
    }
}

/// An event that is handled when its time in the queue comes.
///
/// Indices refer to daemons and servers.
///
/// The second field of `ToDaemon` and `RouteLease` is the incarnation of the receiving daemon;
/// an event for another incarnation is dropped, unless it is for [`ANY_INCARNATION`].
#[derive(Clone, Debug)]
enum Delivery {
    Tick(usize),
    Heartbeat(usize),
    ToDaemon(usize, u64, Box<Event>),
    RouteLease(usize, u64, HeartbeatReply),
    ToServer {
        server: usize,
        from: usize,
        order: Order,
    },
    /// A server process carries out an order that it had queued.
    QueuedOrder {
        server: usize,
        incarnation: u64,
        from: usize,
        order: Order,
        check: Check,
    },
    /// A request at a server process ends.
    RequestEnd {
        server: usize,
        incarnation: u64,
        target: ShardEpoch,
    },
    StoreRead {
        from: usize,
    },
    StoreWrite {
        from: usize,
        number: u64,
        expected: Option<Revision>,
        record: Arc<Record>,
    },
}

/// When a server compares an order with those that it has carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Check {
    /// When it carries the order out.
    Late,
    /// When the order arrives; an order that it has queued is carried out in any case.
    OnArrival,
}

struct QueuedDelivery {
    at_ms: u64,
    sequence: u64,
    delivery: Delivery,
}

impl PartialEq for QueuedDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}
impl Eq for QueuedDelivery {}
impl PartialOrd for QueuedDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

pub fn name(text: &str) -> Name {
    Name::from(text)
}

/// Returns the text of a document; servers are `(name, data centre, state, checks fence)`.
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
        .expect("writing to a string cannot fail");
    }
    text
}

impl World {
    /// Creates four daemons in three data centres; documents add the servers later.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            daemons: Vec::new(),
            servers: Vec::new(),
            store: Store::default(),
            partitions: BTreeSet::new(),
            loss_permille: 0,
            late_permille: 0,
            max_delay_ms: 0,
            faults: Faults::default(),
            traces_reports: false,
            trace: None,
            gaps: Gaps::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            max_epochs: BTreeMap::new(),
            recorded_grants: BTreeSet::new(),
            epoch_owners: BTreeMap::new(),
            documents: Vec::new(),
            tables: vec![None; 4],
        };
        for (number, data_centre) in ["a", "a", "b", "c"].iter().enumerate() {
            let clock = world.random_clock();
            world.daemons.push(Daemon {
                name: name(&format!("entry-{}", number + 1)),
                data_centre: name(data_centre),
                control: None,
                resumes_at_ms: 0,
                document_revision: Revision(0),
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

    pub fn start_daemon(&mut self, index: usize) {
        let instances = self
            .daemons
            .iter()
            .map(|daemon| Instance {
                name: daemon.name.clone(),
                data_centre: daemon.data_centre.clone(),
            })
            .collect();
        let clock = self.random_clock();
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        daemon.clock = clock;
        daemon.incarnation += 1;
        daemon.resumes_at_ms = 0;
        daemon.route_deadline_ms = 0;
        daemon.document_revision = Revision(0);
        let local_ms = clock.read(now_ms);
        let config = Config::default();
        let incarnation = daemon.incarnation;
        daemon.control =
            Some(Control::new(local_ms, incarnation, name("ledger"), daemon.name.clone(), config));
        self.tables[index] = None;
        self.deliver(index, Event::Instances(instances));
        self.queue_in(1, Delivery::Tick(index));
        self.queue_in(HEARTBEAT_INTERVAL_MS, Delivery::Heartbeat(index));
    }

    pub fn kill_daemon(&mut self, index: usize) {
        self.daemons[index].control = None;
    }

    pub fn pause_daemon(&mut self, index: usize, duration_ms: u64) {
        self.daemons[index].resumes_at_ms = self.now_ms + duration_ms;
    }

    pub fn kill_server(&mut self, server: &str) {
        let index = self.server_index(server);
        self.servers[index].is_alive = false;
    }

    pub fn start_server(&mut self, server: &str) {
        let clock = self.random_clock();
        let index = self.server_index(server);
        let server = &mut self.servers[index];
        server.is_alive = true;
        server.incarnation += 1;
        server.resumes_at_ms = 0;
        server.clock = clock;
        server.grant_table = GrantTable::new(server.incarnation);
        server.late_orders = LateOrders::default();
        server.prepared_at_ms.clear();
    }

    pub fn pause_server(&mut self, server: &str, duration_ms: u64) {
        let index = self.server_index(server);
        self.servers[index].resumes_at_ms = self.now_ms + duration_ms;
    }

    /// Starts a request on a shard's owner.
    pub fn begin_request(&mut self, shard: u32) -> (usize, ShardEpoch) {
        let owner = self.owner(shard).expect("the shard has an owner");
        let index = self.server_index(&owner);
        let server = &mut self.servers[index];
        let local_ms = server.clock.read(self.now_ms);
        let epoch =
            server.grant_table.owned_epoch(local_ms, ShardId(shard)).expect("it is the owner");
        let target = ShardEpoch { shard: ShardId(shard), epoch };
        assert_eq!(server.grant_table.begin(local_ms, target), Admission::Run);
        (index, target)
    }

    /// Ends a request; returns whether the server may commit its result.
    pub fn end_request(&mut self, (index, target): (usize, ShardEpoch)) -> bool {
        let server = &mut self.servers[index];
        server.grant_table.end(server.clock.read(self.now_ms), target)
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.partitions.insert((name(a), name(b)));
        self.partitions.insert((name(b), name(a)));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Stores an edited document; daemons fetch it on their next tick.
    pub fn edit(&mut self, text: &str) {
        let document = Arc::new(Document::from_ini("ledger.ini", text).expect("a valid document"));
        for server in &document.servers {
            if !self.servers.iter().any(|known| known.address == server.address) {
                let clock = self.random_clock();
                let earlier = self.servers.iter().filter(|known| known.name == server.name);
                let incarnation = 1 + FIRST_OF_ADDRESS * u64::try_from(earlier.count()).unwrap();
                self.servers.push(Server {
                    name: server.name.clone(),
                    data_centre: server.data_centre.clone(),
                    address: server.address,
                    checks_fence: server.checks_fence,
                    is_alive: true,
                    resumes_at_ms: 0,
                    grant_table: GrantTable::new(incarnation),
                    late_orders: LateOrders::default(),
                    prepared_at_ms: BTreeMap::new(),
                    clock,
                    incarnation,
                });
            }
        }
        self.store.revision += 1;
        self.documents.push((Revision(self.store.revision), document));
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(Reverse(item)) = self.queue.peek() {
            if item.at_ms > end_ms {
                break;
            }
            let Reverse(item) = self.queue.pop().expect("the queue is not empty");
            self.now_ms = item.at_ms;
            self.on_delivery(item.delivery);
        }
        self.now_ms = end_ms;
    }

    /// Runs until the newest document has taken full effect; returns the time taken in ms.
    pub fn run_until_settled(&mut self, timeout_ms: u64) -> u64 {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + timeout_ms {
            if self.is_settled() {
                return self.now_ms - start_ms;
            }
            self.run_for(10);
        }
        panic!("not settled after {timeout_ms} ms: {}", self.describe());
    }

    /// Forgets the gaps measured so far.
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
        let Some(newest) = daemon.control.as_ref().and_then(Control::table) else {
            return false;
        };
        let is_routed = self.daemons.iter().zip(&self.tables).all(|(daemon, table)| {
            daemon.control.is_none()
                || table
                    .as_ref()
                    .is_some_and(|t| t.sequence == newest.sequence && t.term == newest.term)
        });
        let is_in_force = status.document == *revision
            && self
                .daemons
                .iter()
                .all(|daemon| daemon.control.is_none() || daemon.document_revision == *revision);
        let all_open = newest.routes.iter().all(|route| route.is_open);
        let leaving_is_empty = status.servers.iter().all(|(server, status)| {
            status.shards == 0
                || document.server(server).is_some_and(document::Server::accepts_new_work)
        });
        status.unsettled.is_empty() && is_routed && is_in_force && all_open && leaving_is_empty
    }

    pub fn controller(&self) -> Option<usize> {
        self.daemons
            .iter()
            .position(|daemon| daemon.control.as_ref().is_some_and(Control::is_controller))
    }

    pub fn owner(&self, shard: u32) -> Option<Name> {
        let id = ShardId(shard);
        self.servers
            .iter()
            .find(|s| s.is_alive && s.owned_epoch(self.now_ms, id).is_some())
            .map(|s| s.name.clone())
    }

    pub fn shards_of(&self, server: &str) -> Vec<u32> {
        let count = self.store.record.as_ref().map_or(0, |copy| copy.record.shards.len());
        (0..u32::try_from(count).unwrap())
            .filter(|shard| self.owner(*shard).as_deref() == Some(server))
            .collect()
    }

    /// Returns the index of a server, at its newest address if it has had several.
    pub fn server_index(&self, server: &str) -> usize {
        self.servers.iter().rposition(|s| s.name == *server).expect("a known server")
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
                daemon.name, daemon.document_revision
            )
            .expect("writing to a string cannot fail");
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
        let item =
            QueuedDelivery { at_ms: self.now_ms + delay_ms, sequence: self.sequence, delivery };
        self.queue.push(Reverse(item));
    }

    /// Queues a message between two data centres, unless it is lost.
    fn send(&mut self, from: &Name, to: &Name, delivery: Delivery) {
        if self.partitions.contains(&(from.clone(), to.clone())) {
            return;
        }
        if self.rng.random_range(0..1000) < self.loss_permille {
            return;
        }
        let mut delay_ms = if from == to { 1 } else { 2 };
        if self.rng.random_range(0..1000) < self.late_permille {
            delay_ms += self.rng.random_range(0..=self.max_delay_ms);
        }
        self.queue_in(delay_ms, delivery);
    }

    fn on_delivery(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(index) => self.tick(index),
            Delivery::Heartbeat(index) => self.on_heartbeat_due(index),
            Delivery::ToDaemon(index, incarnation, event) => {
                if self.defer_daemon(index, &Delivery::ToDaemon(index, incarnation, event.clone()))
                {
                    return;
                }
                if incarnation == ANY_INCARNATION || self.daemons[index].incarnation == incarnation
                {
                    self.deliver(index, *event);
                }
            }
            Delivery::RouteLease(index, incarnation, reply) => {
                let daemon = &mut self.daemons[index];
                let has_table = self.tables[index]
                    .as_ref()
                    .is_some_and(|t| t.leader_epoch == reply.leader_epoch);
                if daemon.incarnation == reply.incarnation && has_table {
                    daemon.route_deadline_ms = daemon.route_deadline_ms.max(reply.deadline_ms);
                }
                if daemon.incarnation == incarnation {
                    self.deliver(index, Event::HeartbeatReplied(reply));
                }
            }
            Delivery::ToServer { server, from, order } => {
                if !self.queue_order(server, from, &order) {
                    self.deliver_order(server, from, &order, Check::Late);
                }
            }
            Delivery::QueuedOrder { server, incarnation, from, order, check } => {
                if self.servers[server].incarnation == incarnation {
                    self.deliver_order(server, from, &order, check);
                }
            }
            Delivery::RequestEnd { server, incarnation, target } => {
                if self.servers[server].incarnation == incarnation {
                    self.end_request((server, target));
                }
            }
            Delivery::StoreRead { from } => self.read_store(from),
            Delivery::StoreWrite { from, number, expected, record } => {
                self.write_store(from, number, expected, record);
            }
        }
    }

    /// Queues a delivery again if the daemon is paused, and returns whether it is.
    fn defer_daemon(&mut self, index: usize, delivery: &Delivery) -> bool {
        let resumes_at_ms = self.daemons[index].resumes_at_ms;
        if self.now_ms >= resumes_at_ms {
            return false;
        }
        self.queue_in(resumes_at_ms - self.now_ms, delivery.clone());
        true
    }

    fn tick(&mut self, index: usize) {
        if self.daemons[index].control.is_none() || self.defer_daemon(index, &Delivery::Tick(index))
        {
            return;
        }
        self.update_gaps();
        self.fetch_newest_document(index);
        self.deliver(index, Event::Tick);
        self.queue_in(TICK_INTERVAL_MS, Delivery::Tick(index));
    }

    /// Fetches the newest document from the store, or else from a peer that the daemon can reach.
    fn fetch_newest_document(&mut self, index: usize) {
        let location = self.daemons[index].data_centre.clone();
        let can_read =
            !self.store.is_down && !self.partitions.contains(&(location.clone(), name("store")));
        let newest = if can_read {
            self.documents.last().map(|(revision, _)| *revision)
        } else {
            self.daemons
                .iter()
                .filter(|daemon| daemon.control.is_some())
                .filter(|d| !self.partitions.contains(&(location.clone(), d.data_centre.clone())))
                .map(|daemon| daemon.document_revision)
                .max()
        };
        let Some(newest) = newest.filter(|newest| *newest > self.daemons[index].document_revision)
        else {
            return;
        };
        let Some((_, document)) = self.documents.iter().find(|(r, _)| *r == newest).cloned() else {
            return;
        };
        self.daemons[index].document_revision = newest;
        self.deliver(index, Event::Document(newest, document));
    }

    fn on_heartbeat_due(&mut self, index: usize) {
        if self.daemons[index].control.is_none()
            || self.defer_daemon(index, &Delivery::Heartbeat(index))
        {
            return;
        }
        self.send_heartbeat(index);
        self.queue_in(HEARTBEAT_INTERVAL_MS, Delivery::Heartbeat(index));
    }

    fn send_heartbeat(&mut self, index: usize) {
        let table = self.tables[index].as_ref();
        let (term, leader_epoch, sequence) = table
            .map_or((lease::Term(0), lease::LeaderEpoch(0), 0), |t| {
                (t.term, t.leader_epoch, t.sequence)
            });
        let daemon = &self.daemons[index];
        let heartbeat = Heartbeat {
            instance: daemon.name.clone(),
            incarnation: daemon.incarnation,
            clock_ms: daemon.clock.read(self.now_ms),
            term,
            leader_epoch,
            sequence,
            is_drained: true,
            document: daemon.document_revision,
            loads: Vec::new(),
        };
        let local_ms = daemon.clock.read(self.now_ms);
        let targets = daemon.control.as_ref().map_or(Vec::new(), |c| c.heartbeat_targets(local_ms));
        for to in targets {
            self.send_to(index, &to, Event::Heartbeat(heartbeat.clone()));
        }
    }

    fn send_to(&mut self, from: usize, to: &Name, event: Event) {
        let Some(to) = self.daemons.iter().position(|daemon| daemon.name == *to) else {
            return;
        };
        // A message between daemons may reach a later process of the same daemon.
        let incarnation = ANY_INCARNATION;
        let from = self.daemons[from].data_centre.clone();
        let target_data_centre = self.daemons[to].data_centre.clone();
        self.send(&from, &target_data_centre, Delivery::ToDaemon(to, incarnation, Box::new(event)));
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let local_ms = self.daemons[index].clock.read(self.now_ms);
        let table = if let Event::Table(table) = &event { Some(Arc::clone(table)) } else { None };
        let Some(control) = self.daemons[index].control.as_mut() else {
            return;
        };
        let mut actions = control.on_event(local_ms, event);
        let is_batched = self.faults.batch_permille > 0
            && self.rng.random_range(0..1000) < self.faults.batch_permille;
        if !is_batched {
            actions.append(&mut control.reconcile(local_ms));
        }
        if let Some(table) = table {
            self.install_table(index, table);
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    /// Makes a daemon route by a newer table, and sends a heartbeat that reports it.
    fn install_table(&mut self, index: usize, table: Arc<Table>) {
        if self.tables[index].as_ref().is_some_and(|known| !table.is_after(known)) {
            return;
        }
        if self.tables[index].as_ref().is_some_and(|known| known.leader_epoch != table.leader_epoch)
        {
            self.daemons[index].route_deadline_ms = 0;
        }
        self.tables[index] = Some(table);
        self.send_heartbeat(index);
    }

    fn execute(&mut self, i: usize, action: Action) {
        self.trace_action(i, &action);
        let location = self.daemons[i].data_centre.clone();
        match action {
            Action::ReadRecord => {
                self.send(&location, &name("store"), Delivery::StoreRead { from: i });
            }
            Action::WriteRecord { number, expected, record } => {
                let delivery = Delivery::StoreWrite { from: i, number, expected, record };
                self.send(&location, &name("store"), delivery);
            }
            Action::RequestPromise(to, req) => self.send_to(i, &to, Event::PromiseRequested(req)),
            Action::ReplyPromise(to, reply) => {
                self.send_to(i, &to, Event::PromiseReplied(reply));
            }
            Action::ReturnPromise(to, leader_epoch) => {
                self.send_to(i, &to, Event::PromiseReturned(leader_epoch));
            }
            Action::Order(_, address, order) => {
                let server = self.servers.iter().position(|server| server.address == address);
                let server = server.expect("a server at the address");
                let target_data_centre = self.servers[server].data_centre.clone();
                self.send(
                    &location,
                    &target_data_centre,
                    Delivery::ToServer { server, from: i, order },
                );
            }
            Action::Publish(table) => {
                for to in 0..self.daemons.len() {
                    let to = self.daemons[to].name.clone();
                    self.send_to(i, &to, Event::Table(Arc::clone(&table)));
                }
            }
            Action::SendTable(to, table) => self.send_to(i, &to, Event::Table(table)),
            Action::ReplyHeartbeat(to, reply) => {
                let to =
                    self.daemons.iter().position(|daemon| daemon.name == to).expect("a daemon");
                let target_data_centre = self.daemons[to].data_centre.clone();
                let incarnation = self.daemons[to].incarnation;
                self.send(
                    &location,
                    &target_data_centre,
                    Delivery::RouteLease(to, incarnation, reply),
                );
            }
        }
    }

    fn deliver_order(&mut self, index: usize, from: usize, order: &Order, check: Check) {
        let server = &mut self.servers[index];
        if !server.is_alive {
            return;
        }
        if self.now_ms < server.resumes_at_ms {
            let delay_ms = server.resumes_at_ms - self.now_ms;
            let order = order.clone();
            let incarnation = server.incarnation;
            let delivery = match check {
                Check::Late => Delivery::ToServer { server: index, from, order },
                Check::OnArrival => {
                    Delivery::QueuedOrder { server: index, incarnation, from, order, check }
                }
            };
            self.queue_in(delay_ms, delivery);
            return;
        }
        let mut report = server.carry_out(self.now_ms, order, check);
        let text = format!(
            "{} process {}: order {} for {:?}: {:?}",
            server.name, server.incarnation, order.number, order.incarnation, report.verdict
        );
        server.prepared_at_ms.retain(|shard, _| order.prepares.contains(shard));
        for shard in &order.prepares {
            server.prepared_at_ms.entry(*shard).or_insert(self.now_ms + PREPARE_MS);
        }
        let now_ms = self.now_ms;
        let ready = &server.prepared_at_ms;
        report.prepared.retain(|shard| ready.get(shard).is_some_and(|at_ms| *at_ms <= now_ms));
        let location = server.data_centre.clone();
        let target_data_centre = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        let report = self.replace_report(index, (from, incarnation), report);
        let event = Event::Reported(self.servers[index].name.clone(), report);
        if self.traces_reports {
            self.trace_line(&text);
        }
        self.check_safety_rules(index);
        self.send(
            &location,
            &target_data_centre,
            Delivery::ToDaemon(from, incarnation, Box::new(event)),
        );
    }

    fn read_store(&mut self, from: usize) {
        if self.store.is_down {
            return;
        }
        let event = Event::RecordRead(self.store.record.clone());
        let target_data_centre = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        self.send(
            &name("store"),
            &target_data_centre,
            Delivery::ToDaemon(from, incarnation, Box::new(event)),
        );
    }

    fn write_store(
        &mut self,
        from: usize,
        number: u64,
        expected: Option<Revision>,
        record: Arc<Record>,
    ) {
        if self.store.is_down {
            // As with a slow store, the write may take effect after the store is back.
            if self.rng.random_range(0..4) == 0 {
                self.queue_in(1_000, Delivery::StoreWrite { from, number, expected, record });
            }
            return;
        }
        let current_revision = self.store.record.as_ref().map(|copy| copy.revision);
        let outcome = if current_revision == expected {
            self.store.revision += 1;
            self.store.writes += 1;
            self.add_recorded_grants(&record);
            let revision = Revision(self.store.revision);
            self.store.record = Some(RecordCopy { revision, record });
            WriteOutcome::Done(revision)
        } else {
            WriteOutcome::Conflict
        };
        let is_lost = self.rng.random_range(0..1000) < self.store.lost_reply_permille;
        let outcome = if is_lost { WriteOutcome::Unknown } else { outcome };
        let target_data_centre = self.daemons[from].data_centre.clone();
        let incarnation = self.daemons[from].incarnation;
        let event = Event::WriteEnded(number, outcome);
        self.send(
            &name("store"),
            &target_data_centre,
            Delivery::ToDaemon(from, incarnation, Box::new(event)),
        );
    }

    fn add_recorded_grants(&mut self, record: &Record) {
        for shard in &record.shards {
            for (server, epoch) in
                [(&shard.owner, shard.epoch), (&shard.successor, shard.successor_epoch)]
            {
                if let Some(server) = server {
                    self.recorded_grants.insert((shard.id, server.clone(), epoch));
                }
            }
        }
    }

    /// Checks the safety rules after a server handled an order.
    fn check_safety_rules(&mut self, index: usize) {
        let Some(copy) = self.store.record.clone() else {
            return;
        };
        for shard in &copy.record.shards {
            self.check_one_owner(shard.id);
            let server = &self.servers[index];
            let Some(epoch) = server.owned_epoch(self.now_ms, shard.id) else {
                continue;
            };
            let max_epoch = self.max_epochs.entry(shard.id).or_default();
            assert!(
                epoch >= *max_epoch,
                "rule epochs-rise: shard {} went from epoch {max_epoch} to {epoch}",
                shard.id
            );
            *max_epoch = epoch;
            let epoch_owner =
                self.epoch_owners.entry((shard.id, epoch)).or_insert_with(|| server.name.clone());
            assert_eq!(
                *epoch_owner, server.name,
                "rule epoch-of-one-server: shard {} epoch {epoch}",
                shard.id
            );
            assert!(
                self.recorded_grants.contains(&(shard.id, server.name.clone(), epoch)),
                "rule record-before-grant: shard {} epoch {epoch} on {}",
                shard.id,
                server.name
            );
        }
    }

    fn check_one_owner(&self, shard: ShardId) {
        let mut owners: BTreeSet<(Name, SocketAddr)> = BTreeSet::new();
        for server in self.servers.iter().filter(|server| server.checks_fence) {
            if server.is_alive && server.owned_epoch(self.now_ms, shard).is_some() {
                owners.insert((server.name.clone(), server.address));
            }
        }
        for (daemon, table) in self.daemons.iter().zip(&self.tables) {
            let Some(table) = table else { continue };
            let is_leased = daemon.clock.read(self.now_ms) < daemon.route_deadline_ms;
            let route = table.routes.iter().find(|route| route.shard == shard);
            let Some(server) = route.filter(|r| r.is_open).and_then(|r| table.server_of(r)) else {
                continue;
            };
            let server = &self.servers[self.server_index(server)];
            if daemon.control.is_some() && is_leased && !server.checks_fence {
                owners.insert((server.name.clone(), server.address));
            }
        }
        assert!(
            owners.len() <= 1,
            "rule one-owner: shard {shard} has {owners:?} at {} ms\n{}",
            self.now_ms,
            self.describe()
        );
    }

    /// Measures how long shards have no owner that is alive and not paused.
    fn update_gaps(&mut self) {
        let count = self.store.record.as_ref().map_or(0, |copy| copy.record.shards.len());
        for shard in 0..u32::try_from(count).unwrap() {
            let id = ShardId(shard);
            let is_owned = self.servers.iter().any(|server| {
                server.is_alive
                    && self.now_ms >= server.resumes_at_ms
                    && server.owned_epoch(self.now_ms, id).is_some()
            });
            if is_owned {
                if let Some(unowned_since_ms) = self.gaps.unowned_since_ms.remove(&id) {
                    self.gaps.max_ms = self.gaps.max_ms.max(self.now_ms - unowned_since_ms);
                }
            } else {
                self.gaps.unowned_since_ms.entry(id).or_insert(self.now_ms);
            }
        }
    }

    /// Adds a line to the trace.
    pub fn trace_line(&mut self, text: &str) {
        let line = format!("{:>6} ms {text}", self.now_ms);
        if let Some(trace) = &mut self.trace {
            trace.push(line);
        }
    }

    fn trace_action(&mut self, index: usize, action: &Action) {
        let text = match action {
            Action::ReadRecord => "read record".to_owned(),
            Action::WriteRecord { expected, record, .. } => {
                let expected = expected.map_or(0, |revision| revision.0);
                format!("write record over {expected}: {}", describe_record(record))
            }
            Action::RequestPromise(to, request) if request.stage == Stage::Requesting => {
                format!("ask {to} for term {}", request.term)
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
        self.trace_line(&format!("{}: {text}", self.daemons[index].name.clone()));
    }
}

fn describe_record(record: &Record) -> String {
    let shards = record.shards.iter().map(|shard| {
        let describe_grant = |server: &Option<Name>, epoch: Epoch| match server {
            Some(server) => format!("{server}@{epoch}"),
            None => "-".to_owned(),
        };
        format!(
            "{}>{}",
            describe_grant(&shard.owner, shard.epoch),
            describe_grant(&shard.successor, shard.successor_epoch)
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
