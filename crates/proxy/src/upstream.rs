//! Connections to one server and admission of requests to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use document::Server;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use route::{Admission, Arrival, Limit, Limiter, ServerState, Ticket};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;
use web::{BoundedStream, ByteBound};

use crate::{Clock, Stop, WaitEnd};

/// A connection to a server, for one request at a time; dropping it resets it.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// Bounds the bytes that arrive before the head of an answer is complete.
    head_bound: ByteBound,
    /// The task that reads from and writes to the connection.
    _driver: AbortOnDropHandle<()>,
    /// The time from which the connection, while idle, is no longer reused.
    reuse_deadline: Instant,
    /// Whether the connection was opened for its current request.
    is_fresh: bool,
    /// The time until which a reset is not taken as the end of an idle connection.
    recent_use_deadline: Instant,
    /// Whether the connection, when it was taken for its current request, had been used recently.
    is_recently_used: bool,
}

/// The request path's state of one server: admission, idle connections and load.
#[derive(Debug)]
pub struct Upstream {
    server: Server,
    /// The value of the `host` header for requests to the server.
    host: HeaderValue,
    clock: Clock,
    // Locked for a few instructions only, and each server has a lock of its own.
    limiter: Mutex<Limiter<oneshot::Sender<()>>>,
    /// Connections without a request, which can be reused.
    idle: Mutex<Vec<Link>>,
    /// Requests with a permit, read without taking the limiter's lock.
    in_flight: AtomicU32,
    /// The time until which pooled requests avoid the server.
    avoidance_deadline_ms: AtomicU64,
    /// The time until which the server gets no request, read without taking the limiter's lock.
    pause_deadline_ms: AtomicU64,
    /// Whether the limiter's queue is ordered by target, read without taking the limiter's lock.
    is_target_ordered: AtomicBool,
}

/// The right to send one request to a server; dropping it releases it.
#[derive(Debug)]
pub struct Permit {
    upstream: Arc<Upstream>,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionError {
    /// The queue is full, the request was displaced, or the answer is expected too late.
    Overloaded {
        /// By how many milliseconds the answer would be late; 0 if that is unknown or not the
        /// cause.
        late_ms: u64,
    },
    /// The server gets no request for a while.
    Paused {
        /// How long the pause still lasts.
        remaining_ms: u64,
    },
    /// The deadline passed while the request waited.
    Expired,
    /// The process is stopping, and the answer would come after it.
    Stopping,
}

/// How long an idle connection may be reused; the server may be about to close an older one.
const MAX_IDLE_MS: u64 = 5_000;
/// How long a kept connection may take until it is ready for another request.
///
/// A server may answer before it has read a long body; the rest of that is then still being sent.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// The part of the time for which an idle connection is reused in which it counts as recently used.
///
/// A server that closes idle connections does not do so that early, so a reset has another cause.
const RECENT_USE_DIVISOR: u32 = 2;
/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
///
/// It detects connections that were lost without a reset. Half a second is many round trips,
/// even between data centres, and only a fraction of even a short request timeout.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 500;
/// The largest buffer for bytes that have arrived and were not read yet, for each connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The most bytes that may arrive before the head of an answer is complete.
///
/// Informational answers, which may come without end, count too.
const MAX_HEAD_BYTES: u64 = 128 * 1024;
/// How long pooled requests avoid a server after an attempt lost its connection or timed out.
const AVOIDANCE_MS: u64 = 1_000;
/// The largest number of requests that wait for one server.
const MAX_WAITING: usize = 256;

impl Upstream {
    /// Creates the state of a server to which `daemons` daemons send requests.
    ///
    /// # Panics
    ///
    /// Never: an address is a valid header value.
    #[must_use]
    pub fn new(server: Server, daemons: u32, clock: Clock) -> Self {
        let limit = Limit::new(server.slots, daemons);
        let host = HeaderValue::try_from(server.address.to_string())
            .expect("an address has only visible characters");
        Self {
            server,
            host,
            clock,
            limiter: Mutex::new(Limiter::new(limit, MAX_WAITING)),
            idle: Mutex::default(),
            in_flight: AtomicU32::new(0),
            avoidance_deadline_ms: AtomicU64::new(0),
            pause_deadline_ms: AtomicU64::new(0),
            is_target_ordered: AtomicBool::new(false),
        }
    }

    /// Returns the numbers of requests in flight and waiting, and the limit on the former.
    #[must_use]
    pub fn occupancy(&self) -> (u32, usize, u32) {
        let limiter = self.limiter();
        (limiter.in_flight(), limiter.waiting(), limiter.limit())
    }

    /// Waits for the permit to send a request; also returns whether the request had to wait.
    ///
    /// # Errors
    ///
    /// Fails if the server is overloaded, if the deadline passes, or if the answer is expected
    /// after the end of a stop.
    pub async fn acquire(
        self: &Arc<Self>,
        arrival: Arrival,
        stop: &Stop,
    ) -> Result<(Permit, bool), AdmissionError> {
        let (waker, woken) = oneshot::channel();
        let now_ms = self.clock.now_ms();
        if stop.has_begun() && self.limiter().arrival_end_ms(now_ms, &arrival) >= stop.deadline_ms()
        {
            return Err(AdmissionError::Stopping);
        }
        let (admission, wait_deadline_ms) = {
            let mut limiter = self.limiter();
            let admission = limiter.admit(now_ms, arrival, waker);
            (admission, limiter.wait_deadline_ms(arrival.deadline_ms))
        };
        let ticket = match admission {
            Admission::Admit => return Ok((self.permit(), false)),
            Admission::Refuse { late_ms } => return Err(AdmissionError::Overloaded { late_ms }),
            Admission::Paused { remaining_ms } => {
                return Err(AdmissionError::Paused { remaining_ms });
            }
            Admission::Wait(ticket) => ticket,
            Admission::WaitDisplacing(ticket, displaced) => {
                // Dropping the waker ends the wait of the displaced request.
                drop(displaced);
                ticket
            }
        };
        let waiting = Waiting { upstream: self, ticket: Some(ticket), woken };
        let no_room = self.no_room_in_time(ticket, arrival.typical_latency_ms, stop);
        let deadline = self.clock.to_instant(wait_deadline_ms);
        let permit = waiting.wait(deadline, no_room).await?;
        // Requests that a stop ends at its deadline make room for those that wait.
        if stop.has_begun() && self.clock.now_ms() >= stop.deadline_ms() {
            return Err(AdmissionError::Stopping);
        }
        Ok((permit, true))
    }

    /// Waits until a request that waits is expected to be answered only after the end of a stop.
    async fn no_room_in_time(&self, ticket: Ticket, typical_latency_ms: u32, stop: &Stop) {
        stop.begun().await;
        loop {
            let now_ms = self.clock.now_ms();
            let end_ms = self.limiter().waiter_end_ms(now_ms, ticket, typical_latency_ms);
            let Some(slack_ms) = stop.deadline_ms().checked_sub(end_ms) else { return };
            // Unless the queue has moved on by then, there is no more time.
            sleep(Duration::from_millis(slack_ms + 1)).await;
        }
    }

    /// Returns an idle connection that can be reused, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept a connection.
    pub async fn connect(&self) -> std::io::Result<Link> {
        while let Some(mut link) = self.pop_idle() {
            let is_due = Instant::now() < link.reuse_deadline;
            if is_due && matches!(timeout(READY_TIMEOUT, link.sender.ready()).await, Ok(Ok(()))) {
                link.is_fresh = false;
                link.is_recently_used = Instant::now() < link.recent_use_deadline;
                return Ok(link);
            }
        }
        self.connect_new().await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept a connection.
    pub async fn connect_new(&self) -> std::io::Result<Link> {
        Link::open(self.server.address).await
    }

    /// Returns whether there is a connection that can be reused.
    #[must_use]
    pub fn has_idle(&self) -> bool {
        !self.idle.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Returns the value of the `host` header for requests to the server.
    #[must_use]
    pub fn host(&self) -> HeaderValue {
        self.host.clone()
    }

    /// Checks that the server accepts a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept a connection.
    pub async fn probe(&self) -> std::io::Result<()> {
        TcpStream::connect(self.server.address).await.map(drop)
    }

    /// Keeps a connection for reuse after its last answer was read to the end.
    ///
    /// `idle_timeout_ms` is the server's own idle timeout, if the server stated one.
    pub fn keep(&self, mut link: Link, idle_timeout_ms: Option<u64>) {
        if link.sender.is_closed() {
            return;
        }
        // The server measures from its own last byte and may close a little early, so only
        // half of its timeout is used.
        let reuse_ms = idle_timeout_ms.map_or(MAX_IDLE_MS, |timeout_ms| timeout_ms / 2);
        let reuse_time = Duration::from_millis(reuse_ms.min(MAX_IDLE_MS));
        let now = Instant::now();
        link.reuse_deadline = now + reuse_time;
        link.recent_use_deadline = now + reuse_time / RECENT_USE_DIVISOR;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let max_idle = usize::try_from(self.server.slots).unwrap_or(usize::MAX);
        if idle.len() < max_idle {
            idle.push(link);
        }
    }

    /// Closes the idle connections and makes pooled requests avoid the server for a second.
    ///
    /// Called after an attempt lost its connection, could not connect, or timed out.
    pub fn on_connection_loss(&self) {
        self.avoidance_deadline_ms.store(self.clock.now_ms() + AVOIDANCE_MS, Ordering::Relaxed);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Adapts the limit to an answer of the server.
    pub fn on_answer(&self, latency_ms: f64) {
        self.limiter().on_answer(latency_ms);
    }

    /// Adapts the limit after the server shed a request or reset a new connection.
    pub fn on_shed(&self) {
        let now_ms = self.clock.now_ms();
        let mut limiter = self.limiter();
        limiter.on_shed(now_ms);
        self.pause_deadline_ms.store(limiter.pause_deadline_ms(), Ordering::Relaxed);
    }

    /// Adapts the limit after the server reset the connection of a request that was sent
    /// `latency_ms` ago, while it accepted other connections.
    ///
    /// Its other connections stay in use. Pooled requests avoid the server for a second.
    pub fn on_reset(&self, latency_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.avoidance_deadline_ms.store(now_ms + AVOIDANCE_MS, Ordering::Relaxed);
        let mut limiter = self.limiter();
        limiter.on_reset(now_ms, now_ms.saturating_sub(latency_ms));
        self.pause_deadline_ms.store(limiter.pause_deadline_ms(), Ordering::Relaxed);
        self.is_target_ordered.store(limiter.is_target_ordered(), Ordering::Relaxed);
    }

    /// Adapts the limit to the length of the server's own queue, as an answer reported it.
    pub fn on_reported_queue(&self, waiting: u32, slots: u32) {
        self.limiter().on_reported_queue(self.clock.now_ms(), waiting, slots);
        self.is_target_ordered.store(true, Ordering::Relaxed);
    }

    /// Orders waiting requests by their latency target; see [`Limiter::order_by_target`].
    pub fn order_by_target(&self) {
        if !self.is_target_ordered.swap(true, Ordering::Relaxed) {
            self.limiter().order_by_target();
        }
    }

    /// Returns whether waiting requests are ordered by their latency target.
    #[must_use]
    pub fn is_target_ordered(&self) -> bool {
        self.is_target_ordered.load(Ordering::Relaxed)
    }

    /// Returns how long the requests that wait now keep the slots busy that this daemon may use.
    #[must_use]
    pub fn queue_ms(&self, typical_latency_ms: u32) -> u64 {
        self.limiter().queue_ms(typical_latency_ms)
    }

    /// Sends no request to the server for some time, because it asked for that.
    ///
    /// Requests that wait are refused. Afterwards requests are admitted one at a time at first.
    pub fn pause(&self, for_ms: u64) {
        let deadline_ms = self.clock.now_ms().saturating_add(for_ms);
        let mut limiter = self.limiter();
        let waiting = limiter.pause(deadline_ms);
        self.pause_deadline_ms.store(limiter.pause_deadline_ms(), Ordering::Relaxed);
        drop(limiter);
        // Dropping the wakers ends the waits.
        drop(waiting);
    }

    /// Returns how much longer the server gets no request; 0 if it gets some.
    #[must_use]
    pub fn pause_remaining_ms(&self) -> u64 {
        self.pause_deadline_ms.load(Ordering::Relaxed).saturating_sub(self.clock.now_ms())
    }

    /// Adapts the limit after the server did not answer before the attempt's deadline.
    pub fn on_timeout(&self, latency_ms: f64) {
        self.limiter().on_timeout(latency_ms);
    }

    fn pop_idle(&self) -> Option<Link> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn permit(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Permit { upstream: Arc::clone(self) }
    }

    /// Limits the requests in flight during a slow start; `u32::MAX` ends it.
    pub fn set_cap(&self, cap: u32) {
        let admitted = self.limiter().set_cap(self.clock.now_ms(), cap);
        self.wake(admitted);
    }

    /// Ends the admission of a request and wakes the requests that are admitted next.
    fn release(&self) {
        let admitted = self.limiter().release(self.clock.now_ms());
        self.wake(admitted);
    }

    /// Wakes requests that were admitted.
    fn wake(&self, mut admitted: Vec<oneshot::Sender<()>>) {
        let now_ms = self.clock.now_ms();
        while let Some(waker) = admitted.pop() {
            // If that request gave up in the meantime, its admission passes to the next one.
            if waker.send(()).is_err() {
                admitted.extend(self.limiter().release(now_ms));
            }
        }
    }

    fn limiter(&self) -> MutexGuard<'_, Limiter<oneshot::Sender<()>>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if no server accepts the connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let unacknowledged_timeout = Duration::from_millis(UNACKNOWLEDGED_TIMEOUT_MS);
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(unacknowledged_timeout))?;
        // A reset discards what is still on its way, so that a request that was given up does not run
        // when a cut heals.
        socket.set_linger(Some(Duration::ZERO))?;
        let (stream, head_bound) = BoundedStream::new(stream, MAX_HEAD_BYTES);
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // A request that waits for its answer gets the error, if there is one.
            drop(connection.await);
        });
        let reuse_deadline = Instant::now();
        Ok(Self {
            sender,
            head_bound,
            _driver: AbortOnDropHandle::new(driver),
            reuse_deadline,
            is_fresh: true,
            recent_use_deadline: reuse_deadline,
            is_recently_used: false,
        })
    }

    /// Returns whether the connection was opened for its current request.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// Returns whether the connection had carried another request shortly before its current one.
    #[must_use]
    pub fn is_recently_used(&self) -> bool {
        self.is_recently_used
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or the head is too long. The error contains the request if it was never sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head_bound.allow(MAX_HEAD_BYTES);
        let response = self.sender.try_send_request(request).await?;
        self.head_bound.lift();
        Ok(response)
    }
}

impl ServerState for Upstream {
    fn load(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoidance_deadline_ms.load(Ordering::Relaxed)
    }

    fn server(&self) -> &Server {
        &self.server
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.upstream.release();
    }
}

/// A request that waits for admission; dropping it leaves the queue.
struct Waiting<'a> {
    upstream: &'a Arc<Upstream>,
    ticket: Option<Ticket>,
    woken: oneshot::Receiver<()>,
}

impl Waiting<'_> {
    /// Waits for admission, until a deadline or until `no_room` is ready.
    async fn wait(
        mut self,
        deadline: Instant,
        no_room: impl Future<Output = ()>,
    ) -> Result<Permit, AdmissionError> {
        let woken = tokio::select! {
            biased;
            woken = timeout_at(deadline, &mut self.woken) => woken.map_err(|_elapsed| WaitEnd::Elapsed),
            () = no_room => Err(WaitEnd::Stopping),
        };
        match woken {
            Ok(Ok(())) => {
                self.ticket = None;
                Ok(self.upstream.permit())
            }
            Ok(Err(_dropped)) => {
                self.ticket = None;
                match self.upstream.pause_remaining_ms() {
                    0 => Err(AdmissionError::Overloaded { late_ms: 0 }),
                    remaining_ms => Err(AdmissionError::Paused { remaining_ms }),
                }
            }
            Err(WaitEnd::Stopping) => Err(AdmissionError::Stopping),
            Err(WaitEnd::Elapsed) if self.upstream.is_target_ordered() => {
                Err(AdmissionError::Overloaded { late_ms: 0 })
            }
            Err(WaitEnd::Elapsed) => Err(AdmissionError::Expired),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let was_waiting = self.upstream.limiter().cancel(ticket);
        // Another thread may be about to wake the request; then it passes the admission on.
        self.woken.close();
        // The request may have been admitted in the meantime; then the next one is admitted.
        if !was_waiting && self.woken.try_recv().is_ok() {
            self.upstream.release();
        }
    }
}
