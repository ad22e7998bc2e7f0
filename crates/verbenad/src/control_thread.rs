//! The control thread: the event loop that owns all control state.
//!
//! Inputs become events of the services' [`control::Control`] state machines. Their actions are
//! performed here or, if they wait for I/O, on tasks that send the result back as an input.

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
use crate::input::{ControlRequest, Input};
use crate::members::Members;
use crate::orders::OrderClients;
use crate::service_state::ServiceState;

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct ControlThread<S> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) incarnation: u64,
    pub(crate) members: Members,
    pub(crate) services: BTreeMap<Name, ServiceState>,
    pub(crate) links: Links,
    pub(crate) collector: StatusCollector,
    pub(crate) inputs: mpsc::Sender<Input>,
    /// The packets that this instance sent to itself.
    packets_to_self: VecDeque<Input>,
    pub(crate) order_clients: OrderClients,
    /// The live instances, as last passed to the state machines.
    pub(crate) instances: Vec<control::Instance>,
    /// Whether a service has changed since the last snapshot for the request path.
    pub(crate) is_snapshot_outdated: bool,
    /// The services that handled an event and must reconcile.
    unreconciled: BTreeSet<Name>,
    /// Whether the store has answered the watch of the documents at least once.
    pub(crate) has_read_documents: bool,
    pub(crate) is_stopping: bool,
    next_presence_at_ms: u64,
}

const TICK_INTERVAL_MS: u64 = 10;
/// The largest number of queued inputs that are handled before the services reconcile.
const MAX_INPUTS_PER_BATCH: usize = 64;
const HEARTBEAT_INTERVAL_MS: u64 = 250;
const PRESENCE_INTERVAL_MS: u64 = 500;

impl<S: Store> ControlThread<S> {
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
            packets_to_self: VecDeque::new(),
            order_clients: OrderClients::default(),
            instances: Vec::new(),
            is_snapshot_outdated: false,
            unreconciled: BTreeSet::new(),
            has_read_documents: false,
            is_stopping: false,
            next_presence_at_ms: 0,
        }
    }

    /// Handles inputs until `end` is cancelled; resigns as controller when `stop` is cancelled.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        stop: CancellationToken,
        end: CancellationToken,
    ) {
        let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = end.cancelled() => return,
                () = stop.cancelled(), if !self.is_stopping => self.begin_stop(),
                _ = ticks.tick() => self.on_tick(),
                input = inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
            }
            self.process_queued(&mut inputs);
            if self.is_snapshot_outdated {
                self.is_snapshot_outdated = false;
                self.publish_snapshot();
            }
        }
    }

    /// Handles the queued inputs in batches, and reconciles changed services after each batch.
    fn process_queued(&mut self, inputs: &mut mpsc::Receiver<Input>) {
        loop {
            while let Some(input) = self.packets_to_self.pop_front() {
                self.on_input(input);
            }
            for _ in 0..MAX_INPUTS_PER_BATCH {
                let Ok(input) = inputs.try_recv() else { break };
                self.on_input(input);
            }
            let names: Vec<Name> = std::mem::take(&mut self.unreconciled).into_iter().collect();
            if names.is_empty() {
                return;
            }
            for name in names {
                self.reconcile(&name);
            }
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.traffic.clock.now_ms()
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Packet(received) => self.on_packet(received.message),
            Input::OrderEnded { service, server, report } => {
                let event = if let Some(report) = report {
                    Event::Reported(server, report)
                } else {
                    self.traffic.counters.count(Counter::OrdersFailed);
                    Event::Unanswered(server)
                };
                self.on_event(&service, event);
            }
            Input::RecordRead { service, copy } => self.on_event(&service, Event::RecordRead(copy)),
            Input::WriteEnded { service, number, outcome } => {
                self.on_event(&service, Event::WriteEnded(number, outcome));
            }
            Input::Documents(changes) => self.on_document_changes(changes),
            Input::Instances(changes) => {
                for entry in &changes.entries {
                    self.members.on_entry_change(entry);
                }
            }
            Input::Request(request) => self.on_request(request),
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.now_ms();
        self.update_instances(now_ms);
        if self.traffic.crashes.take_crash_flag() {
            info!("server crashed while it ran a request");
            // The other daemons get the new crash count at once.
            self.next_presence_at_ms = now_ms;
        }
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            self.on_event(&name, Event::Tick);
            self.send_heartbeat_if_due(now_ms, &name);
        }
        if now_ms >= self.next_presence_at_ms {
            self.next_presence_at_ms = now_ms + PRESENCE_INTERVAL_MS;
            self.send_presence();
        }
        self.collector.expire(now_ms);
    }

    /// Passes the live instances to all state machines if they have changed.
    fn update_instances(&mut self, now_ms: u64) {
        let instances = self.members.instances(now_ms);
        if instances == self.instances {
            return;
        }
        info!("live instances changed", kv: { count = instances.len() });
        self.instances.clone_from(&instances);
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.on_event(&name, Event::Instances(instances.clone()));
        }
    }

    fn on_packet(&mut self, packet: Packet) {
        self.traffic.counters.count(Counter::Packets);
        let Packet { from, service, message } = packet;
        match message {
            Message::PromiseRequest(req) => self.on_event(&service, Event::PromiseRequested(req)),
            Message::PromiseReply(reply) => self.on_event(&service, Event::PromiseReplied(reply)),
            Message::ReturnPromise(leader_epoch) => {
                self.on_event(&service, Event::PromiseReturned(leader_epoch));
            }
            Message::Heartbeat(heartbeat) => self.on_event(&service, Event::Heartbeat(heartbeat)),
            Message::HeartbeatReply(reply) => self.on_heartbeat_reply(&service, reply),
            Message::Table(table) => self.on_event(&service, Event::Table(table)),
            Message::DocumentRequest => self.send_document(&from, &service),
            Message::Document(text) => self.accept_document(&service, text.revision, text.text),
            Message::Presence(presence) => self.on_presence(&from, &presence),
            Message::StatusRequest(number) => {
                let json = self.own_statuses_json();
                self.send(&from, &service, Message::StatusReply(number, json));
            }
            Message::StatusReply(number, json) => self.collector.on_reply(number, &from, &json),
        }
    }

    /// Passes an event to a service's state machine, which reconciles after the batch.
    pub(crate) fn on_event(&mut self, service: &Name, event: Event) {
        let now_ms = self.now_ms();
        let Some(state) = self.services.get_mut(service) else { return };
        let actions = state.control.on_event(now_ms, event);
        self.unreconciled.insert(service.clone());
        for action in actions {
            self.perform(service, action);
        }
    }

    /// Lets a service act on the events it handled, and puts its newest table in force.
    fn reconcile(&mut self, service: &Name) {
        let now_ms = self.now_ms();
        let Some(state) = self.services.get_mut(service) else { return };
        let actions = state.control.reconcile(now_ms);
        let is_controller = state.control.is_controller();
        let has_role_changed = is_controller != state.was_controller;
        state.was_controller = is_controller;
        let has_new_table = state.update_table();
        if has_role_changed {
            self.on_role_change(service, is_controller);
        }
        for action in actions {
            self.perform(service, action);
        }
        if has_new_table {
            self.traffic.counters.count(Counter::Tables);
            self.is_snapshot_outdated = true;
        }
    }

    /// Counts and logs that this daemon became or ceased to be a service's controller.
    fn on_role_change(&self, service: &Name, is_controller: bool) {
        if is_controller {
            self.traffic.counters.count(Counter::Elections);
            info!("became controller", kv: { service = service.as_str() });
        } else {
            info!("no longer controller", kv: { service = service.as_str() });
        }
    }

    /// Performs an action of a service's state machine.
    fn perform(&mut self, service: &Name, action: Action) {
        match action {
            Action::ReadRecord => self.read_record(service.clone()),
            Action::WriteRecord { number, expected, record } => {
                let expect = expected.map_or(Expect::Missing, Expect::At);
                self.write_record(service.clone(), number, expect, record.to_json());
            }
            Action::RequestPromise(to, request) => {
                self.send(&to, service, Message::PromiseRequest(request));
            }
            Action::ReplyPromise(to, reply) => {
                self.send(&to, service, Message::PromiseReply(reply));
            }
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
            Action::ReplyHeartbeat(to, reply) => {
                self.send(&to, service, Message::HeartbeatReply(reply));
            }
        }
    }

    /// Sends a message to an instance, or queues it as an input if that is this instance.
    ///
    /// The message is dropped if the instance's address is not known.
    pub(crate) fn send(&mut self, to: &Name, service: &Name, message: Message) {
        let packet = Packet::new(self.settings.instance.clone(), service.clone(), message);
        if *to == self.settings.instance {
            self.packets_to_self.push_back(Input::Packet(packet.into()));
            return;
        }
        if let Some(address) = self.members.address(to) {
            self.links.send(address, packet.to_bytes());
        }
    }

    /// Sends this instance's presence to all other live instances.
    ///
    /// Also drops expired crash counts, and closes connections to instances that are not live.
    fn send_presence(&mut self) {
        self.traffic.crashes.forget_expired();
        let in_force: BTreeMap<Name, Revision> = self
            .services
            .iter()
            .map(|(service, state)| (service.clone(), state.revision))
            .collect();
        self.members.set_own_documents(in_force.clone());
        let presence = Presence {
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.listen.peer,
            in_force: in_force.into_iter().collect(),
            crash_counts: self.traffic.crashes.own_counts(),
        };
        // Presence concerns the instance, not one of its services.
        let no_service = Name::from("");
        let live: Vec<SocketAddr> =
            self.members.live(self.now_ms()).map(|(_, member)| member.address).collect();
        self.links.retain(|address| live.contains(address));
        for name in self.other_instances() {
            self.send(&name, &no_service, Message::Presence(presence.clone()));
        }
    }

    /// Returns the live instances except this one.
    pub(crate) fn other_instances(&self) -> Vec<Name> {
        let names = self.members.live(self.now_ms()).map(|(name, _)| name.clone());
        names.filter(|name| *name != self.settings.instance).collect()
    }

    /// Handles a presence message of another instance.
    ///
    /// Records its crash counts, and requests the documents that are newer at its sender.
    fn on_presence(&mut self, from: &Name, presence: &Presence) {
        let now_ms = self.now_ms();
        self.members.on_presence(now_ms, from, presence);
        self.traffic.crashes.on_peer_counts(from, presence.crash_counts.clone());
        for (service, revision) in &presence.in_force {
            let known = self.services.get(service).map_or(Revision(0), |state| state.revision);
            if *revision > known {
                self.send(from, service, Message::DocumentRequest);
            }
        }
    }

    /// Sends a heartbeat at its interval, or as soon as the closed shards have drained.
    fn send_heartbeat_if_due(&mut self, now_ms: u64, service: &Name) {
        let Some(state) = self.services.get(service) else { return };
        let is_newly_drained = !state.is_drain_reported && state.is_drained();
        if state.is_keyed() && (now_ms >= state.next_heartbeat_at_ms || is_newly_drained) {
            self.send_heartbeat(now_ms, service);
        }
    }

    /// Sends a heartbeat with the version of the table in force and the requests for each shard.
    ///
    /// It goes to the controller, or to all live instances while no controller answers.
    fn send_heartbeat(&mut self, now_ms: u64, service: &Name) {
        let Some(state) = self.services.get_mut(service) else { return };
        state.next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        let is_drained = state.is_drained();
        state.is_drain_reported = is_drained;
        let table = state.table.as_ref();
        let heartbeat = Heartbeat {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            clock_ms: now_ms,
            term: table.map_or(lease::Term(0), |table| table.term),
            leader_epoch: table.map_or(lease::LeaderEpoch(0), |table| table.leader_epoch),
            sequence: table.map_or(0, |table| table.sequence),
            is_drained,
            document: state.revision,
            loads: table.map_or_else(Vec::new, |table| state.in_flight.take_requests(table)),
        };
        for to in state.control.heartbeat_targets(now_ms) {
            self.send(&to, service, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Handles the controller's reply to a heartbeat.
    ///
    /// Extends the route lease if the reply is for this incarnation and the leader epoch of the
    /// table in force. The state machine gets every reply.
    fn on_heartbeat_reply(&mut self, service: &Name, reply: control::HeartbeatReply) {
        let now_ms = self.now_ms();
        let Some(state) = self.services.get_mut(service) else { return };
        let is_current = reply.incarnation == self.incarnation
            && state.table.as_ref().is_some_and(|table| table.leader_epoch == reply.leader_epoch);
        if is_current {
            let previous_deadline_ms = state.in_flight.route_deadline_ms();
            state.in_flight.set_route_deadline_ms(previous_deadline_ms.max(reply.deadline_ms));
            if previous_deadline_ms <= now_ms {
                // Requests may wait for the lease, which had expired.
                self.traffic.wake();
            }
        }
        self.on_event(service, Event::HeartbeatReplied(reply));
    }

    /// Gives the request path a snapshot of all services.
    ///
    /// Then sends a heartbeat for each service whose table in force is not reported as drained: the
    /// request path uses that table from now on, so the closed shards may be drained already.
    fn publish_snapshot(&mut self) {
        let services: Services = self
            .services
            .iter()
            .filter_map(|(name, state)| Some((name.clone(), Arc::new(state.to_snapshot()?))))
            .collect();
        self.traffic.replace(services);
        let now_ms = self.now_ms();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            if self.services.get(&name).is_some_and(|state| !state.is_drain_reported) {
                self.send_heartbeat(now_ms, &name);
            }
        }
    }

    /// Resigns as controller of every service, and reports not ready from now on.
    fn begin_stop(&mut self) {
        self.is_stopping = true;
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.on_event(&name, Event::Stop);
        }
        info!("stopping");
    }

    fn on_request(&mut self, request: ControlRequest) {
        // Sending fails if the client has disconnected, and then no answer is needed.
        match request {
            ControlRequest::Explain { service, key, reply_to } => {
                drop(reply_to.send(self.explain(&service, key)));
            }
            ControlRequest::Status(reply_to) => self.collect_status(reply_to),
            ControlRequest::Dump(reply_to) => drop(reply_to.send(self.to_dump())),
            ControlRequest::Ready(reply_to) => drop(reply_to.send(self.is_ready())),
            ControlRequest::EditAccepted { service, revision, text } => {
                self.accept_document(&service, revision, text);
            }
        }
    }

    /// Returns whether this daemon can serve callers.
    ///
    /// It can once the documents are read and every keyed service has a table, until it stops.
    fn is_ready(&self) -> bool {
        let is_routed = |state: &ServiceState| !state.is_keyed() || state.table.is_some();
        self.has_read_documents && !self.is_stopping && self.services.values().all(is_routed)
    }
}
