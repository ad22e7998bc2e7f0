//! The body of an answer to a caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use proxy::{Link, Permit};
use tokio::time::{Duration, Instant, Sleep, sleep};

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A body that is here whole.
    Whole(Full<Bytes>),
    /// A body that is passed on as it comes.
    Stream(Box<Stream>),
}

/// A large body, whose start is here.
#[derive(Debug)]
pub(crate) struct Stream {
    start: VecDeque<Bytes>,
    start_bytes: u64,
    rest: Incoming,
    progress: Pin<Box<Sleep>>,
    // The connection ends with the stream: nothing follows a large answer soon.
    _link: Link,
    _permit: Permit,
}

/// An answer that was cut off.
#[derive(Debug)]
pub(crate) struct CutOff(&'static str);

/// How long a server may send nothing in the middle of an answer.
///
/// Longer than a lost packet's repetition; callers of large answers wait seconds.
const PROGRESS_MS: u64 = 10_000;

impl AnswerBody {
    pub(crate) fn own(text: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(text.into()))
    }

    pub(crate) fn stream(
        start: VecDeque<Bytes>,
        rest: Incoming,
        link: Link,
        permit: Permit,
    ) -> Self {
        let lengths = start.iter().map(|part| u64::try_from(part.len()).unwrap_or(0));
        let start_bytes = lengths.sum();
        let progress = Box::pin(sleep(Duration::from_millis(PROGRESS_MS)));
        let stream = Stream { start, start_bytes, rest, progress, _link: link, _permit: permit };
        Self::Stream(Box::new(stream))
    }
}

impl Stream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if let Some(part) = self.start.pop_front() {
            self.start_bytes -= u64::try_from(part.len()).unwrap_or(0);
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
            ready!(self.progress.as_mut().poll(cx));
            return Poll::Ready(Some(Err(CutOff("the server sent nothing for too long"))));
        };
        let deadline = Instant::now() + Duration::from_millis(PROGRESS_MS);
        self.progress.as_mut().reset(deadline);
        Poll::Ready(
            frame.map(|frame| frame.map_err(|_broken| CutOff("the server's answer broke off"))),
        )
    }

    fn size(&self) -> Option<u64> {
        self.rest.size_hint().exact().map(|rest| rest + self.start_bytes)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match &mut *self {
            Self::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|_infallible| CutOff("own body failed"))
            }
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

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for CutOff {}
