//! A bound on the bytes that a server may send before the head of its answer is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that may arrive before the head of an answer is complete.
///
/// Informational answers, which may come without end, count too.
const MAX_HEAD_BYTES: u64 = 128 * 1024;

/// A connection that fails when an answer's head is too long.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    bound: HeadBound,
}

/// Tells a [`BoundedStream`] when a head is awaited.
#[derive(Clone, Debug)]
pub(crate) struct HeadBound(Arc<AtomicU64>);

impl BoundedStream {
    /// Bounds the heads of answers that arrive on a connection.
    pub(crate) fn new(stream: TcpStream) -> (Self, HeadBound) {
        let bound = HeadBound(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)));
        (Self { stream, bound: bound.clone() }, bound)
    }
}

impl HeadBound {
    /// Starts to count the bytes of the next answer.
    pub(crate) fn await_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Stops counting, as the head has arrived.
    pub(crate) fn on_head(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Ok(());
        }
        let left = left.saturating_sub(u64::try_from(bytes).unwrap_or(u64::MAX));
        self.0.store(left, Ordering::Relaxed);
        if left == 0 {
            let message = format!("the head of an answer has more than {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.bound.count(buf.filled().len() - before))
    }
}

impl AsyncWrite for BoundedStream {
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
