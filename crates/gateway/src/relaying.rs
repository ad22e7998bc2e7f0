//! How a daemon tells others of the servers' entries, and hears of them.

use document::Name;
use peer::{FleetBody, Servers};
use registry::Registration;
use store::Store;

use crate::node::Node;
use crate::relay::{BEAT_MS, Header, Heard, Role, VOUCHED_MS};
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Finds what this daemon does about the servers' entries, among the daemons known now.
    pub(crate) fn choose_role(&mut self) {
        let here = &self.settings.data_centre;
        let neighbours = self.daemons.iter().filter(|(_, daemon)| daemon.data_centre == *here);
        let neighbours = neighbours.map(|(name, _)| name.clone()).collect();
        self.role = Role::of(&self.settings.instance, neighbours);
    }

    /// Reads the servers' entries, or stops, and tells the others that this daemon lives.
    pub(crate) fn keep_relaying(&mut self, now_ms: u64) {
        // A leader decides by entries and must not wait for another daemon; whoever was cut
        // off looks for itself first.
        let needs_entries =
            self.leading.is_some() || self.is_list_old || !self.relay.is_told(now_ms, &self.role);
        let is_changed = self
            .needs_entries
            .send_if_modified(|known| std::mem::replace(known, needs_entries) != needs_entries);
        if is_changed {
            // What was read before it stopped says nothing of now.
            self.entries_read_at_ms = None;
            let revision = self.entries_at.0;
            spdlog::info!("servers' entries", kv: { read_here = needs_entries, role:? = self.role, revision });
        }
        if !self.is_vouched(now_ms) {
            self.tell_end();
        } else if now_ms >= self.beat_at_ms {
            self.tell_servers();
        }
    }

    /// Returns whether what this daemon read of the entries is still true.
    fn is_vouched(&self, now_ms: u64) -> bool {
        let read_at_ms = self.entries_read_at_ms;
        read_at_ms.is_some_and(|at_ms| now_ms < at_ms + VOUCHED_MS) && !self.shared.is_stopping()
    }

    /// Tells the daemons of this group once that they have to read by themselves.
    fn tell_end(&mut self) {
        let Role::Reads { tells } = &self.role else { return };
        if !std::mem::take(&mut self.is_telling) {
            return;
        }
        let tells = tells.clone();
        spdlog::info!("servers' entries no longer told", kv: { revision = self.entries_at.0 });
        let body = FleetBody::Servers(Servers { is_over: true, ..self.message(false) });
        self.send_each(&tells, &body);
    }

    /// Tells the daemons of this group what changed since the last message.
    pub(crate) fn tell_servers(&mut self) {
        let Role::Reads { tells } = &self.role else {
            self.changed_servers.clear();
            return;
        };
        let tells = tells.clone();
        let now_ms = self.clock.now_ms();
        if !self.is_vouched(now_ms) {
            return;
        }
        self.is_telling = true;
        self.beat_at_ms = now_ms + BEAT_MS;
        self.told_number += 1;
        let changed = std::mem::take(&mut self.changed_servers);
        let (listed, gone): (Vec<Name>, Vec<Name>) =
            changed.into_iter().partition(|name| self.registry.is_listed(name));
        let listed = listed.iter().filter_map(|name| self.to_sent(name)).collect();
        let body = FleetBody::Servers(Servers { listed, gone, ..self.message(false) });
        self.send_each(&tells, &body);
    }

    /// Sends all servers to a daemon that missed something.
    pub(crate) fn tell_all_servers(&mut self, to: &Name) {
        let Some(address) = self.address(to) else { return };
        if !self.is_vouched(self.clock.now_ms()) {
            return;
        }
        let listed = self.registry.listed().filter_map(|name| self.to_sent(name)).collect();
        self.send(address, FleetBody::Servers(Servers { listed, ..self.message(true) }));
    }

    fn send_each(&mut self, daemons: &[Name], body: &FleetBody) {
        for daemon in daemons {
            if let Some(address) = self.address(daemon) {
                self.send(address, body.clone());
            }
        }
    }

    /// Returns a message without servers.
    fn message(&self, is_whole: bool) -> Servers {
        Servers {
            number: self.told_number,
            revision: self.entries_at,
            is_whole,
            lapse_left_ms: self.registry.grace_left_ms(self.clock.now_ms()),
            ..Servers::default()
        }
    }

    /// Returns what a listed server last said of itself, with times as lengths.
    fn to_sent(&self, server: &Name) -> Option<Registration> {
        let report = self.registry.last_report(server)?;
        let cold_until_ms = report.cold_until_ms.saturating_sub(self.clock.now_ms());
        Some(Registration { cold_until_ms, ..report })
    }

    /// Takes what another daemon tells of the servers.
    pub(crate) fn hear_servers(&mut self, from: &Name, servers: Servers) {
        let now_ms = self.clock.now_ms();
        let Servers { number, revision, is_whole, is_over, .. } = servers;
        let header = Header { from, number, revision, is_whole, is_over };
        if self.leading.is_some() {
            return;
        }
        match self.relay.hear(now_ms, &self.role, header, self.entries_at) {
            Heard::Nothing => {}
            Heard::Lacks => {
                if let Some(address) = self.address(from) {
                    self.send(address, FleetBody::ServersWanted);
                }
            }
            Heard::Applies => self.apply_servers(now_ms, servers),
        }
    }

    fn apply_servers(&mut self, now_ms: u64, servers: Servers) {
        let revision = servers.revision;
        self.entries_at = revision;
        self.registry.extend_grace(now_ms, servers.lapse_left_ms);
        if servers.is_whole {
            let names: Vec<Name> =
                servers.listed.iter().map(|listed| listed.incarnation.server.clone()).collect();
            self.keep_only(now_ms, &names, revision);
        }
        for listed in servers.listed {
            let cold_until_ms = now_ms + listed.cold_until_ms;
            self.put_server(now_ms, Registration { cold_until_ms, ..listed }, revision);
        }
        for name in servers.gone {
            self.remove_server(now_ms, &name, revision);
        }
    }
}
