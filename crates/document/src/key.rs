//! Keys: where a request carries its key, and which key group a key belongs to.

use xxhash_rust::xxh3::xxh3_64;

use crate::{Name, Result, Section, ValueFormat, value_format};

/// Where a request carries its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeySource {
    /// The path segment with this number, counted from 1.
    Segment(usize),
    /// The header with this lower-case name.
    Header(Name),
    /// The query parameter with this name.
    Query(Name),
}

/// The keys that share a prefix; they are divided into shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGroup {
    /// The group name, unique in the document.
    pub name: Name,
    /// The prefix of the keys; the longest matching prefix wins.
    pub prefix: Name,
    /// The number of shards that the group is divided into.
    pub shards: u32,
}

pub(crate) const KEY_SOURCE: ValueFormat<KeySource> =
    ValueFormat { parse: parse_key_source, expected: "segment 2, header NAME or query NAME" };

const DEFAULT_SHARDS: u32 = 512;
/// The largest total number of shards in a document.
///
/// It bounds the size of a service's record, which must fit into one value of the store.
pub(crate) const MAX_SHARDS: u32 = 4_096;
const SHARD_COUNT: ValueFormat<u32> =
    ValueFormat { parse: parse_shards, expected: "a number of shards from 1 to 4096" };
const PREFIX: ValueFormat<Name> =
    ValueFormat { parse: |text| Some(Name::from(text)), expected: "a prefix" };
const SECTION_KEYS: &str = "prefix, shards";

/// Returns the position of a key in the 64-bit hash space.
#[must_use]
pub fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

impl KeySource {
    /// Returns the key of a request, or `None` if it carries none.
    ///
    /// `header` looks up a header by its lower-case name.
    pub fn extract_key<'a>(
        &self,
        path: &'a str,
        query: Option<&'a str>,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> Option<&'a str> {
        let key = match self {
            Self::Segment(number) => path.trim_start_matches('/').split('/').nth(number - 1),
            Self::Header(name) => header(name),
            Self::Query(name) => query?
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find_map(|(key, value)| (*name == key).then_some(value)),
        };
        key.filter(|key| !key.is_empty())
    }
}

impl KeyGroup {
    pub(crate) fn from_section(name: Name, mut section: Section) -> Result<Self> {
        let group = Self {
            name,
            prefix: section.required("prefix", &PREFIX)?,
            shards: section.optional("shards", &SHARD_COUNT)?.unwrap_or(DEFAULT_SHARDS),
        };
        section.finish(SECTION_KEYS)?;
        Ok(group)
    }

    /// Returns the group of all keys, for a document that defines no groups.
    pub(crate) fn all() -> Self {
        Self { name: Name::from("all"), prefix: Name::from(""), shards: DEFAULT_SHARDS }
    }

    /// Returns the group with the longest prefix that matches a key.
    #[must_use]
    pub fn find<'a>(groups: &'a [Self], key: &str) -> Option<&'a Self> {
        groups
            .iter()
            .filter(|group| key.starts_with(group.prefix.as_str()))
            .max_by_key(|group| group.prefix.len())
    }
}

fn parse_key_source(text: &str) -> Option<KeySource> {
    let (kind, name) = text.split_once(' ')?;
    let name = name.trim();
    match kind {
        "segment" => name.parse().ok().filter(|number| *number > 0).map(KeySource::Segment),
        "header" => (value_format::TEXT.parse)(name)
            .map(|name| KeySource::Header(Name::from(name.to_ascii_lowercase()))),
        "query" => (value_format::TEXT.parse)(name).map(KeySource::Query),
        _ => None,
    }
}

fn parse_shards(text: &str) -> Option<u32> {
    text.parse().ok().filter(|shards| (1..=MAX_SHARDS).contains(shards))
}
