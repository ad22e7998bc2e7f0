//! Builds the view by which requests are routed.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{HashMap, Name};
use registry::{Incarnation, Stage};
use route::{Budget, ColdLimit, Rate, preferred};
use shard::{Owner, Span};
use site::{ServiceSpec, Site};
use store::Store;

use crate::control::follow::DaemonEntry;
use crate::control::node::Node;
use crate::request::detour::Peer;
use crate::request::report::ServiceState;
use crate::request::retry_budget;
use crate::request::server::Server;
use crate::request::view::{PoolMember, ServiceView};
use crate::{Orders, Settings, Source, View};

/// The percentage of the drain time for which a leaving server still gets work, from the time
/// at which this daemon notices.
///
/// The rest covers the delay until it notices and the time that requests are under way.
const DRAIN_WORK_PERCENT: u64 = 20;
/// The multiple of the tolerated rate, in thousandths, where no setting allows more.
const NO_OVERAGE_MILLI: u32 = 1_000;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Replaces the view if something has changed that it is built from.
    pub(crate) fn update_view(&mut self) {
        if std::mem::take(&mut self.are_servers_stale) {
            self.are_tables_stale = false;
            self.log_evacuations();
            self.replace_view();
        } else if std::mem::take(&mut self.are_tables_stale) {
            self.replace_tables();
        }
    }

    /// Replaces the tables of the view, which change far more often than the rest.
    fn replace_tables(&mut self) {
        let view = self.shared.view();
        let services = view.services.iter().map(|(name, service)| {
            let table = self.tables.get(name).cloned().unwrap_or_default();
            let service = ServiceView {
                table,
                built_at_ms: self.shared.clock.now_ms(),
                built_at_control_ms: self.clock.now_ms(),
                ..ServiceView::clone(service)
            };
            (name.clone(), Arc::new(service))
        });
        self.publish_view(view.site.clone(), services.collect());
    }

    /// Replaces the view with one built from the current state.
    fn replace_view(&mut self) {
        let Some(site) = self.site.clone() else { return };
        self.update_servers(&site);
        self.update_peers();
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        self.shared.set_daemons(daemons);
        let own = &self.settings.instance;
        let position = self.daemons.keys().take_while(|name| *name != own).count();
        self.shared.set_position(u32::try_from(position).unwrap_or(u32::MAX));
        let max_retries = retry_budget::max_retries(self.settings.retries, daemons);
        let mut services = HashMap::default();
        for spec in site.services() {
            let state =
                Arc::clone(self.service_states.entry(spec.name.clone()).or_insert_with(|| {
                    let earned = retry_budget::earned_milli(self.settings.retries);
                    Arc::new(ServiceState::new(spec.name.clone(), Budget::new(earned, max_retries)))
                }));
            state.budget.set_max_retries(max_retries);
            let of_service =
                self.servers.values().filter(|server| server.registration.service == spec.name);
            let servers: HashMap<Incarnation, Arc<Server>> = of_service
                .map(|server| (server.registration.incarnation.clone(), Arc::clone(server)))
                .collect();
            let usable = self.registry.usable(&spec.name);
            let pool: Vec<Arc<Server>> =
                usable.filter_map(|usable| servers.get(&usable.incarnation).cloned()).collect();
            let pool = if pool.is_empty() && !spec.is_keyed {
                self.open_evacuated(&servers)
            } else {
                pool
            };
            let pool = self.to_pool(pool);
            let servers = Arc::new(servers);
            let table = self.tables.get(&spec.name).cloned().unwrap_or_default();
            let view = ServiceView {
                state,
                is_keyed: spec.is_keyed,
                pool,
                servers,
                table,
                built_at_ms: self.shared.clock.now_ms(),
                built_at_control_ms: self.clock.now_ms(),
            };
            services.insert(spec.name.clone(), Arc::new(view));
        }
        self.publish_view(Some(site), services);
    }

    /// Returns the servers of evacuated data centres that still get requests.
    fn open_evacuated(&self, servers: &HashMap<Incarnation, Arc<Server>>) -> Vec<Arc<Server>> {
        let is_ready = |server: &Server| {
            self.registry.is_ready_but_evacuated(&server.registration.incarnation)
        };
        let open = servers.values().filter(|server| server.is_open() && is_ready(server));
        open.cloned().collect()
    }

    /// Marks the servers of this data centre that this daemon keeps connections to.
    fn to_pool(&self, servers: Vec<Arc<Server>>) -> Arc<[PoolMember]> {
        let data_centre = &self.settings.data_centre;
        let is_near = |server: &Arc<Server>| server.registration.data_centre == *data_centre;
        let near: Vec<&str> = servers
            .iter()
            .filter(|server| is_near(server))
            .map(|server| server.registration.incarnation.server.as_str())
            .collect();
        let neighbours: Vec<&str> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.data_centre == *data_centre)
            .map(|(name, _)| name.as_str())
            .collect();
        let mut preferred = preferred(&self.settings.instance, &near, &neighbours).into_iter();
        let to_member = |server: Arc<Server>| {
            let is_preferred = is_near(&server) && preferred.next().unwrap_or(false);
            PoolMember { server, is_preferred }
        };
        servers.into_iter().map(to_member).collect()
    }

    fn publish_view(&self, site: Option<Arc<Site>>, services: HashMap<Name, Arc<ServiceView>>) {
        let is_complete = services.values().all(|service| is_served(service));
        if is_complete && !self.registry.is_empty() {
            self.shared.set_ready(true);
        }
        let tables_version =
            self.tables_version.map_or((0, 0), |(epoch, number)| (epoch.0, number));
        let peers = self.peers.values().cloned().collect();
        self.shared.replace_view(View { site, tables_version, peers, services });
    }

    /// Adds new daemons to which requests can be passed on, and removes those that are gone.
    fn update_peers(&mut self) {
        let others = self.daemons.iter().filter(|(name, _)| **name != self.settings.instance);
        let live: HashMap<SocketAddr, (&Name, &DaemonEntry)> =
            others.filter_map(|(name, daemon)| Some((daemon.front?, (name, daemon)))).collect();
        self.peers.retain(|front, _| live.contains_key(front));
        let names_no_token = |(_, daemon): &(&Name, &DaemonEntry)| daemon.relay_token.is_none();
        self.has_seen_earlier_daemon |= live.values().any(names_no_token);
        let has_earlier_daemons = !self.is_fleet_known || self.has_seen_earlier_daemon;
        self.shared.set_earlier_daemons(has_earlier_daemons);
        for (front, (name, daemon)) in live {
            let clock = self.shared.clock;
            let peer = self.peers.entry(front);
            let peer = peer.or_insert_with(|| Arc::new(Peer::new(name, front, clock)));
            peer.set_sends_once(daemon.sends_once);
            peer.set_token(daemon.relay_token.as_deref());
        }
    }

    /// Adds new servers and closes those that are leaving or gone.
    fn update_servers(&mut self, site: &Site) {
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX).max(1);
        let close_delay_ms = self.settings.drain_ms * DRAIN_WORK_PERCENT / 100;
        let now_ms = self.clock.now_ms();
        for spec in site.services() {
            let cold_limit = cold_limit(&self.settings, spec);
            let has_others = self.registry.usable(&spec.name).next().is_some();
            let warmup_ms = spec.warmup.map_or(0, |warmup| warmup.duration_ms);
            let has_slow_start = has_slow_start(&self.settings, spec);
            // Servers that start together with this daemon get no traffic yet.
            let is_in_traffic =
                self.servers.values().any(|server| server.registration.service == spec.name);
            for registration in self.registry.of_service(&spec.name) {
                let closes_at_ms = self.evacuation_closes_at_ms(&registration.data_centre);
                let is_new = !self.servers.contains_key(&registration.incarnation);
                let server =
                    self.servers.entry(registration.incarnation.clone()).or_insert_with(|| {
                        let clock = self.shared.clock;
                        Arc::new(Server::new(registration, spec.max_connections, daemons, clock))
                    });
                server.set_cold_limit(cold_limit, warmup_ms);
                server.set_slow_start(has_slow_start, daemons);
                if is_new && is_in_traffic {
                    server.start_slowly();
                }
                server.on_cold(registration.warm_at_ms.saturating_sub(now_ms));
                server.set_evacuated(closes_at_ms.is_some());
                match (registration.stage, closes_at_ms) {
                    (Stage::Ready, None) => server.reopen(),
                    // A server that registers during an evacuation gets no work.
                    (_, Some(_)) if is_new => server.close_in(0),
                    // Other servers can run the requests of a pool.
                    (Stage::Ready, Some(_)) if has_others && !spec.is_keyed => server.close_in(0),
                    (Stage::Ready, Some(at_ms)) => server.close_at(at_ms),
                    (Stage::Draining, None) => server.close_in(close_delay_ms),
                    (Stage::Draining, Some(at_ms)) => {
                        server.close_in(close_delay_ms);
                        server.close_at(at_ms);
                    }
                }
            }
        }
        let registry = &self.registry;
        self.servers.retain(|incarnation, server| {
            if registry.get(incarnation).is_none() {
                server.close_in(close_delay_ms);
            }
            registry.get(incarnation).is_some() || server.is_open()
        });
    }
}

/// Returns how many requests a cold server of a service gets; `None` if that is not limited.
fn cold_limit(settings: &Settings, spec: &ServiceSpec) -> Option<ColdLimit> {
    let tolerated = Rate::from_milli_per_s(spec.warmup?.tolerated_milli_per_s?);
    let overage_milli = settings.warmup_overage_milli.unwrap_or(NO_OVERAGE_MILLI);
    Some(ColdLimit::new(tolerated, overage_milli, settings.warmup_slack.unwrap_or(0)))
}

/// Returns whether servers of a service start slowly: it has warm-ups, but names no rate.
fn has_slow_start(settings: &Settings, spec: &ServiceSpec) -> bool {
    let has_bounds = settings.warmup_overage_milli.is_some() || settings.warmup_slack.is_some();
    spec.warmup.map_or(has_bounds, |warmup| warmup.tolerated_milli_per_s.is_none())
}

/// Returns whether requests can be served: a keyed service needs an owner for some key, other
/// services need nothing.
fn is_served(service: &ServiceView) -> bool {
    let has_owner = |span: &Span| matches!(span.owner, Owner::Server(_));
    if service.is_keyed { service.table.spans.iter().any(has_owner) } else { true }
}
