//! The body of an answer, and the resources that are released at its end.

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
    /// A body that the daemon wrote itself.
    Own(Full<Bytes>),
    /// A server's body, forwarded as it arrives.
    Forwarded(Box<ForwardedBody>),
}

/// A server's body, with the resources that are in use until it ends.
#[derive(Debug)]
pub struct ForwardedBody {
    body: Incoming,
    /// Elapses when the body has made no progress for `progress_timeout_ms`.
    progress_timer: Pin<Box<Sleep>>,
    progress_timeout_ms: u64,
    counters: Arc<Counters>,
    /// `None` once the body has ended or was cut off.
    resources: Option<AnswerResources>,
}

/// The resources that an answer in progress uses.
#[derive(Debug)]
pub(crate) struct AnswerResources {
    pub(crate) link: Link,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) permit: Permit,
    /// `None` for a request without a shard.
    pub(crate) in_flight: Option<InFlightGuard>,
}

/// Counts a request as in flight to its shard until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: Arc<InFlight>,
    route_position: usize,
}

/// Tells why an answer was cut off.
#[derive(Debug)]
pub struct CutOff(&'static str);

impl AnswerBody {
    pub(crate) fn own(text: impl Into<Bytes>) -> Self {
        Self::Own(Full::new(text.into()))
    }

    pub(crate) fn forwarded(
        body: Incoming,
        progress_timeout_ms: u64,
        counters: Arc<Counters>,
        resources: AnswerResources,
    ) -> Self {
        let progress_timer = Box::pin(sleep(Duration::from_millis(progress_timeout_ms)));
        let mut forwarded = ForwardedBody {
            body,
            progress_timer,
            progress_timeout_ms,
            counters,
            resources: Some(resources),
        };
        if forwarded.body.is_end_stream() {
            forwarded.finish();
        }
        Self::Forwarded(Box::new(forwarded))
    }
}

impl ForwardedBody {
    /// Releases the resources and keeps the connection for another request.
    fn finish(&mut self) {
        if let Some(resources) = self.resources.take() {
            resources.upstream.keep(resources.link, None);
            drop(resources.permit);
            drop(resources.in_flight);
        }
    }

    fn cut_off(&mut self, reason: &'static str) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        self.counters.count(Counter::CutOff);
        // This also closes the connection, which must not be used again.
        self.resources = None;
        Poll::Ready(Some(Err(CutOff(reason))))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        let forwarded = match &mut *self {
            Self::Own(body) => {
                return Pin::new(body)
                    .poll_frame(cx)
                    .map_err(|_infallible| CutOff("the daemon's own body failed"));
            }
            Self::Forwarded(forwarded) => forwarded,
        };
        let Poll::Ready(frame) = Pin::new(&mut forwarded.body).poll_frame(cx) else {
            ready!(forwarded.progress_timer.as_mut().poll(cx));
            return forwarded.cut_off("the server sent no data within the progress timeout");
        };
        match frame {
            Some(Ok(frame)) => {
                let deadline =
                    Instant::now() + Duration::from_millis(forwarded.progress_timeout_ms);
                forwarded.progress_timer.as_mut().reset(deadline);
                if forwarded.body.is_end_stream() {
                    forwarded.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_broken)) => {
                forwarded.cut_off("the connection to the server broke before the answer ended")
            }
            None => {
                forwarded.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Forwarded(forwarded) => forwarded.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Forwarded(forwarded) => forwarded.body.size_hint(),
        }
    }
}

impl InFlightGuard {
    pub(crate) fn new(in_flight: &Arc<InFlight>, route_position: usize) -> Self {
        in_flight.enter(route_position);
        Self { in_flight: Arc::clone(in_flight), route_position }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.leave(self.route_position);
    }
}

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for CutOff {}
