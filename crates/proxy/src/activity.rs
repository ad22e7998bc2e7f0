//! What a caller's connection is used for, and when it can be closed.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};
use tokio::time::sleep_until;

use crate::{Clock, StreamProgress};

/// What has happened on a caller's connection.
#[derive(Debug)]
pub struct Activity {
    clock: Clock,
    progress: Arc<StreamProgress>,
    accepted_at_ms: u64,
    begun: AtomicU32,
    in_flight: AtomicU32,
    /// When the last request ended.
    ended_at_ms: AtomicU64,
    /// How many bytes had been read when the last request ended.
    ended_at_bytes: AtomicU64,
}

/// Why a connection should be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseCause {
    /// The process stops.
    Stop,
    /// The connection has been idle for too long.
    IdleTimeout,
}

/// How a connection that should be closed ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// It goes on: another request has begun.
    Continue,
    /// It is closed after the request in flight, if there is one.
    Finish,
    /// It has ended, or its caller sends no whole head.
    Drop,
}

/// The body of an answer; its request is in flight until the whole body has been read from it.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _in_flight: RequestGuard,
}

/// Counts a request of a connection as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<Activity>);

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Use {
    /// No byte of its first request has been read.
    New,
    /// A part of the head of a request has been read.
    Head,
    /// A request is read, run or answered.
    Request,
    /// All requests have been answered.
    Idle,
}

/// What to do next with a connection that should be closed.
enum Next {
    End(Close),
    /// Wait until this time for a request.
    Wait {
        deadline_ms: u64,
    },
}

/// How long a new connection is kept for its first request when the process stops.
///
/// The request may still be on its way, and its first packet may have to be sent again.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 500;

impl Activity {
    /// Creates the activity of a connection that has just been accepted.
    #[must_use]
    pub fn new(clock: Clock, progress: Arc<StreamProgress>) -> Arc<Self> {
        let now_ms = clock.now_ms();
        Arc::new(Self {
            clock,
            progress,
            accepted_at_ms: now_ms,
            begun: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            ended_at_ms: AtomicU64::new(now_ms),
            ended_at_bytes: AtomicU64::new(0),
        })
    }

    /// Counts a request whose head has arrived.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> RequestGuard {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Returns since when no request is in flight; `None` while one is.
    #[must_use]
    pub fn idle_since_ms(&self) -> Option<u64> {
        let since_ms = self.ended_at_ms.load(Ordering::Relaxed).max(self.progress.written_at_ms());
        (self.current_use() != Use::Request).then_some(since_ms)
    }

    /// Waits for requests that have arrived on a connection, or are about to, before it is closed.
    ///
    /// The HTTP library closes a connection between two requests even if bytes of the next one have
    /// arrived. The head of a request has to be complete within `head_timeout_ms`.
    pub async fn wait_to_close<C: Future>(
        &self,
        mut connection: Pin<&mut C>,
        cause: CloseCause,
        head_timeout_ms: u64,
    ) -> Close {
        let begun = self.begun.load(Ordering::Relaxed);
        let head_deadline_ms = self.clock.now_ms().saturating_add(head_timeout_ms);
        loop {
            self.progress.set_reads_directly(true);
            let has_ended =
                poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx).is_ready())).await;
            self.progress.set_reads_directly(false);
            if has_ended {
                return Close::Drop;
            }
            let current_use = self.current_use();
            let deadline_ms = match self.next(cause, begun, head_deadline_ms) {
                Next::Wait { deadline_ms } => deadline_ms,
                Next::End(close) => return close,
            };
            let has_ended = tokio::select! {
                has_ended = poll_fn(|cx| match connection.as_mut().poll(cx) {
                    Poll::Ready(_) => Poll::Ready(true),
                    Poll::Pending if self.current_use() != current_use => Poll::Ready(false),
                    Poll::Pending => Poll::Pending,
                }) => has_ended,
                () = sleep_until(self.clock.to_instant(deadline_ms)) => false,
            };
            if has_ended {
                return Close::Drop;
            }
        }
    }

    fn current_use(&self) -> Use {
        let is_in_flight = self.in_flight.load(Ordering::Relaxed) > 0;
        if is_in_flight || self.progress.is_writing() {
            Use::Request
        } else if self.progress.read_bytes() > self.ended_at_bytes.load(Ordering::Relaxed) {
            Use::Head
        } else if self.begun.load(Ordering::Relaxed) == 0 {
            Use::New
        } else {
            Use::Idle
        }
    }

    /// Decides what to do with a connection of which all that has arrived has been read.
    ///
    /// `begun` is the number of its requests when it was to be closed.
    fn next(&self, cause: CloseCause, begun: u32, head_deadline_ms: u64) -> Next {
        let now_ms = self.clock.now_ms();
        let first_deadline_ms = self.accepted_at_ms + FIRST_REQUEST_TIMEOUT_MS;
        let is_used_again = self.begun.load(Ordering::Relaxed) > begun;
        match (self.current_use(), cause) {
            (Use::Request, CloseCause::IdleTimeout) => Next::End(Close::Continue),
            (Use::Idle, CloseCause::IdleTimeout) if is_used_again => Next::End(Close::Continue),
            (Use::New, CloseCause::Stop) if now_ms < first_deadline_ms => {
                Next::Wait { deadline_ms: first_deadline_ms }
            }
            (Use::Head, _) if now_ms < head_deadline_ms => {
                Next::Wait { deadline_ms: head_deadline_ms }
            }
            (Use::Head, _) => Next::End(Close::Drop),
            (Use::Request | Use::New | Use::Idle, _) => Next::End(Close::Finish),
        }
    }
}

impl<B> TrackedBody<B> {
    /// Tracks the body of the answer to a request.
    pub fn new(body: B, in_flight: RequestGuard) -> Self {
        Self { body, _in_flight: in_flight }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Self(activity) = self;
        activity.ended_at_ms.store(activity.clock.now_ms(), Ordering::Relaxed);
        activity.ended_at_bytes.store(activity.progress.read_bytes(), Ordering::Relaxed);
        activity.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
