//! What daemons tell each other of the servers that a passed-on request was sent to.
//!
//! The daemon that took a request from its caller counts the attempts and decides on retries. A
//! daemon that was passed the request sends it to one server at most, and names that server in its
//! answer. Daemons of an earlier version retry by themselves and name none.

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use registry::Incarnation;
use route::Failure;

/// A server that a request was sent to, and what came of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SentTo {
    pub(crate) server: Incarnation,
    /// `None` if the server answered.
    pub(crate) failure: Option<Failure>,
}

/// What the answer to a passed-on request tells of the server that it was sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Report {
    /// Nothing, as from a daemon of an earlier version.
    Missing,
    /// That the request was sent to no server.
    Unsent,
    /// The server that it was sent to.
    Sent(SentTo),
}

/// Which servers one attempt was sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Reached {
    /// The server that was chosen, or none.
    Chosen,
    /// The server that another daemon chose.
    Other(Incarnation),
    /// One server at most; another daemon chose it, and its answer was lost.
    OneUnknown,
    /// Any number of servers; a daemon of an earlier version chose them.
    Unknown,
}

/// The header of a passed-on request that names a server that was tried; one for each.
const TRIED: HeaderName = HeaderName::from_static("verbena-tried");
/// The header of the answer to a passed-on request that names the server that it was sent to.
const SENT_TO: HeaderName = HeaderName::from_static("verbena-sent-to");
/// The value of this header if the request was sent to no server.
const NO_SERVER: &str = "-";
/// What came of an attempt that the server answered.
const ANSWERED: &str = "answered";

impl Reached {
    /// Returns the server that was sent the request, or the one that was chosen here if it is not
    /// known.
    pub(crate) fn server<'a>(&'a self, chosen: &'a Incarnation) -> &'a Incarnation {
        match self {
            Self::Other(server) => server,
            Self::Chosen | Self::OneUnknown | Self::Unknown => chosen,
        }
    }

    /// Returns the server that was sent the request, for logs.
    pub(crate) fn to_text(&self, chosen: &Incarnation) -> String {
        match self {
            Self::Chosen => chosen.to_string(),
            Self::Other(server) => server.to_string(),
            Self::OneUnknown | Self::Unknown => "unknown".to_owned(),
        }
    }
}

/// Adds the servers that were tried to a request that is passed on.
pub(crate) fn add_tried(headers: &mut HeaderMap, tried: &[Incarnation]) {
    for server in tried {
        // The name of a server that a header cannot hold is in no registration that is used.
        headers.extend(HeaderValue::try_from(server.to_string()).ok().map(|text| (TRIED, text)));
    }
}

/// Returns the servers that another daemon has tried.
pub(crate) fn tried(headers: &HeaderMap) -> Vec<Incarnation> {
    let values = headers.get_all(TRIED).iter().filter_map(|value| value.to_str().ok());
    values.filter_map(Incarnation::parse).collect()
}

/// Adds the server that a passed-on request was sent to to its answer.
pub(crate) fn add_sent_to(headers: &mut HeaderMap, sent_to: Option<&SentTo>) {
    let text = sent_to.map_or_else(
        || NO_SERVER.to_owned(),
        |SentTo { server, failure }| {
            format!("{} {server}", failure.map_or(ANSWERED, Failure::as_str))
        },
    );
    headers.extend(HeaderValue::try_from(text).ok().map(|text| (SENT_TO, text)));
}

/// Returns what the answer to a passed-on request tells of the server that it was sent to.
pub(crate) fn report(headers: &HeaderMap) -> Report {
    let text = headers.get(SENT_TO).and_then(|value| value.to_str().ok());
    match text {
        Some(NO_SERVER) => Report::Unsent,
        Some(text) => parse(text).map_or(Report::Missing, Report::Sent),
        None => Report::Missing,
    }
}

fn parse(text: &str) -> Option<SentTo> {
    let (outcome, server) = text.split_once(' ')?;
    let server = Incarnation::parse(server)?;
    let failure = match outcome {
        ANSWERED => None,
        failure => Some(Failure::parse(failure)?),
    };
    Some(SentTo { server, failure })
}
