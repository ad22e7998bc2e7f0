//! Keys: where they stand in a request, and which group they belong to.

use xxhash_rust::xxh3::xxh3_64;

use crate::{Form, Name, Result, Section, form};

/// Where a request carries its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeySource {
    /// The path's segment with this number, counted from 1.
    Segment(usize),
    /// A header, by its lower-case name.
    Header(Name),
    /// A parameter of the query.
    Query(Name),
}

/// The keys that share a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGroup {
    /// The name, unique in the document.
    pub name: Name,
    /// What the keys start with; the longest matching prefix wins.
    pub prefix: Name,
    /// How many shards the group starts with.
    pub shards: u32,
}

pub(crate) const KEY_SOURCE: Form<KeySource> =
    Form { read: read_source, expected: "segment 2, header NAME or query NAME" };

const DEFAULT_SHARDS: u32 = 512;
/// A service's record must fit into one value of the store.
pub(crate) const MAX_SHARDS: u32 = 4_096;
const SHARDS: Form<u32> = Form { read: read_shards, expected: "a number of shards from 1 to 4096" };
const PREFIX: Form<Name> = Form { read: |text| Some(Name::from(text)), expected: "a prefix" };
const KEYS: &str = "prefix, shards";

/// Returns the position of a key in the hash space.
#[must_use]
pub fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

impl KeySource {
    /// Returns the key of a request, given its path, query and a header reader.
    pub fn find<'a>(
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
            shards: section.optional("shards", &SHARDS)?.unwrap_or(DEFAULT_SHARDS),
        };
        section.finish(KEYS)?;
        Ok(group)
    }

    /// The group of all keys, for a document that divides them no further.
    pub(crate) fn all() -> Self {
        Self { name: Name::from("all"), prefix: Name::from(""), shards: DEFAULT_SHARDS }
    }

    /// Returns the group of a key: the one with the longest matching prefix.
    #[must_use]
    pub fn find<'a>(groups: &'a [Self], key: &str) -> Option<&'a Self> {
        groups
            .iter()
            .filter(|group| key.starts_with(group.prefix.as_str()))
            .max_by_key(|group| group.prefix.len())
    }
}

fn read_source(text: &str) -> Option<KeySource> {
    let (kind, name) = text.split_once(' ')?;
    let name = name.trim();
    match kind {
        "segment" => name.parse().ok().filter(|number| *number > 0).map(KeySource::Segment),
        "header" => (form::TEXT.read)(name)
            .map(|name| KeySource::Header(Name::from(name.to_ascii_lowercase()))),
        "query" => (form::TEXT.read)(name).map(KeySource::Query),
        _ => None,
    }
}

fn read_shards(text: &str) -> Option<u32> {
    text.parse().ok().filter(|shards| (1..=MAX_SHARDS).contains(shards))
}
