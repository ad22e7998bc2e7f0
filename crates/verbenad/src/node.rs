//! The control thread: it owns all control state and carries out what that decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use control::{Action, Event, Heartbeat};
use document::{Name, Revision};
use peer::{Links, Message, Packet, Presence};
use proxy::{Services, Traffic};
use spdlog::info;
use store::{Expect, Store};
use telemetry::Counter;
use tokio::sync::mpsc;
use tokio::time::{Duration, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::Settings;
use crate::collector::StatusCollector;
use crate::entry::Entry;
use crate::input::{Input, Question};
use crate::members::Members;
use crate::orders::Orders;

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Node<S> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) incarnation: u64,
    pub(crate) members: Members,
    pub(crate) services: BTreeMap<Name, Entry>,
    pub(crate) links: Links,
    pub(crate) collector: StatusCollector,
    pub(crate) inputs: mpsc::Sender<Input>,
    own: VecDeque<Input>,
    pub(crate) orders: Orders,
    pub(crate) instances: Vec<control::Instance>,
    pub(crate) is_changed: bool,
    /// The services whose control parts have taken something.
    unsettled: BTreeSet<Name>,
    pub(crate) has_documents: bool,
    pub(crate) is_stopping: bool,
    next_presence_ms: u64,
}

const TICK_MS: u64 = 10;
/// How many inputs are taken before they are acted on together.
const MOST_TOGETHER: usize = 64;
const BEAT_MS: u64 = 250;
const PRESENCE_MS: u64 = 500;

impl<S: Store> Node<S> {
    pub(crate) fn new(
        settings: Settings,
        store: S,
        traffic: Arc<Traffic>,
        incarnation: u64,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            members: Members::new(&settings),
            settings,
            store,
            traffic,
            incarnation,
            services: BTreeMap::new(),
            links: Links::default(),
            collector: StatusCollector::default(),
            inputs,
            own: VecDeque::new(),
            orders: Orders::default(),
            instances: Vec::new(),
            is_changed: false,
            unsettled: BTreeSet::new(),
            has_documents: false,
            is_stopping: false,
            next_presence_ms: 0,
        }
    }

    /// Runs until `stop`, then steps down as leader everywhere and runs on until `end`.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        stop: CancellationToken,
        end: CancellationToken,
    ) {
        let mut ticks = interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = end.cancelled() => return,
                () = stop.cancelled(), if !self.is_stopping => self.step_down_everywhere(),
                _ = ticks.tick() => self.tick(),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
            self.take_all(&mut inputs);
            if self.is_changed {
                self.is_changed = false;
                self.put_in_force();
            }
        }
    }

    /// Takes what has come, and acts once on all of it.
    fn take_all(&mut self, inputs: &mut mpsc::Receiver<Input>) {
        loop {
            while let Some(input) = self.own.pop_front() {
                self.take(input);
            }
            for _ in 0..MOST_TOGETHER {
                let Ok(input) = inputs.try_recv() else { break };
                self.take(input);
            }
            let names: Vec<Name> = std::mem::take(&mut self.unsettled).into_iter().collect();
            if names.is_empty() {
                return;
            }
            for name in names {
                self.settle(&name);
            }
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.traffic.clock.now_ms()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Packet(packet) => self.take_packet(packet),
            Input::Report { service, server, report } => {
                let event = if let Some(report) = report {
                    Event::Reported(server, report)
                } else {
                    self.traffic.counters.count(Counter::OrdersFailed);
                    Event::Unanswered(server)
                };
                self.step(&service, event);
            }
            Input::RecordRead { service, copy } => self.step(&service, Event::RecordRead(copy)),
            Input::Written { service, number, outcome } => {
                self.step(&service, Event::WriteEnded(number, outcome));
            }
            Input::Documents(changes) => self.take_documents(changes),
            Input::Instances(changes) => {
                for entry in &changes.entries {
                    self.members.note_entry(entry);
                }
            }
            Input::Question(question) => self.answer(question),
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.note_instances(now_ms);
        if self.traffic.crashes.take_news() {
            info!("a request crashed a server");
            self.next_presence_ms = now_ms;
        }
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            self.step(&name, Event::Tick);
            self.beat_if_due(now_ms, &name);
        }
        if now_ms >= self.next_presence_ms {
            self.next_presence_ms = now_ms + PRESENCE_MS;
            self.tell_presence();
        }
        self.collector.expire(now_ms);
    }

    fn note_instances(&mut self, now_ms: u64) {
        let instances = self.members.instances(now_ms);
        if instances == self.instances {
            return;
        }
        info!("live instances changed", kv: { count = instances.len() });
        self.instances.clone_from(&instances);
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.step(&name, Event::Instances(instances.clone()));
        }
    }

    fn take_packet(&mut self, packet: Packet) {
        self.traffic.counters.count(Counter::Packets);
        let Packet { from, service, message } = packet;
        match message {
            Message::Ask(ask) => self.step(&service, Event::PromiseRequested(ask)),
            Message::Reply(reply) => self.step(&service, Event::PromiseReplied(reply)),
            Message::ReturnPromise(leader_epoch) => {
                self.step(&service, Event::PromiseReturned(leader_epoch));
            }
            Message::Beat(beat) => self.step(&service, Event::Heartbeat(beat)),
            Message::BeatReply(reply) => self.take_beat_reply(&service, reply),
            Message::Table(table) => self.step(&service, Event::Table(table)),
            Message::DocumentAsk => self.send_document(&from, &service),
            Message::Document(text) => self.accept(&service, text.revision, text.text),
            Message::Presence(presence) => self.take_presence(&from, &presence),
            Message::StatusAsk(number) => {
                let json = self.own_status();
                self.send(&from, &service, Message::StatusReply(number, json));
            }
            Message::StatusReply(number, json) => self.collector.note_reply(number, &from, &json),
        }
    }

    /// Takes an event to a service's control part, which acts on it later.
    pub(crate) fn step(&mut self, service: &Name, event: Event) {
        let now_ms = self.now_ms();
        let Some(entry) = self.services.get_mut(service) else { return };
        let actions = entry.control.on_event(now_ms, event);
        self.unsettled.insert(service.clone());
        for action in actions {
            self.carry_out(service, action);
        }
    }

    /// Acts on what a service's control part has taken.
    fn settle(&mut self, service: &Name) {
        let now_ms = self.now_ms();
        let Some(entry) = self.services.get_mut(service) else { return };
        let actions = entry.control.reconcile(now_ms);
        let is_controller = entry.control.is_controller();
        let is_office_news = is_controller != entry.was_controller;
        entry.was_controller = is_controller;
        let has_new_table = entry.take_table();
        if is_office_news {
            self.note_office(service, is_controller);
        }
        for action in actions {
            self.carry_out(service, action);
        }
        if has_new_table {
            self.traffic.counters.count(Counter::Tables);
            self.is_changed = true;
        }
    }

    fn note_office(&self, service: &Name, is_controller: bool) {
        if is_controller {
            self.traffic.counters.count(Counter::Elections);
            info!("became the controller", kv: { service = service.as_str() });
        } else {
            info!("is not the controller any more", kv: { service = service.as_str() });
        }
    }

    fn carry_out(&mut self, service: &Name, action: Action) {
        match action {
            Action::ReadRecord => self.read_record(service.clone()),
            Action::WriteRecord { number, expected, record } => {
                let expect = expected.map_or(Expect::Missing, Expect::At);
                self.write_record(service.clone(), number, expect, record.to_json());
            }
            Action::RequestPromise(to, ask) => self.send(&to, service, Message::Ask(ask)),
            Action::ReplyPromise(to, reply) => self.send(&to, service, Message::Reply(reply)),
            Action::ReturnPromise(to, leader_epoch) => {
                self.send(&to, service, Message::ReturnPromise(leader_epoch));
            }
            Action::Order(server, address, order) => {
                self.send_order(service.clone(), server, address, order);
            }
            Action::Publish(table) => {
                let names: Vec<Name> =
                    self.instances.iter().map(|instance| instance.name.clone()).collect();
                for to in names {
                    if to != self.settings.instance {
                        self.send(&to, service, Message::Table(Arc::clone(&table)));
                    }
                }
            }
            Action::SendTable(to, table) => self.send(&to, service, Message::Table(table)),
            Action::ReplyHeartbeat(to, reply) => self.send(&to, service, Message::BeatReply(reply)),
        }
    }

    /// Sends a message to an instance, or takes it at once if that is this one.
    pub(crate) fn send(&mut self, to: &Name, service: &Name, message: Message) {
        let packet = Packet::new(self.settings.instance.clone(), service.clone(), message);
        if *to == self.settings.instance {
            self.own.push_back(Input::Packet(packet));
            return;
        }
        if let Some(address) = self.members.address(to) {
            self.links.send(address, packet.to_bytes());
        }
    }

    fn tell_presence(&mut self) {
        self.traffic.crashes.forget_old();
        let in_force: BTreeMap<Name, Revision> = self
            .services
            .iter()
            .map(|(service, entry)| (service.clone(), entry.revision))
            .collect();
        self.members.note_own(in_force.clone());
        let presence = Presence {
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.listen.peer,
            in_force: in_force.into_iter().collect(),
            suspects: self.traffic.crashes.to_tell(),
        };
        let nothing = Name::from("");
        let live: Vec<SocketAddr> =
            self.members.live(self.now_ms()).map(|(_, member)| member.address).collect();
        self.links.retain(|address| live.contains(address));
        for name in self.others() {
            self.send(&name, &nothing, Message::Presence(presence.clone()));
        }
    }

    /// Returns the live instances but this one.
    pub(crate) fn others(&self) -> Vec<Name> {
        let names = self.members.live(self.now_ms()).map(|(name, _)| name.clone());
        names.filter(|name| *name != self.settings.instance).collect()
    }

    /// Notes that an instance lives, and asks it for documents that are newer there.
    fn take_presence(&mut self, from: &Name, presence: &Presence) {
        let now_ms = self.now_ms();
        self.members.note_presence(now_ms, from, presence);
        self.traffic.crashes.hear(from, presence.suspects.clone());
        for (service, revision) in &presence.in_force {
            let known = self.services.get(service).map_or(Revision(0), |entry| entry.revision);
            if *revision > known {
                self.send(from, service, Message::DocumentAsk);
            }
        }
    }

    fn beat_if_due(&mut self, now_ms: u64, service: &Name) {
        let Some(entry) = self.services.get(service) else { return };
        let is_drain_news = !entry.is_drain_told && entry.is_drained();
        if entry.is_keyed() && (now_ms >= entry.next_beat_ms || is_drain_news) {
            self.beat(now_ms, service);
        }
    }

    /// Tells the controller what this daemon routes by.
    fn beat(&mut self, now_ms: u64, service: &Name) {
        let Some(entry) = self.services.get_mut(service) else { return };
        entry.next_beat_ms = now_ms + BEAT_MS;
        let is_drained = entry.is_drained();
        entry.is_drain_told = is_drained;
        let table = entry.table.as_ref();
        let beat = Heartbeat {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            clock_ms: now_ms,
            term: table.map_or(lease::Term(0), |table| table.term),
            leader_epoch: table.map_or(lease::LeaderEpoch(0), |table| table.leader_epoch),
            sequence: table.map_or(0, |table| table.sequence),
            is_drained,
            document: entry.revision,
            loads: table.map_or_else(Vec::new, |table| entry.in_flight.take_requests(table)),
        };
        for to in entry.control.heartbeat_targets(now_ms) {
            self.send(&to, service, Message::Beat(beat.clone()));
        }
    }

    fn take_beat_reply(&mut self, service: &Name, reply: control::HeartbeatReply) {
        let now_ms = self.now_ms();
        let Some(entry) = self.services.get_mut(service) else { return };
        let is_mine = reply.incarnation == self.incarnation
            && entry.table.as_ref().is_some_and(|table| table.leader_epoch == reply.leader_epoch);
        if is_mine {
            let known_ms = entry.in_flight.route_deadline_ms();
            entry.in_flight.set_route_deadline_ms(known_ms.max(reply.deadline_ms));
            if known_ms <= now_ms {
                self.traffic.wake();
            }
        }
        self.step(service, Event::HeartbeatReplied(reply));
    }

    /// Gives the request path a snapshot of all services, and tells the controllers.
    fn put_in_force(&mut self) {
        let services: Services = self
            .services
            .iter()
            .filter_map(|(name, entry)| Some((name.clone(), Arc::new(entry.to_service()?))))
            .collect();
        self.traffic.replace(services);
        let now_ms = self.now_ms();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            if self.services.get(&name).is_some_and(|entry| !entry.is_drain_told) {
                self.beat(now_ms, &name);
            }
        }
    }

    fn step_down_everywhere(&mut self) {
        self.is_stopping = true;
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.step(&name, Event::Stop);
        }
        info!("stopping");
    }

    fn answer(&mut self, question: Question) {
        // Somebody who asked and went away needs no answer.
        match question {
            Question::Explain { service, key, answer } => {
                drop(answer.send(self.explain(&service, key)));
            }
            Question::Status(answer) => self.collect_status(answer),
            Question::Dump(answer) => drop(answer.send(self.to_dump())),
            Question::Ready(answer) => drop(answer.send(self.is_ready())),
            Question::Accepted { service, revision, text } => {
                self.accept(&service, revision, text);
            }
        }
    }

    fn is_ready(&self) -> bool {
        let is_routed = |entry: &Entry| !entry.is_keyed() || entry.table.is_some();
        self.has_documents && !self.is_stopping && self.services.values().all(is_routed)
    }
}
