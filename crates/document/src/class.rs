//! The classes of requests.

use crate::{Form, Name, Result, Section, form};

/// One class of requests: which they are and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// The name, unique in the document.
    pub name: Name,
    /// The method, or `*` for all of them.
    pub method: Name,
    /// The paths that belong to the class.
    pub path: PathPattern,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// The order of service under load; 0 goes first.
    pub priority: u32,
    /// How long a caller of this class waits.
    pub timeout_ms: u64,
    /// How many requests of this class may wait.
    pub max_queued: u32,
}

/// A path pattern whose segments are literal, `{name}` or a final `*`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern(Vec<Segment>);

#[derive(Clone, Debug, Eq, PartialEq)]
enum Segment {
    Literal(Name),
    Any,
    Rest,
}

const PATTERN: Form<PathPattern> =
    Form { read: PathPattern::read, expected: "a path such as /ledger/{key}/balance or /sheets/*" };

const DEFAULT_PRIORITY: u32 = 1;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_MAX_QUEUED: u32 = 64;
const KEYS: &str = "method, path, idempotent, priority, deadline, queue";

impl Class {
    /// Returns whether a request belongs to the class.
    #[must_use]
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        (self.method == "*" || self.method == method) && self.path.is_match(path)
    }

    pub(crate) fn from_section(name: Name, mut section: Section) -> Result<Self> {
        let class = Self {
            name,
            method: section.required("method", &form::TEXT)?,
            path: section.required("path", &PATTERN)?,
            idempotent: section.required("idempotent", &form::YES_NO)?,
            priority: section.optional("priority", &form::COUNT)?.unwrap_or(DEFAULT_PRIORITY),
            timeout_ms: section
                .optional("deadline", &form::DURATION)?
                .unwrap_or(DEFAULT_TIMEOUT_MS),
            max_queued: section.optional("queue", &form::COUNT)?.unwrap_or(DEFAULT_MAX_QUEUED),
        };
        section.finish(KEYS)?;
        Ok(class)
    }

    /// The class of requests that no other class takes.
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
    /// Returns whether a path has this pattern.
    #[must_use]
    pub fn is_match(&self, path: &str) -> bool {
        let mut parts = path.trim_start_matches('/').split('/');
        for segment in &self.0 {
            match (segment, parts.next()) {
                (Segment::Rest, _) => return true,
                (Segment::Any, Some(part)) if !part.is_empty() => {}
                (Segment::Literal(literal), Some(part)) if *literal == part => {}
                _ => return false,
            }
        }
        parts.next().is_none()
    }

    fn read(text: &str) -> Option<Self> {
        let rest = text.strip_prefix('/')?;
        let segments: Vec<Segment> = rest.split('/').map(Segment::read).collect::<Option<_>>()?;
        let rest_at = segments.iter().position(|segment| *segment == Segment::Rest);
        rest_at.is_none_or(|at| at + 1 == segments.len()).then_some(Self(segments))
    }
}

impl Segment {
    fn read(text: &str) -> Option<Self> {
        match text {
            "" => None,
            "*" => Some(Self::Rest),
            _ if text.starts_with('{') && text.ends_with('}') && text.len() > 2 => Some(Self::Any),
            _ if text.contains(['{', '}', '*']) => None,
            _ => Some(Self::Literal(Name::from(text))),
        }
    }
}
