//! The document of one service.

use error_stack::Report;

use crate::class::Class;
use crate::key::{KEY_SOURCE, KeyGroup, KeySource, MAX_SHARDS};
use crate::{Category, Error, Form, HashSet, Name, Result, Section, Sections, Server, form};

/// What the operators want of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// The service; also the first segment of its requests' paths.
    pub name: Name,
    /// Whether keys have owners.
    pub kind: ServiceKind,
    /// Where a request carries its key; always there for a keyed service.
    pub key: Option<KeySource>,
    /// What placement trades for what.
    pub weights: Weights,
    /// Which placement policy is used.
    pub placement: PlacementPolicy,
    /// How long grants last and how fast moves go.
    pub timing: Timing,
    /// The groups that the keys are divided into.
    pub key_groups: Vec<KeyGroup>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The classes of requests; the last one takes all others.
    pub classes: Vec<Class>,
}

/// Whether the servers of a service own keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Each key has one owner.
    Keyed,
    /// Any server answers any request.
    Pooled,
}

/// How placement decides which server holds which shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementPolicy {
    /// Few moves, even shares.
    Balanced,
    /// Rendezvous hashing, the baseline.
    Rendezvous,
}

/// How much each of the three measures counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The weight of unavailable time.
    pub unavailable: u32,
    /// The weight of churn.
    pub churn: u32,
    /// The weight of imbalance.
    pub imbalance: u32,
}

/// Lengths of time and limits of the control decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a server keeps its keys without hearing from the controller.
    pub grant_ms: u64,
    /// How long an arriving server may prepare before it is given a shard.
    pub prepare_ms: u64,
    /// How many shards may be in a handover at once.
    pub max_concurrent_moves: u32,
}

const KIND: Form<ServiceKind> = Form { read: read_kind, expected: "keyed or pooled" };
const POLICY: Form<PlacementPolicy> =
    Form { read: read_policy, expected: "balanced or rendezvous" };
const GRANT: Form<u64> = Form { read: read_grant, expected: "a duration from 1s to 1h" };
const MOVES: Form<u32> = Form { read: read_moves, expected: "a whole number from 1" };

const DEFAULT_GRANT_MS: u64 = 1_500;
const MIN_GRANT_MS: u64 = 1_000;
const MAX_GRANT_MS: u64 = 3_600_000;
const DEFAULT_PREPARE_MS: u64 = 5_000;
const DEFAULT_MOVES: u32 = 32;
const SERVICE_KEYS: &str = "name, kind, key, placement, weight_unavailable, weight_churn, \
                            weight_imbalance, keep_when_cut_off, prepare, moves_at_once";
const SECTIONS: &str = "[service], [key-group NAME], [server NAME] or [class NAME]";

impl Document {
    /// Reads and checks a document; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and what was expected when the text is not
    /// INI, when a section or key is unknown, missing or given twice, when a
    /// value has another form, and when a key group has no server.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let mut sections = Sections::from_ini(file, text)?;
        let service = sections.take_one("service")?;
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
        sections.finish(SECTIONS)?;
        document.complete();
        document.check(file, service_line, &server_lines)?;
        Ok(document)
    }

    /// Returns whether keys have owners.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        self.kind == ServiceKind::Keyed
    }

    /// Returns the server with a name.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| server.name == name)
    }

    /// Returns the class of a request.
    ///
    /// # Panics
    ///
    /// Never: the last class of a checked document takes every request.
    #[must_use]
    pub fn class(&self, method: &str, path: &str) -> (usize, &Class) {
        self.classes
            .iter()
            .enumerate()
            .find(|(_, class)| class.is_match(method, path))
            .expect("the last class takes every request")
    }

    fn from_service(mut section: Section) -> Result<Self> {
        let document = Self {
            name: section.required("name", &form::TEXT)?,
            kind: section.required("kind", &KIND)?,
            key: section.optional("key", &KEY_SOURCE)?,
            placement: section.optional("placement", &POLICY)?.unwrap_or(PlacementPolicy::Balanced),
            weights: Weights {
                unavailable: section.optional("weight_unavailable", &form::COUNT)?.unwrap_or(1),
                churn: section.optional("weight_churn", &form::COUNT)?.unwrap_or(1),
                imbalance: section.optional("weight_imbalance", &form::COUNT)?.unwrap_or(1),
            },
            timing: Timing {
                grant_ms: section
                    .optional("keep_when_cut_off", &GRANT)?
                    .unwrap_or(DEFAULT_GRANT_MS),
                prepare_ms: section
                    .optional("prepare", &form::DURATION)?
                    .unwrap_or(DEFAULT_PREPARE_MS),
                max_concurrent_moves: section
                    .optional("moves_at_once", &MOVES)?
                    .unwrap_or(DEFAULT_MOVES),
            },
            key_groups: Vec::new(),
            servers: Vec::new(),
            classes: Vec::new(),
        };
        section.finish(SERVICE_KEYS)?;
        Ok(document)
    }

    fn complete(&mut self) {
        if self.is_keyed() && self.key_groups.is_empty() {
            self.key_groups.push(KeyGroup::all());
        }
        self.classes.push(Class::other());
    }

    fn check(&self, file: &str, service_line: u32, server_lines: &[u32]) -> Result<()> {
        if self.is_keyed() && self.key.is_none() {
            let message = "key is missing, expected segment 2, header NAME or query NAME";
            return contradiction(file, service_line, message.into());
        }
        let mut addresses = HashSet::default();
        for (server, line) in self.servers.iter().zip(server_lines) {
            if !addresses.insert(server.address) {
                let message = format!("address {} is used twice", server.address);
                return contradiction(file, *line, message);
            }
            if let Some(group) = self.unknown_group(server) {
                let message =
                    format!("key group {group} is unknown, expected a [key-group {group}]");
                return contradiction(file, *line, message);
            }
        }
        let shards: u32 = self.key_groups.iter().map(|group| group.shards).sum();
        if shards > MAX_SHARDS {
            let message = format!("{shards} shards in all, expected at most {MAX_SHARDS}");
            return contradiction(file, service_line, message);
        }
        for group in &self.key_groups {
            let is_held =
                |server: &Server| server.accepts_new_work() && server.may_hold(&group.name);
            if !self.servers.iter().any(is_held) {
                let message = format!(
                    "no server may hold key group {}, expected one that is not leaving",
                    group.name
                );
                return contradiction(file, service_line, message);
            }
        }
        Ok(())
    }

    fn unknown_group<'a>(&self, server: &'a Server) -> Option<&'a Name> {
        let is_known = |name: &Name| self.key_groups.iter().any(|group| group.name == *name);
        server.key_groups.iter().find(|name| !is_known(name))
    }
}

fn contradiction(file: &str, line: u32, message: String) -> Result<()> {
    Err(Report::new(Error::new(Category::Consistency, file, line, message)))
}

fn read_kind(text: &str) -> Option<ServiceKind> {
    match text {
        "keyed" => Some(ServiceKind::Keyed),
        "pooled" => Some(ServiceKind::Pooled),
        _ => None,
    }
}

fn read_policy(text: &str) -> Option<PlacementPolicy> {
    match text {
        "balanced" => Some(PlacementPolicy::Balanced),
        "rendezvous" => Some(PlacementPolicy::Rendezvous),
        _ => None,
    }
}

fn read_grant(text: &str) -> Option<u64> {
    (form::DURATION.read)(text).filter(|ms| (MIN_GRANT_MS..=MAX_GRANT_MS).contains(ms))
}

fn read_moves(text: &str) -> Option<u32> {
    (form::COUNT.read)(text).filter(|moves| *moves > 0)
}
