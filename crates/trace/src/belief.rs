//! What a daemon believes, by its own log.

use std::collections::BTreeMap;
use std::fmt;

use document::Name;

use crate::Line;

/// What a daemon believes, by its own log up to some line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Belief {
    /// When the process started.
    pub started_ms: Option<u64>,
    /// The version of the document in force, and since when.
    pub version: Option<(u64, u64)>,
    /// Whether the store answers, and since when.
    pub store: Option<(bool, u64)>,
    /// The epoch in which this daemon leads, and since when.
    pub leads: Option<(u64, u64)>,
    /// Servers by life, with their stage.
    pub servers: BTreeMap<Name, Name>,
    /// The last move of each range that this daemon planned, as its leader.
    pub moves: BTreeMap<Name, String>,
}

/// How many moves are remembered: those of about a minute.
const MOST_MOVES: usize = 1_024;

impl Belief {
    /// Takes a line.
    pub fn take(&mut self, line: &Line) {
        let at_ms = line.time_ms;
        match line.what.as_str() {
            "started" => *self = Self { started_ms: Some(at_ms), ..Self::default() },
            "document in force" => {
                self.version = line.number("version").map(|version| (version, at_ms));
            }
            "store" => {
                let is_answering = line.fields.get("answers").and_then(serde_json::Value::as_bool);
                self.store = is_answering.map(|is_answering| (is_answering, at_ms));
            }
            "elected leader" => self.leads = line.number("epoch").map(|epoch| (epoch, at_ms)),
            "no longer leader" => self.leads = None,
            "server listed" => self.take_server(line),
            "server gone" => {
                let name = line.text("server").unwrap_or("").to_owned();
                self.servers.retain(|life, _| !is_life_of(life, &name));
            }
            "range is to move" => self.take_move(line),
            _ => {}
        }
    }

    fn take_server(&mut self, line: &Line) {
        let Some(listed) = line.text("server") else { return };
        let name = listed.split('@').next().unwrap_or(listed).to_owned();
        self.servers.retain(|known, _| !is_life_of(known, &name));
        self.servers.insert(listed.into(), line.text("stage").unwrap_or("?").into());
    }

    fn take_move(&mut self, line: &Line) {
        let field = |name: &str| line.text(name).unwrap_or("?");
        if self.moves.len() >= MOST_MOVES {
            self.moves.clear();
        }
        let key = Name::from(format!("{} {}", field("service"), field("range")));
        let text = format!("{} -> {} ({})", field("from"), field("to"), field("why"));
        self.moves.insert(key, text);
    }
}

fn is_life_of(life: &str, server: &str) -> bool {
    life.split('@').next() == Some(server)
}

impl fmt::Display for Belief {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.version {
            Some((version, since_ms)) => write!(f, "version {version} since {since_ms}")?,
            None => f.write_str("no document")?,
        }
        match self.store {
            Some((true, since_ms)) => write!(f, ", store answers since {since_ms}")?,
            Some((false, since_ms)) => write!(f, ", store silent since {since_ms}")?,
            None => f.write_str(", store not asked yet")?,
        }
        if let Some((epoch, since_ms)) = self.leads {
            write!(f, ", leads in epoch {epoch} since {since_ms}")?;
        }
        let draining = self.servers.values().filter(|stage| **stage == *"Draining").count();
        write!(f, ", {} servers of which {draining} leave", self.servers.len())
    }
}
