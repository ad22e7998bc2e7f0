//! Request classes: which requests belong to one, and how such requests are treated.

use crate::{Name, Result, Section, ValueFormat, value_format};

/// A class of requests, matched by method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// The class name, unique in the document.
    pub name: Name,
    /// The HTTP method, or `*` for any method.
    pub method: Name,
    /// The paths that the class matches.
    pub path: PathPattern,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The priority under load; 0 is the most urgent.
    pub priority: u32,
    /// The time from arrival after which a request times out.
    pub timeout_ms: u64,
    /// How many requests of this class may wait in the queue.
    pub max_queued: u32,
}

/// A path pattern of literal segments, `{name}` placeholders and an optional final `*`.
///
/// A placeholder matches one segment that is not empty. `*` matches the rest of the path, which
/// may be empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern(Vec<Segment>);

#[derive(Clone, Debug, Eq, PartialEq)]
enum Segment {
    Literal(Name),
    /// A `{name}` placeholder.
    Any,
    /// A final `*`.
    Rest,
}

const PATH_PATTERN: ValueFormat<PathPattern> = ValueFormat {
    parse: PathPattern::parse,
    expected: "a path such as /ledger/{key}/balance or /sheets/*",
};

const DEFAULT_PRIORITY: u32 = 1;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_MAX_QUEUED: u32 = 64;
const SECTION_KEYS: &str = "method, path, idempotent, priority, deadline, queue";

impl Class {
    /// Returns whether the class matches a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && self.path.matches(path)
    }

    pub(crate) fn from_section(name: Name, mut section: Section) -> Result<Self> {
        let class = Self {
            name,
            method: section.required("method", &value_format::TEXT)?,
            path: section.required("path", &PATH_PATTERN)?,
            idempotent: section.required("idempotent", &value_format::YES_NO)?,
            priority: section
                .optional("priority", &value_format::COUNT)?
                .unwrap_or(DEFAULT_PRIORITY),
            timeout_ms: section
                .optional("deadline", &value_format::DURATION)?
                .unwrap_or(DEFAULT_TIMEOUT_MS),
            max_queued: section
                .optional("queue", &value_format::COUNT)?
                .unwrap_or(DEFAULT_MAX_QUEUED),
        };
        section.finish(SECTION_KEYS)?;
        Ok(class)
    }

    /// Returns the class of requests that no other class matches.
    pub(crate) fn other() -> Self {
        Self {
            name: Name::from("other"),
            method: Name::from("*"),
            path: PathPattern(vec![Segment::Rest]),
            idempotent: false,
            priority: DEFAULT_PRIORITY,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            max_queued: DEFAULT_MAX_QUEUED,
        }
    }
}

impl PathPattern {
    /// Returns whether the pattern matches a path.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut path_segments = path.trim_start_matches('/').split('/');
        for segment in &self.0 {
            match (segment, path_segments.next()) {
                (Segment::Rest, _) => return true,
                (Segment::Any, Some(text)) if !text.is_empty() => {}
                (Segment::Literal(literal), Some(text)) if *literal == text => {}
                _ => return false,
            }
        }
        path_segments.next().is_none()
    }

    fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix('/')?;
        let segments: Vec<Segment> = rest.split('/').map(Segment::parse).collect::<Option<_>>()?;
        let rest_position = segments.iter().position(|segment| *segment == Segment::Rest);
        rest_position
            .is_none_or(|position| position + 1 == segments.len())
            .then_some(Self(segments))
    }
}

impl Segment {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "" => None,
            "*" => Some(Self::Rest),
            _ if text.starts_with('{') && text.ends_with('}') && text.len() > 2 => Some(Self::Any),
            _ if text.contains(['{', '}', '*']) => None,
            _ => Some(Self::Literal(Name::from(text))),
        }
    }
}
