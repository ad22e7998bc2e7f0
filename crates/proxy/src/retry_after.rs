//! How long a server asks to be left alone.

use std::time::SystemTime;

use http::HeaderMap;
use http::header::RETRY_AFTER;

/// The longest time that a server is left alone at its own request.
const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// Returns the time that an answer's `Retry-After` header asks for, at most an hour.
///
/// The value is a number of seconds, which may have a fraction, or an HTTP date. Returns `None`
/// if there is no such header, or its value is neither.
#[must_use]
pub fn retry_after_ms(headers: &HeaderMap, now: SystemTime) -> Option<u64> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let after_ms = match text.parse::<f64>() {
        Ok(seconds) if is_number => to_ms(seconds),
        _ => {
            let until = httpdate::parse_http_date(text).ok()?;
            // A date that has passed asks for nothing.
            let left = until.duration_since(now).unwrap_or_default();
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
        }
    };
    Some(after_ms.min(MAX_RETRY_AFTER_MS))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number has no sign, and the cast saturates"
)]
fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0).ceil() as u64
}
