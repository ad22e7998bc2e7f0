//! Finds requests whose end two readers could place differently.
//!
//! The HTTP library removes a `Content-Length` beside a `Transfer-Encoding`. Such a request could
//! have another end for another reader, so the daemon reads the framing of each connection along
//! with the library and refuses the request.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use http::Request;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The framing of the requests that were read from a connection.
#[derive(Clone, Debug, Default)]
pub struct FramingLog(Arc<Mutex<Scanner>>);

/// A stream whose reads are searched for ambiguous framing.
#[derive(Debug)]
pub struct ScannedStream<S> {
    stream: S,
    log: FramingLog,
}

/// Follows the requests of a connection from byte to byte.
///
/// It keeps no bytes but the start of a field name. Input that the HTTP library refuses may be
/// followed wrongly, as the library reads no request after it.
#[derive(Debug, Default)]
struct Scanner {
    state: State,
    head: Head,
    /// For each head with a transfer encoding that has not been asked for: whether it has a length.
    has_length: VecDeque<bool>,
}

/// What has been read of a head.
#[derive(Debug, Default)]
struct Head {
    has_transfer_encoding: bool,
    content_length: Option<u64>,
}

/// What the next byte belongs to.
#[derive(Clone, Debug, Default)]
enum State {
    /// The first byte of a request line, or an empty line before it.
    #[default]
    Start,
    RequestLine,
    FieldName(Name),
    Length,
    OtherValue,
    SizedBody {
        left_bytes: u64,
    },
    ChunkSize {
        size: u64,
        has_ended: bool,
    },
    /// The bytes of a chunk and the end of its line.
    Chunk {
        left_bytes: u64,
    },
    Trailer {
        is_empty: bool,
    },
    /// The end of a request after which none is accepted.
    End,
}

/// The start of a field name, which is empty in the last line of a head.
#[derive(Clone, Debug, Default)]
struct Name {
    bytes: [u8; MAX_NAME_BYTES],
    length: usize,
}

/// One more than the longest name that is searched for, `transfer-encoding`.
const MAX_NAME_BYTES: usize = 18;
const LINE_END_BYTES: u64 = 2;

impl FramingLog {
    /// Returns whether two readers could find different ends of the next request.
    ///
    /// Has to be called once for each request of the connection, in their order. A request with a
    /// transfer encoding is ambiguous if its head has a `Content-Length` too, or was not found.
    #[must_use]
    pub fn next_is_ambiguous<B>(&self, request: &Request<B>) -> bool {
        request.headers().contains_key(TRANSFER_ENCODING)
            && self.lock().has_length.pop_front().unwrap_or(true)
    }

    fn lock(&self) -> MutexGuard<'_, Scanner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> ScannedStream<S> {
    /// Wraps a stream; the returned log is updated by each read.
    pub fn new(stream: S) -> (Self, FramingLog) {
        let log = FramingLog::default();
        (Self { stream, log: log.clone() }, log)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.log.lock().scan(&buf.filled()[before..]);
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ScannedStream<S> {
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

impl Scanner {
    fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let length = self.step(bytes);
            bytes = &bytes[length..];
        }
    }

    /// Reads at least the first byte; returns how many it has read.
    fn step(&mut self, bytes: &[u8]) -> usize {
        match &mut self.state {
            State::RequestLine | State::OtherValue => {
                let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                    return bytes.len();
                };
                self.state = State::FieldName(Name::default());
                end + 1
            }
            State::SizedBody { left_bytes } => {
                let length = skip(left_bytes, bytes);
                if *left_bytes == 0 {
                    self.state = State::Start;
                }
                length
            }
            State::Chunk { left_bytes } => {
                let length = skip(left_bytes, bytes);
                if *left_bytes == 0 {
                    self.state = State::ChunkSize { size: 0, has_ended: false };
                }
                length
            }
            State::End => bytes.len(),
            _ => {
                self.read_byte(bytes[0]);
                1
            }
        }
    }

    fn read_byte(&mut self, byte: u8) {
        match &mut self.state {
            State::Start if !matches!(byte, b'\r' | b'\n') => {
                self.head = Head::default();
                self.state = State::RequestLine;
            }
            State::FieldName(name) => match byte {
                b':' => self.state = self.head.read_name(name),
                b'\n' => self.end_head(),
                b'\r' => {}
                _ => name.push(byte),
            },
            State::Length => self.state = self.head.read_length(byte),
            State::ChunkSize { size, has_ended } => match (byte, char::from(byte).to_digit(16)) {
                (b'\n', _) if *size == 0 => self.state = State::Trailer { is_empty: true },
                (b'\n', _) => {
                    self.state = State::Chunk { left_bytes: size.saturating_add(LINE_END_BYTES) };
                }
                (_, Some(digit)) if !*has_ended => {
                    *size = size.saturating_mul(16).saturating_add(u64::from(digit));
                }
                _ => *has_ended = true,
            },
            State::Trailer { is_empty } => match byte {
                b'\n' if *is_empty => self.state = State::Start,
                b'\n' => *is_empty = true,
                b'\r' => {}
                _ => *is_empty = false,
            },
            _ => {}
        }
    }

    fn end_head(&mut self) {
        let Head { has_transfer_encoding, content_length } = self.head;
        if has_transfer_encoding {
            self.has_length.push_back(content_length.is_some());
        }
        self.state = match (has_transfer_encoding, content_length) {
            // The HTTP library reads no request after one with both.
            (true, Some(_)) => State::End,
            (true, None) => State::ChunkSize { size: 0, has_ended: false },
            (false, Some(left_bytes @ 1..)) => State::SizedBody { left_bytes },
            (false, _) => State::Start,
        };
    }
}

impl Head {
    fn read_name(&mut self, name: &Name) -> State {
        if name.is(TRANSFER_ENCODING.as_str()) {
            self.has_transfer_encoding = true;
        } else if name.is(CONTENT_LENGTH.as_str()) {
            // The HTTP library accepts a repeated length only if it is the same.
            self.content_length = Some(0);
            return State::Length;
        }
        State::OtherValue
    }

    fn read_length(&mut self, byte: u8) -> State {
        match byte {
            b'\n' => return State::FieldName(Name::default()),
            b'0'..=b'9' => {
                let length = self.content_length.unwrap_or(0);
                let digit = u64::from(byte - b'0');
                self.content_length = Some(length.saturating_mul(10).saturating_add(digit));
            }
            _ => {}
        }
        State::Length
    }
}

impl Name {
    fn push(&mut self, byte: u8) {
        // A longer name is not one that is searched for.
        if let Some(slot) = self.bytes.get_mut(self.length) {
            *slot = byte;
            self.length += 1;
        }
    }

    fn is(&self, name: &str) -> bool {
        self.bytes[..self.length].eq_ignore_ascii_case(name.as_bytes())
    }
}

/// Skips the bytes that are left of a body or chunk; returns how many there are.
fn skip(left_bytes: &mut u64, bytes: &[u8]) -> usize {
    let length = usize::try_from(*left_bytes).unwrap_or(usize::MAX).min(bytes.len());
    *left_bytes -= u64::try_from(length).unwrap_or(*left_bytes);
    length
}
