//! Answers whose bodies go on without end.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use tokio::time::{Duration, Instant, Sleep, sleep};

use crate::ServerFaults;

/// A body without end, in parts.
#[derive(Debug)]
pub struct EndlessBody {
    next_part: Pin<Box<Sleep>>,
}

static PART: [u8; 32 << 10] = [b'x'; 32 << 10];
/// Callers collect what they get for up to 3 s, so an unlimited rate would fill their memory.
const PART_INTERVAL: Duration = Duration::from_millis(5);

/// Replaces the body of an answer with status 200 by one without end if that fault is drawn.
#[must_use]
pub fn to_faulty(
    answer: Response<Full<Bytes>>,
    faults: &ServerFaults,
) -> Response<Either<Full<Bytes>, EndlessBody>> {
    let is_endless = answer.status() == StatusCode::OK && faults.sends_endless_answer();
    answer.map(|body| {
        if is_endless {
            Either::Right(EndlessBody { next_part: Box::pin(sleep(Duration::ZERO)) })
        } else {
            Either::Left(body)
        }
    })
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        ready!(self.next_part.as_mut().poll(cx));
        self.next_part.as_mut().reset(Instant::now() + PART_INTERVAL);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&PART)))))
    }
}
