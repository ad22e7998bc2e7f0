//! The HTTP client, which reads each answer as a whole.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::{BoundedStream, ByteBound, Category, Error, Result};

/// A client of one address; clones share a pool of idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Arc<Mutex<Idle>>,
}

/// Identifies a connection of a client. Answers on kept connections have it as an extension.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionId(pub u64);

/// The connections that further calls may use.
#[derive(Debug)]
struct Idle {
    connections: Vec<Connection>,
    /// The connections that calls use at the moment.
    used: Vec<ConnectionId>,
    last_id: u64,
    /// The number of failed calls so far. Connections that were opened before the last failure are
    /// not used again.
    failures: u64,
    /// Closes the connections without probes that have been idle for too long.
    closing_task: Option<AbortOnDropHandle<()>>,
}

/// A request to send with [`Client::call`].
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    timeout_ms: u64,
    /// How often the request is sent again beside those without an answer.
    max_repeats: u32,
    /// How long a body may take that goes on arriving; `None` if the timeout applies to it.
    body_time: Option<BodyTime>,
    max_answer_bytes: u64,
    /// Whether the connection is closed unless the answer has status 200.
    closes_on_refusal: bool,
    choice: Choice,
    mark: Option<Mark>,
    /// Whether the kernel may end the connection while the call waits.
    is_probed: bool,
}

/// The connection that a call uses.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// Any idle one, or a new one.
    Any,
    /// This one once it is idle or, if it has ended, any other.
    Preferred(ConnectionId),
    /// This one; the call is not sent if it has ended.
    Required(ConnectionId),
    /// A new one, which no other call uses.
    Own,
}

/// A header by which the answer to a call is told from copies of earlier answers.
#[derive(Clone, Copy, Debug)]
enum Mark {
    /// The answer has a value of it that no earlier answer on the connection had.
    New(&'static str),
    /// The answer does not have it.
    Absent(&'static str),
}

/// How long the body of an answer may take.
#[derive(Clone, Copy, Debug)]
struct BodyTime {
    max_ms: u64,
    part_timeout_ms: u64,
}

/// An open connection; dropping it resets the TCP connection.
#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    bound: ByteBound,
    /// The number of failed calls when it was opened.
    failures: u64,
    /// The values of the marking header in the answers so far.
    marks: Vec<HeaderValue>,
    /// Whether the kernel sends keepalive probes.
    is_probed: bool,
    /// The time from which the connection, while idle, is no longer used.
    reuse_deadline: Instant,
    _driver_task: AbortOnDropHandle<()>,
}

/// An answer whose head has arrived.
struct Begun<'a> {
    connection: Connection,
    usage: Usage<'a>,
    head: Parts,
    body: Incoming,
}

/// Removes a connection from those in use when its call ends.
struct Usage<'a> {
    idle: &'a Mutex<Idle>,
    id: ConnectionId,
}

/// The number of marked answers after which a connection is closed.
const MAX_MARKS: usize = 64;
/// How long a call waits for the connection that it prefers: several round trips between distant data
/// centres, as calls that are sent together may prefer the same one.
const MAX_PREFERRED_WAIT: Duration = Duration::from_millis(100);
/// How often a call looks whether the connection that it requires is idle.
const USED_POLL_INTERVAL: Duration = Duration::from_millis(2);
const MAX_IDLE_CONNECTIONS: usize = 32;
const DEFAULT_TIMEOUT_MS: u64 = 1_000;
/// The longest answer to a call that sets no other limit.
///
/// The platform's store answers with pages of about 1 MB, but watches have no stated limit.
const DEFAULT_MAX_ANSWER_BYTES: u64 = 64 << 20;
/// The buffer of a connection, and so the longest head of an answer.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The idle time before the first TCP keepalive probe, and the time between probes.
///
/// A connection can go silent without a reset. A watch may wait much longer than this for its
/// answer, so without probes only its timeout would detect that, and late.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// How long an idle connection without keepalive probes is kept.
///
/// It may have gone silent, which costs the next call its whole timeout and holds a descriptor.
const MAX_UNPROBED_IDLE: Duration = Duration::from_secs(3);

impl Call {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            max_repeats: 0,
            body_time: None,
            max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
            closes_on_refusal: false,
            choice: Choice::Any,
            mark: None,
            is_probed: true,
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

    /// Sets how long connecting, sending and reading the answer may take together.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sends the request again each time the timeout passes without an answer, `max_repeats` times at
    /// most, and takes the answer that begins first.
    ///
    /// The earlier ones go on. A call that is ended after the timeout and made again never succeeds on
    /// a link with a longer delay; without another one, it never ends on a silent connection. Only for
    /// requests that may be carried out more than once.
    #[must_use]
    pub fn repeat_beside(mut self, max_repeats: u32) -> Self {
        self.max_repeats = max_repeats;
        self
    }

    /// Gives the body of the answer `max_ms` to arrive, as long as the next part follows soon.
    ///
    /// A long answer takes longer on a slow link than a short timeout allows, and a call that is
    /// repeated would never succeed. Between two parts `part_timeout_ms` may pass.
    #[must_use]
    pub fn body_time(mut self, max_ms: u64, part_timeout_ms: u64) -> Self {
        self.body_time = Some(BodyTime { max_ms, part_timeout_ms });
        self
    }

    /// Sets how many bytes the answer may have, with its head.
    ///
    /// A faulty server may send bytes without end, which would fill the memory of this process.
    #[must_use]
    pub fn max_answer_bytes(mut self, max_answer_bytes: u64) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }

    /// Closes the connection after an answer with a status other than 200.
    ///
    /// A faulty server may write the answer once more, for which the next call would take it.
    #[must_use]
    pub fn close_on_refusal(mut self) -> Self {
        self.closes_on_refusal = true;
        self
    }

    /// Opens a connection for this call alone.
    ///
    /// A faulty server may write an earlier answer once more. On a connection that carried other
    /// calls, it would be taken for the answer to this one.
    #[must_use]
    pub fn on_own_connection(mut self) -> Self {
        self.choice = Choice::Own;
        self
    }

    /// Uses a connection unless it has ended; waits while another call uses it.
    #[must_use]
    pub fn prefer_connection(mut self, connection: ConnectionId) -> Self {
        self.choice = Choice::Preferred(connection);
        self
    }

    /// Uses this connection or, if it has ended, fails with [`Category::NotSent`].
    #[must_use]
    pub fn require_connection(mut self, connection: ConnectionId) -> Self {
        self.choice = Choice::Required(connection);
        self
    }

    /// Closes the connection unless the answer has a new value of a header.
    ///
    /// Without one, the answer may be a copy of an earlier answer. The next call would take the one
    /// that is due.
    #[must_use]
    pub fn marked_by(mut self, header: &'static str) -> Self {
        self.mark = Some(Mark::New(header));
        self
    }

    /// Closes the connection if the answer has a header, as it may be a copy of an earlier answer.
    #[must_use]
    pub fn unmarked_by(mut self, header: &'static str) -> Self {
        self.mark = Some(Mark::Absent(header));
        self
    }

    /// Lets only the call's own deadline or the peer end the connection.
    ///
    /// Keepalive probes may have the kernel end the connection of a peer that is cut off. Then there
    /// is none to reset, and what was sent still arrives when the cut heals, long after the call has
    /// failed. For calls that must not be carried out that late.
    #[must_use]
    pub fn without_probes(mut self) -> Self {
        self.is_probed = false;
        self
    }
}

impl Client {
    /// Creates a client of an address; connections are opened by calls.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        // Identifiers of another client of the address, dropped before, are most likely others.
        let last_id = RandomState::new().build_hasher().finish() >> 1;
        let idle = Idle {
            connections: Vec::new(),
            used: Vec::new(),
            last_id,
            failures: 0,
            closing_task: None,
        };
        Self { address, idle: Arc::new(Mutex::new(idle)) }
    }

    /// Sends a request and returns the answer with its whole body.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::NotSent`] when no connection could be made or the request is
    /// malformed, and with [`Category::Unknown`] when no complete answer arrived in time or it
    /// is too long. A failure also closes all idle connections, which most likely have the same
    /// fault; those in use at that moment carry no further call. The end of a connection that a
    /// call requires is no such failure.
    pub async fn call(&self, call: Call) -> Result<Response<Bytes>> {
        let is_required = matches!(call.choice, Choice::Required(_));
        let answer = self.send(call).await;
        let is_failure = answer.as_ref().is_err_and(|report| {
            !is_required || report.current_context().category() != Category::NotSent
        });
        if is_failure {
            self.lock().on_failure();
        }
        answer
    }

    async fn send(&self, call: Call) -> Result<Response<Bytes>> {
        let (begun, deadline) = self.begin_first(&call).await?;
        let Begun { mut connection, usage: _usage, head, body } = begun;
        let body = match call.body_time {
            Some(body_time) => read_parts(body, deadline, body_time).await?,
            None => in_time(deadline, body.collect()).await?.to_bytes(),
        };
        let mut answer = Response::from_parts(head, body);
        let is_refused = call.closes_on_refusal && answer.status() != StatusCode::OK;
        let id = connection.id;
        let is_own = matches!(call.choice, Choice::Own);
        if is_refused || is_own || !connection.admits(call.mark, answer.headers()) {
            return Ok(answer);
        }
        // A new mark tells the answer from copies even if the connection ends with it.
        let is_marked = matches!(call.mark, Some(Mark::New(_)));
        if self.return_idle(connection) || is_marked {
            answer.extensions_mut().insert(id);
        }
        Ok(answer)
    }

    /// Sends a request, and again while there is no answer, as far as the call allows it.
    ///
    /// Returns the first answer with the deadline for the start of its body.
    async fn begin_first(&self, call: &Call) -> Result<(Begun<'_>, Instant)> {
        let timeout = Duration::from_millis(call.timeout_ms);
        let started_at = Instant::now();
        let last_deadline = started_at + timeout * (call.max_repeats + 1);
        let mut begun = FuturesUnordered::new();
        for sent in 1..=call.max_repeats {
            begun.push(self.begin(call, last_deadline));
            if let Ok(first) = timeout_at(started_at + timeout * sent, first_of(&mut begun)).await {
                return Ok((first?, Instant::now() + timeout));
            }
            // The idle connections may have gone silent too, so that the next request needs a new one.
            self.lock().on_failure();
        }
        begun.push(self.begin(call, last_deadline));
        Ok((first_of(&mut begun).await?, last_deadline))
    }

    /// Sends a request and waits for the head of its answer.
    async fn begin(&self, call: &Call, deadline: Instant) -> Result<Begun<'_>> {
        let mut connection = timeout_at(deadline, self.connect(call.choice, call.is_probed))
            .await
            .map_err(|_elapsed| Error::elapsed(Category::NotSent, "connecting timed out"))??;
        let usage = Usage { idle: &self.idle, id: connection.id };
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(call.path.as_str())
            .header("host", self.address.to_string());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::report(Category::NotSent, error))?;
        connection.bound.allow(call.max_answer_bytes);
        let response = in_time(deadline, connection.sender.send_request(request)).await?;
        let (head, body) = response.into_parts();
        Ok(Begun { connection, usage, head, body })
    }

    async fn connect(&self, choice: Choice, is_probed: bool) -> Result<Connection> {
        match choice {
            Choice::Required(id) => return self.wait_for(id).await,
            Choice::Preferred(id) => {
                let kept = timeout(MAX_PREFERRED_WAIT, self.wait_for(id)).await;
                if let Ok(Ok(connection)) = kept {
                    return Ok(connection);
                }
            }
            Choice::Any | Choice::Own => {}
        }
        let is_own = matches!(choice, Choice::Own);
        while !is_own && let Some(mut connection) = self.pop_idle(is_probed) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
            self.lock().end_use(connection.id);
        }
        let (id, failures) = {
            let mut idle = self.lock();
            idle.last_id += 1;
            let id = ConnectionId(idle.last_id);
            idle.used.push(id);
            (id, idle.failures)
        };
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| Error::report(Category::NotSent, error))?;
        set_socket_options(&stream, is_probed)
            .map_err(|error| Error::report(Category::NotSent, error))?;
        let (stream, bound) = BoundedStream::new(stream, DEFAULT_MAX_ANSWER_BYTES);
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::report(Category::NotSent, error))?;
        let driver_task = tokio::spawn(async move {
            // The error, if any, also reaches the call that waits for an answer.
            drop(connection.await);
        });
        Ok(Connection {
            id,
            marks: Vec::new(),
            sender,
            bound,
            failures,
            is_probed,
            reuse_deadline: Instant::now(),
            _driver_task: AbortOnDropHandle::new(driver_task),
        })
    }

    /// Waits until a connection is idle, and takes it.
    async fn wait_for(&self, id: ConnectionId) -> Result<Connection> {
        let has_ended = || Error::elapsed(Category::NotSent, "the connection has ended");
        loop {
            let (kept, is_used) = {
                let mut idle = self.lock();
                let is_used = idle.used.contains(&id);
                (idle.take(|kept| kept.id == id), is_used)
            };
            if let Some(mut connection) = kept {
                if connection.sender.ready().await.is_ok() {
                    return Ok(connection);
                }
                self.lock().end_use(id);
                return Err(has_ended());
            }
            if !is_used {
                return Err(has_ended());
            }
            sleep(USED_POLL_INTERVAL).await;
        }
    }

    /// Takes the connection that was used last, with or without probes, if it can be used again.
    fn pop_idle(&self, is_probed: bool) -> Option<Connection> {
        self.lock().take(|kept| kept.is_probed == is_probed)
    }

    /// Keeps a connection for further calls, and returns whether it can be used by them.
    fn return_idle(&self, mut connection: Connection) -> bool {
        connection.reuse_deadline = Instant::now() + MAX_UNPROBED_IDLE;
        let mut idle = self.lock();
        let is_usable = connection.failures == idle.failures
            && !connection.sender.is_closed()
            && connection.marks.len() < MAX_MARKS;
        if !is_usable || idle.connections.len() >= MAX_IDLE_CONNECTIONS {
            return false;
        }
        let must_be_closed = !connection.is_probed;
        idle.connections.push(connection);
        let is_closing = idle.closing_task.as_ref().is_some_and(|task| !task.is_finished());
        if must_be_closed && !is_closing {
            let task = tokio::spawn(close_unused(Arc::downgrade(&self.idle)));
            idle.closing_task = Some(AbortOnDropHandle::new(task));
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns whether an answer is the one that is due, as far as its mark tells.
    fn admits(&mut self, mark: Option<Mark>, headers: &HeaderMap) -> bool {
        match mark {
            None => true,
            Some(Mark::Absent(header)) => !headers.contains_key(header),
            Some(Mark::New(header)) => {
                let value = headers.get(header).filter(|value| !self.marks.contains(value));
                self.marks.extend(value.cloned());
                value.is_some()
            }
        }
    }
}

impl Drop for Usage<'_> {
    fn drop(&mut self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.end_use(self.id);
    }
}

impl Idle {
    /// Takes the last connection for which `is_wanted` returns true, and counts it as used.
    fn take(&mut self, is_wanted: impl Fn(&Connection) -> bool) -> Option<Connection> {
        self.close_unused(Instant::now());
        let position = self.connections.iter().rposition(is_wanted)?;
        let connection = self.connections.remove(position);
        self.used.push(connection.id);
        Some(connection)
    }

    /// Closes all connections; those in use carry no further call.
    fn on_failure(&mut self) {
        self.connections.clear();
        self.failures += 1;
    }

    /// Removes a connection from those in use.
    fn end_use(&mut self, id: ConnectionId) {
        if let Some(position) = self.used.iter().position(|used| *used == id) {
            self.used.swap_remove(position);
        }
    }

    /// Closes the connections without probes that have been idle for too long, and returns when the
    /// next one will have been.
    fn close_unused(&mut self, now: Instant) -> Option<Instant> {
        self.connections.retain(|kept| kept.is_probed || now < kept.reuse_deadline);
        let unprobed = self.connections.iter().filter(|kept| !kept.is_probed);
        unprobed.map(|kept| kept.reuse_deadline).min()
    }
}

/// Returns the first answer to begin, or the last failure once no request is left.
async fn first_of<T>(
    requests: &mut FuturesUnordered<impl Future<Output = Result<T>>>,
) -> Result<T> {
    let mut failure = Error::elapsed(Category::NotSent, "no request was sent");
    while let Some(begun) = requests.next().await {
        match begun {
            Ok(begun) => return Ok(begun),
            // A request that may have been carried out is the one to report.
            Err(report) if failure.current_context().category() == Category::NotSent => {
                failure = report;
            }
            Err(_) => {}
        }
    }
    Err(failure)
}

/// Waits for a part of the answer until a deadline.
async fn in_time<T>(deadline: Instant, part: impl Future<Output = hyper::Result<T>>) -> Result<T> {
    timeout_at(deadline, part)
        .await
        .map_err(|_elapsed| Error::elapsed(Category::Unknown, "no complete answer in time"))?
        .map_err(|error| Error::report(Category::Unknown, error))
}

/// Reads a body part by part; each may arrive until the call's deadline or soon after the one before.
async fn read_parts(mut body: Incoming, deadline: Instant, time: BodyTime) -> Result<Bytes> {
    let last_deadline = deadline.max(Instant::now() + Duration::from_millis(time.max_ms));
    let mut read = BytesMut::new();
    loop {
        let soon = Instant::now() + Duration::from_millis(time.part_timeout_ms);
        let next = async { body.frame().await.transpose() };
        match in_time(soon.max(deadline).min(last_deadline), next).await? {
            Some(frame) => read.extend_from_slice(frame.data_ref().map_or(&[], AsRef::as_ref)),
            None => return Ok(read.freeze()),
        }
    }
}

/// Closes a client's connections without probes as they become too old, until there is none.
async fn close_unused(idle: Weak<Mutex<Idle>>) {
    loop {
        let Some(idle) = idle.upgrade() else { return };
        let next = idle.lock().unwrap_or_else(PoisonError::into_inner).close_unused(Instant::now());
        drop(idle);
        let Some(deadline) = next else { return };
        sleep_until(deadline).await;
    }
}

/// Sets the socket options of a new connection.
///
/// A linger time of zero discards unsent bytes when the connection is dropped, so that a call
/// that was abandoned is not carried out later. Keepalive probes find silent connections.
fn set_socket_options(stream: &TcpStream, is_probed: bool) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    if !is_probed {
        return Ok(());
    }
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
