//! Planned work under overload: daemons stop in series, documents change, servers are replaced.

use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use lab::WorkTimes;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{Duration, Instant, sleep};

use crate::callers::Callers;
use crate::cluster::{Cluster, ClusterOptions, Result, RouteTimes, ServerLoad};
use crate::kept_callers::{KeptCallers, Reuse};
use crate::loss_check::{GRACE, LossCheck};
use crate::rotation::Rotation;
use crate::run::{Options, Report};

/// Draws planned work from a seed and carries it out when it is due.
#[derive(Debug)]
struct PlannedWork {
    losses: Arc<LossCheck>,
    /// Each kind of work has draws of its own, so that none depends on when others are due.
    stop_draws: Draws,
    change_draws: Draws,
    reload_draws: Draws,
    server_draws: Draws,
    /// The stop of each daemon that has been told to stop and has not been started since.
    stops: Vec<Option<Stop>>,
    start_counts: Vec<u32>,
    stop_count: u32,
    next_stops_at: Instant,
    next_change_at: Instant,
    next_reload_at: Instant,
    next_server_at: Instant,
    /// The servers that drain, and when each of them stops.
    leaving: Vec<(Instant, usize)>,
}

/// The random draws of one kind of work.
#[derive(Debug)]
struct Draws(StdRng);

/// A daemon that was told to stop.
#[derive(Clone, Copy, Debug)]
struct Stop {
    kill_at: Instant,
    /// Another signal during the stop, and when it is sent.
    repeated: Option<(Instant, Signal)>,
}

/// The time in which daemons find each other, keys are assigned and queues fill.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// How long callers go on after the last stop.
const FINAL_TIME: Duration = Duration::from_secs(1);
/// The timeout of routes; so long that requests may wait until a stop ends.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// The latency goal of routes; daemons refuse requests that would miss it under overload.
const LATENCY_GOAL_MS: u64 = 4_000;
/// How long servers work: a quarter of a second on average, with a long tail.
const MIN_WORK_MS: u64 = 60;
const MAX_WORK_MS: u64 = 4_000;
/// How much longer slow servers work.
const SLOWNESS: u64 = 3;
/// How many requests wait at a server.
const MAX_WAITING: usize = 8;
/// The time between stops; shorter than a stop, so that stops overlap.
const STOP_INTERVAL_MS: Range<u64> = 300..4_000;
const CHANGE_INTERVAL_MS: Range<u64> = 700..4_000;
const RELOAD_INTERVAL_MS: Range<u64> = 500..4_000;
const SERVER_INTERVAL_MS: Range<u64> = 1_500..6_000;
/// How long a draining server goes on; longer than the drain time that daemons assume.
const DRAIN_MS: Range<u64> = 6_500..9_000;
/// When after SIGTERM a second signal may come.
const REPEAT_MS: Range<u64> = 100..5_500;

/// Runs one seed of planned work; logs, settings and a list of cut requests go to `dir`.
pub(crate) async fn run(options: Options, program: &Path, dir: &Path) -> Result<Report> {
    let load = ServerLoad {
        work_times: WorkTimes { seed: options.seed, min_ms: MIN_WORK_MS, max_ms: MAX_WORK_MS },
        slowness: SLOWNESS,
        max_waiting: MAX_WAITING,
    };
    let timeout_ms = u64::try_from(ROUTE_TIMEOUT.as_millis())?;
    let cluster_options = ClusterOptions::new(&vec!["a"; options.daemons])
        .route_times(RouteTimes { timeout_ms, latency_goal_ms: LATENCY_GOAL_MS })
        .server_load(load);
    let mut cluster = Cluster::start_with(program, dir, cluster_options).await?;
    let checker = Arc::clone(&cluster.checker);
    let losses = LossCheck::new(Arc::clone(&checker), cluster.started_at, ROUTE_TIMEOUT);
    let callers = Callers::new(checker);
    let rotation = Rotation::start(&cluster);
    let kept = Arc::new(KeptCallers {
        callers: Arc::clone(&callers),
        rotation,
        losses: Arc::clone(&losses),
    });
    for caller in 0..u64::try_from(options.callers * options.daemons)? {
        let reuse = if caller.is_multiple_of(3) { Reuse::New } else { Reuse::Kept };
        tokio::spawn(Arc::clone(&kept).run(caller, reuse, options.seed));
    }
    let first_work_at = Instant::now() + STARTUP_TIME;
    let work_deadline = first_work_at + Duration::from_secs(options.for_s);
    let mut work = PlannedWork::new(options.seed, &cluster, Arc::clone(&losses), first_work_at);
    while Instant::now() < work_deadline || work.is_stopping() {
        sleep(Duration::from_millis(10)).await;
        work.restart_exited(&mut cluster)?;
        work.follow_up(&mut cluster);
        if Instant::now() < work_deadline {
            work.begin_due(&mut cluster).await?;
        }
        cluster.write_document_if_due().await;
    }
    cluster.log_event("planned work ends");
    let served_part_at_end = callers.served_share(FINAL_TIME).await;
    callers.stop();
    // Answers that are on their way, and late runs of refused requests, become known.
    sleep(FINAL_TIME).await;
    callers.check_refusals();
    let mut counts = callers.counts();
    let endings = losses.finish(&mut counts);
    std::fs::write(dir.join("endings.txt"), endings.join("\n"))?;
    std::fs::write(dir.join("timeline.txt"), cluster.timeline())?;
    let broken = cluster.checker.violations();
    let stops = work.stop_count;
    Ok(Report { options, counts, served_part_at_end, broken, starts: Vec::new(), stops })
}

impl PlannedWork {
    fn new(seed: u64, cluster: &Cluster, losses: Arc<LossCheck>, from: Instant) -> Self {
        Self {
            losses,
            stop_draws: Draws::new(seed, 1),
            change_draws: Draws::new(seed, 2),
            reload_draws: Draws::new(seed, 3),
            server_draws: Draws::new(seed, 4),
            stops: vec![None; cluster.daemons.len()],
            start_counts: cluster.daemons.iter().map(|daemon| daemon.start_count).collect(),
            stop_count: 0,
            next_stops_at: from,
            next_change_at: from,
            next_reload_at: from,
            next_server_at: from,
            leaving: Vec::new(),
        }
    }

    /// Returns whether a daemon has still to end.
    fn is_stopping(&self) -> bool {
        self.stops.iter().any(Option::is_some)
    }

    /// Starts daemons that have ended; one that ended without a signal is a violation.
    fn restart_exited(&mut self, cluster: &mut Cluster) -> Result<()> {
        cluster.restart_exited_daemons()?;
        for (index, daemon) in cluster.daemons.iter().enumerate() {
            if daemon.start_count > self.start_counts[index] {
                self.start_counts[index] = daemon.start_count;
                if self.stops[index].take().is_none() {
                    let violation = format!("{} exited without a signal", daemon.name);
                    cluster.checker.add_violation(violation);
                }
            }
        }
        Ok(())
    }

    /// Carries out what follows work that has begun.
    fn follow_up(&mut self, cluster: &mut Cluster) {
        let now = Instant::now();
        for (index, stop) in self.stops.iter_mut().enumerate() {
            let Some(stop) = stop else { continue };
            let name = &cluster.daemons[index].name;
            if let Some((_, signal)) = stop.repeated.take_if(|(at, _)| now >= *at) {
                cluster.log_event(&format!("{name} gets {signal} during its stop"));
                cluster.signal(index, signal);
            }
            if now >= stop.kill_at {
                cluster.log_event(&format!("{name} is killed at the end of the grace period"));
                cluster.signal(index, Signal::SIGKILL);
                stop.kill_at = now + GRACE;
            }
        }
        self.leaving.retain(|(stop_at, server)| {
            let is_due = now >= *stop_at;
            if is_due {
                cluster.log_event(&format!("{} stops", cluster.servers[*server].name));
                cluster.stop_server(*server);
            }
            !is_due
        });
    }

    /// Begins the work that is due.
    async fn begin_due(&mut self, cluster: &mut Cluster) -> Result<()> {
        let now = Instant::now();
        if now >= self.next_stops_at {
            self.next_stops_at = self.stop_draws.after(STOP_INTERVAL_MS);
            self.stop_daemons(cluster);
        }
        if now >= self.next_change_at {
            self.next_change_at = self.change_draws.after(CHANGE_INTERVAL_MS);
            cluster.schedule_document_change();
        }
        if now >= self.next_reload_at {
            self.next_reload_at = self.reload_draws.after(RELOAD_INTERVAL_MS);
            self.reload_daemon(cluster);
        }
        if now >= self.next_server_at {
            self.next_server_at = self.server_draws.after(SERVER_INTERVAL_MS);
            self.replace_server(cluster).await?;
        }
        Ok(())
    }

    /// Stops one daemon, several or, at times, all that do not stop yet.
    fn stop_daemons(&mut self, cluster: &Cluster) {
        let draws = &mut self.stop_draws;
        let mut running: Vec<usize> =
            (0..self.stops.len()).filter(|index| self.stops[*index].is_none()).collect();
        running.shuffle(&mut draws.0);
        let count = match draws.0.random_range(0..10) {
            0..4 => 1,
            4..9 => draws.0.random_range(1..=self.stops.len().div_ceil(2)),
            _ => running.len(),
        };
        for index in running.into_iter().take(count) {
            let signals = [Signal::SIGTERM, Signal::SIGHUP];
            let signal = signals[draws.0.random_range(0..signals.len())];
            let repeated = (draws.after(REPEAT_MS), signal);
            let repeated = draws.0.random_bool(0.5).then_some(repeated);
            self.stops[index] = Some(Stop { kill_at: Instant::now() + GRACE, repeated });
            self.stop_count += 1;
            cluster.log_event(&format!("{} gets SIGTERM", cluster.daemons[index].name));
            self.losses.on_stop(index);
            cluster.signal(index, Signal::SIGTERM);
        }
    }

    fn reload_daemon(&mut self, cluster: &Cluster) {
        let index = self.reload_draws.0.random_range(0..self.stops.len());
        if self.stops[index].is_none() && !cluster.daemons[index].is_starting() {
            cluster.log_event(&format!("{} gets SIGHUP", cluster.daemons[index].name));
            self.losses.on_reload(index);
            cluster.signal(index, Signal::SIGHUP);
        }
    }

    /// Starts a server; most often another one of its service drains and leaves.
    async fn replace_server(&mut self, cluster: &mut Cluster) -> Result<()> {
        let index = self.server_draws.0.random_range(0..cluster.servers.len());
        let service = cluster.servers[index].service;
        cluster.add_server(service).await?;
        let server = &cluster.servers[index];
        let is_replaced = self.server_draws.0.random_bool(0.8);
        if is_replaced && !server.is_draining.swap(true, Ordering::Relaxed) {
            cluster.log_event(&format!("{} drains, another server starts", server.name));
            let stop_at = self.server_draws.after(DRAIN_MS);
            self.leaving.push((stop_at, index));
        } else {
            cluster.log_event(&format!("a server of {service} is added"));
        }
        Ok(())
    }
}

impl Draws {
    fn new(seed: u64, kind: u64) -> Self {
        Self(StdRng::seed_from_u64(seed ^ (kind << 32)))
    }

    /// Returns a time after a delay drawn from a range in milliseconds.
    fn after(&mut self, delay_ms: Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.0.random_range(delay_ms))
    }
}
