//! Headers of requests and answers: framing checks and which headers are forwarded.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Version};
use route::{Reason, Refusal};

/// The shard of a request.
pub(crate) const SHARD: HeaderName = HeaderName::from_static("verbena-shard");
/// The fence epoch with which a request is sent.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("verbena-epoch");
/// The time until the deadline of a request, in milliseconds.
pub(crate) const TIME_LEFT_MS: HeaderName = HeaderName::from_static("verbena-time-left-ms");
/// Identifies one attempt to run a request; servers repeat it in the answer.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("verbena-attempt");
/// The reason for which a server refused a request without running it.
pub(crate) const REFUSED: HeaderName = HeaderName::from_static("verbena-refused");
/// Whether a request that no server answered may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("verbena-outcome");
/// The reason for which no server answered a request.
pub(crate) const REASON: HeaderName = HeaderName::from_static("verbena-reason");

/// The prefix of the headers that this project defines; they are never forwarded.
const OWN_PREFIX: &str = "verbena-";
/// Headers that concern one connection only.
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

/// Refuses a head with ambiguous framing.
pub(crate) fn check_framing(version: Version, headers: &HeaderMap) -> Result<(), Refusal> {
    if has_unambiguous_framing(version, headers) {
        Ok(())
    } else {
        Err(Refusal::not_run(Reason::BadFraming))
    }
}

/// Returns whether all readers of this head find the same end of the request.
#[must_use]
pub fn has_unambiguous_framing(version: Version, headers: &HeaderMap) -> bool {
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

/// Returns whether all readers of the head of an answer find the same end of its body.
///
/// The HTTP library takes a length that is stated several times, ignores one beside a transfer
/// encoding, and decodes no encoding but chunks.
#[must_use]
pub fn has_unambiguous_end(headers: &HeaderMap) -> bool {
    let lengths: Vec<&HeaderValue> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let encodings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => true,
        ([length], []) => length.as_bytes().iter().all(u8::is_ascii_digit),
        ([], [encoding]) => encoding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// Removes the headers that concern one connection only, and those named `verbena-…`.
pub fn strip_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let own: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in listed.iter().chain(&own).chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers of a request that must not be forwarded to a server.
///
/// Besides those of [`strip_headers`] these are `content-length`, `expect` and `host`.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    strip_headers(headers);
    for name in [CONTENT_LENGTH, EXPECT, HOST] {
        headers.remove(name);
    }
}

/// Returns whether an answer can be the one to this attempt.
///
/// Servers of an earlier version name no attempt.
pub(crate) fn may_answer(headers: &HeaderMap, attempt: &HeaderValue) -> bool {
    let mut named = headers.get_all(ATTEMPT).iter();
    named.next().is_none_or(|first| first == attempt) && named.next().is_none()
}

/// Returns the reason for which a server refused a request without running it, if it did.
pub(crate) fn refusal_reason(headers: &HeaderMap) -> Option<&str> {
    headers.get(REFUSED)?.to_str().ok()
}
