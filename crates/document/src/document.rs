//! The document that describes one service.

use error_stack::Report;

use crate::class::Class;
use crate::key::{KEY_SOURCE, KeyGroup, KeySource, MAX_SHARDS};
use crate::{
    Category, Error, HashSet, Name, Result, Section, Sections, Server, ValueFormat, value_format,
};

/// The checked description of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// The service name; also the first segment of its request paths.
    pub name: Name,
    /// Whether the servers own keys.
    pub kind: ServiceKind,
    /// Where a request carries its key; always set for a keyed service.
    pub key: Option<KeySource>,
    /// The weights of the goals that placement trades off.
    pub weights: Weights,
    /// The placement policy.
    pub placement: PlacementPolicy,
    /// The length of grants and the limits on shard moves.
    pub timing: Timing,
    /// The key groups.
    pub key_groups: Vec<KeyGroup>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The request classes; the last one matches every request.
    pub classes: Vec<Class>,
}

/// Whether the servers of a service own keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Each key is owned by one server.
    Keyed,
    /// Any server can answer any request.
    Pooled,
}

/// How shards are assigned to servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Keeps current owners unless a server leaves or the load is uneven.
    Balanced,
    /// Rendezvous hashing, the baseline for comparisons.
    Rendezvous,
}

/// The weights of the three goals of placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The weight of unavailable time.
    pub unavailable: u32,
    /// The weight of moved shards.
    pub churn: u32,
    /// The weight of uneven load.
    pub imbalance: u32,
}

/// The length of grants and the limits on shard moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The length of a grant: how long a server keeps its keys without a renewal.
    pub grant_ms: u64,
    /// How long a move waits for its target to prepare; after that, the handover proceeds anyway.
    pub prepare_ms: u64,
    /// How many shards may be handed over at once.
    pub max_concurrent_moves: u32,
}

const SERVICE_KIND: ValueFormat<ServiceKind> =
    ValueFormat { parse: parse_kind, expected: "keyed or pooled" };
const PLACEMENT_POLICY: ValueFormat<PlacementPolicy> =
    ValueFormat { parse: parse_policy, expected: "balanced or rendezvous" };
const GRANT_DURATION: ValueFormat<u64> =
    ValueFormat { parse: parse_grant_ms, expected: "a duration from 1s to 1h" };
const CONCURRENT_MOVES: ValueFormat<u32> =
    ValueFormat { parse: parse_concurrent_moves, expected: "a whole number from 1" };

const DEFAULT_GRANT_MS: u64 = 1_500;
const MIN_GRANT_MS: u64 = 1_000;
const MAX_GRANT_MS: u64 = 3_600_000;
const DEFAULT_PREPARE_MS: u64 = 5_000;
const DEFAULT_MAX_CONCURRENT_MOVES: u32 = 32;
const SERVICE_KEYS: &str = "name, kind, key, placement, weight_unavailable, weight_churn, \
                            weight_imbalance, keep_when_cut_off, prepare, moves_at_once";
const SECTION_HEADERS: &str = "[service], [key-group NAME], [server NAME] or [class NAME]";

impl Document {
    /// Parses and checks a document; errors name `file`.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and what was expected: with [`Category::Syntax`] when
    /// the text is not INI, with [`Category::Structure`] when a section or key is unknown,
    /// missing or duplicated, with [`Category::Value`] when a value has a wrong format, and
    /// with [`Category::Consistency`] when a keyed service has no key source, two servers
    /// have one address, a server names an unknown key group, there are too many shards, or
    /// no server may hold a key group.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let mut sections = Sections::from_ini(file, text)?;
        let service = sections.take_required("service")?;
        let service_line = service.line();
        let mut document = Self::from_service(service)?;
        for (name, section) in sections.take_named("key-group") {
            document.key_groups.push(KeyGroup::from_section(name, section)?);
        }
        let mut server_lines = Vec::new();
        for (name, section) in sections.take_named("server") {
            server_lines.push(section.line());
            document.servers.push(Server::from_section(name, section)?);
        }
        for (name, section) in sections.take_named("class") {
            document.classes.push(Class::from_section(name, section)?);
        }
        sections.finish(SECTION_HEADERS)?;
        document.add_defaults();
        document.check_consistency(file, service_line, &server_lines)?;
        Ok(document)
    }

    /// Returns whether the servers of the service own keys.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        self.kind == ServiceKind::Keyed
    }

    /// Returns the server with this name.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| server.name == name)
    }

    /// Returns the first class that matches a request, and its index.
    ///
    /// # Panics
    ///
    /// Never: the last class of a document matches every request.
    #[must_use]
    pub fn class(&self, method: &str, path: &str) -> (usize, &Class) {
        self.classes
            .iter()
            .enumerate()
            .find(|(_, class)| class.matches(method, path))
            .expect("the last class matches every request")
    }

    fn from_service(mut section: Section) -> Result<Self> {
        let document = Self {
            name: section.required("name", &value_format::TEXT)?,
            kind: section.required("kind", &SERVICE_KIND)?,
            key: section.optional("key", &KEY_SOURCE)?,
            placement: section
                .optional("placement", &PLACEMENT_POLICY)?
                .unwrap_or(PlacementPolicy::Balanced),
            weights: Weights {
                unavailable: section
                    .optional("weight_unavailable", &value_format::COUNT)?
                    .unwrap_or(1),
                churn: section.optional("weight_churn", &value_format::COUNT)?.unwrap_or(1),
                imbalance: section.optional("weight_imbalance", &value_format::COUNT)?.unwrap_or(1),
            },
            timing: Timing {
                grant_ms: section
                    .optional("keep_when_cut_off", &GRANT_DURATION)?
                    .unwrap_or(DEFAULT_GRANT_MS),
                prepare_ms: section
                    .optional("prepare", &value_format::DURATION)?
                    .unwrap_or(DEFAULT_PREPARE_MS),
                max_concurrent_moves: section
                    .optional("moves_at_once", &CONCURRENT_MOVES)?
                    .unwrap_or(DEFAULT_MAX_CONCURRENT_MOVES),
            },
            key_groups: Vec::new(),
            servers: Vec::new(),
            classes: Vec::new(),
        };
        section.finish(SERVICE_KEYS)?;
        Ok(document)
    }

    fn add_defaults(&mut self) {
        if self.is_keyed() && self.key_groups.is_empty() {
            self.key_groups.push(KeyGroup::all());
        }
        self.classes.push(Class::other());
    }

    fn check_consistency(&self, file: &str, service_line: u32, server_lines: &[u32]) -> Result<()> {
        if self.is_keyed() && self.key.is_none() {
            let message = "key is missing, expected segment 2, header NAME or query NAME";
            return inconsistent(file, service_line, message.into());
        }
        let mut addresses = HashSet::default();
        for (server, line) in self.servers.iter().zip(server_lines) {
            if !addresses.insert(server.address) {
                let message = format!("address {} is used twice", server.address);
                return inconsistent(file, *line, message);
            }
            if let Some(group) = self.unknown_group(server) {
                let message =
                    format!("key group {group} is unknown, expected a [key-group {group}]");
                return inconsistent(file, *line, message);
            }
        }
        let shards: u32 = self.key_groups.iter().map(|group| group.shards).sum();
        if shards > MAX_SHARDS {
            let message = format!("{shards} shards in all, expected at most {MAX_SHARDS}");
            return inconsistent(file, service_line, message);
        }
        for group in &self.key_groups {
            let can_hold =
                |server: &Server| server.accepts_new_work() && server.may_hold(&group.name);
            if !self.servers.iter().any(can_hold) {
                let message = format!(
                    "no server may hold key group {}, expected one that is not leaving",
                    group.name
                );
                return inconsistent(file, service_line, message);
            }
        }
        Ok(())
    }

    fn unknown_group<'a>(&self, server: &'a Server) -> Option<&'a Name> {
        let is_known = |name: &Name| self.key_groups.iter().any(|group| group.name == *name);
        server.key_groups.iter().find(|name| !is_known(name))
    }
}

fn inconsistent(file: &str, line: u32, message: String) -> Result<()> {
    Err(Report::new(Error::new(Category::Consistency, file, line, message)))
}

fn parse_kind(text: &str) -> Option<ServiceKind> {
    match text {
        "keyed" => Some(ServiceKind::Keyed),
        "pooled" => Some(ServiceKind::Pooled),
        _ => None,
    }
}

fn parse_policy(text: &str) -> Option<PlacementPolicy> {
    match text {
        "balanced" => Some(PlacementPolicy::Balanced),
        "rendezvous" => Some(PlacementPolicy::Rendezvous),
        _ => None,
    }
}

fn parse_grant_ms(text: &str) -> Option<u64> {
    (value_format::DURATION.parse)(text).filter(|ms| (MIN_GRANT_MS..=MAX_GRANT_MS).contains(ms))
}

fn parse_concurrent_moves(text: &str) -> Option<u32> {
    (value_format::COUNT.parse)(text).filter(|moves| *moves > 0)
}
