//! Reading a request's body whole.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

/// Why a body could not be read whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFault {
    /// It is longer than is taken.
    TooLarge,
    /// The caller broke it off.
    BrokenOff,
    /// It was not here in time.
    Late,
}

/// Reads a body of at most some bytes by a deadline.
///
/// # Errors
///
/// Fails when it is too long, broken off or late.
pub async fn read_body(
    body: Incoming,
    most_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A stated length that is too long is not waited for.
    if body.size_hint().lower() > u64::try_from(most_bytes).unwrap_or(u64::MAX) {
        return Err(BodyFault::TooLarge);
    }
    match timeout_at(deadline, Limited::new(body, most_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Ok(Err(_)) => Err(BodyFault::BrokenOff),
        Err(_elapsed) => Err(BodyFault::Late),
    }
}
