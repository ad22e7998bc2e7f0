//! Connections to one server, and admission to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use document::Server;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use route::{Admission, Arrival, Limit, Limiter, ServerState, Ticket};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::Clock;

/// A connection that can send one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// Drives the connection until the link is dropped.
    _driver: AbortOnDropHandle<()>,
    /// Until when the server is trusted to keep the connection open.
    reuse_until: Instant,
    is_fresh: bool,
}

/// One server, as the request path knows it.
#[derive(Debug)]
pub struct Upstream {
    server: Server,
    /// The host header of requests to the server.
    host: HeaderValue,
    clock: Clock,
    // Held for a few instructions only; requests to other servers do not meet here.
    gate: Mutex<Limiter<oneshot::Sender<()>>>,
    idle: Mutex<Vec<Link>>,
    in_flight: AtomicU32,
    avoided_until_ms: AtomicU64,
}

/// The right to send one request to a server; it is given back when dropped.
#[derive(Debug)]
pub struct Permit {
    upstream: Arc<Upstream>,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// Too many requests wait; there is room again after about this long.
    Full {
        /// In milliseconds from now.
        for_ms: u64,
    },
    /// The deadline passed.
    Expired,
}

/// An unused connection that is older may be about to be closed by the server.
const IDLE_LIMIT_MS: u64 = 5_000;
/// How long sent bytes may stay unacknowledged before a connection counts as dead.
///
/// Some connections go silent without a reset. Half a second is many round trips, also
/// between data centres, and a part of a short deadline.
const UNACKNOWLEDGED_MS: u64 = 500;
/// How long pooled requests go elsewhere after a server could not be reached.
const AVOIDED_MS: u64 = 1_000;
/// How many requests may wait for one server.
const MOST_WAITING: usize = 256;

impl Upstream {
    /// Creates the state of a server that some daemons share.
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
            gate: Mutex::new(Limiter::new(limit, MOST_WAITING)),
            idle: Mutex::default(),
            in_flight: AtomicU32::new(0),
            avoided_until_ms: AtomicU64::new(0),
        }
    }

    /// Returns how many requests are in flight, how many wait, and the present limit.
    #[must_use]
    pub fn occupancy(&self) -> (u32, usize, u32) {
        let gate = self.gate();
        (gate.in_flight(), gate.waiting(), gate.limit())
    }

    /// Waits for the right to send a request; says whether it had to wait.
    ///
    /// # Errors
    ///
    /// Fails when too many requests wait, or when the deadline passes.
    pub async fn enter(self: &Arc<Self>, arrival: Arrival) -> Result<(Permit, bool), Refused> {
        let (waker, woken) = oneshot::channel();
        let now_ms = self.clock.now_ms();
        let admission = self.gate().admit(now_ms, arrival, waker);
        let ticket = match admission {
            Admission::Enter => return Ok((self.permit(), false)),
            Admission::Refuse { for_ms } => return Err(Refused::Full { for_ms }),
            Admission::Wait(ticket) => ticket,
            Admission::WaitDisplacing(ticket, displaced) => {
                // Dropping the waker tells the request that lost its place.
                drop(displaced);
                ticket
            }
        };
        let waiting = Waiting { upstream: self, ticket: Some(ticket), woken };
        let deadline = self.clock.to_instant(arrival.deadline_ms);
        waiting.finish(deadline).await.map(|permit| (permit, true))
    }

    /// Returns a connection that is not in use, or opens one.
    ///
    /// # Errors
    ///
    /// Fails when the server takes no connection.
    pub async fn connect(&self) -> std::io::Result<Link> {
        while let Some(mut link) = self.pop_idle() {
            if Instant::now() < link.reuse_until && link.sender.ready().await.is_ok() {
                link.is_fresh = false;
                return Ok(link);
            }
        }
        Link::open(self.server.address).await
    }

    /// Returns the host header of requests to the server.
    #[must_use]
    pub fn host(&self) -> HeaderValue {
        self.host.clone()
    }

    /// Looks whether the server takes connections.
    ///
    /// # Errors
    ///
    /// Fails when it does not.
    pub async fn probe(&self) -> std::io::Result<()> {
        TcpStream::connect(self.server.address).await.map(drop)
    }

    /// Keeps a connection whose last answer was read to its end.
    ///
    /// `idle_limit_ms` is how long the server said that it keeps it without a request.
    pub fn keep(&self, mut link: Link, idle_limit_ms: Option<u64>) {
        if link.sender.is_closed() {
            return;
        }
        // The server counts from its own last byte, and may be a little early.
        let limit_ms = idle_limit_ms.map_or(IDLE_LIMIT_MS, |limit_ms| limit_ms / 2);
        link.reuse_until = Instant::now() + Duration::from_millis(limit_ms.min(IDLE_LIMIT_MS));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let most = usize::try_from(self.server.slots).unwrap_or(usize::MAX);
        if idle.len() < most {
            idle.push(link);
        }
    }

    /// Closes the connections that are not in use, and sends pooled requests elsewhere.
    pub fn note_loss(&self) {
        self.avoided_until_ms.store(self.clock.now_ms() + AVOIDED_MS, Ordering::Relaxed);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Notes that the server answered after some time.
    pub fn note_answer(&self, latency_ms: f64) {
        self.gate().on_answer(latency_ms);
    }

    /// Notes that the server shed a request.
    pub fn note_shed(&self) {
        self.gate().on_shed();
    }

    /// Notes that the server did not answer in time.
    pub fn note_timeout(&self, latency_ms: f64) {
        self.gate().on_timeout(latency_ms);
    }

    fn pop_idle(&self) -> Option<Link> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn permit(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Permit { upstream: Arc::clone(self) }
    }

    /// Gives a place back that was never used or is not used any more.
    fn give_back(&self) {
        let now_ms = self.clock.now_ms();
        let mut admitted = self.gate().release(now_ms);
        while let Some(waker) = admitted.pop() {
            // A request that gave up in the same moment does not take its place.
            if waker.send(()).is_err() {
                admitted.extend(self.gate().release(now_ms));
            }
        }
    }

    fn gate(&self) -> MutexGuard<'_, Limiter<oneshot::Sender<()>>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when nobody takes it.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_MS);
        SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // How it ends shows in the answers that are waited for.
            drop(connection.await);
        });
        let reuse_until = Instant::now();
        Ok(Self { sender, _driver: AbortOnDropHandle::new(driver), reuse_until, is_fresh: true })
    }

    /// Returns whether no request was sent on the connection yet.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks; the request comes back if it was never sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}

impl ServerState for Upstream {
    fn load(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms.load(Ordering::Relaxed)
    }

    fn server(&self) -> &Server {
        &self.server
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.upstream.give_back();
    }
}

/// A request that waits for its turn.
struct Waiting<'a> {
    upstream: &'a Arc<Upstream>,
    ticket: Option<Ticket>,
    woken: oneshot::Receiver<()>,
}

impl Waiting<'_> {
    async fn finish(mut self, deadline: Instant) -> Result<Permit, Refused> {
        let woken = timeout_at(deadline, &mut self.woken).await;
        match woken {
            Ok(Ok(())) => {
                self.ticket = None;
                Ok(self.upstream.permit())
            }
            Ok(Err(_displaced)) => {
                self.ticket = None;
                Err(Refused::Full { for_ms: 0 })
            }
            Err(_elapsed) => Err(Refused::Expired),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let was_waiting = self.upstream.gate().cancel(ticket);
        // The turn may have come in the same moment; then it goes to the next request.
        if !was_waiting && self.woken.try_recv().is_ok() {
            self.upstream.give_back();
        }
    }
}
