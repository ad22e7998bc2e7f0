//! The bytes of requests' heads as they came.
//!
//! The HTTP library hides a `Content-Length` beside a `Transfer-Encoding`. Two readers
//! could find different ends of such a request, so it has to be seen and refused.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::Request;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The latest bytes that a caller has sent.
#[derive(Clone, Debug, Default)]
pub struct RawBytes(Arc<Mutex<Vec<u8>>>);

/// A stream whose latest bytes are kept.
#[derive(Debug)]
pub struct Watched<S> {
    stream: S,
    bytes: RawBytes,
}

/// How many bytes are kept: more than the largest head with what is read beside it.
const MOST_KEPT: usize = 128 << 10;
const LINE_END: &[u8] = b"\r\n";

impl RawBytes {
    /// Returns whether a request's end is not clear.
    ///
    /// Only a request with a transfer encoding is looked for among the bytes; one that is
    /// not found there is not clear either.
    #[must_use]
    pub fn is_ambiguous<B>(&self, request: &Request<B>) -> bool {
        if !request.headers().contains_key(TRANSFER_ENCODING) {
            return false;
        }
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let line = format!("{} {target} HTTP/1.1\r\n", request.method());
        let bytes = self.lock();
        let Some(start) = rfind(&bytes, line.as_bytes()) else { return true };
        let head = &bytes[start + line.len()..];
        has_length(head)
    }

    fn keep(&self, bytes: &[u8]) {
        let mut kept = self.lock();
        if kept.len() + bytes.len() > MOST_KEPT {
            kept.clear();
        }
        kept.extend_from_slice(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Watched<S> {
    /// Watches a stream.
    pub fn new(stream: S) -> (Self, RawBytes) {
        let bytes = RawBytes::default();
        (Self { stream, bytes: bytes.clone() }, bytes)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.bytes.keep(&buf.filled()[before..]);
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Returns whether a head, up to its empty line, has a length.
fn has_length(head: &[u8]) -> bool {
    let name = CONTENT_LENGTH.as_str().as_bytes();
    let mut rest = head;
    while let Some(end) = find(rest, LINE_END) {
        let line = &rest[..end];
        if line.is_empty() {
            return false;
        }
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        if line[..colon].trim_ascii().eq_ignore_ascii_case(name) {
            return true;
        }
        rest = &rest[end + LINE_END.len()..];
    }
    // A head without an end is none that the library took.
    true
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn rfind(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|window| window == wanted)
}
