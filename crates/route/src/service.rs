//! What a daemon routes one service by.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use document::{Document, HashMap, Kind, Name, Revision, Server};
use lease::{Epoch, ShardId};

use crate::{Budget, Reason, Refusal, Table};

/// One service, as it is routed now; an immutable snapshot but for its counters.
#[derive(Debug)]
pub struct Service<S> {
    /// The revision of the document.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
    /// The controller's table; a pooled service has none.
    pub table: Option<Arc<Table>>,
    /// The counters; they outlive the snapshot.
    pub in_flight: Arc<InFlight>,
    /// By the table's positions, the shell's state of the server.
    table_servers: Vec<Option<Arc<S>>>,
    pool: Vec<Arc<S>>,
}

/// What the shell keeps for each server.
pub trait ServerState {
    /// Returns how busy the server is, by what this daemon has seen.
    fn load(&self) -> u32;
    /// Returns whether the server failed lately, so that another one is better.
    fn is_avoided(&self, now_ms: u64) -> bool;
    /// Returns the server as the document describes it.
    fn server(&self) -> &Server;
}

/// The counters that the requests of one service share.
#[derive(Debug, Default)]
pub struct InFlight {
    /// By the table's positions, requests that are on their way.
    shards: Vec<AtomicU32>,
    /// By the table's positions, requests since the last beat.
    requests: Vec<AtomicU32>,
    /// Until when requests may be sent to servers that check no fence.
    route_deadline_ms: AtomicU64,
    /// The retries that are left.
    pub budget: Budget,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Decision<S> {
    /// To this server.
    Forward(Target<S>),
    /// Nowhere yet: the shard is between two owners.
    Wait,
    /// Nowhere.
    Refuse(Refusal),
}

/// The server for one request.
#[derive(Debug)]
pub struct Target<S> {
    /// The shell's state of the server.
    pub server: Arc<S>,
    /// The shard with its fence epoch; `None` in a pooled service.
    pub fence: Option<(ShardId, Epoch)>,
    /// The position of the shard in the table.
    pub position: Option<usize>,
}

impl<S: ServerState> Service<S> {
    /// Creates the snapshot of a service.
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
            .filter(|server| server.is_welcome())
            .filter_map(|server| servers.get(&server.name).map(Arc::clone))
            .collect();
        let table_servers = table.as_ref().map_or_else(Vec::new, |table| {
            table.servers.iter().map(|name| servers.get(name).map(Arc::clone)).collect()
        });
        Self { revision, document, table, in_flight, table_servers, pool }
    }

    /// Decides where a request with a key goes.
    ///
    /// `draw` are two numbers that pick two servers of a pool, of which the less busy
    /// one is taken.
    #[must_use]
    pub fn decide(&self, now_ms: u64, key: Option<&str>, draw: (u32, u32)) -> Decision<S> {
        match self.document.kind {
            Kind::Pooled => self.decide_pooled(now_ms, draw),
            Kind::Keyed => match key {
                Some(key) => self.decide_keyed(now_ms, key),
                None => Decision::Refuse(Refusal::not_run(Reason::NoKey)),
            },
        }
    }

    /// Returns whether a target is still right; to be asked once the request is counted.
    #[must_use]
    pub fn is_current(&self, now_ms: u64, target: &Target<S>) -> bool {
        let Some(position) = target.position else {
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
        let relative = |state: &S| f64::from(state.load()) / f64::from(state.server().slots.max(1));
        let server = if relative(second) < relative(first) { second } else { first };
        Decision::Forward(Target { server: Arc::clone(server), fence: None, position: None })
    }

    /// Picks a server that did not fail lately, or any where all did.
    fn pick_usable(&self, now_ms: u64, draw: u32) -> &Arc<S> {
        let start = pick(draw, self.pool.len());
        let in_turn = self.pool[start..].iter().chain(&self.pool[..start]);
        let mut usable = in_turn.filter(|server| !server.is_avoided(now_ms));
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
        let server = route.server.and_then(|at| usize::try_from(at).ok());
        let server = server.and_then(|at| self.table_servers.get(at)).and_then(Option::as_ref);
        match server {
            Some(server) if self.may_send(now_ms, server) => Decision::Forward(Target {
                server: Arc::clone(server),
                fence: Some((route.shard, route.epoch)),
                position: Some(position),
            }),
            _ => Decision::Wait,
        }
    }

    /// A server that checks no fence gets requests only under a route lease.
    fn may_send(&self, now_ms: u64, server: &S) -> bool {
        server.server().checks_fence || now_ms < self.in_flight.route_deadline_ms()
    }
}

impl InFlight {
    /// Creates the counters of a service with this many shards.
    #[must_use]
    pub fn new(shards: usize) -> Self {
        Self {
            shards: (0..shards).map(|_| AtomicU32::new(0)).collect(),
            requests: (0..shards).map(|_| AtomicU32::new(0)).collect(),
            route_deadline_ms: AtomicU64::new(0),
            budget: Budget::default(),
        }
    }

    /// Returns how many shards are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns whether no shards are counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Counts a request on its way to a shard.
    pub fn enter(&self, position: usize) {
        if let Some(count) = self.shards.get(position) {
            // The snapshot is looked at again after this, and the order of the two matters.
            count.fetch_add(1, Ordering::SeqCst);
        }
        if let Some(count) = self.requests.get(position) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a request that has left a shard.
    pub fn leave(&self, position: usize) {
        if let Some(count) = self.shards.get(position) {
            count.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns whether no request is on its way to a shard that the table closes.
    #[must_use]
    pub fn is_drained(&self, table: &Table) -> bool {
        let closed = self.shards.iter().zip(&table.routes).filter(|(_, route)| !route.is_open);
        closed.into_iter().all(|(count, _)| count.load(Ordering::SeqCst) == 0)
    }

    /// Takes the requests by shard since the last call, for shards with any.
    #[must_use]
    pub fn take_requests(&self, table: &Table) -> Vec<(ShardId, u32)> {
        self.requests
            .iter()
            .zip(&table.routes)
            .map(|(count, route)| (route.shard, count.swap(0, Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Returns until when requests may be sent to servers that check no fence.
    #[must_use]
    pub fn route_deadline_ms(&self) -> u64 {
        self.route_deadline_ms.load(Ordering::Acquire)
    }

    /// Sets until when requests may be sent to servers that check no fence.
    pub fn set_route_deadline_ms(&self, deadline_ms: u64) {
        self.route_deadline_ms.store(deadline_ms, Ordering::Release);
    }
}

/// Picks one of `count` by a random number.
fn pick(draw: u32, count: usize) -> usize {
    usize::try_from(draw).unwrap_or(0) % count
}
