//! One run: faults from a seed, and what callers and servers see meanwhile.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, Counts};
use crate::cluster::{Cluster, Result};
use crate::faults::Schedule;

/// What a run is made of; it is kept with the logs of one that failed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Options {
    /// Where faults are drawn from.
    pub seed: u64,
    /// How long faults come.
    pub for_s: u64,
    /// How many daemons run.
    pub daemons: usize,
    /// How many callers each daemon has.
    pub callers: usize,
    /// Whether service has to be back in time; that depends on the speed of the machine.
    pub checks_recovery: bool,
}

/// What came of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// What was run.
    pub options: Options,
    /// How requests ended.
    pub counts: Counts,
    /// The part of requests served once all faults were over for some time.
    pub served_part_at_end: f64,
    /// Every promise that was broken.
    pub broken: Vec<String>,
}

/// How long daemons have to find each other and assign all keys.
const START: Duration = Duration::from_secs(4);
/// How long service may take to be back after the last fault, as the users' rules say.
const RECOVER: Duration = Duration::from_secs(15);
/// Over which time service is looked at in the end.
const LOOK: Duration = Duration::from_secs(3);
/// The part of requests that have to be served then; a quarter is the users' rule, and the
/// stand-ins leave nothing that would excuse more than a move.
const SERVED_PART: f64 = 0.9;

/// Runs one seed.
///
/// # Errors
///
/// Fails when a port, file or process cannot be had.
pub async fn run(options: Options, program: &Path, dir: &Path) -> Result<Report> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("options.json"), serde_json::to_vec_pretty(&options)?)?;
    let mut cluster = Cluster::start(program, dir, options.daemons).await?;
    let callers = Callers::new(Arc::clone(&cluster.referee));
    let lives = start_callers(&cluster, &callers, options.callers);
    let latest = Arc::new(AtomicU64::new(0));
    for (at, daemon) in cluster.daemons.iter().enumerate() {
        let watching = Arc::clone(&callers).watch_version(
            daemon.front,
            Arc::clone(&lives[at]),
            Arc::clone(&latest),
        );
        tokio::spawn(watching);
    }
    let mut schedule = Schedule::new(options.seed);
    let calm_until = Instant::now() + START;
    let end = calm_until + Duration::from_secs(options.for_s);
    let mut next = calm_until;
    while Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
        schedule.heal(&mut cluster, false).await?;
        if Instant::now() >= next {
            next = Instant::now() + schedule.pause();
            schedule.strike(&mut cluster).await?;
        }
        cluster.supervise()?;
        cluster.change_site_if_due().await;
        publish(&cluster, &lives, &latest);
    }
    cluster.note("faults end");
    schedule.heal(&mut cluster, true).await?;
    let recovered = Instant::now() + RECOVER;
    while Instant::now() < recovered {
        sleep(Duration::from_millis(100)).await;
        cluster.supervise()?;
        publish(&cluster, &lives, &latest);
    }
    let served_part_at_end = callers.served_part(LOOK).await;
    callers.end();
    sleep(Duration::from_secs(1)).await;
    callers.check_promises();
    if options.checks_recovery && served_part_at_end < SERVED_PART {
        let broken = format!("only {served_part_at_end:.3} served in the end");
        cluster.referee.note_broken(broken);
    }
    std::fs::write(dir.join("timeline.txt"), cluster.timeline())?;
    let broken = cluster.referee.broken();
    Ok(Report { options, counts: callers.counts(), served_part_at_end, broken })
}

fn start_callers(cluster: &Cluster, callers: &Arc<Callers>, each: usize) -> Vec<Arc<AtomicU64>> {
    for daemon in &cluster.daemons {
        for _ in 0..each {
            tokio::spawn(Arc::clone(callers).call(daemon.front));
        }
    }
    cluster.daemons.iter().map(|_| Arc::default()).collect()
}

/// Tells the watchers how often daemons were started, and the latest version.
fn publish(cluster: &Cluster, lives: &[Arc<AtomicU64>], latest: &AtomicU64) {
    for (daemon, life) in cluster.daemons.iter().zip(lives) {
        life.store(u64::from(daemon.lives), Ordering::Relaxed);
    }
    latest.store(cluster.version, Ordering::Relaxed);
}

/// Returns the folder of a seed's run.
#[must_use]
pub fn folder(out: &Path, seed: u64) -> PathBuf {
    out.join(format!("seed-{seed}"))
}
