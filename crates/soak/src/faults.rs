//! The schedule of faults, drawn from a seed.

use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::Faults as StoreFaults;
use tokio::time::{Duration, Instant};

use crate::cluster::{Cluster, Result};
use crate::link::LinkMode;

/// Draws faults, injects them, and undoes each of them when it is due.
#[derive(Debug)]
pub(crate) struct FaultSchedule {
    random: StdRng,
    /// Draws slow clocks, queued grants and faults of the leader, so that the other faults of a seed
    /// stay the same.
    server_random: StdRng,
    /// How each active fault is undone, and when.
    pending: Vec<(Instant, Undo)>,
}

/// How a fault is undone, with the index of its daemon or server.
#[derive(Clone, Copy, Debug)]
enum Undo {
    ResumeDaemon(usize),
    StartDaemon(usize),
    RestartDaemon(usize),
    StartServer(usize),
    StopServer(usize),
    FixStoreLink(usize),
    FixServerLink(usize),
    ClearStoreFaults,
    ClearServerFaults(usize),
}

/// How long to wait for a killed process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_millis(6_500);
/// How often a fault of a daemon is one of the leader.
const LEADER_SHARE: f64 = 0.3;
/// How long a draining server keeps running before it is stopped.
const DRAIN_MS: u64 = 4_000;

impl FaultSchedule {
    /// Creates a schedule whose faults are determined by the seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            server_random: StdRng::seed_from_u64(!seed),
            pending: Vec::new(),
        }
    }

    /// Gives the clocks of some servers the largest drift.
    pub(crate) fn draw_clocks(&mut self, cluster: &Cluster) {
        for server in &cluster.servers {
            let is_slow = self.server_random.random_bool(0.5);
            server.faults.has_slow_clock.store(is_slow, Ordering::Relaxed);
        }
    }

    /// Draws the delay before the next fault; many are short, so that faults overlap.
    pub(crate) fn draw_delay(&mut self) -> Duration {
        let is_short = self.random.random_bool(0.4);
        let max_ms = if is_short { 250 } else { 1_500 };
        Duration::from_millis(self.random.random_range(30..max_ms))
    }

    /// Draws one fault and injects it.
    pub(crate) async fn inject(&mut self, cluster: &mut Cluster) -> Result<()> {
        let mut daemon = self.random.random_range(0..cluster.daemons.len());
        if self.server_random.random_bool(LEADER_SHARE)
            && let Some(leader) = cluster.leader().await
        {
            daemon = leader;
        }
        let server = self.random.random_range(0..cluster.servers.len());
        let name = cluster.daemons[daemon].name.clone();
        let server_name = cluster.servers[server].name.clone();
        match self.random.random_range(0..16) {
            0 => {
                cluster.log_event(&format!("{name} is killed"));
                cluster.signal(daemon, Signal::SIGKILL);
                cluster.wait_for_exit(daemon, EXIT_TIMEOUT).await;
                self.undo_after(100..2_000, Undo::StartDaemon(daemon));
            }
            1 => {
                cluster.log_event(&format!("{name} is suspended"));
                cluster.signal(daemon, Signal::SIGSTOP);
                self.undo_after(300..5_000, Undo::ResumeDaemon(daemon));
            }
            2 => {
                cluster.log_event(&format!("{name} gets SIGTERM"));
                cluster.signal(daemon, Signal::SIGTERM);
                // The platform gives a graceful stop this long before it kills the process.
                self.undo_after(6_400..6_500, Undo::RestartDaemon(daemon));
            }
            3 if cluster.daemons[daemon].is_starting() => {}
            3 => {
                cluster.log_event(&format!("{name} gets SIGHUP"));
                cluster.signal(daemon, Signal::SIGHUP);
            }
            4 | 5 => {
                cluster.log_event(&format!("{server_name} crashes"));
                cluster.stop_server(server);
                self.undo_after(50..3_000, Undo::StartServer(server));
            }
            6 if !cluster.servers[server].is_leaving() => {
                let service = cluster.servers[server].service;
                // Every second server leaves without saying so.
                if server % 2 == 1 {
                    cluster.log_event(&format!("{server_name} is not listed, another one starts"));
                    cluster.servers[server].is_unlisted.store(true, Ordering::Relaxed);
                } else {
                    cluster.log_event(&format!("{server_name} drains, another server starts"));
                    cluster.servers[server].is_draining.store(true, Ordering::Relaxed);
                }
                cluster.add_server(service).await?;
                self.undo_after(DRAIN_MS..DRAIN_MS + 1, Undo::StopServer(server));
            }
            7 => self.inject_store_faults(
                cluster,
                StoreFaults { is_down: true, ..StoreFaults::default() },
            ),
            8 => self.inject_store_faults(
                cluster,
                StoreFaults { delay_ms: 240, ..StoreFaults::default() },
            ),
            9 => {
                let faults = StoreFaults { lose_reply_every: 3, ..StoreFaults::default() };
                self.inject_store_faults(cluster, faults);
            }
            10 => {
                cluster.log_event("store compacts its history");
                cluster.store.compact();
            }
            11 | 12 => {
                let mode = self.draw_mode();
                cluster.log_event(&format!("link from {name} to the store: {mode:?}"));
                cluster.daemons[daemon].store_link.set_mode(mode);
                self.undo_after(300..6_000, Undo::FixStoreLink(daemon));
            }
            13 => {
                let mode = self.draw_mode();
                cluster.log_event(&format!("link to {server_name}: {mode:?}"));
                cluster.servers[server].link.set_mode(mode);
                self.undo_after(300..6_000, Undo::FixServerLink(server));
            }
            14 => {
                cluster.log_event(&format!(
                    "{server_name} sends wrong ids and endless answers and leaves grants unanswered"
                ));
                let faults = &cluster.servers[server].faults;
                faults.wrong_id.store(20, Ordering::Relaxed);
                faults.endless_answer.store(20, Ordering::Relaxed);
                faults.unanswered_grant.store(3, Ordering::Relaxed);
                if self.server_random.random_bool(0.5) {
                    cluster.log_event(&format!("{server_name} queues grants"));
                    faults.queued_grant.store(4, Ordering::Relaxed);
                }
                self.undo_after(500..4_000, Undo::ClearServerFaults(server));
            }
            _ => cluster.schedule_document_change(),
        }
        Ok(())
    }

    /// Returns whether a server has faults that are to be cleared later.
    pub(crate) fn has_server_faults(&self, server: usize) -> bool {
        let mut undos = self.pending.iter().map(|(_, undo)| undo);
        undos.any(|undo| matches!(undo, Undo::ClearServerFaults(index) if *index == server))
    }

    /// Undoes the faults that are due, or every fault if `all` is set.
    pub(crate) async fn undo_due(&mut self, cluster: &mut Cluster, all: bool) -> Result<()> {
        let now = Instant::now();
        let (due, remaining) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|(undo_at, _)| all || now >= *undo_at);
        self.pending = remaining;
        for (_, undo) in due {
            undo.carry_out(cluster).await?;
        }
        Ok(())
    }

    /// Injects faults into the store, and schedules the undo.
    fn inject_store_faults(&mut self, cluster: &Cluster, faults: StoreFaults) {
        cluster.log_event(&format!("store faults: {faults:?}"));
        cluster.store.set_faults(faults);
        self.undo_after(300..7_000, Undo::ClearStoreFaults);
    }

    /// Draws a link mode other than [`LinkMode::Pass`].
    fn draw_mode(&mut self) -> LinkMode {
        let modes = [LinkMode::Delay, LinkMode::Silence, LinkMode::OneWay, LinkMode::Refuse];
        modes[self.random.random_range(0..modes.len())]
    }

    /// Schedules an undo after a delay drawn from a range in milliseconds.
    fn undo_after(&mut self, delay_ms: std::ops::Range<u64>, undo: Undo) {
        let delay = Duration::from_millis(self.random.random_range(delay_ms));
        self.pending.push((Instant::now() + delay, undo));
    }
}

impl Undo {
    async fn carry_out(self, cluster: &mut Cluster) -> Result<()> {
        cluster.log_event(&format!("undo: {self:?}"));
        match self {
            Self::ResumeDaemon(index) => cluster.signal(index, Signal::SIGCONT),
            Self::StartDaemon(index) => {
                if !cluster.is_running(index) {
                    cluster.start_daemon(index)?;
                }
            }
            Self::RestartDaemon(index) => {
                // The platform kills a process that takes too long to stop. A process that was
                // suspended meanwhile ends as well.
                cluster.signal(index, Signal::SIGKILL);
                cluster.wait_for_exit(index, EXIT_TIMEOUT).await;
                cluster.start_daemon(index)?;
            }
            Self::StartServer(index) if !cluster.servers[index].is_leaving() => {
                cluster.start_server(index).await?;
            }
            Self::StartServer(_) => {}
            Self::StopServer(index) => cluster.stop_server(index),
            Self::FixStoreLink(index) => cluster.daemons[index].store_link.set_mode(LinkMode::Pass),
            Self::FixServerLink(index) => cluster.servers[index].link.set_mode(LinkMode::Pass),
            Self::ClearStoreFaults => cluster.store.set_faults(StoreFaults::default()),
            Self::ClearServerFaults(index) => {
                let faults = &cluster.servers[index].faults;
                faults.wrong_id.store(0, Ordering::Relaxed);
                faults.endless_answer.store(0, Ordering::Relaxed);
                faults.unanswered_grant.store(0, Ordering::Relaxed);
                faults.queued_grant.store(0, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}
