//! What a caller learned, as it is counted.

use http::Response;
use route::Refusal;
use telemetry::Labels;

/// Returns the outcome and the reason under which a result is counted.
pub fn to_labels<B>(result: &Result<Response<B>, Refusal>) -> (&'static str, &'static str) {
    match result {
        Ok(response) if response.status().is_server_error() => ("failed", Labels::NONE),
        Ok(_) => ("served", Labels::NONE),
        Err(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
    }
}
