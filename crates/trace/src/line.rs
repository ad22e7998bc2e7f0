//! One line of a log.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde_json::{Map, Value};

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, in milliseconds of the daemon's time of day.
    pub time_ms: u64,
    /// What happened.
    pub what: String,
    /// What decided it.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct Stored {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` if it is no line of a daemon's log.
    ///
    /// What stands before the first brace is skipped: collectors put a time or a name there.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let stored: Stored = serde_json::from_str(text[start..].trim_end()).ok()?;
        Some(Self { time_ms: stored.timestamp, what: stored.payload, fields: stored.kv })
    }

    /// Returns a field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the range of keys that the line is about, if it is about one.
    #[must_use]
    pub fn range(&self) -> Option<RangeInclusive<u16>> {
        let text = self.text("range")?;
        let (from, to) = text.split_once('-').unwrap_or((text, text));
        Some(from.parse().ok()?..=to.parse().ok()?)
    }

    /// Returns the key of the request that the line is about, if it has one.
    #[must_use]
    pub fn key(&self) -> Option<u16> {
        self.text("key")?.strip_prefix("Some(")?.strip_suffix(')')?.parse().ok()
    }

    /// Returns the fields in one line, without the request's id.
    #[must_use]
    pub fn to_fields_text(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "request");
        let texts = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}
