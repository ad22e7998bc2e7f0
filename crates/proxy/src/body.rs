//! Reads the complete body of a request.

use std::error::Error;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLarge,
    /// The connection or the framing broke before the end of the body.
    Aborted,
    /// The body was not complete at the deadline.
    TimedOut,
}

/// Reads a body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the body is too long, is aborted, or is not complete at the deadline.
pub async fn read_body<B>(body: B, max_bytes: usize, deadline: Instant) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A Content-Length above the maximum is refused before the body arrives.
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(BodyError::TooLarge);
    }
    match timeout_at(deadline, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Aborted),
        Err(_elapsed) => Err(BodyError::TimedOut),
    }
}
