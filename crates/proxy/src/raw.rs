//! Records the bytes of a connection, to find heads with ambiguous framing.
//!
//! The HTTP library removes a `Content-Length` next to a `Transfer-Encoding`. Two readers
//! could find different ends of such a request, so the daemon searches the raw bytes for it
//! and refuses the request.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::Request;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The latest bytes that a caller sent on a connection.
#[derive(Clone, Debug, Default)]
pub struct RawBytes(Arc<Mutex<Vec<u8>>>);

/// A stream that records the bytes read from it.
#[derive(Debug)]
pub struct RecordedStream<S> {
    stream: S,
    bytes: RawBytes,
}

/// The largest number of recorded bytes: more than a head of the default limit and what is
/// read with it.
const MAX_RECORDED_BYTES: usize = 128 << 10;
const LINE_END: &[u8] = b"\r\n";

impl RawBytes {
    /// Returns whether two readers could find different ends of a request.
    ///
    /// Only a request with a transfer encoding is searched for in the recorded bytes. It is
    /// ambiguous if its head has a `Content-Length` or is not found.
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
        has_content_length(head)
    }

    fn record(&self, bytes: &[u8]) {
        let mut recorded = self.lock();
        if recorded.len() + bytes.len() > MAX_RECORDED_BYTES {
            recorded.clear();
        }
        recorded.extend_from_slice(bytes);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> RecordedStream<S> {
    /// Wraps a stream; the returned bytes are updated by each read.
    pub fn new(stream: S) -> (Self, RawBytes) {
        let bytes = RawBytes::default();
        (Self { stream, bytes: bytes.clone() }, bytes)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.bytes.record(&buf.filled()[before..]);
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordedStream<S> {
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

/// Returns whether a head has a `Content-Length` before its empty line, or no empty line.
fn has_content_length(head: &[u8]) -> bool {
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
    // The HTTP library accepts only complete heads, so these bytes are not the request's head.
    true
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}
