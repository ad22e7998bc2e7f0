//! The data with which a daemon routes one service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use document::{Document, HashMap, Name, Revision, Server, ServiceKind};
use lease::{Epoch, ShardId};

use crate::{Budget, Reason, Refusal, Table};

/// A snapshot of how one service is routed; only its counters change.
///
/// `S` is what the daemon keeps for each server, such as its connections.
#[derive(Debug)]
pub struct Service<S> {
    /// The revision of the document.
    pub revision: Revision,
    /// The document that describes the service.
    pub document: Arc<Document>,
    /// The controller's routing table; `None` for a pooled service or before the first table.
    pub table: Option<Arc<Table>>,
    /// The counters, which are shared with later snapshots.
    pub in_flight: Arc<InFlight>,
    /// The state of the table's servers, by their position in the table.
    table_servers: Vec<Option<Arc<S>>>,
    /// The state of the document's servers that accept new work.
    pool: Vec<Arc<S>>,
}

/// The state that a daemon keeps for each server.
pub trait ServerState {
    /// Returns how many requests of this daemon the server runs.
    fn load(&self) -> u32;
    /// Returns whether the server failed recently, so that another server is preferred.
    fn is_avoided(&self, now_ms: u64) -> bool;
    /// Returns the description of the server in the document.
    fn server(&self) -> &Server;
}

/// The counters, retry budget and route lease that the requests of a service share.
#[derive(Debug, Default)]
pub struct InFlight {
    /// The requests in flight, by the position of the route in the table.
    by_route: Vec<AtomicU32>,
    /// The requests since the last heartbeat, by the position of the route in the table.
    since_heartbeat: Vec<AtomicU32>,
    /// When the route lease expires; servers that check no fence get requests only until then.
    route_deadline_ms: AtomicU64,
    /// The budget for retries.
    pub budget: Budget,
}

/// The decision where a request goes.
#[derive(Debug)]
pub enum Decision<S> {
    /// Send the request to this server.
    Forward(Target<S>),
    /// Wait for a later table: no server may serve the shard now.
    Wait,
    /// Refuse the request.
    Refuse(Refusal),
}

/// The server that is to run a request.
#[derive(Debug)]
pub struct Target<S> {
    /// The state of the server.
    pub server: Arc<S>,
    /// The shard and its fence epoch; `None` in a pooled service.
    pub fence: Option<(ShardId, Epoch)>,
    /// The position of the shard's route in the table; `None` in a pooled service.
    pub route_position: Option<usize>,
}

impl<S: ServerState> Service<S> {
    /// Creates the snapshot of a service from its document, table and server states.
    #[must_use]
    pub fn new(
        revision: Revision,
        document: Arc<Document>,
        table: Option<Arc<Table>>,
        in_flight: Arc<InFlight>,
        servers: &HashMap<Name, Arc<S>>,
    ) -> Self {
        let pool = document
            .servers
            .iter()
            .filter(|server| server.accepts_new_work())
            .filter_map(|server| servers.get(&server.name).map(Arc::clone))
            .collect();
        let table_servers = table.as_ref().map_or_else(Vec::new, |table| {
            table.servers.iter().map(|name| servers.get(name).map(Arc::clone)).collect()
        });
        Self { revision, document, table, in_flight, table_servers, pool }
    }

    /// Decides where a request goes; `key` is the key of the request, if it has one.
    ///
    /// In a pooled service, the two random numbers `draw` select two servers, and the one
    /// with the lower load per slot is chosen.
    #[must_use]
    pub fn decide(&self, now_ms: u64, key: Option<&str>, draw: (u32, u32)) -> Decision<S> {
        match self.document.kind {
            ServiceKind::Pooled => self.decide_pooled(now_ms, draw),
            ServiceKind::Keyed => match key {
                Some(key) => self.decide_keyed(now_ms, key),
                None => Decision::Refuse(Refusal::not_run(Reason::NoKey)),
            },
        }
    }

    /// Returns whether this snapshot still routes to a target.
    ///
    /// Call this on the latest snapshot after [`InFlight::enter`]. Then either this check sees
    /// that the shard was closed, or [`InFlight::is_drained`] still counts the request.
    #[must_use]
    pub fn is_current(&self, now_ms: u64, target: &Target<S>) -> bool {
        let Some(position) = target.route_position else {
            return true;
        };
        let Some(table) = &self.table else {
            return false;
        };
        let Some(route) = table.routes.get(position) else {
            return false;
        };
        let is_same = target.fence == Some((route.shard, route.epoch));
        is_same && route.is_open && self.may_send(now_ms, &target.server)
    }

    fn decide_pooled(&self, now_ms: u64, draw: (u32, u32)) -> Decision<S> {
        if self.pool.is_empty() {
            return Decision::Refuse(Refusal::not_run(Reason::NoOwner));
        }
        let first = self.pick_usable(now_ms, draw.0);
        let second = self.pick_usable(now_ms, draw.1);
        let relative_load =
            |state: &S| f64::from(state.load()) / f64::from(state.server().slots.max(1));
        let server = if relative_load(second) < relative_load(first) { second } else { first };
        Decision::Forward(Target { server: Arc::clone(server), fence: None, route_position: None })
    }

    /// Picks a server that is not avoided, or any server if all are.
    fn pick_usable(&self, now_ms: u64, draw: u32) -> &Arc<S> {
        let start = to_position(draw, self.pool.len());
        let rotated = self.pool[start..].iter().chain(&self.pool[..start]);
        let mut usable = rotated.filter(|server| !server.is_avoided(now_ms));
        usable.next().unwrap_or(&self.pool[start])
    }

    fn decide_keyed(&self, now_ms: u64, key: &str) -> Decision<S> {
        let Some(table) = &self.table else {
            return Decision::Wait;
        };
        let Some((position, route)) = table.find(key) else {
            return Decision::Refuse(Refusal::not_run(Reason::UnknownKeyGroup));
        };
        if !route.is_open {
            return Decision::Wait;
        }
        let server = route.server.and_then(|position| usize::try_from(position).ok());
        let server =
            server.and_then(|position| self.table_servers.get(position)).and_then(Option::as_ref);
        match server {
            Some(server) if self.may_send(now_ms, server) => Decision::Forward(Target {
                server: Arc::clone(server),
                fence: Some((route.shard, route.epoch)),
                route_position: Some(position),
            }),
            _ => Decision::Wait,
        }
    }

    /// Returns whether the server checks fences or the route lease has not expired.
    fn may_send(&self, now_ms: u64, server: &S) -> bool {
        server.server().checks_fence || now_ms < self.in_flight.route_deadline_ms()
    }
}

impl InFlight {
    /// Creates the counters of a service with `shards` shards.
    #[must_use]
    pub fn new(shards: usize) -> Self {
        Self {
            by_route: (0..shards).map(|_| AtomicU32::new(0)).collect(),
            since_heartbeat: (0..shards).map(|_| AtomicU32::new(0)).collect(),
            route_deadline_ms: AtomicU64::new(0),
            budget: Budget::default(),
        }
    }

    /// Returns the number of shards.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_route.len()
    }

    /// Returns whether there are no shards.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_route.is_empty()
    }

    /// Counts a request that is to be sent to a shard.
    pub fn enter(&self, position: usize) {
        if let Some(count) = self.by_route.get(position) {
            // The increment must come before the check by `Service::is_current`.
            count.fetch_add(1, Ordering::SeqCst);
        }
        if let Some(count) = self.since_heartbeat.get(position) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Stops counting a request that has ended or was not sent after all.
    pub fn leave(&self, position: usize) {
        if let Some(count) = self.by_route.get(position) {
            count.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns whether no request is in flight to any shard whose route in the table is closed.
    #[must_use]
    pub fn is_drained(&self, table: &Table) -> bool {
        let closed = self.by_route.iter().zip(&table.routes).filter(|(_, route)| !route.is_open);
        closed.into_iter().all(|(count, _)| count.load(Ordering::SeqCst) == 0)
    }

    /// Returns the requests for each shard since the last call, and resets them to 0.
    ///
    /// Shards without requests are left out.
    #[must_use]
    pub fn take_requests(&self, table: &Table) -> Vec<(ShardId, u32)> {
        self.since_heartbeat
            .iter()
            .zip(&table.routes)
            .map(|(count, route)| (route.shard, count.swap(0, Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Returns when the route lease expires, in milliseconds of the monotonic clock.
    #[must_use]
    pub fn route_deadline_ms(&self) -> u64 {
        self.route_deadline_ms.load(Ordering::Acquire)
    }

    /// Sets when the route lease expires, in milliseconds of the monotonic clock.
    pub fn set_route_deadline_ms(&self, deadline_ms: u64) {
        self.route_deadline_ms.store(deadline_ms, Ordering::Release);
    }
}

/// Returns the position that a random number selects among `count`.
fn to_position(draw: u32, count: usize) -> usize {
    usize::try_from(draw).unwrap_or(0) % count
}
