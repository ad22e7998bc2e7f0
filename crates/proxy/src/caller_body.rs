//! The body of a caller's request, and what a refusal leaves unread of it.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Duration, timeout};

use crate::Activity;

/// The body of a caller's request; when it is dropped, its rest can be read elsewhere.
#[derive(Debug)]
pub struct CallerBody {
    /// `None` once all of it has been read.
    body: Option<Incoming>,
    rest: BodyRest,
}

/// The rest of a body, which a refusal leaves unread.
#[derive(Clone, Debug, Default)]
pub struct BodyRest(Arc<Mutex<Option<Incoming>>>);

/// Whether refused requests leave something unread when their connection ends.
///
/// If a connection ends with unread bytes, the system resets it, and the caller may lose the
/// answer. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Unread(Arc<AtomicBool>);

/// How much of a refused request is read and discarded.
///
/// A caller that is still sending may miss the answer if its connection ends. Larger bodies are
/// not worth their cost.
const MAX_DISCARDED_BYTES: u64 = 1 << 20;
/// How long the rest of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const DISCARD_BUFFER_BYTES: usize = 8_192;

impl CallerBody {
    /// Wraps a body; the returned rest is set when the wrapper is dropped.
    #[must_use]
    pub fn new(body: Incoming) -> (Self, BodyRest) {
        let body = Some(body).filter(|body| !body.is_end_stream());
        let rest = BodyRest::default();
        (Self { body, rest: rest.clone() }, rest)
    }
}

impl BodyRest {
    /// Returns what was not read of a body, if there is any.
    fn take(&self) -> Option<Incoming> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Unread {
    /// Records that something is left unread.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Starts to read the rest of a request that was answered, so that the caller can send all of it.
    ///
    /// Returns false if the rest is left unread, after which the connection cannot be used further.
    #[must_use]
    pub fn discard_rest(
        &self,
        rest: &BodyRest,
        may_discard: bool,
        activity: &Arc<Activity>,
    ) -> bool {
        let Some(rest) = rest.take() else { return true };
        if !may_discard || rest.size_hint().lower() > MAX_DISCARDED_BYTES {
            self.set();
            return false;
        }
        let (unread, in_flight) = (self.clone(), activity.begin());
        // It ends with the body, the connection or its timeout.
        tokio::spawn(async move {
            if !discard_body(rest).await {
                unread.set();
            }
            drop(in_flight);
        });
        true
    }

    /// Reads what a caller still sends on a connection that was closed for writing, if something was
    /// left unread on it.
    pub async fn discard<S: AsyncRead + Unpin>(&self, mut stream: S) {
        if !self.0.load(Ordering::Relaxed) {
            return;
        }
        let mut bytes = vec![0; DISCARD_BUFFER_BYTES];
        let discarded = timeout(DISCARD_TIMEOUT, async {
            let mut size_bytes = 0;
            while size_bytes < MAX_DISCARDED_BYTES {
                match stream.read(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    Ok(length) => size_bytes += u64::try_from(length).unwrap_or(u64::MAX),
                }
            }
        });
        // A caller that still sends then is cut off.
        drop(discarded.await);
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
async fn discard_body(mut body: Incoming) -> bool {
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
