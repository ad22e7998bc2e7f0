//! A caller's connection that records what is read from it and written to it.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::Clock;

/// A caller's connection that records what is read from it and written to it.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    progress: Arc<StreamProgress>,
}

/// How far the reads and writes of a [`CallerStream`] are.
#[derive(Debug)]
pub struct StreamProgress {
    clock: Clock,
    read_bytes: AtomicU64,
    is_writing: AtomicBool,
    written_at_ms: AtomicU64,
    reads_directly: AtomicBool,
}

impl CallerStream {
    /// Wraps a connection; the returned progress is updated by each read and write.
    #[must_use]
    pub fn new(stream: TcpStream, clock: Clock) -> (Self, Arc<StreamProgress>) {
        let progress = Arc::new(StreamProgress {
            clock,
            read_bytes: AtomicU64::new(0),
            is_writing: AtomicBool::new(false),
            written_at_ms: AtomicU64::new(0),
            reads_directly: AtomicBool::new(false),
        });
        (Self { stream, progress: Arc::clone(&progress) }, progress)
    }

    /// Reads without asking the runtime whether the connection is readable.
    fn read_directly(&self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(buf.initialize_unfilled()) {
            Ok(length) => {
                buf.advance(length);
                Poll::Ready(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl StreamProgress {
    /// Returns the number of bytes read so far.
    #[must_use]
    pub fn read_bytes(&self) -> u64 {
        self.read_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether a part of the last write is left to be written.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        self.is_writing.load(Ordering::Relaxed)
    }

    /// Returns when bytes were written last; 0 if none were.
    #[must_use]
    pub fn written_at_ms(&self) -> u64 {
        self.written_at_ms.load(Ordering::Relaxed)
    }

    /// Sets whether a read that would wait asks the system first.
    ///
    /// The runtime learns only from time to time which connections are readable. A pending read
    /// while this is set shows that nothing has arrived.
    pub fn set_reads_directly(&self, reads_directly: bool) {
        self.reads_directly.store(reads_directly, Ordering::Relaxed);
    }

    fn on_write(&self, size_bytes: usize, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(written_bytes)) => {
                self.written_at_ms.store(self.clock.now_ms(), Ordering::Relaxed);
                self.is_writing.store(*written_bytes < size_bytes, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => self.is_writing.store(false, Ordering::Relaxed),
            Poll::Pending => self.is_writing.store(true, Ordering::Relaxed),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.progress.reads_directly.load(Ordering::Relaxed) {
            read = self.read_directly(buf);
        }
        ready!(read)?;
        let read_bytes = u64::try_from(buf.filled().len() - before).unwrap_or(0);
        self.progress.read_bytes.fetch_add(read_bytes, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.on_write(buf.len(), &written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress.on_write(bufs.iter().map(|buf| buf.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
