//! Answers to callers whose request no server answered.

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use route::{Outcome, Refusal};

use crate::request::answer::AnswerBody;

/// Returns the HTTP status of a refusal.
///
/// Status 503 promises that the request never runs, so it is used only where that is certain.
#[must_use]
pub(crate) fn status(refusal: &Refusal) -> StatusCode {
    let status = match (refusal.outcome, refusal.status()) {
        (Outcome::NotRun, 502 | 504) => 503,
        (Outcome::Unknown, 503) => 502,
        (_, status) => status,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The largest Retry-After while the daemon is stopping: another one can take the request at once,
/// but not all requests in the same moment.
const MAX_STOP_RETRY_AFTER_MS: u64 = 100;

/// Returns the Retry-After while the daemon is stopping.
pub(crate) fn stop_retry_after_ms() -> u64 {
    rand::random_range(0..=MAX_STOP_RETRY_AFTER_MS)
}

/// Returns the answer to the caller for a refusal.
#[must_use]
pub(crate) fn to_response(refusal: &Refusal) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(format!("{refusal}\n")));
    *response.status_mut() = status(refusal);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let (seconds, rest_ms) = (retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::try_from(format!("{seconds}.{rest_ms:03}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
