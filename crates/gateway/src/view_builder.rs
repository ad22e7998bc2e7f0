//! Builds the view by which requests are routed.

use std::sync::Arc;

use document::HashMap;
use registry::{Incarnation, Stage};
use route::Budget;
use shard::{Owner, Span};
use site::Site;
use store::Store;

use crate::node::Node;
use crate::report::ServiceState;
use crate::retry_budget;
use crate::server::Server;
use crate::view::ServiceView;
use crate::{Orders, Source, View};

/// The percentage of the drain time for which a leaving server still gets work, from the time
/// at which this daemon notices.
///
/// The rest covers the delay until it notices and the time that requests are under way.
const DRAIN_WORK_PERCENT: u64 = 20;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Replaces the view with one built from the current state.
    pub(crate) fn replace_view(&mut self) {
        self.is_view_stale = false;
        let Some(site) = self.site.clone() else { return };
        self.update_servers(&site);
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
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
            let pool =
                usable.filter_map(|usable| servers.get(&usable.incarnation).cloned()).collect();
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
        let is_complete = services.values().all(|service| is_served(service));
        if is_complete && !self.registry.is_empty() {
            self.shared.set_ready(true);
        }
        let tables_version =
            self.tables_version.map_or((0, 0), |(epoch, number)| (epoch.0, number));
        self.shared.replace_view(View { site: Some(site), tables_version, services });
    }

    /// Adds new servers and closes those that are leaving or gone.
    fn update_servers(&mut self, site: &Site) {
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX).max(1);
        let close_delay_ms = self.settings.drain_ms * DRAIN_WORK_PERCENT / 100;
        for spec in site.services() {
            for registration in self.registry.of_service(&spec.name) {
                let server =
                    self.servers.entry(registration.incarnation.clone()).or_insert_with(|| {
                        let clock = self.shared.clock;
                        Arc::new(Server::new(registration, spec.max_connections, daemons, clock))
                    });
                match registration.stage {
                    Stage::Ready => server.reopen(),
                    Stage::Draining => server.close_in(close_delay_ms),
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

/// Returns whether requests can be served: a keyed service needs an owner for some key, other
/// services need nothing.
fn is_served(service: &ServiceView) -> bool {
    let has_owner = |span: &Span| matches!(span.owner, Owner::Server(_));
    if service.is_keyed { service.table.spans.iter().any(has_owner) } else { true }
}
