//! One run: injects the faults of a seed and reports what callers and servers saw.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, Counts};
use crate::cluster::{Cluster, ClusterOptions, Result};
use crate::faults::FaultSchedule;
use crate::link_faults::{LinkFaults, data_centres};
use crate::order_faults::OrderFaults;
use crate::planned_stops;
use crate::server_stops::ServerStops;
use crate::upgrade::{Upgrade, VersionStart};

/// The parameters of a run, written to `options.json` in the folder of its logs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[expect(clippy::struct_excessive_bools, reason = "each is an option of the command line")]
pub struct Options {
    /// The seed that determines the faults.
    pub seed: u64,
    /// How long faults are injected, in seconds.
    pub for_s: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of callers of each daemon.
    pub callers: usize,
    /// Whether to check that service recovers in time.
    ///
    /// How long recovery takes depends on the speed of the machine.
    pub checks_recovery: bool,
    /// Whether daemons have links of their own to the servers, which fail too.
    #[serde(default)]
    pub own_links: bool,
    /// How long service has to recover after the last fault, in seconds.
    #[serde(default = "max_recovery_s")]
    pub recovery_s: u64,
    /// Whether the run consists of planned stops under overload, without faults.
    #[serde(default)]
    pub planned_stops: bool,
    /// Whether all servers queue grants and leave some unanswered until the faults end.
    ///
    /// Otherwise the seed determines which servers do, how often and when.
    #[serde(default)]
    pub queues_grants: bool,
    /// The number of servers; `None` for three more than daemons, and at least seven.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<usize>,
    /// The program with which the daemons start in a rolling upgrade.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<PathBuf>,
}

/// The result of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The parameters of the run.
    pub options: Options,
    /// How many requests ended in which way.
    pub counts: Counts,
    /// The share of requests served after the time allowed for recovery.
    pub served_part_at_end: f64,
    /// Every rule that was broken.
    pub broken: Vec<String>,
    /// Every start of a daemon in a rolling upgrade.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<VersionStart>,
    /// How often daemons were told to stop in a run of planned stops.
    pub stops: u32,
}

/// The time that daemons have to find each other and assign all keys before the first fault.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// The time in which the requirements demand that service recovers after the last fault.
pub const MAX_RECOVERY_S: u64 = 15;
/// How many servers are added where daemons have links of their own, so that a request can reach
/// more servers than its route allows.
const ADDED_POOLED_SERVERS: usize = 4;
/// How long the share of served requests is measured after the recovery.
const MEASURE_TIME: Duration = Duration::from_secs(3);
/// The least share of requests that must be served after the recovery.
///
/// The requirements demand only a quarter. With the stand-ins the bound is stricter, as only
/// requests for keys that are just being moved can fail there after the recovery.
const MIN_SERVED_SHARE: f64 = 0.9;

fn max_recovery_s() -> u64 {
    MAX_RECOVERY_S
}

/// Runs one seed with the given daemon program; logs and settings go to `dir`.
///
/// With a previous program, faults go on until every daemon has been replaced.
///
/// # Errors
///
/// Fails when the previous program is missing, no port is free, or a file or process cannot be
/// created.
pub async fn run(options: Options, program: &Path, dir: &Path) -> Result<Report> {
    let first_program = options.previous.as_deref().unwrap_or(program);
    if !first_program.is_file() {
        let path = first_program.display();
        return Err(format!("{path} is missing, name the program with --previous").into());
    }
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("options.json"), serde_json::to_vec_pretty(&options)?)?;
    if options.planned_stops {
        return planned_stops::run(options, program, dir).await;
    }
    let mut cluster = Cluster::start_with(first_program, dir, cluster_options(&options)).await?;
    if options.own_links {
        for _ in 0..ADDED_POOLED_SERVERS {
            cluster.add_server("archive").await?;
        }
    }
    let callers = Callers::new(Arc::clone(&cluster.checker));
    let start_counts = start_callers(&cluster, &callers, options.callers);
    let latest = Arc::new(AtomicU64::new(0));
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        let version_check = Arc::clone(&callers).watch_version(
            daemon.front,
            Arc::clone(&start_counts[index]),
            Arc::clone(&latest),
        );
        tokio::spawn(version_check);
    }
    let mut schedule = FaultSchedule::new(options.seed);
    schedule.draw_clocks(&cluster);
    let mut order_faults = OrderFaults::new(options.seed, options.queues_grants);
    order_faults.set_queues(&cluster);
    let first_fault_at = Instant::now() + STARTUP_TIME;
    let mut link_faults = options
        .own_links
        .then(|| LinkFaults::new(options.seed, data_centres(options.daemons), first_fault_at));
    let mut server_stops = ServerStops::new(options.seed, first_fault_at);
    let period = Duration::from_secs(options.for_s);
    let faults_deadline = first_fault_at + period;
    let mut upgrade = options.previous.is_some().then(|| {
        Upgrade::new(program.to_owned(), options.seed, options.daemons, first_fault_at, period)
    });
    let mut next_fault_at = first_fault_at;
    while Instant::now() < faults_deadline || upgrade.as_ref().is_some_and(Upgrade::is_running) {
        sleep(Duration::from_millis(20)).await;
        schedule.undo_due(&mut cluster, false).await?;
        if Instant::now() >= next_fault_at {
            next_fault_at = Instant::now() + schedule.draw_delay();
            schedule.inject(&mut cluster).await?;
        }
        order_faults.step(&cluster, |server| schedule.has_server_faults(server));
        if let Some(faults) = &mut link_faults {
            faults.step(&cluster).await;
        }
        server_stops.step(&cluster).await;
        cluster.restart_exited_daemons()?;
        if let Some(upgrade) = &mut upgrade {
            upgrade.advance(&mut cluster);
        }
        cluster.write_document_if_due().await;
        update_version_check_inputs(&cluster, &start_counts, &latest);
    }
    cluster.log_event("faults end");
    schedule.undo_due(&mut cluster, true).await?;
    order_faults.undo(&cluster);
    if let Some(faults) = &mut link_faults {
        faults.undo_all(&cluster);
    }
    server_stops.undo_all(&cluster);
    let recovery_deadline = Instant::now() + Duration::from_secs(options.recovery_s);
    while Instant::now() < recovery_deadline {
        sleep(Duration::from_millis(100)).await;
        cluster.restart_exited_daemons()?;
        if let Some(upgrade) = &mut upgrade {
            upgrade.advance(&mut cluster);
        }
        update_version_check_inputs(&cluster, &start_counts, &latest);
    }
    let served_part_at_end = callers.served_share(MEASURE_TIME).await;
    callers.stop();
    sleep(Duration::from_secs(1)).await;
    callers.check_refusals();
    if options.checks_recovery && served_part_at_end < MIN_SERVED_SHARE {
        let violation = format!(
            "served {served_part_at_end:.3} of requests at the end, expected {MIN_SERVED_SHARE}"
        );
        cluster.checker.add_violation(violation);
    }
    std::fs::write(dir.join("timeline.txt"), cluster.timeline())?;
    let broken = cluster.checker.violations();
    let starts = upgrade.map(|upgrade| upgrade.starts).unwrap_or_default();
    Ok(Report { options, counts: callers.counts(), served_part_at_end, broken, starts, stops: 0 })
}

fn cluster_options(options: &Options) -> ClusterOptions<'static> {
    let cluster_options = if options.own_links {
        ClusterOptions::new(&data_centres(options.daemons)).own_links()
    } else {
        ClusterOptions::new(&vec!["a"; options.daemons])
    };
    match options.servers {
        Some(servers) => cluster_options.servers(servers),
        None => cluster_options,
    }
}

/// Starts the callers of all daemons, and returns a start count for each daemon.
///
/// [`update_version_check_inputs`] sets the counts.
fn start_callers(
    cluster: &Cluster,
    callers: &Arc<Callers>,
    per_daemon: usize,
) -> Vec<Arc<AtomicU64>> {
    for daemon in &cluster.daemons {
        for _ in 0..per_daemon {
            tokio::spawn(Arc::clone(callers).run_caller(daemon.front));
        }
    }
    cluster.daemons.iter().map(|_| Arc::default()).collect()
}

/// Updates the start counts and the latest version that the version checks read.
fn update_version_check_inputs(
    cluster: &Cluster,
    start_counts: &[Arc<AtomicU64>],
    latest: &AtomicU64,
) {
    for (daemon, start_count) in cluster.daemons.iter().zip(start_counts) {
        start_count.store(u64::from(daemon.start_count), Ordering::Relaxed);
    }
    latest.store(cluster.version, Ordering::Relaxed);
}

/// Returns the output folder of a seed.
#[must_use]
pub fn seed_dir(out: &Path, seed: u64) -> PathBuf {
    out.join(format!("seed-{seed}"))
}
