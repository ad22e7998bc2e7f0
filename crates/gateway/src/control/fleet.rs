//! The daemons and their leader, and messages to them.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{HashSet, Name, Revision};
use peer::{FleetBody, FleetEntry, FleetFrame};
use store::{Expect, Store};

use crate::control::follow::{DAEMONS_PREFIX, DaemonEntry, LEADER_KEY};
use crate::control::node::Node;
use crate::leader::distribution::first_of_groups;
use crate::leader::election::{Campaign, to_epoch};
use crate::{Orders, Source};

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Handles entries of daemons and of the leader that are known up to a revision.
    pub(crate) fn on_fleet_entries(&mut self, entries: Vec<FleetEntry>, revision: Revision) {
        for entry in entries {
            let known = self.fleet_entries.get(&entry.key);
            // A relayed entry may be older than what was read here.
            if known.is_some_and(|known| known.revision >= entry.revision) {
                continue;
            }
            self.on_fleet_entry(&entry);
            self.changed_fleet.insert(entry.key.clone());
            self.fleet_entries.insert(entry.key.clone(), entry);
        }
        self.fleet_revision = self.fleet_revision.max(revision);
        self.close_unused_links();
        self.choose_role();
        self.campaign_if_needed();
    }

    /// Handles a complete list of these entries: those that it does not name were removed.
    pub(crate) fn keep_only_fleet<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a str>,
        revision: Revision,
    ) {
        let listed: HashSet<&str> = listed.collect();
        let own_key = format!("{DAEMONS_PREFIX}{}", self.settings.instance);
        if !listed.contains(own_key.as_str()) {
            self.on_own_entry_missing(revision);
        }
        let is_gone = |entry: &&FleetEntry| {
            entry.text.is_some()
                && entry.revision <= revision
                && !listed.contains(entry.key.as_str())
        };
        let gone = self.fleet_entries.values().filter(is_gone).cloned();
        let gone: Vec<FleetEntry> =
            gone.map(|entry| FleetEntry { text: None, revision, ..entry }).collect();
        for entry in gone {
            self.on_fleet_entry(&entry);
            self.changed_fleet.insert(entry.key.clone());
            self.fleet_entries.insert(entry.key.clone(), entry);
        }
    }

    /// Handles the entry of a daemon or of the leader.
    fn on_fleet_entry(&mut self, entry: &FleetEntry) {
        if entry.key.as_str() == LEADER_KEY {
            let name = entry.text.as_deref().and_then(|text| text.split(' ').next());
            self.leader = name.map(|name| (Name::from(name), entry.revision));
            return;
        }
        let Some(name) = entry.key.strip_prefix(DAEMONS_PREFIX).map(Name::from) else { return };
        match entry.text.as_deref().map(serde_json::from_str::<DaemonEntry>) {
            Some(Ok(daemon)) => {
                if self.daemons.insert(name.clone(), daemon.clone()) != Some(daemon) {
                    self.are_servers_stale = true;
                    self.on_tables_request(&name);
                }
            }
            Some(Err(error)) => {
                spdlog::warn!("invalid daemon entry in the store", kv: { daemon = name.as_str(), cause: = error });
            }
            None => {
                if name == self.settings.instance {
                    self.on_own_entry_missing(entry.revision);
                }
                self.daemons.remove(&name);
                self.are_servers_stale = true;
            }
        }
    }

    /// Has this daemon's entry written again if it is missing at a revision after its last write.
    ///
    /// A process that stops removes its entry itself.
    fn on_own_entry_missing(&self, revision: Revision) {
        if !self.shared.is_stopping() {
            self.entry_missing_since.send_if_modified(|known| {
                let is_newer = *known < revision;
                *known = revision.max(*known);
                is_newer
            });
        }
    }

    /// Closes connections to daemons that are gone.
    pub(crate) fn close_unused_links(&mut self) {
        let live: HashSet<SocketAddr> =
            self.daemons.values().map(|daemon| daemon.address).collect();
        self.links.retain(|address| live.contains(address));
    }

    /// Returns a campaign to become the leader.
    pub(crate) fn campaign(&self) -> Campaign<S> {
        Campaign {
            store: self.store.clone(),
            instance: self.settings.instance.clone(),
            min_lease_ms: self.settings.min_lease_ms,
            expected_leader: self
                .leader
                .as_ref()
                .map_or(Expect::Missing, |(_, revision)| Expect::At(*revision)),
            counters: Arc::clone(&self.shared.counters),
            inputs: self.inputs.clone(),
            clock: self.clock,
            era: self.era,
        }
    }

    /// Campaigns in its turn while there is no leader.
    pub(crate) fn campaign_if_needed(&mut self) {
        // An entry of this instance is left from an earlier process or epoch. No other daemon
        // acts under it, so its lease need not expire first.
        let resigned_epoch = self.resigned.as_ref().map(|resigned| resigned.epoch);
        let has_other_leader = self.leader.as_ref().is_some_and(|(leader, revision)| {
            *leader != self.settings.instance
                && Some(to_epoch(self.era, *revision)) != resigned_epoch
        });
        let is_needed = self.is_fleet_known && !has_other_leader && self.leading.is_none();
        let can_campaign = self.store_answers && !self.is_campaigning && !self.shared.is_stopping();
        if !(is_needed && can_campaign) {
            self.no_leader_since_ms = None;
            if has_other_leader {
                self.failed_campaigns = 0;
            }
            return;
        }
        let now_ms = self.clock.now_ms();
        let since_ms = *self.no_leader_since_ms.get_or_insert(now_ms);
        // The turn may change while daemons come and go.
        if now_ms >= since_ms + self.campaign_wait_ms() {
            self.no_leader_since_ms = None;
            self.is_campaigning = true;
            tokio::spawn(self.campaign().run());
        }
    }

    /// Returns the address for messages to another daemon.
    pub(crate) fn address(&self, daemon: &Name) -> Option<SocketAddr> {
        self.daemons.get(daemon).map(|daemon| daemon.address)
    }

    /// Returns the first daemon of each group, without this one.
    pub(crate) fn first_of_groups(&self) -> Vec<Name> {
        let daemons = self.daemons.iter();
        let daemons = daemons.map(|(name, daemon)| (name.clone(), daemon.data_centre.clone()));
        let first = first_of_groups(daemons).into_iter();
        first.filter(|name| *name != self.settings.instance).collect()
    }

    /// Sends a message to one daemon.
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
}
