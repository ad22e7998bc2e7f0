//! The client side of an exchange.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::{Category, Error, Result};

/// A client of one address; clones share a few connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Connection>>>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    limit_ms: u64,
}

/// A connection; dropping it resets it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// How many unused connections are kept.
const MOST_IDLE: usize = 8;
const DEFAULT_LIMIT_MS: u64 = 1_000;
/// How long a connection is without a word before it is looked whether it still works.
///
/// Some connections go silent without a reset; a watch may wait much longer than this.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// How many looks without an answer end a connection.
const KEEPALIVE_LOOKS: u32 = 2;

impl Call {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            limit_ms: DEFAULT_LIMIT_MS,
        }
    }

    /// Returns the path.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets how long the whole exchange may take.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.limit_ms = limit_ms;
        self
    }
}

impl Client {
    /// Creates a client; nothing is connected yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Arc::default() }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::NotSent`] when no connection could be made, and with
    /// [`Category::Unclear`] when no whole answer came in time. The connections that are
    /// not in use are closed then: what silenced one most likely silenced them all.
    pub async fn call(&self, call: Call) -> Result<Response<Bytes>> {
        let answer = self.exchange(call).await;
        if answer.is_err() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        }
        answer
    }

    async fn exchange(&self, call: Call) -> Result<Response<Bytes>> {
        let deadline = Instant::now() + Duration::from_millis(call.limit_ms);
        let mut connection = timeout_at(deadline, self.connect())
            .await
            .map_err(|_elapsed| Error::report(Category::NotSent, "connecting took too long"))??;
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header("host", self.address.to_string());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| Error::report(Category::NotSent, error))?;
        let exchange = async {
            let response = connection.sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(head, body))
        };
        let answer = timeout_at(deadline, exchange)
            .await
            .map_err(|_elapsed| Error::report(Category::Unclear, "no answer came in time"))?
            .map_err(|error| Error::report(Category::Unclear, error))?;
        self.keep(connection);
        Ok(answer)
    }

    async fn connect(&self) -> Result<Connection> {
        while let Some(mut connection) = self.pop() {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| Error::report(Category::NotSent, error))?;
        set_options(&stream).map_err(|error| Error::report(Category::NotSent, error))?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::report(Category::NotSent, error))?;
        let driver = tokio::spawn(async move {
            // How it ends shows in the answers that are waited for.
            drop(connection.await);
        });
        Ok(Connection { sender, _driver: AbortOnDropHandle::new(driver) })
    }

    fn pop(&self) -> Option<Connection> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MOST_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

/// Has bytes lost with a connection that is dropped, so that an exchange that was given up
/// is not carried out later, and has silent connections found.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_LOOKS);
    socket.set_tcp_keepalive(&keepalive)
}
