//! A small world for leaders: servers, messages that are lost, held up or applied late,
//! a store that loses replies, and leaders that are replaced.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod server;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use document::{HashMap, Name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use registry::{Incarnation, Registration, Registry, Stage};
use shard::{
    Epoch, Event, Leader, OrderId, OrderKind, Output, Owner, Record, Reply, Servers, Tuning,
};

use server::{Held, Server, apply};

const SERVICE: &str = "ledger";
/// The length of a step.
const STEP_MS: u64 = 5;
/// How long a leader's lease lasts.
const LEASE_MS: u64 = 2_000;

/// How many keys are watched once faults have ended, and for how long.
const PROBES: usize = 1_024;
const WATCHED_MS: u64 = 2_000;
/// The longest handover: the work of a release and three messages.
const CLOSED_MS: u64 = 250;

/// A message on its way.
#[derive(Debug)]
enum Message {
    Order { leader: usize, id: OrderId, server: Name, kind: OrderKind, limit_ms: u64 },
    Reply { leader: usize, id: OrderId, reply: Reply },
    Write { leader: usize, epoch: Epoch, record: Record, is_answered: bool },
    Written { leader: usize, number: u64, is_done: bool },
    Kept { leader: usize, sent_ms: u64 },
}

/// How often things go wrong, in a thousand.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub lose: u32,
    pub apply_late: u32,
    pub cut: u32,
    pub crash: u32,
    pub drain: u32,
    pub depose: u32,
    pub store_down: u32,
}

/// The world of one run.
pub struct World {
    pub trace: String,
    now_ms: u64,
    random: StdRng,
    faults: Faults,
    servers: BTreeMap<Name, Server>,
    registry: Registry,
    leaders: Vec<Option<Leader>>,
    messages: BTreeMap<(u64, u64), Message>,
    next_message: u64,
    record: Option<Record>,
    epoch: u64,
    lease_until_ms: u64,
    store_down_until_ms: u64,
    next_server: u32,
    /// Whether hot keys come and go; ranges move for them all the time.
    is_loaded: bool,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            trace: String::new(),
            now_ms: 1_000,
            random: StdRng::seed_from_u64(seed),
            faults,
            servers: BTreeMap::new(),
            registry: Registry::default(),
            leaders: Vec::new(),
            messages: BTreeMap::new(),
            next_message: 0,
            record: None,
            epoch: 10,
            lease_until_ms: 0,
            store_down_until_ms: 0,
            next_server: 0,
            is_loaded: true,
        };
        for _ in 0..5 {
            world.add_server();
        }
        world
    }

    /// Runs for some time and checks the rule after every step.
    pub fn run(&mut self, for_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.disturb();
            self.elect();
            self.deliver();
            self.check()?;
            self.tick();
        }
        Ok(())
    }

    /// Stops all faults, and returns whether every key is served after some time.
    ///
    /// Ranges may still move to tidy up; none may stay closed for longer than a handover.
    pub fn settles(&mut self, within_ms: u64) -> Result<(), String> {
        self.faults =
            Faults { lose: 0, apply_late: 0, cut: 0, crash: 0, drain: 0, depose: 0, store_down: 0 };
        for server in self.servers.values_mut() {
            server.is_cut = false;
        }
        self.store_down_until_ms = 0;
        self.is_loaded = false;
        self.run(within_ms)?;
        let mut served_ms = vec![self.now_ms; PROBES];
        let end_ms = self.now_ms + WATCHED_MS;
        while self.now_ms < end_ms {
            self.run(STEP_MS)?;
            let leader = self.leaders.last().and_then(Option::as_ref).ok_or("nobody leads")?;
            let table = leader.table(SERVICE, self.now_ms).ok_or("nothing is assigned")?;
            for (probe, served_ms) in served_ms.iter_mut().enumerate() {
                let key = u16::try_from(probe * (1 << 16) / PROBES).expect("a key");
                let owner = &table.find(key).ok_or("a key without a span")?.owner;
                if matches!(owner, Owner::Server(_)) {
                    *served_ms = self.now_ms;
                }
                if self.now_ms > *served_ms + CLOSED_MS {
                    return Err(format!("key {key} is {owner:?} since {served_ms}"));
                }
            }
        }
        Ok(())
    }

    /// Has a server leave, and a new one come.
    pub fn drain(&mut self, name: &str) {
        let name = Name::from(name);
        self.servers.get_mut(&name).expect("a server").stage_is_draining = true;
        self.list(&name);
        self.note(&format!("{name} drains"));
        self.add_server();
    }

    /// Has a server crash and start again under its name.
    pub fn crash(&mut self, name: &str) {
        self.restart(&Name::from(name));
    }

    /// Cuts a server off, or ends that.
    pub fn cut(&mut self, name: &str, is_cut: bool) {
        self.servers.get_mut(name).expect("a server").is_cut = is_cut;
        self.note(&format!("{name} cut: {is_cut}"));
    }

    /// Takes the leader away; another one follows when its lease has ended.
    pub fn depose(&mut self) {
        self.note("the leader is gone");
        self.leaders.iter_mut().for_each(|leader| *leader = None);
    }

    /// Has the store not answer for some time.
    pub fn take_store_down(&mut self, for_ms: u64) {
        self.store_down_until_ms = self.now_ms + for_ms;
        self.note(&format!("the store is down for {for_ms} ms"));
    }

    /// Ends or begins the hot keys that come and go by themselves.
    pub fn set_loaded(&mut self, is_loaded: bool) {
        self.is_loaded = is_loaded;
    }

    fn note(&mut self, line: &str) {
        let _ = writeln!(self.trace, "{:>6} {line}", self.now_ms);
    }

    fn hits(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    fn add_server(&mut self) {
        self.next_server += 1;
        let name = Name::from(format!("s{}", self.next_server));
        let server = Server { is_up: true, born_ms: self.now_ms, ..Server::default() };
        self.servers.insert(name.clone(), server);
        self.list(&name);
    }

    fn list(&mut self, name: &Name) {
        let server = &self.servers[name];
        let registration = Registration {
            incarnation: Incarnation { server: name.clone(), born_ms: server.born_ms },
            service: SERVICE.into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "a".into(),
            slots: 4,
            stage: if server.stage_is_draining { Stage::Draining } else { Stage::Ready },
            cold_until_ms: 0,
            heartbeat: self.now_ms,
        };
        self.registry.put(self.now_ms, name, registration);
    }

    /// Has things go wrong, about every hundred steps each.
    fn disturb(&mut self) {
        if !self.now_ms.is_multiple_of(100) {
            return;
        }
        let names: Vec<Name> = self.servers.keys().cloned().collect();
        let name = names[self.random.random_range(0..names.len())].clone();
        let faults = self.faults;
        if self.hits(faults.cut) {
            let is_cut = !self.servers[&name].is_cut;
            self.cut(&name, is_cut);
        }
        if self.hits(faults.crash) {
            self.restart(&name);
        }
        if self.hits(faults.drain) {
            self.drain(&name);
        }
        if self.hits(faults.depose) {
            self.depose();
        }
        if self.hits(faults.store_down) {
            let for_ms = self.random.random_range(500..8_000);
            self.take_store_down(for_ms);
        }
        if self.is_loaded
            && let Some(Some(leader)) = self.leaders.last_mut()
            && let Some(load) = leader.load_mut(SERVICE)
        {
            let hot = self.random.random_range(0..65_000);
            for key in hot..hot + 20 {
                load.add(key, 40.0);
            }
        }
    }

    fn restart(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("a server");
        *server = Server {
            is_up: true,
            born_ms: self.now_ms,
            is_cut: server.is_cut,
            stage_is_draining: server.stage_is_draining,
            ..Server::default()
        };
        self.note(&format!("{name} starts again"));
        self.list(name);
    }

    fn store_answers(&self) -> bool {
        self.now_ms >= self.store_down_until_ms
    }

    /// Elects a leader when the lease of the last one has ended.
    fn elect(&mut self) {
        let leads = matches!(self.leaders.last(), Some(Some(_)));
        if self.now_ms < self.lease_until_ms || !self.store_answers() || leads {
            return;
        }
        self.epoch += 1;
        self.lease_until_ms = self.now_ms + LEASE_MS;
        let records: Vec<(Name, Record)> =
            self.record.iter().map(|record| (SERVICE.into(), record.clone())).collect();
        let epoch = Epoch(self.epoch);
        let mut leader = Leader::new(epoch, self.now_ms, self.lease_until_ms, &records, tuning());
        leader.add_service(&SERVICE.into());
        self.leaders.push(Some(leader));
        self.note(&format!("elected {}", self.epoch));
    }

    fn tick(&mut self) {
        for at in 0..self.leaders.len() {
            if self.now_ms.is_multiple_of(400) && self.leaders[at].is_some() {
                self.keep(at);
            }
            if self.leaders[at].as_ref().is_some_and(|leader| leader.has_ended(self.now_ms)) {
                self.note("authority ended");
                self.leaders[at] = None;
            }
            self.step(at, Event::Tick);
        }
    }

    /// Keeps the lease, if the store answers.
    fn keep(&mut self, at: usize) {
        let is_latest = at + 1 == self.leaders.len();
        if self.store_answers() && is_latest && self.now_ms < self.lease_until_ms {
            self.lease_until_ms = self.now_ms + LEASE_MS;
            self.send(2, Message::Kept { leader: at, sent_ms: self.now_ms });
        } else {
            self.step(at, Event::StoreAnswers(false));
        }
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.next_message += 1;
        self.messages.insert((self.now_ms + delay_ms, self.next_message), message);
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(leader) = &mut self.leaders[at] else { return };
        let speeds = HashMap::default();
        let servers = Servers { registry: &self.registry, speeds: &speeds };
        let epoch = leader.epoch();
        let outputs = leader.step(self.now_ms, servers, event);
        for output in outputs {
            match output {
                Output::Order { id, server, kind, deadline_ms } => {
                    let limit_ms = deadline_ms - self.now_ms;

                    let server = server.incarnation.server.clone();
                    let order = Message::Order { leader: at, id, server, kind, limit_ms };
                    let delay_ms = self.random.random_range(0..15);
                    self.send(delay_ms, order);
                }
                Output::Write { record, .. } => {
                    let is_answered = !self.hits(self.faults.lose);
                    let late = self.hits(self.faults.apply_late);
                    let delay_ms = self.random.random_range(2..20) + if late { 2_500 } else { 0 };
                    if !is_answered || late {
                        let number = record.number;
                        self.send(500, Message::Written { leader: at, number, is_done: false });
                    }
                    let is_answered = is_answered && !late;
                    self.send(delay_ms, Message::Write { leader: at, epoch, record, is_answered });
                }
                Output::Deposed => {
                    self.note("deposed");
                    self.leaders[at] = None;
                    return;
                }
                Output::Note(note) => self.note(&format!("{note:?}")),
                Output::Publish { .. } => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Order { leader, id, server, kind, limit_ms } => {
                    self.take_order(leader, id, &server, &kind, limit_ms);
                }
                Message::Reply { leader, id, reply } => {
                    self.step(leader, Event::Answered(id, reply));
                }
                Message::Write { leader, epoch, record, is_answered } => {
                    self.take_write(leader, epoch, record, is_answered);
                }
                Message::Written { leader, number, is_done } => {
                    let service = Name::from(SERVICE);
                    let event = if is_done {
                        Event::Recorded { service, number }
                    } else {
                        Event::RecordFailed { service }
                    };
                    self.step(leader, event);
                }
                Message::Kept { leader, sent_ms } => {
                    let authority_until_ms = sent_ms + LEASE_MS;
                    self.step(leader, Event::Kept { authority_until_ms });
                    self.step(leader, Event::StoreAnswers(true));
                }
            }
        }
    }

    /// The store takes a record only from the leader, and in the order of its writes.
    fn take_write(&mut self, leader: usize, epoch: Epoch, record: Record, is_answered: bool) {
        let is_leader = epoch.0 == self.epoch && self.now_ms < self.lease_until_ms;
        let is_next = self
            .record
            .as_ref()
            .is_none_or(|known| (known.epoch, known.number) < (record.epoch, record.number));
        let number = record.number;
        let is_done = self.store_answers() && is_leader && is_next;
        if is_done {
            self.record = Some(record);
        }
        if is_answered {
            self.send(2, Message::Written { leader, number, is_done });
        }
    }

    fn take_order(
        &mut self,
        leader: usize,
        id: OrderId,
        name: &Name,
        kind: &OrderKind,
        limit_ms: u64,
    ) {
        let is_lost = self.hits(self.faults.lose);
        let is_late = self.hits(self.faults.apply_late);
        let now_ms = self.now_ms;
        let server = self.servers.get_mut(name).expect("servers stay");
        // A server that starts again has the same name and address: orders for its earlier
        // life reach it too.
        let is_reached = server.is_up && !server.is_cut;
        if !is_reached {
            let (delay_ms, reply) =
                if server.is_cut { (limit_ms, Reply::Unclear) } else { (1, Reply::NotSent) };
            self.send(delay_ms, Message::Reply { leader, id, reply });
            return;
        }
        if is_lost || is_late {
            // Unanswered orders may be carried out late; their time counts from now.
            self.send(limit_ms, Message::Reply { leader, id, reply: Reply::Unclear });
            if is_lost {
                return;
            }
            self.apply_late(name, kind, now_ms);
            return;
        }
        let reply = apply(server, kind, now_ms, now_ms);
        let delay_ms = match kind {
            OrderKind::Grant(_) => 1,
            OrderKind::Release(_) => self.random.random_range(1..120),
        };
        self.send(delay_ms, Message::Reply { leader, id, reply });
    }

    /// Carries an order out seconds later, unless the server has started again.
    fn apply_late(&mut self, name: &Name, kind: &OrderKind, arrived_ms: u64) {
        // The world has no queue for servers: late orders are applied at once when they
        // are grants, whose time counts from their arrival anyway, and never when they are
        // releases. A late grant that meets a higher fence is refused either way.
        if let OrderKind::Grant(_) = kind {
            let server = self.servers.get_mut(name).expect("servers stay");
            apply(server, kind, arrived_ms, arrived_ms);
        }
    }

    /// Returns an error when two servers hold a key.
    fn check(&self) -> Result<(), String> {
        let held: Vec<(&Name, Held)> = self
            .servers
            .iter()
            .flat_map(|(name, server)| server.held.iter().map(move |held| (name, *held)))
            .filter(|(_, held)| held.until_ms > self.now_ms)
            .collect();
        for (at, (name, one)) in held.iter().enumerate() {
            for (other_name, other) in &held[at + 1..] {
                if name != other_name && one.range.overlaps(other.range) {
                    return Err(format!(
                        "{}: {name} holds {} until {} and {other_name} {} until {}",
                        self.now_ms, one.range, one.until_ms, other.range, other.until_ms
                    ));
                }
            }
        }
        Ok(())
    }
}

fn tuning() -> Tuning {
    Tuning { settle_ms: 100, ..Tuning::default() }
}
