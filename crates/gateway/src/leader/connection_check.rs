//! Finds out whether the leader gets new connections to servers.
//!
//! Orders may still arrive on connections of before when no new one can be opened. Then only the
//! servers that need one become silent, one by one, and their keys lose their owners. So the leader
//! connects from time to time to one server that answers its orders. If that fails, it tries several
//! of them, and if most of these fail too, other daemons are asked. Silent servers are not tried, as
//! they may be down for all daemons.

use std::net::SocketAddr;

use registry::{Incarnation, Registry};
use shard::Leader;

/// What the leader's last connection attempts showed.
#[derive(Debug, Default)]
pub struct ConnectionCheck {
    next_at_ms: u64,
    /// Whether the last server that was tried alone did not accept a connection.
    has_failed: bool,
    /// Whether most servers that were tried last did not accept a connection.
    are_most_unreached: bool,
}

/// How often a leader tries to connect to servers.
const CHECK_INTERVAL_MS: u64 = 500;
/// How many servers are tried after one that did not accept a connection.
///
/// The servers of a data centre that has just been cut off must not be most of them.
const SAMPLED_SERVERS: usize = 12;
/// How many servers other daemons are asked about.
const NAMED_SERVERS: usize = 4;

impl ConnectionCheck {
    /// Returns the servers to which the leader should try to connect now; `start` is a random number.
    #[must_use]
    pub fn to_try(
        &mut self,
        now_ms: u64,
        leader: &Leader,
        registry: &Registry,
        start: usize,
    ) -> Vec<(Incarnation, SocketAddr)> {
        if now_ms < self.next_at_ms {
            return Vec::new();
        }
        self.next_at_ms = now_ms + CHECK_INTERVAL_MS;
        let mut servers: Vec<_> = registry
            .all()
            .filter(|server| !leader.is_silent(&server.incarnation))
            .map(|server| (server.incarnation.clone(), server.address))
            .collect();
        if servers.is_empty() {
            return servers;
        }
        if !self.has_failed {
            return vec![servers.swap_remove(start % servers.len())];
        }
        servers.sort_unstable();
        spread(servers, SAMPLED_SERVERS)
    }

    /// Handles the outcome of attempts; returns the servers about which other daemons are to be asked.
    #[must_use]
    pub fn on_tried(&mut self, tried: usize, unreached: Vec<Incarnation>) -> Vec<Incarnation> {
        self.are_most_unreached = tried > 1 && unreached.len() * 4 >= tried * 3;
        self.has_failed = self.are_most_unreached || (tried == 1 && !unreached.is_empty());
        if self.are_most_unreached { spread(unreached, NAMED_SERVERS) } else { Vec::new() }
    }

    /// Returns whether the leader most likely gets no new connections.
    #[must_use]
    pub fn are_most_unreached(&self) -> bool {
        self.are_most_unreached
    }
}

/// Returns at most `most` of the items, at equal distances.
fn spread<T>(items: Vec<T>, most: usize) -> Vec<T> {
    let step = items.len().div_ceil(most).max(1);
    items.into_iter().step_by(step).collect()
}
