//! Reads the complete body of a request.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::{BodyBuffer, BodyKind, BufferBudget};

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLarge,
    /// The connection or the framing broke before the end of the body.
    Aborted,
    /// The body was not complete at the deadline.
    TimedOut,
    /// The bodies of other requests take the memory for it.
    NoRoom,
}

/// Reads a body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the body is too long, is aborted, is not complete at the deadline, or has no room in the
/// budget.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    budget: &Arc<BufferBudget>,
    deadline: Instant,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A Content-Length above the maximum is refused before the body arrives.
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(BodyError::TooLarge);
    }
    timeout_at(deadline, collect(body, max_bytes, budget)).await.unwrap_or(Err(BodyError::TimedOut))
}

async fn collect<B>(
    body: B,
    max_bytes: usize,
    budget: &Arc<BufferBudget>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut buffer = BodyBuffer::new(budget, BodyKind::Request, body.size_hint().lower());
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BodyError::Aborted)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !buffer.push(&data) {
            return Err(BodyError::NoRoom);
        }
    }
    Ok(buffer.into_bytes())
}
