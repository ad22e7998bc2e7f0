//! Hands leadership over when servers that do not answer the leader can be reached by another
//! daemon.
//!
//! Only the leader's own links may be lost. The store renews its lease, but no grant arrives, so
//! that every key soon has no owner, at daemons that reach all servers too. A leader that most
//! servers do not answer tries to connect to some of them. It asks other daemons to connect to
//! those that it cannot reach, and resigns in favour of the first that can.
//!
//! A leader whose orders still arrive on connections of before may get no new ones. Only the servers
//! that it has to send something on a new connection become silent then, one by one, and their keys
//! have no owner. So one silent server is enough for the leader to try some of all servers.

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
    /// How many daemons were asked since servers are silent.
    queried_daemons: usize,
    /// Whether the last try found servers about which other daemons are to be asked.
    has_unreached: bool,
}

/// The servers that a leader tries to connect to.
#[derive(Debug)]
enum Tried {
    /// Most servers are silent, and these are some of them.
    Silent(Vec<(Incarnation, SocketAddr)>),
    /// Some servers are silent. These are taken from all servers.
    Sample(Vec<(Incarnation, SocketAddr)>),
}

/// How often a leader asks while most servers are silent.
const QUERY_INTERVAL_MS: u64 = 250;
/// How often a leader tries a sample of the servers while some are silent.
const SAMPLE_INTERVAL_MS: u64 = 500;
/// How many daemons are asked at once.
const QUERIED_DAEMONS: usize = 4;
/// How many silent servers are tried, and about how many servers other daemons are asked.
const TRIED_SERVERS: usize = 4;
/// How many servers are in a sample at most.
const SAMPLED_SERVERS: usize = 12;
/// The share of a sample that a leader without new connections does not reach.
///
/// It is above a half: if two data centres are cut off from each other, daemons in both do not reach
/// the servers of the other one, and would hand leadership to and fro.
const MIN_UNREACHED_SHARE: (usize, usize) = (3, 4);
/// How many of the servers in question another daemon has to reach.
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

/// Returns servers at equal distances in the order of their names, if some server does not answer
/// the leader.
#[must_use]
pub fn sampled_servers(leader: &Leader, registry: &Registry) -> Vec<(Incarnation, SocketAddr)> {
    if !registry.all().any(|server| leader.is_silent(&server.incarnation)) {
        return Vec::new();
    }
    let mut servers: Vec<_> =
        registry.all().map(|server| (server.incarnation.clone(), server.address)).collect();
    servers.sort_unstable_by(|(left, _), (right, _)| left.cmp(right));
    let step = servers.len().div_ceil(SAMPLED_SERVERS).max(1);
    servers.into_iter().step_by(step).collect()
}

impl Tried {
    fn choose(leader: &Leader, registry: &Registry) -> Self {
        if leader.is_majority_silent() {
            Self::Silent(silent_servers(leader, registry))
        } else {
            Self::Sample(sampled_servers(leader, registry))
        }
    }

    fn interval_ms(&self) -> u64 {
        match self {
            Self::Silent(_) => QUERY_INTERVAL_MS,
            Self::Sample(_) => SAMPLE_INTERVAL_MS,
        }
    }

    fn servers(&self) -> &[(Incarnation, SocketAddr)] {
        let (Self::Silent(servers) | Self::Sample(servers)) = self;
        servers
    }

    /// Returns the servers about which other daemons are to be asked, at equal distances of those
    /// that were not reached.
    fn unreached(self, reached: &[Incarnation]) -> Vec<Incarnation> {
        let is_sample = matches!(self, Self::Sample(_));
        let (Self::Silent(servers) | Self::Sample(servers)) = self;
        let tried = servers.len();
        let servers = servers.into_iter().map(|(server, _)| server);
        let unreached: Vec<_> = servers.filter(|server| !reached.contains(server)).collect();
        let (part, whole) = MIN_UNREACHED_SHARE;
        if is_sample && unreached.len() * whole < tried * part {
            return Vec::new();
        }
        let step = unreached.len().div_ceil(TRIED_SERVERS).max(1);
        unreached.into_iter().step_by(step).collect()
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Tries to connect to silent servers while most are silent, or to a sample while some are.
    pub(crate) fn check_silent_servers(&mut self, now_ms: u64) {
        let Some(leading) = &mut self.leading else { return };
        if now_ms < leading.reach_queries.next_at_ms {
            return;
        }
        let tried = Tried::choose(&leading.leader, &self.registry);
        if tried.servers().is_empty() {
            leading.reach_queries = ReachQueries::default();
            return;
        }
        leading.reach_queries.next_at_ms = now_ms + tried.interval_ms();
        let (epoch, inputs) = (leading.leader.epoch(), self.inputs.clone());
        tokio::spawn(async move {
            let reached = connect_to(tried.servers()).await;
            let unreached = tried.unreached(&reached);
            // The receiver is closed only while the process exits.
            drop(inputs.send(Input::ServersUnreached { epoch, unreached }).await);
        });
    }

    /// Asks other daemons whether they reach servers that the leader does not reach.
    pub(crate) fn on_servers_unreached(&mut self, epoch: Epoch, unreached: Vec<Incarnation>) {
        let order = candidacy::campaign_order(epoch.0, self.candidates());
        let Some(leading) = &mut self.leading else { return };
        if leading.leader.epoch() != epoch {
            return;
        }
        leading.reach_queries.has_unreached = unreached.len() >= MIN_REACHED;
        if !leading.reach_queries.has_unreached {
            return;
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
        spdlog::info!(
            "most servers are not reached",
            kv: { epoch = epoch.0, unreached = unreached.len(), queried = queried.len() }
        );
        self.send_to(&queried, &FleetBody::ReachQuery(ReachQuery { epoch, servers: unreached }));
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
            let may_be_cut_off =
                leading.reach_queries.has_unreached || leading.leader.is_majority_silent();
            leading.leader.epoch() == epoch && may_be_cut_off
        });
        if is_cut_off {
            self.resign_to(Some(daemon), "another daemon reaches the servers");
        }
    }
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
