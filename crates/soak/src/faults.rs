//! What goes wrong, drawn from a seed.

use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use store::Faults as StoreFaults;
use tokio::time::{Duration, Instant};

use crate::cluster::{Cluster, Result};
use crate::link::Mode;

/// Draws faults, carries them out, and undoes them when their time is over.
#[derive(Debug)]
pub(crate) struct Schedule {
    random: StdRng,
    undo: Vec<(Instant, Undo)>,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Continue(usize),
    StartDaemon(usize),
    RestartDaemon(usize),
    StartServer(usize),
    EndServer(usize),
    PassToStore(usize),
    PassToServer(usize),
    HealStore,
    HealServer(usize),
}

/// How long a graceful stop may take before the process is killed.
const GRACE: Duration = Duration::from_millis(6_500);
/// The longest that a leaving server stays after it said so.
const LEAVES_MS: u64 = 4_000;

impl Schedule {
    pub(crate) fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), undo: Vec::new() }
    }

    /// Returns the pause before the next fault; faults come in series and overlap.
    pub(crate) fn pause(&mut self) -> Duration {
        let is_series = self.random.random_bool(0.4);
        let most_ms = if is_series { 250 } else { 1_500 };
        Duration::from_millis(self.random.random_range(30..most_ms))
    }

    /// Has one thing go wrong.
    pub(crate) async fn strike(&mut self, cluster: &mut Cluster) -> Result<()> {
        let daemon = self.random.random_range(0..cluster.daemons.len());
        let server = self.random.random_range(0..cluster.servers.len());
        let name = cluster.daemons[daemon].name.clone();
        let server_name = cluster.servers[server].name.clone();
        match self.random.random_range(0..16) {
            0 => {
                cluster.note(&format!("{name} is killed"));
                cluster.signal(daemon, Signal::SIGKILL);
                cluster.wait(daemon, GRACE).await;
                self.after(100..2_000, Undo::StartDaemon(daemon));
            }
            1 => {
                cluster.note(&format!("{name} is paused"));
                cluster.signal(daemon, Signal::SIGSTOP);
                self.after(300..5_000, Undo::Continue(daemon));
            }
            2 => {
                cluster.note(&format!("{name} is told to stop"));
                cluster.signal(daemon, Signal::SIGTERM);
                self.after(6_400..6_500, Undo::RestartDaemon(daemon));
            }
            3 => {
                cluster.note(&format!("{name} is told to reload"));
                cluster.signal(daemon, Signal::SIGHUP);
            }
            4 | 5 => {
                cluster.note(&format!("{server_name} crashes"));
                cluster.end_server(server);
                self.after(50..3_000, Undo::StartServer(server));
            }
            6 if !cluster.servers[server].is_draining.load(Ordering::Relaxed) => {
                cluster.note(&format!("{server_name} leaves, another comes"));
                let service = cluster.servers[server].service;
                cluster.servers[server].is_draining.store(true, Ordering::Relaxed);
                cluster.add_server(service).await?;
                self.after(LEAVES_MS..LEAVES_MS + 1, Undo::EndServer(server));
            }
            7 => self.break_store(cluster, StoreFaults { is_down: true, ..StoreFaults::default() }),
            8 => self.break_store(cluster, StoreFaults { delay_ms: 240, ..StoreFaults::default() }),
            9 => {
                let faults = StoreFaults { lose_reply_every: 3, ..StoreFaults::default() };
                self.break_store(cluster, faults);
            }
            10 => {
                cluster.note("the store forgets its history");
                cluster.store.compact();
            }
            11 | 12 => {
                let mode = self.draw_mode();
                cluster.note(&format!("{name} to the store: {mode:?}"));
                cluster.daemons[daemon].to_store.set(mode);
                self.after(300..6_000, Undo::PassToStore(daemon));
            }
            13 => {
                let mode = self.draw_mode();
                cluster.note(&format!("to {server_name}: {mode:?}"));
                cluster.servers[server].link.set(mode);
                self.after(300..6_000, Undo::PassToServer(server));
            }
            14 => {
                cluster.note(&format!("{server_name} confuses answers and loses grants"));
                let faults = &cluster.servers[server].faults;
                faults.wrong_id.store(20, Ordering::Relaxed);
                faults.lost_grant.store(3, Ordering::Relaxed);
                self.after(500..4_000, Undo::HealServer(server));
            }
            _ => cluster.change_site_soon(),
        }
        Ok(())
    }

    /// Undoes the faults whose time is over, or all of them.
    pub(crate) async fn heal(&mut self, cluster: &mut Cluster, all: bool) -> Result<()> {
        let now = Instant::now();
        let (due, open) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| all || now >= *at);
        self.undo = open;
        for (_, undo) in due {
            undo.carry_out(cluster).await?;
        }
        Ok(())
    }

    fn break_store(&mut self, cluster: &Cluster, faults: StoreFaults) {
        cluster.note(&format!("store: {faults:?}"));
        cluster.store.set_faults(faults);
        self.after(300..7_000, Undo::HealStore);
    }

    fn draw_mode(&mut self) -> Mode {
        let modes = [Mode::Delay, Mode::Silence, Mode::OneWay, Mode::Refuse];
        modes[self.random.random_range(0..modes.len())]
    }

    fn after(&mut self, range_ms: std::ops::Range<u64>, undo: Undo) {
        let delay = Duration::from_millis(self.random.random_range(range_ms));
        self.undo.push((Instant::now() + delay, undo));
    }
}

impl Undo {
    async fn carry_out(self, cluster: &mut Cluster) -> Result<()> {
        cluster.note(&format!("{self:?}"));
        match self {
            Self::Continue(at) => cluster.signal(at, Signal::SIGCONT),
            Self::StartDaemon(at) => {
                if !cluster.is_running(at) {
                    cluster.start_daemon(at)?;
                }
            }
            Self::RestartDaemon(at) => {
                // It may be paused; a stop that takes too long is ended as the platform does.
                cluster.signal(at, Signal::SIGKILL);
                cluster.wait(at, GRACE).await;
                cluster.start_daemon(at)?;
            }
            Self::StartServer(at) if !cluster.servers[at].is_draining.load(Ordering::Relaxed) => {
                cluster.start_server(at).await?;
            }
            Self::StartServer(_) => {}
            Self::EndServer(at) => cluster.end_server(at),
            Self::PassToStore(at) => cluster.daemons[at].to_store.set(Mode::Pass),
            Self::PassToServer(at) => cluster.servers[at].link.set(Mode::Pass),
            Self::HealStore => cluster.store.set_faults(StoreFaults::default()),
            Self::HealServer(at) => {
                let faults = &cluster.servers[at].faults;
                faults.wrong_id.store(0, Ordering::Relaxed);
                faults.lost_grant.store(0, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}
