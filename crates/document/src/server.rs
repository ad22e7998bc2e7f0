//! The servers of a service, as a document describes them.

use std::net::SocketAddr;

use crate::{Name, Result, Section, ValueFormat, value_format};

/// One server (upstream) of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// The server name, unique in the document.
    pub name: Name,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
    pub data_centre: Name,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How many connections the server accepts.
    pub max_connections: u32,
    /// The key groups that the server may hold; empty means all groups.
    pub key_groups: Vec<Name>,
    /// The state that the operators want the server to be in.
    pub state: ServerState,
    /// Whether the server refuses requests with a stale fence epoch.
    pub checks_fence: bool,
}

/// The state that the operators want a server to be in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The server takes work.
    Serving,
    /// The server is being added; it takes work like one that is `Serving`.
    Arriving,
    /// The server hands over its shards and gets no new work.
    Leaving,
}

const SERVER_STATE: ValueFormat<ServerState> =
    ValueFormat { parse: parse_state, expected: "serving, arriving or leaving" };

const KEY_GROUP_NAMES: ValueFormat<Vec<Name>> =
    ValueFormat { parse: parse_names, expected: "names with commas between them" };

const DEFAULT_SLOTS: u32 = 4;
const DEFAULT_MAX_CONNECTIONS: u32 = 64;
const SECTION_KEYS: &str =
    "address, data_centre, slots, connections, key_groups, state, checks_fence";

impl Server {
    /// Returns whether the server may be given new work.
    #[must_use]
    pub fn accepts_new_work(&self) -> bool {
        self.state != ServerState::Leaving
    }

    /// Returns whether the server is allowed to hold a key group.
    #[must_use]
    pub fn may_hold(&self, group: &Name) -> bool {
        self.key_groups.is_empty() || self.key_groups.contains(group)
    }

    pub(crate) fn from_section(name: Name, mut section: Section) -> Result<Self> {
        let server = Self {
            name,
            address: section.required("address", &value_format::ADDRESS)?,
            data_centre: section.required("data_centre", &value_format::TEXT)?,
            slots: section.optional("slots", &value_format::COUNT)?.unwrap_or(DEFAULT_SLOTS),
            max_connections: section
                .optional("connections", &value_format::COUNT)?
                .unwrap_or(DEFAULT_MAX_CONNECTIONS),
            key_groups: section.optional("key_groups", &KEY_GROUP_NAMES)?.unwrap_or_default(),
            state: section.optional("state", &SERVER_STATE)?.unwrap_or(ServerState::Serving),
            checks_fence: section.optional("checks_fence", &value_format::YES_NO)?.unwrap_or(true),
        };
        section.finish(SECTION_KEYS)?;
        Ok(server)
    }
}

fn parse_state(text: &str) -> Option<ServerState> {
    match text {
        "serving" => Some(ServerState::Serving),
        "arriving" => Some(ServerState::Arriving),
        "leaving" => Some(ServerState::Leaving),
        _ => None,
    }
}

fn parse_names(text: &str) -> Option<Vec<Name>> {
    text.split(',')
        .map(|part| Some(part.trim()).filter(|part| !part.is_empty()).map(Name::from))
        .collect()
}
