//! One log line.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde_json::{Map, Value};

/// One log line of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When the line was written, in milliseconds of the daemon's wall clock.
    pub time_ms: u64,
    /// The log message, which names the event.
    pub message: String,
    /// The key-value pairs of the line.
    pub fields: Map<String, Value>,
}

/// A log line as the JSON formatter writes it.
#[derive(Deserialize)]
struct RawLine {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if a daemon did not write it.
    ///
    /// Text before the first brace is skipped: log collectors put a time or a name there.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let raw: RawLine = serde_json::from_str(text[start..].trim_end()).ok()?;
        Some(Self { time_ms: raw.timestamp, message: raw.payload, fields: raw.kv })
    }

    /// Returns the value of a text field.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a number field.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the key range in the `range` field: `first-last`, or a single key.
    #[must_use]
    pub fn range(&self) -> Option<RangeInclusive<u16>> {
        let text = self.text("range")?;
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        Some(first.parse().ok()?..=last.parse().ok()?)
    }

    /// Returns the key of the request that the line is about, written as `Some(7)`.
    #[must_use]
    pub fn key(&self) -> Option<u16> {
        self.text("key")?.strip_prefix("Some(")?.strip_suffix(')')?.parse().ok()
    }

    /// Formats all fields but the request id as `name=value`, separated by spaces.
    #[must_use]
    pub fn format_fields(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "request");
        let texts = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}
