//! The body of an answer, and what is given back at its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use route::InFlight;
use telemetry::{Counter, Counters};
use tokio::time::{Duration, Instant, Sleep, sleep};

use crate::Upstream;
use crate::upstream::{Link, Permit};

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body of our own.
    Own(Full<Bytes>),
    /// A server's body, passed on as it comes.
    Passed(Box<Passed>),
}

/// A server's body.
#[derive(Debug)]
pub struct Passed {
    body: Incoming,
    progress: Pin<Box<Sleep>>,
    progress_timeout_ms: u64,
    counters: Arc<Counters>,
    held: Option<Held>,
}

/// What an answer in progress holds.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) link: Link,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) permit: Permit,
    pub(crate) place: Option<ShardPlace>,
}

/// A request's count in the shard that it is sent to; it is given back when dropped.
#[derive(Debug)]
pub(crate) struct ShardPlace {
    in_flight: Arc<InFlight>,
    position: usize,
}

/// An answer that was cut off.
#[derive(Debug)]
pub struct CutOff(&'static str);

impl AnswerBody {
    pub(crate) fn own(text: impl Into<Bytes>) -> Self {
        Self::Own(Full::new(text.into()))
    }

    pub(crate) fn passed(
        body: Incoming,
        progress_timeout_ms: u64,
        counters: Arc<Counters>,
        held: Held,
    ) -> Self {
        let progress = Box::pin(sleep(Duration::from_millis(progress_timeout_ms)));
        let mut passed = Passed { body, progress, progress_timeout_ms, counters, held: Some(held) };
        if passed.body.is_end_stream() {
            passed.finish();
        }
        Self::Passed(Box::new(passed))
    }
}

impl Passed {
    /// Gives back what the answer held; its connection can be used again.
    fn finish(&mut self) {
        if let Some(held) = self.held.take() {
            held.upstream.keep(held.link, None);
            drop(held.permit);
            drop(held.place);
        }
    }

    fn cut_off(&mut self, why: &'static str) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        self.counters.count(Counter::CutOff);
        // The connection goes with the rest of what is held: it must not be used again.
        self.held = None;
        Poll::Ready(Some(Err(CutOff(why))))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        let passed = match &mut *self {
            Self::Own(body) => {
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|_infallible| CutOff("own body failed"));
            }
            Self::Passed(passed) => passed,
        };
        let Poll::Ready(frame) = Pin::new(&mut passed.body).poll_frame(cx) else {
            ready!(passed.progress.as_mut().poll(cx));
            return passed.cut_off("the server sent nothing for too long");
        };
        match frame {
            Some(Ok(frame)) => {
                let deadline = Instant::now() + Duration::from_millis(passed.progress_timeout_ms);
                passed.progress.as_mut().reset(deadline);
                if passed.body.is_end_stream() {
                    passed.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_broken)) => passed.cut_off("the server's answer broke off"),
            None => {
                passed.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Passed(passed) => passed.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Passed(passed) => passed.body.size_hint(),
        }
    }
}

impl ShardPlace {
    pub(crate) fn new(in_flight: &Arc<InFlight>, position: usize) -> Self {
        in_flight.enter(position);
        Self { in_flight: Arc::clone(in_flight), position }
    }
}

impl Drop for ShardPlace {
    fn drop(&mut self) {
        self.in_flight.leave(self.position);
    }
}

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for CutOff {}
