//! The live instances and their addresses for packets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control::Instance;
use document::{Name, Revision};
use peer::Presence;
use serde::{Deserialize, Serialize};
use store::Entry;

use crate::Settings;

/// The known instances.
///
/// An instance is live if the settings name it, if it has an entry in the store, or if its last
/// presence message is recent.
#[derive(Debug)]
pub(crate) struct Members {
    own_name: Name,
    members: BTreeMap<Name, Member>,
}

/// A known instance.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) data_centre: Name,
    pub(crate) address: SocketAddr,
    /// The revision of each document in force on the instance, by service.
    pub(crate) in_force: BTreeMap<Name, Revision>,
    /// Whether the instance has an entry in the store.
    is_listed: bool,
    /// Whether the settings name the instance.
    is_static: bool,
    /// The time until which the instance counts as live because of its last presence message.
    presence_deadline_ms: u64,
}

/// The entry of an instance in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct InstanceEntry {
    pub(crate) data_centre: Name,
    pub(crate) address: SocketAddr,
}

/// How long an instance counts as live after its last presence message.
const PRESENCE_TIMEOUT_MS: u64 = 10_000;

impl Members {
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut members = BTreeMap::new();
        for peer in &settings.peers {
            members.insert(peer.name.clone(), Member::new(&peer.data_centre, peer.address, true));
        }
        let own_member = Member::new(&settings.data_centre, settings.listen.peer, true);
        members.insert(settings.instance.clone(), own_member);
        Self { own_name: settings.instance.clone(), members }
    }

    /// Returns the live instances, this one included.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_live(now_ms))
    }

    /// Returns the live instances in the form that the control state machines expect.
    pub(crate) fn instances(&self, now_ms: u64) -> Vec<Instance> {
        self.live(now_ms)
            .map(|(name, member)| Instance {
                name: name.clone(),
                data_centre: member.data_centre.clone(),
            })
            .collect()
    }

    /// Returns the address at which an instance receives packets, if the instance is known.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.address)
    }

    /// Handles a change of an instance's entry in the store.
    ///
    /// An instance can be live before its entry appears in the store or after it is removed.
    pub(crate) fn on_entry_change(&mut self, entry: &Entry) {
        let Some(name) = entry.key.rsplit('/').next().map(Name::from) else { return };
        if name == self.own_name {
            return;
        }
        let listed = entry.text.as_deref().and_then(|text| {
            // An unreadable entry counts as a missing one.
            serde_json::from_str::<InstanceEntry>(text).ok()
        });
        match (listed, self.members.get_mut(&name)) {
            (Some(listed), Some(member)) => {
                member.address = listed.address;
                member.data_centre = listed.data_centre;
                member.is_listed = true;
            }
            (Some(listed), None) => {
                let mut member = Member::new(&listed.data_centre, listed.address, false);
                member.is_listed = true;
                self.members.insert(name, member);
            }
            (None, Some(member)) => member.is_listed = false,
            (None, None) => {}
        }
    }

    /// Handles a presence message of another instance.
    pub(crate) fn on_presence(&mut self, now_ms: u64, from: &Name, presence: &Presence) {
        if *from == self.own_name {
            return;
        }
        let member = self
            .members
            .entry(from.clone())
            .or_insert_with(|| Member::new(&presence.data_centre, presence.address, false));
        member.data_centre = presence.data_centre.clone();
        member.address = presence.address;
        member.presence_deadline_ms = now_ms + PRESENCE_TIMEOUT_MS;
        member.in_force = presence.in_force.iter().cloned().collect();
    }

    /// Sets the documents that are in force on this instance.
    pub(crate) fn set_own_documents(&mut self, in_force: BTreeMap<Name, Revision>) {
        if let Some(member) = self.members.get_mut(&self.own_name) {
            member.in_force = in_force;
        }
    }
}

impl Member {
    fn new(data_centre: &Name, address: SocketAddr, is_static: bool) -> Self {
        Self {
            data_centre: data_centre.clone(),
            address,
            in_force: BTreeMap::new(),
            is_listed: false,
            is_static,
            presence_deadline_ms: 0,
        }
    }

    fn is_live(&self, now_ms: u64) -> bool {
        self.is_listed || self.is_static || now_ms < self.presence_deadline_ms
    }
}
