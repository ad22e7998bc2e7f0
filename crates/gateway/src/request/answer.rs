//! The body of an answer to a caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use proxy::{Link, Permit};
use tokio::time::{Duration, Instant, Sleep, sleep};

use crate::request::in_flight::Tracked;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A body that is in memory.
    Whole(Full<Bytes>),
    /// A body that is passed on as it arrives.
    Stream(Box<Stream>),
}

/// A large body whose start is buffered.
#[derive(Debug)]
pub(crate) struct Stream {
    start: VecDeque<Bytes>,
    start_bytes: u64,
    rest: Incoming,
    progress_timeout: Pin<Box<Sleep>>,
    /// When the answer is cut off.
    deadline: Instant,
    // Dropped with the stream, which closes the connection: it would not be reused soon after a
    // large answer.
    _link: Link,
    _permit: Permit,
    /// Counts the request as under way until the caller has read the answer.
    tracked: Option<Arc<Tracked>>,
}

/// An error that ends a body early.
#[derive(Debug)]
pub(crate) struct BodyError(&'static str);

/// How long a server may send nothing in the middle of an answer.
///
/// This is longer than the retransmission of a lost packet, and callers of large answers wait
/// for seconds anyway.
const PROGRESS_TIMEOUT_MS: u64 = 10_000;
/// How long after the request's deadline an answer may go on.
///
/// A server may send bytes without end. An answer that is nearly complete is still passed on.
const MAX_LATE_MS: u64 = 3_000;

impl AnswerBody {
    pub(crate) fn whole(text: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(text.into()))
    }

    pub(crate) fn stream(
        start: VecDeque<Bytes>,
        rest: Incoming,
        link: Link,
        permit: Permit,
        request_deadline: Instant,
    ) -> Self {
        let lengths = start.iter().map(|part| u64::try_from(part.len()).unwrap_or(0));
        let start_bytes = lengths.sum();
        let progress_timeout = Box::pin(sleep(Duration::from_millis(PROGRESS_TIMEOUT_MS)));
        let deadline = request_deadline + Duration::from_millis(MAX_LATE_MS);
        let stream = Stream {
            start,
            start_bytes,
            rest,
            progress_timeout,
            deadline,
            _link: link,
            _permit: permit,
            tracked: None,
        };
        Self::Stream(Box::new(stream))
    }

    /// Counts a request as under way until a large answer has been passed on.
    pub(crate) fn track(&mut self, request: &Arc<Tracked>) {
        if let Self::Stream(stream) = self {
            stream.tracked = Some(Arc::clone(request));
        }
    }
}

impl Stream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(Some(Err(BodyError("the answer goes on long after its deadline"))));
        }
        if let Some(part) = self.start.pop_front() {
            self.start_bytes -= u64::try_from(part.len()).unwrap_or(0);
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
            ready!(self.progress_timeout.as_mut().poll(cx));
            return Poll::Ready(Some(Err(BodyError(
                "the server sent no data within the progress timeout",
            ))));
        };
        let deadline = Instant::now() + Duration::from_millis(PROGRESS_TIMEOUT_MS);
        let deadline = deadline.min(self.deadline);
        self.progress_timeout.as_mut().reset(deadline);
        Poll::Ready(
            frame.map(|frame| frame.map_err(|_broken| BodyError("the server's answer broke off"))),
        )
    }

    fn size(&self) -> Option<u64> {
        self.rest.size_hint().exact().map(|rest| rest + self.start_bytes)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|_infallible| BodyError("the buffered body failed")),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(stream) => stream.start.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(stream) => {
                stream.size().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for BodyError {}
