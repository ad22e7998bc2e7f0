//! Sends servers' entries to other daemons and handles such messages.

use document::{Name, Revision};
use peer::{FleetBody, FleetFrame, Servers};
use registry::Registration;
use store::Store;

use crate::control::node::Node;
use crate::control::relay::{
    HEARTBEAT_INTERVAL_MS, MessageAction, MessageHeader, READ_VALID_MS, Role,
};
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Sets this daemon's role from the daemons known now.
    pub(crate) fn choose_role(&mut self) {
        let data_centre = &self.settings.data_centre;
        let neighbours =
            self.daemons.iter().filter(|(_, daemon)| daemon.data_centre == *data_centre);
        let neighbours = neighbours.map(|(name, _)| name.clone()).collect();
        let role = Role::of(&self.settings.instance, neighbours);
        let known = std::mem::replace(&mut self.role, role);
        let (Role::Reads { tells }, known) = (&self.role, known) else { return };
        let is_new =
            |name: &&Name| !matches!(&known, Role::Reads { tells } if tells.contains(name));
        let joined: Vec<Name> = tells.iter().filter(is_new).cloned().collect();
        self.send_all_servers(&joined);
    }

    /// Returns the daemons to which this one passes messages on.
    pub(crate) fn group_to_tell(&self) -> Vec<Name> {
        match &self.role {
            Role::Reads { tells } => tells.clone(),
            Role::Hears { .. } => Vec::new(),
        }
    }

    /// Starts or stops reading entries, and sends heartbeats to the group.
    pub(crate) fn update_relay(&mut self, now_ms: u64) {
        let role = self.is_fleet_known.then_some(&self.role);
        let awaits_reader = self.relay.awaits_reader(now_ms, self.store_reached_at_ms, role);
        let has_reader = self.relay.has_live_reader(now_ms, &self.role);
        // A leader must not depend on another daemon for entries.
        let needs_entries = self.leading.is_some() || !(has_reader || awaits_reader);
        let is_changed = self
            .needs_entries
            .send_if_modified(|known| std::mem::replace(known, needs_entries) != needs_entries);
        let needs_fleet = needs_entries || !self.is_fleet_known || !self.is_fleet_relayed;
        self.needs_fleet
            .send_if_modified(|known| std::mem::replace(known, needs_fleet) != needs_fleet);
        if is_changed {
            // Earlier reads say nothing about the current entries.
            self.entries_read_at_ms = None;
            let revision = self.entries_revision.0;
            spdlog::info!("servers' entries", kv: { read_here = needs_entries, role:? = self.role, revision });
        }
        self.update_operators_watch(now_ms);
        if !self.is_read_valid(now_ms) {
            self.send_reader_stopped();
        } else if now_ms >= self.heartbeat_at_ms {
            self.send_server_changes();
        }
    }

    /// Returns whether the entries read here are recent enough to relay.
    fn is_read_valid(&self, now_ms: u64) -> bool {
        let read_at_ms = self.entries_read_at_ms;
        read_at_ms.is_some_and(|at_ms| now_ms < at_ms + READ_VALID_MS) && !self.shared.is_stopping()
    }

    /// Tells the group once that this daemon no longer reads entries for it.
    fn send_reader_stopped(&mut self) {
        let Role::Reads { tells } = &self.role else { return };
        if !std::mem::take(&mut self.is_relaying) {
            return;
        }
        let tells = tells.clone();
        spdlog::info!("servers' entries no longer told", kv: { revision = self.entries_revision.0 });
        let body =
            FleetBody::Servers(Servers { has_stopped_reading: true, ..self.empty_message(false) });
        self.send_to(&tells, &body);
    }

    /// Sends the changes since the last message to the group.
    pub(crate) fn send_server_changes(&mut self) {
        let Role::Reads { tells } = &self.role else {
            self.changed_servers.clear();
            self.changed_fleet.clear();
            return;
        };
        let tells = tells.clone();
        let now_ms = self.clock.now_ms();
        if !self.is_read_valid(now_ms) {
            return;
        }
        self.is_relaying = true;
        self.heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        self.relay_number += 1;
        let changed = std::mem::take(&mut self.changed_servers);
        let (listed, gone): (Vec<Name>, Vec<Name>) =
            changed.into_iter().partition(|name| self.registry.is_listed(name));
        let listed = listed.iter().filter_map(|name| self.to_relayed(name)).collect();
        let changed = std::mem::take(&mut self.changed_fleet);
        let fleet = changed.iter().filter_map(|key| self.fleet_entries.get(key).cloned());
        let fleet = fleet.chain(self.newest_operators_entry()).chain(self.era_entry()).collect();
        let body = FleetBody::Servers(Servers { listed, gone, fleet, ..self.empty_message(false) });
        self.send_to(&tells, &body);
    }

    /// Sends all servers to daemons that missed messages.
    pub(crate) fn send_all_servers(&mut self, to: &[Name]) {
        if to.is_empty() || !self.is_read_valid(self.clock.now_ms()) {
            return;
        }
        let listed = self.registry.listed().filter_map(|name| self.to_relayed(name)).collect();
        let fleet = self.fleet_entries.values().filter(|entry| entry.text.is_some());
        let fleet = fleet.cloned().chain(self.newest_operators_entry());
        let fleet = fleet.chain(self.era_entry()).collect();
        self.send_to(
            to,
            &FleetBody::Servers(Servers { listed, fleet, ..self.empty_message(true) }),
        );
    }

    pub(crate) fn send_to(&mut self, daemons: &[Name], body: &FleetBody) {
        let frame = FleetFrame { from: self.settings.instance.clone(), body: body.clone() };
        let bytes = frame.to_bytes();
        for daemon in daemons {
            if let Some(address) = self.address(daemon) {
                self.links.send(address, bytes.clone());
            }
        }
    }

    /// Returns a message without servers.
    fn empty_message(&self, is_whole: bool) -> Servers {
        Servers {
            number: self.relay_number,
            revision: self.entries_revision,
            is_whole,
            grace_left_ms: self.registry.grace_left_ms(self.clock.now_ms()),
            fleet_revision: self.fleet_revision,
            ..Servers::default()
        }
    }

    /// Returns a listed server's last report for sending, with `warm_at_ms` as a remaining time.
    fn to_relayed(&self, server: &Name) -> Option<Registration> {
        let report = self.registry.last_report(server)?;
        let warm_at_ms = report.warm_at_ms.saturating_sub(self.clock.now_ms());
        Some(Registration { warm_at_ms, ..report })
    }

    /// Handles a message about servers from another daemon.
    pub(crate) fn on_servers_message(&mut self, from: &Name, mut servers: Servers) {
        let now_ms = self.clock.now_ms();
        if !self.take_era_entry(&mut servers.fleet) {
            return;
        }
        self.take_newest_operators_entry(from, &mut servers.fleet);
        let Servers { number, revision, is_whole, has_stopped_reading, .. } = servers;
        let header = MessageHeader { from, number, revision, is_whole, has_stopped_reading };
        if self.leading.is_some() {
            return;
        }
        match self.relay.on_message(now_ms, &self.role, header, self.entries_revision) {
            MessageAction::Ignore => {}
            MessageAction::RequestAll => {
                if let Some(address) = self.address(from) {
                    self.send(address, FleetBody::ServersRequest);
                }
            }
            MessageAction::Apply => self.apply_servers(now_ms, servers),
        }
    }

    fn apply_servers(&mut self, now_ms: u64, servers: Servers) {
        let revision = servers.revision;
        self.entries_revision = revision;
        self.registry.extend_grace(now_ms, servers.grace_left_ms);
        if servers.is_whole {
            let names: Vec<Name> =
                servers.listed.iter().map(|listed| listed.incarnation.server.clone()).collect();
            self.keep_only_listed(now_ms, &names, revision);
        }
        for listed in servers.listed {
            let warm_at_ms = now_ms.saturating_add(listed.warm_at_ms);
            self.put_server(now_ms, Registration { warm_at_ms, ..listed }, revision);
        }
        for name in servers.gone {
            self.remove_server(now_ms, &name, revision);
        }
        if servers.is_whole {
            let listed = servers.fleet.iter().map(|entry| entry.key.as_str());
            self.keep_only_fleet(listed, servers.fleet_revision);
        }
        if servers.is_whole || !servers.fleet.is_empty() {
            self.on_fleet_entries(servers.fleet, servers.fleet_revision);
        }
        self.fleet_revision = self.fleet_revision.max(servers.fleet_revision);
        // Earlier versions do not relay these entries.
        self.is_fleet_relayed = servers.fleet_revision > Revision(0);
    }
}
