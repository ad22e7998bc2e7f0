//! Faults of the daemons' own links to the servers, answers that are lost, and limits that servers
//! name.

use std::ops::Range;
use std::sync::atomic::Ordering;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::Store;
use tokio::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::link::LinkMode;

/// Draws faults of links and servers' limits, and carries out what follows when it is due.
///
/// Its draws are its own, so that the faults of [`FaultSchedule`](crate::faults::FaultSchedule)
/// stay those of the seed.
#[derive(Debug)]
pub(crate) struct LinkFaults {
    seed: u64,
    /// The number of faults so far.
    fault_count: u64,
    /// Draws the current fault.
    random: StdRng,
    /// The data centre of each daemon.
    data_centres: Vec<&'static str>,
    next_fault_at: Instant,
    /// What follows the faults so far, and when; the steps of each link are in order.
    pending: Vec<(Instant, Step)>,
}

/// What follows a fault, with the indices of the daemon and server that it belongs to.
#[derive(Clone, Copy, Debug)]
enum Step {
    Cut(usize, usize),
    Heal(usize, usize),
    ClearRateLimit(usize),
    KeepAnswers,
}

/// Where daemons run: two in one data centre, others alone in theirs.
const DATA_CENTRES: [&str; 4] = ["a", "a", "b", "c"];
/// The time between two faults; links stay cut for longer, so that faults overlap.
const FAULT_INTERVAL_MS: Range<u64> = 200..2_000;
/// How long links are cut before the first of them heals.
const CUT_MS: Range<u64> = 1_000..5_000;
/// How much later than the first each link may heal.
const HEAL_MS: Range<u64> = 0..1_500;
/// By how much bytes are late on a slow link.
const SLOW_BY_MS: Range<u64> = 100..2_000;
/// How long a slow link is cut before it heals; most often longer than a grant is valid.
const SLOW_CUT_MS: Range<u64> = 3_000..7_000;
/// How long a link is slow before it is cut.
const SLOW_MS: Range<u64> = 300..1_000;
/// The limits that servers name; some are below what they get from the callers.
const RATE_LIMIT_MILLI: Range<u32> = 2_000..50_000;
const RATE_LIMIT_MS: Range<u64> = 1_000..5_000;
/// Servers lose one in so many answers.
const LOST_ANSWER_ONE_IN: Range<u32> = 1..5;
const LOST_ANSWER_MS: Range<u64> = 500..3_000;

/// Returns the data centre of each daemon.
pub(crate) fn data_centres(daemons: usize) -> Vec<&'static str> {
    DATA_CENTRES.into_iter().cycle().take(daemons).collect()
}

impl LinkFaults {
    /// Creates a schedule whose faults are determined by the seed, except who leads.
    pub(crate) fn new(seed: u64, data_centres: Vec<&'static str>, first_fault_at: Instant) -> Self {
        Self {
            seed,
            fault_count: 0,
            random: StdRng::seed_from_u64(!seed),
            data_centres,
            next_fault_at: first_fault_at,
            pending: Vec::new(),
        }
    }

    /// Carries out the steps that are due, and injects a fault if it is time for one.
    pub(crate) async fn step(&mut self, cluster: &Cluster) {
        self.carry_out_due(cluster, false);
        if Instant::now() >= self.next_fault_at {
            // How often a fault draws depends on who leads, so each has draws of its own.
            self.fault_count += 1;
            self.random = StdRng::seed_from_u64(!self.seed ^ (self.fault_count << 32));
            self.next_fault_at = self.after(FAULT_INTERVAL_MS);
            self.inject(cluster).await;
        }
    }

    /// Heals all links and clears all limits.
    pub(crate) fn undo_all(&mut self, cluster: &Cluster) {
        self.carry_out_due(cluster, true);
    }

    /// Draws one fault and injects it.
    async fn inject(&mut self, cluster: &Cluster) {
        let drawn = self.random.random_range(0..cluster.daemons.len());
        let is_leader_hit = self.random.random_bool(0.5);
        let server = self.random.random_range(0..cluster.servers.len());
        let leader = if is_leader_hit { leader(cluster).await } else { None };
        let daemons = self.link_users(leader.unwrap_or(drawn));
        match self.random.random_range(0..5) {
            0 | 1 => self.cut(cluster, &daemons),
            2 | 3 => {
                let count = self.random.random_range(1..cluster.servers.len());
                let is_single = self.random.random_bool(0.5);
                let count = if is_single { 1 } else { count };
                let all = (server..cluster.servers.len()).chain(0..server);
                self.slow_down(cluster, &daemons, &all.take(count).collect::<Vec<_>>());
            }
            _ => self.limit_rate(cluster, server),
        }
        if self.random.random_bool(0.5) {
            self.lose_answers(cluster);
        }
    }

    /// Returns the daemons that use the same links as this one: all of its data centre.
    fn link_users(&self, daemon: usize) -> Vec<usize> {
        let data_centre = self.data_centres[daemon];
        (0..self.data_centres.len()).filter(|at| self.data_centres[*at] == data_centre).collect()
    }

    /// Cuts daemons off from all servers.
    fn cut(&mut self, cluster: &Cluster, daemons: &[usize]) {
        let cuts = [(LinkMode::Closed, true), (LinkMode::Closed, false), (LinkMode::Hang, false)];
        let (mode, is_reset) = cuts[self.random.random_range(0..cuts.len())];
        let reset = if is_reset { ", reset" } else { "" };
        cluster
            .log_event(&format!("links from daemons {daemons:?} to all servers: {mode:?}{reset}"));
        let first_heal_at = self.after(CUT_MS);
        for daemon in daemons {
            cluster.set_server_links(*daemon, mode);
            if is_reset {
                cluster.reset_server_links(*daemon);
            }
            for server in 0..cluster.servers.len() {
                self.heal_after(first_heal_at, *daemon, server);
            }
        }
    }

    /// Slows links down that are cut a little later; what they took before still arrives.
    fn slow_down(&mut self, cluster: &Cluster, daemons: &[usize], servers: &[usize]) {
        let delay_ms = self.random.random_range(SLOW_BY_MS);
        cluster.log_event(&format!(
            "links from daemons {daemons:?} to servers {servers:?} are slow by {delay_ms} ms"
        ));
        let cut_at = self.after(SLOW_MS);
        let first_heal_at = cut_at + Duration::from_millis(self.random.random_range(SLOW_CUT_MS));
        for daemon in daemons {
            for server in servers {
                let link = cluster.server_link(*daemon, *server);
                link.set_delay_ms(delay_ms);
                link.set_mode(LinkMode::Delay);
                self.pending.push((cut_at, Step::Cut(*daemon, *server)));
                self.heal_after(first_heal_at, *daemon, *server);
            }
        }
    }

    fn limit_rate(&mut self, cluster: &Cluster, server: usize) {
        let limit_milli = self.random.random_range(RATE_LIMIT_MILLI);
        let handle = &cluster.servers[server];
        cluster.log_event(&format!("{} names a limit of {limit_milli} milli/s", handle.name));
        handle.faults.rate_limit_milli.store(limit_milli, Ordering::Relaxed);
        let end_at = self.after(RATE_LIMIT_MS);
        self.pending.push((end_at, Step::ClearRateLimit(server)));
    }

    /// Makes all servers lose a part of their answers, so that requests are sent again while links are
    /// lost.
    fn lose_answers(&mut self, cluster: &Cluster) {
        let one_in = self.random.random_range(LOST_ANSWER_ONE_IN);
        cluster.log_event(&format!("all servers lose one in {one_in} answers"));
        set_lost_answers(cluster, one_in);
        let end_at = self.after(LOST_ANSWER_MS);
        self.pending.push((end_at, Step::KeepAnswers));
    }

    fn heal_after(&mut self, first_heal_at: Instant, daemon: usize, server: usize) {
        let delay = Duration::from_millis(self.random.random_range(HEAL_MS));
        self.pending.push((first_heal_at + delay, Step::Heal(daemon, server)));
    }

    /// Returns a time after a delay drawn from a range in milliseconds.
    fn after(&mut self, delay_ms: Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.random.random_range(delay_ms))
    }

    /// Carries out the steps that are due, or all of them.
    fn carry_out_due(&mut self, cluster: &Cluster, all: bool) {
        let now = Instant::now();
        self.pending.retain(|(due_at, step)| {
            let is_due = all || now >= *due_at;
            if is_due {
                step.carry_out(cluster);
            }
            !is_due
        });
    }
}

impl Step {
    fn carry_out(self, cluster: &Cluster) {
        cluster.log_event(&format!("step: {self:?}"));
        match self {
            Self::Cut(daemon, server) => {
                cluster.server_link(daemon, server).set_mode(LinkMode::Hang);
            }
            Self::Heal(daemon, server) => {
                cluster.server_link(daemon, server).set_mode(LinkMode::Pass);
            }
            Self::ClearRateLimit(server) => {
                cluster.servers[server].faults.rate_limit_milli.store(0, Ordering::Relaxed);
            }
            Self::KeepAnswers => set_lost_answers(cluster, 0),
        }
    }
}

/// Makes all servers lose one in so many answers, or none.
fn set_lost_answers(cluster: &Cluster, one_in: u32) {
    for server in &cluster.servers {
        server.faults.lost_answer.store(one_in, Ordering::Relaxed);
    }
}

/// Returns the index of the daemon that leads, if the store tells.
async fn leader(cluster: &Cluster) -> Option<usize> {
    let entry = cluster.store.read("fleet/leader").await.ok()??;
    let name = entry.text.split(' ').next()?;
    cluster.daemons.iter().position(|daemon| daemon.name == name)
}
