//! A bound on the bytes that a server may send.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that fails once more bytes arrive than its [`ByteBound`] allows.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    bound: ByteBound,
}

/// Sets how many bytes a [`BoundedStream`] accepts.
///
/// All bytes count: also those of informational answers, chunk extensions and trailers.
#[derive(Clone, Debug)]
pub struct ByteBound(Arc<AtomicU64>);

impl BoundedStream {
    /// Bounds the bytes that arrive on a connection.
    #[must_use]
    pub fn new(stream: TcpStream, max_bytes: u64) -> (Self, ByteBound) {
        let bound = ByteBound(Arc::new(AtomicU64::new(max_bytes)));
        (Self { stream, bound: bound.clone() }, bound)
    }
}

impl ByteBound {
    /// Accepts so many bytes from now on.
    pub fn allow(&self, max_bytes: u64) {
        self.0.store(max_bytes, Ordering::Relaxed);
    }

    /// Accepts any number of bytes from now on.
    pub fn lift(&self) {
        self.allow(u64::MAX);
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == u64::MAX {
            return Ok(());
        }
        let left = left.saturating_sub(u64::try_from(bytes).unwrap_or(u64::MAX));
        self.0.store(left, Ordering::Relaxed);
        if left == 0 {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
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
