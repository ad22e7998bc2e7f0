//! The heads of requests and answers: which headers are passed on.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Version};
use route::{Reason, Refusal};

/// The shard that a request is for.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("verbena-shard");
/// The fence epoch under which a request is sent.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("verbena-epoch");
/// How much longer the caller waits.
pub(crate) const TIME_LEFT_MS: HeaderName = HeaderName::from_static("verbena-time-left-ms");
/// Why a server refused a request that it did not run.
pub(crate) const REFUSED: HeaderName = HeaderName::from_static("verbena-refused");
/// Whether a request may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("verbena-outcome");
/// Why a request was not answered by a server.
pub(crate) const REASON: HeaderName = HeaderName::from_static("verbena-reason");

const OURS: &str = "verbena-";
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Refuses heads whose framing two readers could understand differently.
pub(crate) fn check_framing(version: Version, headers: &HeaderMap) -> Result<(), Refusal> {
    if is_sound(version, headers) { Ok(()) } else { Err(Refusal::not_run(Reason::BadFraming)) }
}

/// Returns whether two readers would find the same end of a request with this head.
#[must_use]
pub fn is_sound(version: Version, headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let is_chunked =
        encodings.iter().all(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    match (lengths, encodings.len()) {
        (0 | 1, 0) => true,
        (0, 1) => is_chunked && version == Version::HTTP_11,
        _ => false,
    }
}

/// Removes headers that concern one connection only, and our own.
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let ours: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(OURS)).cloned().collect();
    for name in listed.iter().chain(&ours).chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes what only the first connection needs, before a request is sent on.
pub fn strip_request(headers: &mut HeaderMap) {
    strip(headers);
    for name in [CONTENT_LENGTH, EXPECT, HOST] {
        headers.remove(name);
    }
}

/// Returns why a server refused a request without running it, if it says so.
pub(crate) fn refused(headers: &HeaderMap) -> Option<&str> {
    headers.get(REFUSED)?.to_str().ok()
}
