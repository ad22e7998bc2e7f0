//! Servers that queue grants or leave them unanswered, drawn from the seed.

use std::sync::atomic::Ordering;

use lab::ServerFaults;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Duration, Instant};

use crate::cluster::Cluster;

/// Which servers queue grants or leave them unanswered, how often, and when.
#[derive(Debug)]
pub(crate) struct OrderFaults {
    random: StdRng,
    servers: AffectedServers,
    /// Which servers carry out queued grants whatever their fences.
    ignoring_fences: AffectedServers,
    /// One in so many grants is queued.
    queued_one_in: u32,
    /// One in so many grants is carried out and not answered.
    unanswered_one_in: u32,
    /// One in so many queued grants is answered with a copy of an earlier answer; 0 for none.
    repeated_one_in: u32,
    is_active: bool,
    /// When the servers begin or stop; `None` if they go on until the faults end.
    next_change_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AffectedServers {
    None,
    /// Those with an even or odd number.
    EverySecond(usize),
    All,
}

/// The length of a phase in which the servers are faulty or not.
const PHASE_MS: std::ops::Range<u64> = 500..5_000;
/// How often grants are queued or left unanswered if all servers are to do so throughout.
const FORCED_ONE_IN: (u32, u32) = (4, 16);
/// Keeps the draws apart from those of other faults of a seed.
const SEED_MASK: u64 = 0x6f72_6465_7273_0000;
/// Keeps the draw of the servers that ignore late fences apart from the other draws.
const FENCE_SEED_MASK: u64 = 0x6665_6e63_6573_0000;
/// Keeps the draw of repeated answers apart from the other draws.
const REPEATED_SEED_MASK: u64 = 0x7265_7065_6174_0000;
/// How often a queued grant is answered with a copy, in the seeds in which any is.
const REPEATED_ONE_IN: std::ops::Range<u32> = 2..16;

impl OrderFaults {
    /// Draws the faults of a seed; `is_forced` chooses all servers throughout.
    pub(crate) fn new(seed: u64, is_forced: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ SEED_MASK);
        let servers = match random.random_range(0..4) {
            _ if is_forced => AffectedServers::All,
            0 => AffectedServers::None,
            1 => AffectedServers::EverySecond(random.random_range(0..2)),
            _ => AffectedServers::All,
        };
        let (queued_one_in, unanswered_one_in) = if is_forced {
            FORCED_ONE_IN
        } else {
            (random.random_range(3..8), random.random_range(8..24))
        };
        let mut fence_random = StdRng::seed_from_u64(seed ^ FENCE_SEED_MASK);
        let ignoring_fences = match fence_random.random_range(0..3) {
            _ if is_forced => AffectedServers::All,
            0 => AffectedServers::None,
            1 => AffectedServers::EverySecond(fence_random.random_range(0..2)),
            _ => AffectedServers::All,
        };
        let mut repeated_random = StdRng::seed_from_u64(seed ^ REPEATED_SEED_MASK);
        let has_repeated = repeated_random.random_bool(0.5);
        let repeated_one_in =
            if has_repeated { repeated_random.random_range(REPEATED_ONE_IN) } else { 0 };
        let is_throughout = is_forced || random.random_bool(0.5);
        let next_change_at = (!is_throughout).then(Instant::now);
        let is_active = is_throughout;
        Self {
            random,
            servers,
            ignoring_fences,
            queued_one_in,
            unanswered_one_in,
            repeated_one_in,
            is_active,
            next_change_at,
        }
    }

    /// Sets how servers carry out and answer queued grants, for the whole run.
    pub(crate) fn set_queues(&self, cluster: &Cluster) {
        for (index, server) in cluster.servers.iter().enumerate() {
            let ignores_fences = self.ignoring_fences.contains(index);
            server.faults.ignores_late_fences.store(ignores_fences, Ordering::Relaxed);
            server.faults.repeated_answer.store(self.repeated_one_in, Ordering::Relaxed);
        }
        cluster.log_event(&format!("late grants ignore fences at: {:?}", self.ignoring_fences));
        if self.repeated_one_in > 0 {
            let one_in = self.repeated_one_in;
            cluster.log_event(&format!("one in {one_in} queued grants is answered with a copy"));
        }
    }

    /// Sets the faults of all servers for which `has_other_faults` returns false.
    pub(crate) fn step(&mut self, cluster: &Cluster, has_other_faults: impl Fn(usize) -> bool) {
        let now = Instant::now();
        if self.next_change_at.is_some_and(|change_at| now >= change_at) {
            self.is_active = !self.is_active;
            let phase = Duration::from_millis(self.random.random_range(PHASE_MS));
            self.next_change_at = Some(now + phase);
            if self.servers != AffectedServers::None {
                let (servers, is_active) = (self.servers, self.is_active);
                cluster.log_event(&format!("servers queue grants ({servers:?}): {is_active}"));
            }
        }
        for (index, server) in cluster.servers.iter().enumerate() {
            if !has_other_faults(index) {
                let is_faulty = self.is_active && self.servers.contains(index);
                self.set(&server.faults, is_faulty);
            }
        }
    }

    /// Ends the faults of all servers.
    pub(crate) fn undo(&self, cluster: &Cluster) {
        for server in &cluster.servers {
            self.set(&server.faults, false);
        }
    }

    fn set(&self, faults: &ServerFaults, is_faulty: bool) {
        let (queued, unanswered) =
            if is_faulty { (self.queued_one_in, self.unanswered_one_in) } else { (0, 0) };
        faults.queued_grant.store(queued, Ordering::Relaxed);
        faults.unanswered_grant.store(unanswered, Ordering::Relaxed);
    }
}

impl AffectedServers {
    fn contains(self, index: usize) -> bool {
        match self {
            Self::None => false,
            Self::EverySecond(parity) => index % 2 == parity,
            Self::All => true,
        }
    }
}
