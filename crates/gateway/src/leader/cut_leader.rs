//! Hands leadership over when servers that do not answer the leader can be reached by another
//! daemon.
//!
//! Only the leader's own links may be lost. The store renews its lease, but no grant arrives, so
//! that every key soon has no owner, at daemons that reach all servers too. A leader that most
//! servers do not answer tries to connect to some of them. It asks other daemons to connect to
//! those that it cannot reach, and resigns in favour of the first that can. A leader that gets no
//! new connections does the same ([`ConnectionCheck`](crate::ConnectionCheck)).

use std::net::SocketAddr;

use document::Name;
use peer::{FleetBody, ReachQuery};
use registry::{Incarnation, Registry};
use shard::{Epoch, Leader};
use store::Store;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Duration, timeout};

use crate::control::input::Input;
use crate::control::node::Node;
use crate::leader::candidacy;
use crate::{Orders, Source};

/// The leader's questions whether other daemons reach its silent servers.
#[derive(Debug, Default)]
pub(crate) struct ReachQueries {
    next_at_ms: u64,
    /// How many daemons were asked since most servers are silent or accept no new connections.
    queried_daemons: usize,
}

/// How often a leader asks while most servers are silent.
const QUERY_INTERVAL_MS: u64 = 250;
/// How many daemons are asked at once.
const QUERIED_DAEMONS: usize = 4;
/// How many silent servers are tried.
const TRIED_SERVERS: usize = 4;
/// How many of them another daemon has to reach.
const MIN_REACHED: usize = 2;
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns some of the servers that do not answer the leader, if most of them do not.
#[must_use]
pub fn silent_servers(leader: &Leader, registry: &Registry) -> Vec<(Incarnation, SocketAddr)> {
    if !leader.is_majority_silent() {
        return Vec::new();
    }
    let silent = registry.all().filter(|server| leader.is_silent(&server.incarnation));
    let silent = silent.map(|server| (server.incarnation.clone(), server.address));
    silent.take(TRIED_SERVERS).collect()
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Tries to connect to silent servers while most are silent.
    pub(crate) fn check_silent_servers(&mut self, now_ms: u64) {
        let Some(leading) = &mut self.leading else { return };
        let tried = silent_servers(&leading.leader, &self.registry);
        if tried.is_empty() {
            if !leading.connection_check.are_most_unreached() {
                leading.reach_queries = ReachQueries::default();
            }
            return;
        }
        if now_ms < leading.reach_queries.next_at_ms {
            return;
        }
        leading.reach_queries.next_at_ms = now_ms + QUERY_INTERVAL_MS;
        let (epoch, inputs) = (leading.leader.epoch(), self.inputs.clone());
        tokio::spawn(async move {
            let unreached = unreached_of(tried).await;
            // The receiver is closed only while the process exits.
            drop(inputs.send(Input::ServersUnreached { epoch, unreached }).await);
        });
    }

    /// Asks other daemons about silent servers that the leader does not reach.
    pub(crate) fn on_servers_unreached(&mut self, epoch: Epoch, servers: Vec<Incarnation>) {
        let unreached = servers.len();
        if let Some(queried) = self.query_reach(epoch, servers) {
            spdlog::info!(
                "most servers are silent",
                kv: { epoch = epoch.0, unreached, queried }
            );
        }
    }

    /// Tries to get new connections to servers if it is due.
    pub(crate) fn check_new_connections(&mut self, now_ms: u64) {
        let Some(leading) = &mut self.leading else { return };
        let start = rand::random_range(0..usize::MAX);
        let tried = leading.connection_check.to_try(now_ms, &leading.leader, &self.registry, start);
        if tried.is_empty() {
            return;
        }
        let (epoch, inputs) = (leading.leader.epoch(), self.inputs.clone());
        tokio::spawn(async move {
            let (tried, unreached) = (tried.len(), unreached_of(tried).await);
            // The receiver is closed only while the process exits.
            drop(inputs.send(Input::ConnectionsTried { epoch, tried, unreached }).await);
        });
    }

    /// Asks other daemons about servers of which most accepted no new connection.
    pub(crate) fn on_connections_tried(
        &mut self,
        epoch: Epoch,
        tried: usize,
        unreached: Vec<Incarnation>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        if leading.leader.epoch() != epoch {
            return;
        }
        let failed = unreached.len();
        let servers = leading.connection_check.on_tried(tried, unreached);
        if let Some(queried) = self.query_reach(epoch, servers) {
            spdlog::info!(
                "most servers accept no new connection",
                kv: { epoch = epoch.0, tried, unreached = failed, queried }
            );
        }
    }

    /// Asks other daemons whether they reach servers; returns how many are asked.
    fn query_reach(&mut self, epoch: Epoch, servers: Vec<Incarnation>) -> Option<usize> {
        let order = candidacy::campaign_order(epoch.0, self.candidates());
        let leading = self.leading.as_mut()?;
        if leading.leader.epoch() != epoch || servers.len() < MIN_REACHED {
            return None;
        }
        let others: Vec<Name> =
            order.into_iter().filter(|name| *name != self.settings.instance).collect();
        let skipped = leading.reach_queries.queried_daemons;
        leading.reach_queries.queried_daemons += QUERIED_DAEMONS;
        let queried: Vec<Name> = others
            .iter()
            .cycle()
            .skip(skipped)
            .take(QUERIED_DAEMONS.min(others.len()))
            .cloned()
            .collect();
        self.send_to(&queried, &FleetBody::ReachQuery(ReachQuery { epoch, servers }));
        Some(queried.len())
    }

    /// Connects to servers for a leader that does not reach them.
    pub(crate) fn on_reach_query(&mut self, leader: Name, query: &ReachQuery) {
        if !self.store_answers || self.shared.is_stopping() {
            return;
        }
        let servers = query.servers.iter().filter_map(|server| self.registry.get(server));
        let tried = servers.map(|server| (server.incarnation.clone(), server.address));
        let tried: Vec<_> = tried.take(TRIED_SERVERS).collect();
        let (epoch, inputs) = (query.epoch, self.inputs.clone());
        tokio::spawn(async move {
            if connect_to(&tried).await.len() >= MIN_REACHED {
                // The receiver is closed only while the process exits.
                drop(inputs.send(Input::ServersReached { leader, epoch }).await);
            }
        });
    }

    pub(crate) fn send_servers_reached(&mut self, leader: &Name, epoch: Epoch) {
        if let Some(address) = self.address(leader) {
            self.send(address, FleetBody::ServersReached(epoch));
        }
    }

    /// Resigns in favour of a daemon that reaches silent servers.
    pub(crate) fn on_servers_reached(&mut self, daemon: &Name, epoch: Epoch) {
        let is_cut_off = self.leading.as_ref().is_some_and(|leading| {
            leading.leader.epoch() == epoch
                && (leading.leader.is_majority_silent()
                    || leading.connection_check.are_most_unreached())
        });
        if is_cut_off {
            self.resign_to(Some(daemon), "another daemon reaches the servers");
        }
    }
}

/// Returns the servers that do not accept a connection.
async fn unreached_of(tried: Vec<(Incarnation, SocketAddr)>) -> Vec<Incarnation> {
    let reached = connect_to(&tried).await;
    let servers = tried.into_iter().map(|(server, _)| server);
    servers.filter(|server| !reached.contains(server)).collect()
}

/// Returns the servers that accept a connection.
pub(crate) async fn connect_to(servers: &[(Incarnation, SocketAddr)]) -> Vec<Incarnation> {
    let mut attempts = JoinSet::new();
    for (server, address) in servers.iter().cloned() {
        attempts.spawn(async move {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            matches!(connected, Ok(Ok(_))).then_some(server)
        });
    }
    attempts.join_all().await.into_iter().flatten().collect()
}
