//! A rolling upgrade, which replaces the daemons one after the other.

use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::{Duration, Instant};

use crate::cluster::Cluster;

/// The version of a daemon's program in a rolling upgrade.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Version {
    /// The version from which the upgrade starts.
    Previous,
    /// The version to which the upgrade leads.
    New,
}

/// A start of a daemon's process during a rolling upgrade.
#[derive(Clone, Debug, Serialize)]
pub struct VersionStart {
    /// The name of the daemon.
    pub daemon: String,
    /// The version that it runs from then on.
    pub version: Version,
    /// The time since the start of the run, at most one pass of the run's loop late.
    pub at_ms: u128,
}

/// Replaces the daemons one after the other, in an order and at times drawn from the seed.
#[derive(Debug)]
pub(crate) struct Upgrade {
    program: PathBuf,
    /// The daemons still to be replaced, the next one last, and from when each may be.
    remaining: Vec<(usize, Instant)>,
    /// The daemon that has been told to stop and has not been started since.
    stopping: Option<Stopping>,
    /// The version that each daemon runs after its next start.
    versions: Vec<Version>,
    /// The start count of each daemon that `starts` includes.
    start_counts: Vec<u32>,
    /// Every start so far.
    pub(crate) starts: Vec<VersionStart>,
}

#[derive(Clone, Copy, Debug)]
struct Stopping {
    daemon: usize,
    start_count: u32,
    kill_at: Instant,
}

/// Distinguishes the draws of the upgrade from those of the faults, which stay the same.
const SEED_MASK: u64 = 0x7570_6772_6164;
/// How long the platform gives a graceful stop before it kills the process.
const STOP_TIME: Duration = Duration::from_millis(6_450);
/// The part of each daemon's share of the run in which it is told to stop.
const STOP_PART: f64 = 0.4;

impl Upgrade {
    /// Creates an upgrade to a program that is spread over a period.
    pub(crate) fn new(
        program: PathBuf,
        seed: u64,
        daemons: usize,
        from: Instant,
        period: Duration,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ SEED_MASK);
        let mut order: Vec<usize> = (0..daemons).collect();
        order.shuffle(&mut random);
        let mut at = from;
        let mut remaining = Vec::new();
        for daemon in order {
            let share = period.div_f64(lab::f64_from_usize(daemons));
            remaining.push((daemon, at + share.mul_f64(random.random_range(0.0..STOP_PART))));
            at += share;
        }
        remaining.reverse();
        Self {
            program,
            remaining,
            stopping: None,
            versions: vec![Version::Previous; daemons],
            start_counts: vec![0; daemons],
            starts: Vec::new(),
        }
    }

    /// Returns whether a daemon still has to be replaced.
    pub(crate) fn is_running(&self) -> bool {
        !self.remaining.is_empty() || self.stopping.is_some()
    }

    /// Records the starts since the last call and continues the upgrade.
    pub(crate) fn advance(&mut self, cluster: &mut Cluster) {
        self.record_starts(cluster);
        let now = Instant::now();
        if let Some(stopping) = self.stopping {
            if cluster.daemons[stopping.daemon].start_count > stopping.start_count {
                self.stopping = None;
            } else if now >= stopping.kill_at {
                cluster.signal(stopping.daemon, Signal::SIGKILL);
            }
        } else if let Some((index, _)) = self.remaining.pop_if(|(_, from)| now >= *from) {
            let daemon = &mut cluster.daemons[index];
            daemon.program.clone_from(&self.program);
            self.versions[index] = Version::New;
            self.stopping = Some(Stopping {
                daemon: index,
                start_count: daemon.start_count,
                kill_at: now + STOP_TIME,
            });
            let event = format!("{} gets SIGTERM, to be replaced", daemon.name);
            cluster.log_event(&event);
            cluster.signal(index, Signal::SIGTERM);
        }
    }

    fn record_starts(&mut self, cluster: &Cluster) {
        for (index, daemon) in cluster.daemons.iter().enumerate() {
            if self.start_counts[index] == daemon.start_count {
                continue;
            }
            self.start_counts[index] = daemon.start_count;
            let version = self.versions[index];
            cluster.log_event(&format!("{} runs the version: {version:?}", daemon.name));
            let at_ms = cluster.started_at.elapsed().as_millis();
            self.starts.push(VersionStart { daemon: daemon.name.clone(), version, at_ms });
        }
    }
}
