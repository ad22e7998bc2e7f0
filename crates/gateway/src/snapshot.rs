//! How a daemon's beliefs become what requests are routed by.

use std::sync::Arc;

use document::HashMap;
use registry::{Incarnation, Stage};
use route::Budget;
use shard::{Owner, Span};
use site::Site;
use store::Store;

use crate::budget;
use crate::node::Node;
use crate::report::ServiceState;
use crate::server::Server;
use crate::view::ServiceView;
use crate::{Orders, Source, View};

/// A server that leaves gets work for this part of the drain, in percent, from the time on
/// that it is known here. The rest covers how late that is, and the way there.
const DRAIN_USED_PERCENT: u64 = 20;

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Builds what requests are routed by from what is believed now.
    pub(crate) fn replace_view(&mut self) {
        self.is_view_old = false;
        let Some(site) = self.site.clone() else { return };
        self.update_servers(&site);
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX);
        let most_retries = budget::most_retries(self.settings.retries, daemons);
        let mut services = HashMap::default();
        for spec in site.services() {
            let state = Arc::clone(self.states.entry(spec.name.clone()).or_insert_with(|| {
                let earned = budget::earned_milli(self.settings.retries);
                Arc::new(ServiceState::new(spec.name.clone(), Budget::new(earned, most_retries)))
            }));
            state.budget.set_max_retries(most_retries);
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
                table_at_ms: self.shared.clock.now_ms(),
            };
            services.insert(spec.name.clone(), Arc::new(view));
        }
        let is_complete = services.values().all(|service| is_served(service));
        if is_complete && !self.registry.is_empty() {
            self.shared.set_ready(true);
        }
        let tables_from = (self.tables_from.0.0, self.tables_from.1);
        self.shared.replace(View { site: Some(site), tables_from, services });
    }

    /// Meets new servers, and closes those that leave or are gone.
    fn update_servers(&mut self, site: &Site) {
        let daemons = u32::try_from(self.daemons.len()).unwrap_or(u32::MAX).max(1);
        let last_work_ms = self.settings.drain_ms * DRAIN_USED_PERCENT / 100;
        for spec in site.services() {
            for registration in self.registry.of_service(&spec.name) {
                let server =
                    self.servers.entry(registration.incarnation.clone()).or_insert_with(|| {
                        let clock = self.shared.clock;
                        Arc::new(Server::new(registration, spec.max_connections, daemons, clock))
                    });
                match registration.stage {
                    Stage::Ready => server.reopen(),
                    Stage::Draining => server.close_in(last_work_ms),
                }
            }
        }
        let registry = &self.registry;
        self.servers.retain(|incarnation, server| {
            if registry.get(incarnation).is_none() {
                server.close_in(last_work_ms);
            }
            registry.get(incarnation).is_some() || server.is_open()
        });
    }
}

/// Returns whether a service has servers, or owners where they hold keys.
fn is_served(service: &ServiceView) -> bool {
    let has_owner = |span: &Span| matches!(span.owner, Owner::Server(_));
    if service.is_keyed { service.table.spans.iter().any(has_owner) } else { true }
}
