//! Which instances are live, and where they take packets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control::Instance;
use document::{Name, Revision};
use peer::Presence;
use serde::{Deserialize, Serialize};
use store::Entry;

use crate::Settings;

/// The live instances, by the platform's list, by settings and by what they say themselves.
#[derive(Debug)]
pub(crate) struct Members {
    me: Name,
    members: BTreeMap<Name, Member>,
}

/// One instance.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) data_centre: Name,
    pub(crate) address: SocketAddr,
    pub(crate) in_force: BTreeMap<Name, Revision>,
    is_listed: bool,
    is_static: bool,
    heard_until_ms: u64,
}

/// An instance's entry in the platform's service.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Listing {
    pub(crate) data_centre: Name,
    pub(crate) address: SocketAddr,
}

/// How long an instance counts as live after its last packet.
const HEARD_MS: u64 = 10_000;

impl Members {
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut members = BTreeMap::new();
        for peer in &settings.peers {
            members.insert(peer.name.clone(), Member::new(&peer.data_centre, peer.address, true));
        }
        let me = Member::new(&settings.data_centre, settings.listen.peer, true);
        members.insert(settings.instance.clone(), me);
        Self { me: settings.instance.clone(), members }
    }

    /// Returns the live instances, this one included.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_live(now_ms))
    }

    pub(crate) fn instances(&self, now_ms: u64) -> Vec<Instance> {
        self.live(now_ms)
            .map(|(name, member)| Instance {
                name: name.clone(),
                data_centre: member.data_centre.clone(),
            })
            .collect()
    }

    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name).map(|member| member.address)
    }

    /// Notes a change of the platform's list, which lags.
    pub(crate) fn note_entry(&mut self, entry: &Entry) {
        let Some(name) = entry.key.rsplit('/').next().map(Name::from) else { return };
        if name == self.me {
            return;
        }
        let listing = entry.text.as_deref().and_then(|text| {
            // An entry that cannot be read is as good as none.
            serde_json::from_str::<Listing>(text).ok()
        });
        match (listing, self.members.get_mut(&name)) {
            (Some(listing), Some(member)) => {
                member.address = listing.address;
                member.data_centre = listing.data_centre;
                member.is_listed = true;
            }
            (Some(listing), None) => {
                let mut member = Member::new(&listing.data_centre, listing.address, false);
                member.is_listed = true;
                self.members.insert(name, member);
            }
            (None, Some(member)) => member.is_listed = false,
            (None, None) => {}
        }
    }

    /// Notes what an instance says of itself.
    pub(crate) fn note_presence(&mut self, now_ms: u64, from: &Name, presence: &Presence) {
        if *from == self.me {
            return;
        }
        let member = self
            .members
            .entry(from.clone())
            .or_insert_with(|| Member::new(&presence.data_centre, presence.address, false));
        member.data_centre = presence.data_centre.clone();
        member.address = presence.address;
        member.heard_until_ms = now_ms + HEARD_MS;
        member.in_force = presence.in_force.iter().cloned().collect();
    }

    pub(crate) fn note_own(&mut self, in_force: BTreeMap<Name, Revision>) {
        if let Some(member) = self.members.get_mut(&self.me) {
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
            heard_until_ms: 0,
        }
    }

    fn is_live(&self, now_ms: u64) -> bool {
        self.is_listed || self.is_static || now_ms < self.heard_until_ms
    }
}
