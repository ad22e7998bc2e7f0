//! The labels under which the result of a request is counted.

use http::Response;
use route::Refusal;
use telemetry::Labels;

/// Returns the labels for the outcome of a request and for the reason of a refusal.
pub fn to_labels<B>(result: &Result<Response<B>, Refusal>) -> (&'static str, &'static str) {
    match result {
        Ok(response) if response.status().is_server_error() => ("failed", Labels::NONE),
        Ok(_) => ("served", Labels::NONE),
        Err(refusal) => (refusal.outcome.as_str(), refusal.reason.as_str()),
    }
}
