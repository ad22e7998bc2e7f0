//! Connections to one server, and admission to it.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use document::Server;
use http::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use route::{Admission, Arrival, Gate, Limit, ServerState, Ticket};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::Clock;

/// A connection that can send one request at a time.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// One server, as the request path knows it.
#[derive(Debug)]
pub struct Upstream {
    server: Server,
    /// The host header of requests to the server.
    host: HeaderValue,
    clock: Clock,
    // Held for a few instructions only; requests to other servers do not meet here.
    gate: Mutex<Gate<oneshot::Sender<()>>>,
    idle: Mutex<Vec<Idle>>,
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
pub(crate) enum Refused {
    /// Too many requests wait.
    Full,
    /// The deadline passed.
    Expired,
}

/// A connection that could be had.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    pub(crate) is_fresh: bool,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// An unused connection that is older may be about to be closed by the server.
const IDLE_LIMIT_MS: u128 = 5_000;
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
            gate: Mutex::new(Gate::new(limit, MOST_WAITING)),
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

    /// Waits for the right to send a request.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        arrival: Arrival,
    ) -> Result<(Permit, bool), Refused> {
        let (waker, woken) = oneshot::channel();
        let now_ms = self.clock.now_ms();
        let admission = self.gate().arrive(now_ms, arrival, waker);
        let ticket = match admission {
            Admission::Enter => return Ok((self.permit(), false)),
            Admission::Refuse => return Err(Refused::Full),
            Admission::Wait(ticket) => ticket,
            Admission::WaitInstead(ticket, displaced) => {
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
    pub(crate) async fn connect(&self) -> std::io::Result<Connection> {
        while let Some(idle) = self.pop_idle() {
            let mut sender = idle.sender;
            let is_young = idle.since.elapsed().as_millis() < IDLE_LIMIT_MS;
            if is_young && sender.ready().await.is_ok() {
                return Ok(Connection { sender, is_fresh: false });
            }
        }
        let stream = TcpStream::connect(self.server.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        tokio::spawn(connection);
        Ok(Connection { sender, is_fresh: true })
    }

    pub(crate) fn host(&self) -> HeaderValue {
        self.host.clone()
    }

    /// Looks whether the server takes connections.
    pub(crate) async fn probe(&self) -> std::io::Result<()> {
        TcpStream::connect(self.server.address).await.map(drop)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn keep(&self, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let most = usize::try_from(self.server.slots).unwrap_or(usize::MAX);
        if idle.len() < most {
            idle.push(Idle { sender, since: Instant::now() });
        }
    }

    /// Closes the connections that are not in use, and sends pooled requests elsewhere.
    pub(crate) fn note_loss(&self) {
        self.avoided_until_ms.store(self.clock.now_ms() + AVOIDED_MS, Ordering::Relaxed);
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    pub(crate) fn note_answer(&self, latency_ms: f64) {
        self.gate().on_answer(latency_ms);
    }

    pub(crate) fn note_overload(&self, latency_ms: f64) {
        self.gate().on_overload(latency_ms);
    }

    fn pop_idle(&self) -> Option<Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn permit(self: &Arc<Self>) -> Permit {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Permit { upstream: Arc::clone(self) }
    }

    /// Gives a place back that was never used or is not used any more.
    fn give_back(&self) {
        let now_ms = self.clock.now_ms();
        let mut admitted = self.gate().leave(now_ms);
        while let Some(waker) = admitted.pop() {
            // A request that gave up in the same moment does not take its place.
            if waker.send(()).is_err() {
                admitted.extend(self.gate().leave(now_ms));
            }
        }
    }

    fn gate(&self) -> MutexGuard<'_, Gate<oneshot::Sender<()>>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
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
                Err(Refused::Full)
            }
            Err(_elapsed) => Err(Refused::Expired),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let was_waiting = self.upstream.gate().abandon(ticket);
        // The turn may have come in the same moment; then it goes to the next request.
        if !was_waiting && self.woken.try_recv().is_ok() {
            self.upstream.give_back();
        }
    }
}
