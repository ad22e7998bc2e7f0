//! Servers that say in their answers that they are leaving.
//!
//! Such a server gets no new work from a daemon whether or not its entry says so. The leader moves
//! its keys, and tells the other daemons.

use document::Name;
use peer::{FleetBody, Leaving};
use registry::{Change, Incarnation};
use shard::Event;
use store::Store;

use crate::control::node::Node;
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles servers that have told this daemon that they are leaving, and tells the leader.
    pub(crate) fn report_leaving_servers(&mut self) {
        let servers = self.shared.take_leaving();
        let new = self.mark_leaving(servers.into_iter().collect());
        if new.is_empty() {
            return;
        }
        if self.leading.is_some() {
            self.tell_leaving(new);
        } else if let Some(leader) = self.leader.as_ref().and_then(|(name, _)| self.address(name)) {
            let leaving = Leaving { servers: new, is_relayed: false };
            self.send(leader, FleetBody::Leaving(leaving));
        }
    }

    /// Handles servers that told another daemon that they are leaving.
    pub(crate) fn on_leaving(&mut self, leaving: Leaving) {
        let new = self.mark_leaving(leaving.servers);
        if new.is_empty() || leaving.is_relayed {
            return;
        }
        self.tell_leaving(new);
        self.step(Event::Tick);
    }

    /// Tells the groups of daemons as the leader, and the own group as its first daemon.
    fn tell_leaving(&mut self, servers: Vec<Incarnation>) {
        let mut recipients: Vec<Name> = self.group_to_tell();
        let is_relayed = self.leading.is_none();
        if !is_relayed {
            recipients.extend(self.first_of_groups());
        }
        self.send_to(&recipients, &FleetBody::Leaving(Leaving { servers, is_relayed }));
    }

    /// Marks servers as leaving and returns those that were not marked before.
    fn mark_leaving(&mut self, servers: Vec<Incarnation>) -> Vec<Incarnation> {
        let mut new = Vec::new();
        for server in servers {
            if self.registry.mark_leaving(&server) == Change::Nothing {
                continue;
            }
            spdlog::info!("server says that it is leaving", kv: { server: = server });
            self.changed_servers.insert(server.server.clone());
            self.are_servers_stale = true;
            new.push(server);
        }
        new
    }
}
