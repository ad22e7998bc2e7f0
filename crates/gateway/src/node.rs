//! The control thread: what a daemon believes, and how that changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use document::{HashMap, HashSet, Name, Revision};
use peer::{FleetBody, FleetFrame, Links, Load};
use registry::{Change, Life, Registry};
use shard::{Epoch, Event, Table};
use site::Site;
use store::{Entry, Expect, Store};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::election::Campaign;
use crate::follow::{DAEMONS, DaemonEntry, LEADER};
use crate::input::{Input, Read, Topic};
use crate::leadership::Leading;
use crate::relay::Relay;
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
    leader: Option<(Name, Revision)>,
    is_fleet_known: bool,
    is_campaigning: bool,
    /// When this daemon campaigns, if nobody else was elected by then.
    campaign_at_ms: Option<u64>,
    pub(crate) store_answers: bool,
    pub(crate) leading: Option<Leading>,
    links: Links,
    pub(crate) tables: HashMap<Name, Arc<Table>>,
    pub(crate) tables_from: (Epoch, u64),
    /// Whether a message with tables was missed.
    pub(crate) wants_tables: bool,
    pub(crate) tables_at_ms: u64,
    pub(crate) records_at_ms: u64,
    pub(crate) servers: HashMap<Life, Arc<Server>>,
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
/// How long a daemon waits at most before it campaigns, and how much longer for each other
/// daemon. The first is expected after one such part; others find within the pace of
/// reading daemons' entries that it was elected, and do not try.
const CAMPAIGN_SPREAD_MS: u64 = 100;
const CAMPAIGN_SPREAD_EACH_MS: u64 = 40;

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
            Input::Kept { authority_until_ms } => {
                self.step(Event::Kept { authority_until_ms });
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
        if self.leading.as_ref().is_some_and(|leading| leading.leader.has_ended(now_ms)) {
            self.resign("authority ended");
        }
        if self.leading.as_ref().is_some_and(|leading| leading.leader.needs_epoch()) {
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

    fn take_fleet(&mut self, entry: &Entry) {
        if entry.key == LEADER {
            let name = entry.text.as_deref().and_then(|text| text.split(' ').next());
            self.leader = name.map(|name| (Name::from(name), entry.revision));
            return;
        }
        let Some(name) = entry.key.strip_prefix(DAEMONS).map(Name::from) else { return };
        match entry.text.as_deref().map(serde_json::from_str::<DaemonEntry>) {
            Some(Ok(daemon)) => {
                if self.daemons.insert(name, daemon.clone()) != Some(daemon) {
                    self.is_view_old = true;
                    // A daemon that is new hears of the owners at once.
                    if let Some(leading) = &mut self.leading {
                        leading.publish_at_ms = 0;
                        leading.whole_at_ms = 0;
                    }
                }
            }
            Some(Err(error)) => {
                spdlog::warn!("daemon's entry cannot be read", kv: { daemon = name.as_str(), cause: = error });
            }
            None => {
                self.daemons.remove(&name);
                self.is_view_old = true;
            }
        }
        let live: Vec<SocketAddr> = self.daemons.values().map(|daemon| daemon.address).collect();
        self.links.retain(|address| live.contains(address));
    }

    fn note_store(&mut self, answers: bool) {
        spdlog::info!("store", kv: { answers });
        self.is_list_old |= !answers;
        if answers && !self.store_answers {
            self.registry.list_returned(self.clock.now_ms());
            // Watches that wait may wait for a store that has forgotten them.
            self.renewals.send_modify(|count| *count += 1);
        }
        self.store_answers = answers;
    }

    pub(crate) fn campaign(&self) -> Campaign<S> {
        Campaign {
            store: self.store.clone(),
            instance: self.settings.instance.clone(),
            least_lease_ms: self.settings.least_lease_ms,
            replaces: self.leader.as_ref().map_or(Expect::Missing, |(_, at)| Expect::At(*at)),
            counters: Arc::clone(&self.shared.counters),
            inputs: self.inputs.clone(),
            clock: self.clock,
        }
    }

    fn campaign_if_needed(&mut self) {
        // An entry of this instance is left from an earlier process or an earlier epoch:
        // nobody else acts under it, and its lease need not be waited for.
        let is_led =
            self.leader.as_ref().is_some_and(|(leader, _)| *leader != self.settings.instance);
        let is_needed = self.is_fleet_known && !is_led && self.leading.is_none();
        let is_able = self.store_answers && !self.is_campaigning && !self.shared.is_stopping();
        if !(is_needed && is_able) {
            self.campaign_at_ms = None;
            return;
        }
        let now_ms = self.clock.now_ms();
        let others = u64::try_from(self.daemons.len()).unwrap_or(0);
        let spread_ms = CAMPAIGN_SPREAD_MS + CAMPAIGN_SPREAD_EACH_MS * others;
        let at_ms =
            *self.campaign_at_ms.get_or_insert_with(|| now_ms + rand::random_range(0..spread_ms));
        if now_ms >= at_ms {
            self.campaign_at_ms = None;
            self.is_campaigning = true;
            tokio::spawn(self.campaign().run());
        }
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

    /// Returns where another daemon takes messages.
    pub(crate) fn address(&self, daemon: &Name) -> Option<SocketAddr> {
        self.daemons.get(daemon).map(|daemon| daemon.address)
    }

    fn tell_crashes(&mut self, now_ms: u64) {
        let has_news = self.shared.take_crash_news();
        if !has_news && now_ms < self.crashes_at_ms {
            return;
        }
        self.crashes_at_ms = now_ms + CRASHES_MS;
        self.shared.forget_old_crashes();
        let suspects = self.shared.own_suspects();
        if !suspects.is_empty() {
            self.send_all(&FleetBody::Crashes(suspects));
        }
    }

    pub(crate) fn send(&mut self, to: SocketAddr, body: FleetBody) {
        let frame = FleetFrame { from: self.settings.instance.clone(), body };
        self.links.send(to, frame.to_bytes());
    }

    /// Sends a message to all other daemons.
    pub(crate) fn send_all(&mut self, body: &FleetBody) {
        let frame = FleetFrame { from: self.settings.instance.clone(), body: body.clone() };
        let bytes = frame.to_bytes();
        for (name, daemon) in &self.daemons {
            if *name != self.settings.instance {
                self.links.send(daemon.address, bytes.clone());
            }
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
            FleetBody::Crashes(suspects) => self.shared.note_suspects(&frame.from, suspects),
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
        self.is_view_old = true;
    }
}
