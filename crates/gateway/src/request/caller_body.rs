//! The body of a caller's request.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Duration, timeout};

/// The body of a caller's request; when it is dropped, its rest can be read elsewhere.
#[derive(Debug)]
pub(crate) struct CallerBody {
    /// `None` once all of it has been read.
    body: Option<Incoming>,
    rest: BodyRest,
}

/// The rest of a body, which a refusal leaves unread.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyRest(Arc<Mutex<Option<Incoming>>>);

/// How much of a refused request is read and discarded.
///
/// A caller that is still sending may miss the answer if its connection ends. Larger bodies are
/// not worth their cost.
pub(crate) const MAX_DISCARDED_BYTES: u64 = 1 << 20;
/// How long the rest of a refused request is read and discarded.
pub(crate) const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

impl CallerBody {
    /// Wraps a body; the returned rest is set when the wrapper is dropped.
    pub(crate) fn new(body: Incoming) -> (Self, BodyRest) {
        let body = Some(body).filter(|body| !body.is_end_stream());
        let rest = BodyRest::default();
        (Self { body, rest: rest.clone() }, rest)
    }
}

impl BodyRest {
    /// Returns what was not read of a body, if there is any.
    pub(crate) fn take(&self) -> Option<Incoming> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.body = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        let body = self.body.take().filter(|body| !body.is_end_stream());
        *self.rest.0.lock().unwrap_or_else(PoisonError::into_inner) = body;
    }
}

/// Reads and discards a body within bounds; returns whether it has ended.
pub(crate) async fn discard(mut body: Incoming) -> bool {
    let discarded = timeout(DISCARD_TIMEOUT, async {
        let mut size_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            size_bytes += u64::try_from(length).unwrap_or(u64::MAX);
            if size_bytes > MAX_DISCARDED_BYTES {
                return false;
            }
        }
        true
    });
    discarded.await.unwrap_or(false)
}
