//! The control thread: what a daemon believes, and how that changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use document::{HashMap, HashSet, Name, Revision};
use peer::{FleetBody, FleetFrame, Links, Load};
use registry::{Change, Incarnation, Registry};
use shard::{Epoch, Event, Table};
use site::Site;
use store::{Entry, Store};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::follow::DaemonEntry;
use crate::input::{Input, Read, Topic};
use crate::leadership::Leading;
use crate::relay::{Relay, Role};
use crate::report::ServiceState;
use crate::server::Server;
use crate::{BootClock, Orders, Settings, Shared, Source};

/// What a daemon believes.
#[expect(clippy::struct_excessive_bools, reason = "each is a belief of its own")]
pub(crate) struct Node<S, O, R> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) orders: O,
    pub(crate) source: R,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: BootClock,
    pub(crate) inputs: mpsc::Sender<Input>,
    renewals: watch::Sender<u64>,
    /// Whether this daemon reads the servers' entries itself.
    pub(crate) needs_entries: watch::Sender<bool>,
    /// What this daemon does about the servers' entries.
    pub(crate) role: Role,
    pub(crate) relay: Relay,
    /// The store's revision up to which servers' entries are known here.
    pub(crate) entries_at: Revision,
    /// When servers' entries were last read here, if they are read here now.
    pub(crate) entries_read_at_ms: Option<u64>,
    /// Whether the store was silent since servers' entries were last listed here.
    pub(crate) is_list_old: bool,
    /// Whether this daemon tells its group of servers' entries.
    pub(crate) is_telling: bool,
    /// Servers whose entries changed since the last message to the group.
    pub(crate) changed_servers: BTreeSet<Name>,
    /// The number of the last message to the group.
    pub(crate) told_number: u64,
    pub(crate) beat_at_ms: u64,
    pub(crate) site: Option<Arc<Site>>,
    pub(crate) registry: Registry,
    /// Servers whose entries made no sense; each is told once.
    pub(crate) unreadable: HashSet<Name>,
    pub(crate) daemons: BTreeMap<Name, DaemonEntry>,
    /// The leader, by its entry, with the entry's revision.
    pub(crate) leader: Option<(Name, Revision)>,
    pub(crate) is_fleet_known: bool,
    pub(crate) is_campaigning: bool,
    /// When this daemon campaigns, if nobody else was elected by then.
    pub(crate) campaign_at_ms: Option<u64>,
    pub(crate) store_answers: bool,
    pub(crate) leading: Option<Leading>,
    pub(crate) links: Links,
    pub(crate) tables: HashMap<Name, Arc<Table>>,
    pub(crate) tables_from: (Epoch, u64),
    /// Whether a message with tables was missed.
    pub(crate) wants_tables: bool,
    pub(crate) tables_at_ms: u64,
    pub(crate) records_at_ms: u64,
    pub(crate) servers: HashMap<Incarnation, Arc<Server>>,
    pub(crate) states: HashMap<Name, Arc<ServiceState>>,
    pub(crate) is_view_old: bool,
    report_at_ms: u64,
    crashes_at_ms: u64,
    lines_at_ms: u64,
}

/// How often the control thread looks at its timers while it leads.
const LEADING_TICK: Duration = Duration::from_millis(20);
/// How often it looks at them otherwise, in ticks.
const FOLLOWING_TICKS: u32 = 5;
/// How often requests' load is reported.
const REPORT_MS: u64 = 250;
/// How often crashes are told again, for daemons that missed them.
const CRASHES_MS: u64 = 1_000;
/// How often it is said how many lines were left out.
const LINES_MS: u64 = 1_000;
/// What a node is made of.
pub(crate) struct Parts<S, O, R> {
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) orders: O,
    pub(crate) source: R,
    pub(crate) shared: Arc<Shared>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) renewals: watch::Sender<u64>,
    pub(crate) needs_entries: watch::Sender<bool>,
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    pub(crate) fn new(parts: Parts<S, O, R>) -> Self {
        Self {
            settings: parts.settings,
            store: parts.store,
            orders: parts.orders,
            source: parts.source,
            shared: parts.shared,
            clock: BootClock,
            inputs: parts.inputs,
            renewals: parts.renewals,
            needs_entries: parts.needs_entries,
            role: Role::Reads { tells: Vec::new() },
            relay: Relay::default(),
            entries_at: Revision(0),
            entries_read_at_ms: None,
            is_list_old: true,
            is_telling: false,
            changed_servers: BTreeSet::new(),
            // A process that starts again does not go on with the numbers of the one before.
            told_number: BootClock.now_ms(),
            beat_at_ms: 0,
            site: None,
            registry: Registry::default(),
            unreadable: HashSet::default(),
            daemons: BTreeMap::new(),
            leader: None,
            is_fleet_known: false,
            is_campaigning: false,
            campaign_at_ms: None,
            store_answers: true,
            leading: None,
            links: Links::default(),
            tables: HashMap::default(),
            tables_from: (Epoch(0), 0),
            wants_tables: false,
            tables_at_ms: 0,
            records_at_ms: 0,
            servers: HashMap::default(),
            states: HashMap::default(),
            is_view_old: true,
            report_at_ms: 0,
            crashes_at_ms: 0,
            lines_at_ms: 0,
        }
    }

    /// Takes inputs until the process stops.
    pub(crate) async fn run(&mut self, mut queue: mpsc::Receiver<Input>, stop: CancellationToken) {
        let mut ticks = interval(LEADING_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut skipped = 0;
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = ticks.tick() => {
                    skipped += 1;
                    let is_busy = self.leading.is_some() || self.campaign_at_ms.is_some();
                    if is_busy || skipped >= FOLLOWING_TICKS {
                        skipped = 0;
                        self.tick();
                    }
                }
                () = stop.cancelled(), if self.leading.is_some() => {
                    self.resign("the process stops");
                }
            }
            if self.is_view_old {
                self.replace_view();
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Listed(topic, entries, read) => self.take_listing(topic, &entries, read),
            Input::Changed(topic, entries, read) => self.take_changes(topic, &entries, read),
            Input::StoreAnswers(answers) => self.note_store(answers),
            Input::Campaigned(victory) => {
                self.is_campaigning = false;
                match victory {
                    Some(victory) if !self.shared.is_stopping() => self.lead(victory),
                    _ => self.campaign_if_needed(),
                }
            }
            Input::Kept { authority_deadline_ms } => {
                self.step(Event::LeaseRenewed { authority_deadline_ms });
                self.step(Event::StoreAnswers(true));
            }
            Input::NotKept => self.step(Event::StoreAnswers(false)),
            Input::LeaseEnded => {
                self.resign("the lease ended");
                self.campaign_if_needed();
            }
            Input::Answered(id, reply) => self.step(Event::Answered(id, reply)),
            Input::Written { service, number, outcome } => {
                self.record_written(service, number, outcome);
            }
            Input::Records(records) => self.take_records(records),
            Input::Frame(frame) => self.take_frame(frame),
            Input::Reload(settings) => self.reload(*settings),
            Input::Dump(answer) => {
                // Whoever asked may have gone.
                drop(answer.send(self.dump()));
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if self.registry.expire(now_ms) == Change::Server {
            spdlog::info!("missing servers are taken as gone", kv: { servers = self.registry.len() });
            self.is_view_old = true;
        }
        if self.leading.as_ref().is_some_and(|leading| leading.leader.has_authority_ended(now_ms)) {
            self.resign("authority ended");
        }
        if self.leading.as_ref().is_some_and(|leading| leading.leader.needs_new_epoch()) {
            self.resign("fences are used up");
        }
        self.step(Event::Tick);
        self.keep_relaying(now_ms);
        if now_ms >= self.report_at_ms {
            self.report_at_ms = now_ms + REPORT_MS;
            self.report();
        }
        self.tell_crashes(now_ms);
        self.tell_lines_left_out(now_ms);
        self.read_records_if_needed(now_ms);
        self.campaign_if_needed();
    }

    fn take_listing(&mut self, topic: Topic, entries: &[Entry], read: Read) {
        match topic {
            Topic::Site => {}
            Topic::Servers => self.take_server_list(entries, read),
            Topic::Fleet => {
                self.is_fleet_known = true;
                self.daemons.clear();
                self.leader = None;
            }
        }
        self.take_changes(topic, entries, read);
    }

    fn take_changes(&mut self, topic: Topic, entries: &[Entry], read: Read) {
        match topic {
            Topic::Site => {
                for entry in entries {
                    self.take_site(entry);
                }
            }
            Topic::Servers => self.take_servers(entries, read),
            Topic::Fleet => {
                for entry in entries {
                    self.take_fleet(entry);
                }
                self.choose_role();
                self.campaign_if_needed();
            }
        }
    }

    fn take_site(&mut self, entry: &Entry) {
        let Some(text) = entry.text.as_deref().filter(|_| entry.key == self.source.site_key())
        else {
            return;
        };
        let site = match self.source.read_site(text) {
            Ok(site) => site,
            Err(cause) => {
                spdlog::error!("document refused", kv: { cause:, revision = entry.revision.0 });
                return;
            }
        };
        if self.site.as_ref().is_some_and(|known| known.version() >= site.version()) {
            return;
        }
        spdlog::info!("document in force", kv: { version = site.version().0, revision = entry.revision.0 });
        self.site = Some(Arc::new(site));
        self.is_view_old = true;
        self.add_keyed_services();
    }

    fn note_store(&mut self, answers: bool) {
        spdlog::info!("store", kv: { answers });
        self.is_list_old |= !answers;
        if answers && !self.store_answers {
            self.registry.on_list_restored(self.clock.now_ms());
            // Watches that wait may wait for a store that has forgotten them.
            self.renewals.send_modify(|count| *count += 1);
        }
        self.store_answers = answers;
    }

    /// Says how many lines about requests were left out, if any.
    fn tell_lines_left_out(&mut self, now_ms: u64) {
        if now_ms < self.lines_at_ms {
            return;
        }
        self.lines_at_ms = now_ms + LINES_MS;
        let lines = self.shared.lines.take_dropped();
        if lines > 0 {
            spdlog::warn!("lines about requests not written", kv: { lines });
        }
    }

    /// Reports what requests did to the leader.
    fn report(&mut self) {
        let loads: Vec<_> = self
            .states
            .values()
            .map(|state| state.take())
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

    fn tell_crashes(&mut self, now_ms: u64) {
        let has_news = self.shared.crashes.take_news();
        if !has_news && now_ms < self.crashes_at_ms {
            return;
        }
        self.crashes_at_ms = now_ms + CRASHES_MS;
        self.shared.crashes.forget_old();
        let suspects = self.shared.crashes.to_tell();
        if !suspects.is_empty() {
            self.send_all(&FleetBody::Crashes(suspects));
        }
    }

    fn take_frame(&mut self, frame: FleetFrame) {
        match frame.body {
            FleetBody::Load(load) => {
                self.add_load(&load.services);
                if load.wants_tables {
                    self.send_tables(&frame.from);
                }
            }
            FleetBody::Tables(tables) => self.take_tables(tables),
            FleetBody::Crashes(suspects) => self.shared.crashes.hear(&frame.from, suspects),
            FleetBody::Servers(servers) => {
                self.hear_servers(&frame.from, servers);
                self.step(Event::Tick);
            }
            FleetBody::ServersWanted => self.tell_all_servers(&frame.from),
        }
    }

    fn reload(&mut self, settings: Settings) {
        let is_moved = settings.listen != self.settings.listen
            || settings.instance != self.settings.instance
            || settings.store != self.settings.store;
        if is_moved {
            spdlog::warn!("settings: names and addresses change only with a new start");
        }
        spdlog::info!("settings reloaded", kv: { drain_ms = settings.drain_ms, grace_ms = settings.grace_ms });
        self.settings = Settings {
            instance: self.settings.instance.clone(),
            listen: self.settings.listen,
            store: self.settings.store,
            ..settings
        };
        self.choose_role();
        self.is_view_old = true;
    }
}
