//! The control thread: its state and how it handles inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use document::{HashMap, HashSet, Name, Revision};
use peer::{FleetBody, FleetEntry, FleetFrame, Links, Load};
use registry::{Change, Incarnation, Registry};
use shard::{Epoch, Event, Table};
use site::Site;
use store::{Entry, Era, Store};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::control::evacuation::Evacuations;
use crate::control::follow::DaemonEntry;
use crate::control::input::{Input, ReadPosition, Topic};
use crate::control::operators_relay::{OperatorsControl, OperatorsRelay};
use crate::control::relay::{Relay, Role};
use crate::leader::cut_leader::connect_to;
use crate::leader::leader_state::LeaderState;
use crate::leader::older_store::PassedOn;
use crate::leader::succession::Resignation;
use crate::request::detour::Peer;
use crate::request::report::ServiceState;
use crate::request::server::Server;
use crate::request::turns::Turns;
use crate::{BootClock, Orders, Settings, Shared, Source};

/// The state of the control thread.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub(crate) struct Node<S, O, R> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) orders: O,
    pub(crate) source: R,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: BootClock,
    pub(crate) inputs: mpsc::Sender<Input>,
    call_restarts: watch::Sender<u64>,
    /// Whether this daemon reads the servers' entries itself.
    pub(crate) needs_entries: watch::Sender<bool>,
    /// How this daemon gets the servers' entries.
    pub(crate) role: Role,
    pub(crate) relay: Relay,
    /// The newest era of the store; `None` as long as no answer has named one.
    pub(crate) era: Option<Era>,
    /// The newest era that an answer of the store has named.
    pub(crate) newest_era: watch::Receiver<Option<Era>>,
    /// Who may hold keys, as the leader told that led until the store came back.
    pub(crate) passed_on: Option<PassedOn>,
    /// The store's revision up to which servers' entries are known here.
    pub(crate) entries_revision: Revision,
    /// When servers' entries were last read here; `None` while they are not read here.
    pub(crate) entries_read_at_ms: Option<u64>,
    /// When the process started, or when the store answered again.
    pub(crate) store_reached_at_ms: u64,
    /// Whether this daemon relays servers' entries to its group.
    pub(crate) is_relaying: bool,
    /// Servers whose entries changed since the last message to the group.
    pub(crate) changed_servers: BTreeSet<Name>,
    /// The number of the last message to the group.
    pub(crate) relay_number: u64,
    pub(crate) heartbeat_at_ms: u64,
    pub(crate) site: Option<Arc<Site>>,
    pub(crate) registry: Registry,
    pub(crate) evacuations: Evacuations,
    pub(crate) operators: OperatorsRelay,
    /// When servers of an evacuated data centre close next, by the clock of requests.
    pub(crate) next_close_at_ms: Option<u64>,
    /// The names of listed entries that described no usable server; each is logged once.
    pub(crate) unusable: HashSet<Name>,
    pub(crate) daemons: BTreeMap<Name, DaemonEntry>,
    /// The entries of daemons and of their leader, with those that were removed.
    pub(crate) fleet_entries: BTreeMap<Name, FleetEntry>,
    /// The store's revision up to which these entries are known here.
    pub(crate) fleet_revision: Revision,
    /// The keys of those that changed since the last message to the group.
    pub(crate) changed_fleet: BTreeSet<Name>,
    /// Whether the reader of the group relays these entries.
    pub(crate) is_fleet_relayed: bool,
    /// Whether this daemon reads these entries itself.
    pub(crate) needs_fleet: watch::Sender<bool>,
    /// The last revision at which this daemon's entry was found to be missing.
    pub(crate) entry_missing_since: watch::Sender<Revision>,
    /// The leader and the revision of its entry.
    pub(crate) leader: Option<(Name, Revision)>,
    pub(crate) is_fleet_known: bool,
    /// Whether the entry of a daemon of an earlier version was ever read: one that is cut off from the store
    /// has no entry, but may still pass requests on.
    pub(crate) has_seen_earlier_daemon: bool,
    pub(crate) is_campaigning: bool,
    /// The resignation of the last leader that told of one.
    pub(crate) resigned: Option<Resignation>,
    /// Since when this daemon waits for its turn to campaign.
    pub(crate) no_leader_since_ms: Option<u64>,
    /// The number of campaigns that failed since there was a leader.
    pub(crate) failed_campaigns: u32,
    pub(crate) store_answers: bool,
    /// The leader's state while this daemon leads.
    pub(crate) leading: Option<LeaderState>,
    pub(crate) links: Links,
    /// The other daemons by the address for their callers.
    pub(crate) peers: BTreeMap<SocketAddr, Arc<Peer>>,
    pub(crate) turns: Turns,
    pub(crate) tables: HashMap<Name, Arc<Table>>,
    /// The epoch and number of the newest publication that was applied.
    pub(crate) newest_publication: (Epoch, u64),
    /// The leader's epoch and the number of its publication that the tables come from; `None` if
    /// they come from records.
    pub(crate) tables_version: Option<(Epoch, u64)>,
    /// Whether a message with tables was missed.
    pub(crate) wants_tables: bool,
    pub(crate) tables_received_at_ms: u64,
    pub(crate) records_read_at_ms: u64,
    pub(crate) servers: HashMap<Incarnation, Arc<Server>>,
    pub(crate) service_states: HashMap<Name, Arc<ServiceState>>,
    /// Whether servers, daemons, the document or settings have changed since the view was built.
    pub(crate) are_servers_stale: bool,
    /// Whether tables have changed since the view was built.
    pub(crate) are_tables_stale: bool,
    report_at_ms: u64,
    send_crashes_at_ms: u64,
    log_dropped_at_ms: u64,
}

/// How often timers are checked while this daemon leads or is about to campaign.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often timers are checked otherwise, in ticks.
const IDLE_TICKS: u32 = 5;
/// The largest number of inputs that are handled before timers and the view.
const MAX_INPUTS_AT_ONCE: usize = 32;
/// How often the load of requests is reported to the leader.
const REPORT_INTERVAL_MS: u64 = 250;
/// How often crashes are sent again, for daemons that missed them.
const CRASHES_INTERVAL_MS: u64 = 1_000;
/// How often the number of dropped log lines is logged.
const DROPPED_LINES_INTERVAL_MS: u64 = 1_000;

/// The values that a node is created from.
pub(crate) struct NodeParts<S, O, R> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) orders: O,
    pub(crate) source: R,
    pub(crate) shared: Arc<Shared>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) call_restarts: watch::Sender<u64>,
    pub(crate) operators: OperatorsControl,
    pub(crate) needs_entries: watch::Sender<bool>,
    pub(crate) needs_fleet: watch::Sender<bool>,
    pub(crate) entry_missing_since: watch::Sender<Revision>,
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    pub(crate) fn new(parts: NodeParts<S, O, R>) -> Self {
        Self {
            newest_era: parts.store.era(),
            passed_on: None,
            settings: parts.settings,
            store: parts.store,
            orders: parts.orders,
            source: parts.source,
            shared: parts.shared,
            clock: BootClock,
            inputs: parts.inputs,
            call_restarts: parts.call_restarts,
            needs_entries: parts.needs_entries,
            role: Role::Reads { tells: Vec::new() },
            relay: Relay::default(),
            era: None,
            entries_revision: Revision(0),
            entries_read_at_ms: None,
            store_reached_at_ms: BootClock.now_ms(),
            is_relaying: false,
            changed_servers: BTreeSet::new(),
            // A restarted process must not reuse the numbers of the process before it.
            relay_number: BootClock.now_ms(),
            heartbeat_at_ms: 0,
            site: None,
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            operators: OperatorsRelay::new(parts.operators),
            next_close_at_ms: None,
            unusable: HashSet::default(),
            daemons: BTreeMap::new(),
            fleet_entries: BTreeMap::new(),
            fleet_revision: Revision(0),
            changed_fleet: BTreeSet::new(),
            is_fleet_relayed: false,
            needs_fleet: parts.needs_fleet,
            entry_missing_since: parts.entry_missing_since,
            leader: None,
            is_fleet_known: false,
            has_seen_earlier_daemon: false,
            is_campaigning: false,
            resigned: None,
            no_leader_since_ms: None,
            failed_campaigns: 0,
            store_answers: true,
            leading: None,
            links: Links::default(),
            peers: BTreeMap::new(),
            turns: Turns::default(),
            tables: HashMap::default(),
            newest_publication: (Epoch(0), 0),
            tables_version: None,
            wants_tables: false,
            tables_received_at_ms: 0,
            records_read_at_ms: 0,
            servers: HashMap::default(),
            service_states: HashMap::default(),
            are_servers_stale: true,
            are_tables_stale: true,
            report_at_ms: 0,
            send_crashes_at_ms: 0,
            log_dropped_at_ms: 0,
        }
    }

    /// Handles inputs and timers until the input queue is closed.
    pub(crate) async fn run(&mut self, mut queue: mpsc::Receiver<Input>, stop: CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut skipped = 0;
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => {
                        self.on_input(input);
                        // Building the view once for many inputs leaves time for the next.
                        for _ in 0..MAX_INPUTS_AT_ONCE {
                            let Ok(input) = queue.try_recv() else { break };
                            self.on_input(input);
                        }
                    }
                    None => return,
                },
                _ = ticks.tick() => {
                    skipped += 1;
                    let is_busy = self.leading.is_some() || self.no_leader_since_ms.is_some();
                    if is_busy || skipped >= IDLE_TICKS {
                        skipped = 0;
                        self.tick();
                    }
                }
                () = stop.cancelled(), if self.leading.is_some() => {
                    self.resign("the process is stopping");
                }
            }
            self.update_view();
        }
    }

    fn on_input(&mut self, input: Input) {
        self.check_era();
        match input {
            Input::Listed(topic, entries, read) => {
                if self.is_newest_era(read.era) {
                    self.on_listing(topic, &entries, read);
                }
            }
            Input::Changed(topic, entries, read) => {
                if self.is_newest_era(read.era) {
                    self.on_changes(topic, &entries, read);
                }
            }
            // Another watch may wait to its end without returning changes or failing.
            Input::HistoryDropped => self.call_restarts.send_modify(|count| *count += 1),
            Input::EraNamed(era) => self.on_era(era),
            Input::StoreAnswers(answers) => self.on_store_answers(answers),
            Input::CampaignEnded(election) => {
                self.is_campaigning = false;
                match election {
                    Some(election) if self.shared.is_stopping() || election.era != self.era => {
                        self.decline(&election);
                    }
                    Some(election) => {
                        self.failed_campaigns = 0;
                        self.start_leading(election);
                    }
                    None => {
                        self.failed_campaigns += 1;
                        self.campaign_if_needed();
                    }
                }
            }
            Input::LeaseRenewed { authority_deadline_ms } => {
                self.on_lease_renewed();
                self.step(Event::LeaseRenewed { authority_deadline_ms });
                self.step(Event::StoreAnswers(true));
            }
            Input::LeaseRenewalFailed => self.on_lease_renewal_failed(),
            Input::StoreReached { leader, epoch } => self.send_store_reached(&leader, epoch),
            Input::ServersUnreached { epoch, unreached } => {
                self.on_servers_unreached(epoch, unreached);
            }
            Input::ConnectionsTried { epoch, tried, unreached } => {
                self.on_connections_tried(epoch, tried, unreached);
            }
            Input::ServersReached { leader, epoch } => self.send_servers_reached(&leader, epoch),
            Input::LeaseEnded => {
                self.resign("the lease ended");
                self.campaign_if_needed();
            }
            Input::OrderAnswered(id, reply) => self.step(Event::Answered(id, reply)),
            Input::RecordWritten { service, epoch, number, outcome } => {
                self.on_record_written(service, epoch, number, outcome);
            }
            Input::Records(records) => self.on_records(records),
            Input::Frame(received) => self.on_frame(received.message),
            Input::Turn(query) => self.on_turn_query(query),
            Input::Reload(settings) => self.reload(*settings),
            Input::Dump(answer) => {
                // The client of the dump may have disconnected.
                drop(answer.send(self.dump()));
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if self.registry.expire(now_ms) == Change::Server {
            spdlog::info!("missing servers removed after the grace period", kv: { servers = self.registry.len() });
            self.are_servers_stale = true;
        }
        self.check_closed_servers();
        self.apply_renewal();
        if self.leading.as_ref().is_some_and(|leading| leading.leader.has_authority_ended(now_ms)) {
            self.resign("authority ended");
        }
        if self.leading.as_ref().is_some_and(|leading| leading.leader.needs_new_epoch()) {
            self.resign("all fences of the epoch are used");
        }
        self.check_lease_renewal(now_ms);
        self.check_silent_servers(now_ms);
        self.check_new_connections(now_ms);
        self.report_leaving_servers();
        self.step(Event::Tick);
        self.update_relay(now_ms);
        self.publish_if_due(now_ms);
        self.check_tables_silence(now_ms);
        if now_ms >= self.report_at_ms {
            self.report_at_ms = now_ms + REPORT_INTERVAL_MS;
            self.report();
            self.turns.forget_old(now_ms);
            self.log_reach();
            self.log_cold_servers();
            self.probe_lost_servers();
        }
        self.send_crashes(now_ms);
        self.log_dropped_lines(now_ms);
        self.read_records_if_needed(now_ms);
        self.campaign_if_needed();
    }

    fn on_listing(&mut self, topic: Topic, entries: &[Entry], read: ReadPosition) {
        match topic {
            Topic::Operators => self.on_operators_list(entries, read),
            Topic::Servers => self.on_server_list(entries, read),
            Topic::Fleet => {
                self.is_fleet_known = true;
                self.keep_only_fleet(entries.iter().map(|entry| entry.key.as_str()), read.revision);
            }
        }
        self.on_changes(topic, entries, read);
    }

    fn on_changes(&mut self, topic: Topic, entries: &[Entry], read: ReadPosition) {
        match topic {
            Topic::Operators => self.on_operators_entries(entries, read),
            Topic::Servers => self.on_server_entries(entries, read),
            Topic::Fleet => {
                let entries = entries.iter().map(|entry| FleetEntry {
                    key: entry.key.as_str().into(),
                    text: entry.text.as_deref().map(Name::from),
                    revision: entry.revision,
                });
                self.on_fleet_entries(entries.collect(), read.revision);
                if !self.changed_fleet.is_empty() {
                    self.send_server_changes();
                }
            }
        }
    }

    fn on_store_answers(&mut self, answers: bool) {
        spdlog::info!("store", kv: { answers });
        if answers && !self.store_answers {
            self.store_reached_at_ms = self.clock.now_ms();
            self.registry.on_list_restored(self.clock.now_ms());
            // A restarted store no longer knows the watches that still wait for it.
            self.call_restarts.send_modify(|count| *count += 1);
        }
        self.store_answers = answers;
    }

    /// Logs how many lines about requests were dropped, if any.
    fn log_dropped_lines(&mut self, now_ms: u64) {
        if now_ms < self.log_dropped_at_ms {
            return;
        }
        self.log_dropped_at_ms = now_ms + DROPPED_LINES_INTERVAL_MS;
        let lines = self.shared.log_sampler.take_dropped();
        if lines > 0 {
            spdlog::warn!("lines about requests not written", kv: { lines });
        }
    }

    /// Tries to connect to some servers that this daemon does not reach.
    fn probe_lost_servers(&self) {
        let start = rand::random_range(0..usize::MAX);
        let probed = self.shared.reach().to_probe(&self.registry, start);
        if probed.is_empty() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            for server in connect_to(&probed).await {
                shared.reach().on_connected(&server);
            }
        });
    }

    /// Logs how many servers were lost or reached again, if any.
    fn log_reach(&self) {
        let mut reach = self.shared.reach();
        reach.retain(|server| self.registry.get(server).is_some());
        if let Some(change) = reach.take_change() {
            spdlog::info!(
                "servers reached",
                kv: {
                    newly_lost = change.newly_lost, newly_reached = change.newly_reached,
                    lost = change.lost, known = self.registry.len(),
                    is_cut_off = change.is_cut_off
                }
            );
        }
    }

    /// Reports the load of requests to the leader.
    fn report(&mut self) {
        let loads: Vec<_> = self
            .service_states
            .values()
            .map(|state| state.take_load())
            .filter(|load| !(load.keys.is_empty() && load.servers.is_empty()))
            .collect();
        if self.leading.is_some() {
            self.add_load(&loads);
            return;
        }
        if loads.is_empty() && !self.wants_tables {
            return;
        }
        let leader = self.leader.as_ref().and_then(|(name, _)| self.address(name));
        if let Some(address) = leader {
            let load = Load { services: loads, wants_tables: self.wants_tables };
            self.send(address, FleetBody::Load(load));
        }
    }

    fn send_crashes(&mut self, now_ms: u64) {
        let has_new_crashes = self.shared.crashes.take_crash_flag();
        if !has_new_crashes && now_ms < self.send_crashes_at_ms {
            return;
        }
        self.send_crashes_at_ms = now_ms + CRASHES_INTERVAL_MS;
        self.shared.crashes.forget_expired();
        let crash_counts = self.shared.crashes.own_counts();
        if !crash_counts.is_empty() {
            self.send_all(&FleetBody::Crashes(crash_counts));
        }
    }

    fn on_frame(&mut self, frame: FleetFrame) {
        match frame.body {
            FleetBody::Load(load) => {
                self.add_load(&load.services);
                if load.wants_tables {
                    self.on_tables_request(&frame.from);
                }
            }
            FleetBody::Tables(tables) => self.on_tables(tables),
            FleetBody::Crashes(counts) => self.shared.crashes.on_peer_counts(&frame.from, counts),
            FleetBody::Servers(servers) => {
                self.on_servers_message(&frame.from, servers);
                self.step(Event::Tick);
            }
            FleetBody::ServersRequest => self.send_all_servers(&[frame.from]),
            FleetBody::StoreQuery(epoch) => self.on_store_query(frame.from, epoch),
            FleetBody::StoreReached(epoch) => self.on_store_reached(&frame.from, epoch),
            FleetBody::Resigned(resigned) => self.on_resigned(frame.from, resigned),
            FleetBody::Leaving(leaving) => self.on_leaving(leaving),
            FleetBody::ReachQuery(query) => self.on_reach_query(frame.from, &query),
            FleetBody::ServersReached(epoch) => self.on_servers_reached(&frame.from, epoch),
            FleetBody::TurnRequest(request) => self.on_turn_request(&frame.from, &request),
            FleetBody::TurnReply(number, turn) => self.on_turn_reply(number, turn),
        }
    }

    fn reload(&mut self, settings: Settings) {
        let needs_restart = settings.listen != self.settings.listen
            || settings.instance != self.settings.instance
            || settings.store != self.settings.store;
        if needs_restart {
            spdlog::warn!("changed names and addresses take effect only after a restart");
        }
        spdlog::info!("settings reloaded", kv: { drain_ms = settings.drain_ms, grace_ms = settings.grace_ms });
        self.settings = Settings {
            instance: self.settings.instance.clone(),
            listen: self.settings.listen,
            store: self.settings.store,
            ..settings
        };
        self.choose_role();
        self.are_servers_stale = true;
    }
}
