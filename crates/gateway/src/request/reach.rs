//! Which servers this daemon cannot reach.

use std::net::SocketAddr;

use document::HashSet;
use registry::{Incarnation, Registry};

/// The servers to which the last connection attempt failed.
#[derive(Debug, Default)]
pub struct Reach {
    lost: HashSet<Incarnation>,
    /// The servers lost since any server was last reached.
    lost_in_a_row: HashSet<Incarnation>,
    newly_lost: u32,
    newly_reached: u32,
}

/// The changes since the last report, and what is lost now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReachChange {
    /// How many servers were lost.
    pub newly_lost: u32,
    /// How many lost servers were reached again.
    pub newly_reached: u32,
    /// How many servers are lost.
    pub lost: usize,
    /// Whether the daemon counts as cut off from all servers.
    pub is_cut_off: bool,
}

/// How many servers are lost, without another one being reached in between, when a daemon counts
/// as cut off from all of them.
///
/// A server that crashes is lost too, but then others are reached.
const MIN_LOST_IN_A_ROW: usize = 3;

/// How many lost servers are probed at once, and how many others while the daemon counts as cut
/// off.
const PROBED_SERVERS: usize = 4;

impl Reach {
    /// Handles a failed connection attempt.
    pub fn on_lost(&mut self, server: &Incarnation) {
        if self.lost.insert(server.clone()) {
            self.newly_lost += 1;
        }
        self.lost_in_a_row.insert(server.clone());
    }

    /// Handles a connection that a server accepted.
    ///
    /// If the daemon was cut off, its other servers can most likely be reached again too.
    pub fn on_connected(&mut self, server: &Incarnation) {
        let lost = self.lost.len();
        if self.is_cut_off() {
            self.lost.clear();
        } else {
            self.lost.remove(server);
        }
        let reached = lost - self.lost.len();
        self.newly_reached += u32::try_from(reached).unwrap_or(u32::MAX);
        self.lost_in_a_row.clear();
    }

    /// Handles an answer of any server on a connection that was open.
    pub fn on_answer(&mut self) {
        self.lost_in_a_row.clear();
    }

    /// Returns whether the last connection attempt to a server failed.
    #[must_use]
    pub fn is_lost(&self, server: &Incarnation) -> bool {
        self.lost.contains(server)
    }

    /// Returns some servers to which the daemon should try to connect; `start` is a random number.
    ///
    /// While the daemon counts as cut off, these are not only lost ones, which may be down for
    /// all daemons.
    #[must_use]
    pub fn to_probe(&self, registry: &Registry, start: usize) -> Vec<(Incarnation, SocketAddr)> {
        let lost = self.lost.iter().cycle().skip(start % self.lost.len().max(1));
        let lost = lost.take(PROBED_SERVERS.min(self.lost.len()));
        let lost = lost.filter_map(|server| registry.get(server));
        let others = registry.all().chain(registry.all()).skip(start % registry.len().max(1));
        let others = others.take(if self.is_cut_off() { PROBED_SERVERS } else { 0 });
        let probed = lost.chain(others);
        probed.map(|server| (server.incarnation.clone(), server.address)).collect()
    }

    /// Returns whether this daemon most likely reaches no server.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.lost_in_a_row.len() >= MIN_LOST_IN_A_ROW
    }

    /// Returns whether no server is lost.
    #[must_use]
    pub fn has_all(&self) -> bool {
        self.lost.is_empty()
    }

    /// Forgets the servers for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&Incarnation) -> bool) {
        self.lost.retain(&is_known);
        self.lost_in_a_row.retain(is_known);
    }

    /// Returns the changes since the last call, if there are any.
    pub fn take_change(&mut self) -> Option<ReachChange> {
        let newly_lost = std::mem::take(&mut self.newly_lost);
        let newly_reached = std::mem::take(&mut self.newly_reached);
        (newly_lost + newly_reached > 0).then(|| ReachChange {
            newly_lost,
            newly_reached,
            lost: self.lost.len(),
            is_cut_off: self.is_cut_off(),
        })
    }
}
