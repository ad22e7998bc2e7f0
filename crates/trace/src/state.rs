//! The state of a daemon, rebuilt from its log.

use std::collections::BTreeMap;
use std::fmt;

use document::Name;

use crate::Line;

/// The state of a daemon according to its own log, up to some line.
///
/// Times are in milliseconds of the daemon's wall clock, as in its log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DaemonState {
    /// When the process started.
    pub started_at_ms: Option<u64>,
    /// The version of the document in force, and the time at which it was put in force.
    pub version: Option<(u64, u64)>,
    /// Whether the store answers, and the time since which that holds.
    pub store: Option<(bool, u64)>,
    /// The epoch in which this daemon is the leader, and the time at which it was elected.
    pub leads: Option<(u64, u64)>,
    /// The stage of each server incarnation, by `name@start time`.
    pub servers: BTreeMap<Name, Name>,
    /// The last move of each range that this daemon planned as leader, by service and range.
    pub moves: BTreeMap<Name, String>,
}

/// The largest number of moves kept, enough for about a minute.
///
/// The map is cleared when it is full.
const MAX_MOVES: usize = 1_024;

impl DaemonState {
    /// Updates the state with the next line of the log.
    pub fn apply(&mut self, line: &Line) {
        let at_ms = line.time_ms;
        match line.message.as_str() {
            "started" => *self = Self { started_at_ms: Some(at_ms), ..Self::default() },
            "document in force" => {
                self.version = line.number("version").map(|version| (version, at_ms));
            }
            "store" => {
                let is_answering = line.fields.get("answers").and_then(serde_json::Value::as_bool);
                self.store = is_answering.map(|is_answering| (is_answering, at_ms));
            }
            "elected leader" => self.leads = line.number("epoch").map(|epoch| (epoch, at_ms)),
            "no longer leader" => self.leads = None,
            "server listed" => self.on_server_listed(line),
            "server gone" => {
                let name = line.text("server").unwrap_or("").to_owned();
                self.servers.retain(|incarnation, _| !is_incarnation_of(incarnation, &name));
            }
            "range is to move" => self.on_move_planned(line),
            _ => {}
        }
    }

    fn on_server_listed(&mut self, line: &Line) {
        let Some(incarnation) = line.text("server") else { return };
        let name = incarnation.split('@').next().unwrap_or(incarnation).to_owned();
        self.servers.retain(|known, _| !is_incarnation_of(known, &name));
        self.servers.insert(incarnation.into(), line.text("stage").unwrap_or("?").into());
    }

    fn on_move_planned(&mut self, line: &Line) {
        let field = |name: &str| line.text(name).unwrap_or("?");
        if self.moves.len() >= MAX_MOVES {
            self.moves.clear();
        }
        let key = Name::from(format!("{} {}", field("service"), field("range")));
        let text = format!("{} -> {} ({})", field("from"), field("to"), field("why"));
        self.moves.insert(key, text);
    }
}

/// Returns whether an incarnation, written as `name@start time`, is one of the given server.
fn is_incarnation_of(incarnation: &str, server: &str) -> bool {
    incarnation.split('@').next() == Some(server)
}

impl fmt::Display for DaemonState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some((version, since_ms)) => write!(f, "version {version} since {since_ms}")?,
            None => f.write_str("no document")?,
        }
        match self.store {
            Some((true, since_ms)) => write!(f, ", store answers since {since_ms}")?,
            Some((false, since_ms)) => write!(f, ", store silent since {since_ms}")?,
            None => f.write_str(", store state unknown")?,
        }
        if let Some((epoch, since_ms)) = self.leads {
            write!(f, ", leads in epoch {epoch} since {since_ms}")?;
        }
        let draining = self.servers.values().filter(|stage| **stage == *"Draining").count();
        write!(f, ", {} servers, {draining} draining", self.servers.len())
    }
}
