//! The servers of a service.

use std::net::SocketAddr;

use crate::{Form, Name, Result, Section, form};

/// One upstream, as the operators describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The name, unique in the document.
    pub name: Name,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The building it stands in.
    pub data_centre: Name,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub max_connections: u32,
    /// Which key groups it may hold; empty for all of them.
    pub key_groups: Vec<Name>,
    /// Whether the operators want work on it.
    pub state: ServerState,
    /// Whether it refuses requests with a stale fence epoch.
    pub checks_fence: bool,
}

/// What the operators want of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes work.
    Serving,
    /// It takes work, after it has been prepared.
    Arriving,
    /// It gives up its work and gets no more.
    Leaving,
}

const STATE: Form<ServerState> =
    Form { read: read_state, expected: "serving, arriving or leaving" };

const NAMES: Form<Vec<Name>> =
    Form { read: read_names, expected: "names with commas between them" };

const DEFAULT_SLOTS: u32 = 4;
const DEFAULT_CONNECTIONS: u32 = 64;
const KEYS: &str = "address, data_centre, slots, connections, key_groups, state, checks_fence";

impl Server {
    /// Returns whether new work may be placed on the server.
    #[must_use]
    pub fn accepts_new_work(&self) -> bool {
        self.state != ServerState::Leaving
    }

    /// Returns whether the operators let the server hold a key group.
    #[must_use]
    pub fn may_hold(&self, group: &Name) -> bool {
        self.key_groups.is_empty() || self.key_groups.contains(group)
    }

    pub(crate) fn from_section(name: Name, mut section: Section) -> Result<Self> {
        let server = Self {
            name,
            address: section.required("address", &form::ADDRESS)?,
            data_centre: section.required("data_centre", &form::TEXT)?,
            slots: section.optional("slots", &form::COUNT)?.unwrap_or(DEFAULT_SLOTS),
            max_connections: section
                .optional("connections", &form::COUNT)?
                .unwrap_or(DEFAULT_CONNECTIONS),
            key_groups: section.optional("key_groups", &NAMES)?.unwrap_or_default(),
            state: section.optional("state", &STATE)?.unwrap_or(ServerState::Serving),
            checks_fence: section.optional("checks_fence", &form::YES_NO)?.unwrap_or(true),
        };
        section.finish(KEYS)?;
        Ok(server)
    }
}

fn read_state(text: &str) -> Option<ServerState> {
    match text {
        "serving" => Some(ServerState::Serving),
        "arriving" => Some(ServerState::Arriving),
        "leaving" => Some(ServerState::Leaving),
        _ => None,
    }
}

fn read_names(text: &str) -> Option<Vec<Name>> {
    text.split(',')
        .map(|part| Some(part.trim()).filter(|part| !part.is_empty()).map(Name::from))
        .collect()
}
