//! Connections of callers that tell whether a daemon has read a request.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};

/// A connection to a daemon, for one request at a time.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Exchange {
    /// With a complete answer.
    Answer(Answer),
    /// With the end of the connection, before the answer was complete.
    Cut {
        /// Whether the daemon had read the whole request.
        has_read: bool,
    },
    /// With bytes that are no answer.
    Invalid(String),
    /// With the caller's deadline.
    Expired,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// The answer with its whole body.
    pub response: Response<Bytes>,
    /// Whether the daemon closes the connection after the answer.
    pub closes: bool,
}

/// A request in the form in which it is sent.
#[derive(Debug)]
pub struct RequestBytes {
    /// The head, and the body or its first part.
    pub first: Vec<u8>,
    /// The rest of the body, and how long after the first part it is sent.
    pub rest: Option<(Duration, Vec<u8>)>,
}

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a reset may arrive after the end of the daemon's side.
const RESET_DELAY: Duration = Duration::from_millis(50);
const MAX_HEADERS: usize = 64;

impl CallerConnection {
    /// Opens a connection; returns `None` if that fails.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        // An error is ignored: without this option requests are only delayed.
        drop(stream.set_nodelay(true));
        Some(Self { stream })
    }

    /// Sends a request and reads its answer; `sent_at` is set when its last byte has been sent.
    pub async fn exchange(
        &mut self,
        request: &RequestBytes,
        deadline: Instant,
        sent_at: &mut Option<Instant>,
    ) -> Exchange {
        let exchange = async {
            if !self.send(request).await {
                return Exchange::Cut { has_read: false };
            }
            *sent_at = Some(Instant::now());
            self.read_answer().await
        };
        timeout_at(deadline, exchange).await.unwrap_or(Exchange::Expired)
    }

    async fn send(&mut self, request: &RequestBytes) -> bool {
        if self.stream.write_all(&request.first).await.is_err() {
            return false;
        }
        let Some((delay, rest)) = &request.rest else { return true };
        sleep(*delay).await;
        self.stream.write_all(rest).await.is_ok()
    }

    async fn read_answer(&mut self) -> Exchange {
        let mut bytes = Vec::new();
        loop {
            match parse(&bytes) {
                Ok(Some(answer)) => return Exchange::Answer(answer),
                Ok(None) => {}
                Err(error) => return Exchange::Invalid(error),
            }
            match self.stream.read_buf(&mut bytes).await {
                // A part of an answer shows that the daemon had read the request.
                Ok(0) if !bytes.is_empty() => return Exchange::Cut { has_read: true },
                Ok(0) => return Exchange::Cut { has_read: !self.is_reset_soon().await },
                Ok(_) => {}
                Err(_) => return Exchange::Cut { has_read: !bytes.is_empty() },
            }
        }
    }

    /// Returns whether a reset follows the end of the daemon's side of the connection.
    ///
    /// A socket that is closed with unread bytes, or gets bytes after it was closed, sends a
    /// reset. Without one the daemon had read everything that was sent.
    async fn is_reset_soon(&self) -> bool {
        sleep(RESET_DELAY).await;
        self.stream.try_write(b"\r\n").is_err()
    }
}

/// Parses an answer; returns `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are no answer, have no length or go on after it.
fn parse(bytes: &[u8]) -> Result<Option<Answer>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head
        .parse(bytes)
        .map_err(|error| format!("bytes that are no answer ({error}): {}", bytes.escape_ascii()))?;
    let httparse::Status::Complete(head_len) = parsed else { return Ok(None) };
    let mut fields = HeaderMap::new();
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|e| e.to_string())?;
        fields.append(name, HeaderValue::from_bytes(header.value).map_err(|e| e.to_string())?);
    }
    let text = |name| fields.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let length: usize = text(CONTENT_LENGTH)
        .and_then(|length| length.parse().ok())
        .ok_or_else(|| format!("an answer without a length: {}", bytes.escape_ascii()))?;
    let closes = text(CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let body = &bytes[head_len..];
    if body.len() < length {
        return Ok(None);
    }
    if body.len() > length {
        return Err(format!("bytes after an answer: {}", body[length..].escape_ascii()));
    }
    let status = StatusCode::from_u16(head.code.unwrap_or(0)).map_err(|e| e.to_string())?;
    let mut response = Response::new(Bytes::copy_from_slice(body));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    Ok(Some(Answer { response, closes }))
}
