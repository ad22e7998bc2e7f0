//! The server move: three quarters of the servers are replaced while load is sent.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use document::{Name, ServerState};
use serde::Serialize;
use tokio::time::{Duration, Instant, sleep};

use crate::availability::{Availability, Gaps};
use crate::float::{f64_from_u64, f64_from_usize};
use crate::load::{Load, LoadOptions, LoadReport, Targets};
use crate::measure::Association;
use crate::plot::Timeline;
use crate::rule_checker::RuleViolations;
use crate::site::{Result, ServerPlan, ServicePlan, Site, SitePlan};

/// Options of the server move.
#[derive(Clone, Debug)]
pub struct MoveOptions {
    /// How long load is sent.
    pub duration_ms: u64,
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    /// The seed of the random choices.
    pub seed: u64,
    /// The association whose servers are replaced.
    pub association: Association,
    /// Whether the baseline, rendezvous hashing, places the shards.
    pub is_rendezvous: bool,
    /// Whether progress is printed.
    pub prints_progress: bool,
}

/// The results of the server move.
#[derive(Clone, Debug, Serialize)]
pub struct MoveReport {
    /// The seed of the random choices.
    pub seed: u64,
    /// From the edit until no shard is on a leaving server and every shard is open.
    pub settled_ms: u64,
    /// From the edit until every daemon has the keyed service's document in force.
    pub in_force_ms: u64,
    /// The number of shards of the keyed service.
    pub shards: usize,
    /// The minimum number of owner changes, which is the number of shards of the leaving servers.
    pub least_changes: u64,
    /// Owner changes divided by [`Self::least_changes`].
    pub churn_ratio: f64,
    /// The largest number of shards of a server divided by the mean, after settling.
    pub imbalance_shards: f64,
    /// The largest number of requests of a server divided by the mean, after settling.
    pub imbalance_requests: f64,
    /// How often and how long shards had no serving owner.
    pub unavailable: Gaps,
    /// The requests by outcome.
    pub load: LoadReport,
    /// How often each rule was broken.
    pub broken: RuleViolations,
    /// The numbers of shards on leaving servers, of closed ones, and of those on new servers.
    pub timeline: Timeline,
}

const DATA_CENTRES: [&str; 3] = ["zurich", "bern", "basel"];
const KEYS: u32 = 20_000;
const SKEW: f64 = 0.6;
const OPEN_TIMEOUT_MS: u64 = 20_000;
const SETTLE_TIMEOUT_MS: u64 = 30_000;
/// How often the timeline samples the table of the first daemon.
const SAMPLE_INTERVAL_MS: u64 = 100;
const WARM_UP_MS: u64 = 3_000;
/// Added to the seed, so that the warm-up sends other requests than the measured load.
const WARM_UP_SEED_OFFSET: u64 = 1 << 32;

/// Runs the server move in this process.
///
/// # Errors
///
/// Fails when the site does not start, or does not settle in time.
pub async fn run_move(options: &MoveOptions) -> Result<MoveReport> {
    let mut plan = site_plan_of(options.association);
    if options.is_rendezvous {
        let head = &mut plan.services[0].document_head;
        *head = head.replace("\nkind = keyed\n", "\nkind = keyed\nplacement = rendezvous\n");
    }
    let site = Site::start(&plan).await?;
    site.edit(0, |server| server.state).await?;
    site.edit(1, |server| server.state).await?;
    let open_ms = site.wait_until_open(OPEN_TIMEOUT_MS).await?;
    print_progress(options, &format!("all shards open after {open_ms} ms"));
    let targets = Targets::default();
    targets.set(&site.callers_addresses());
    // The first request of a shard is slow, so the shards are warmed up before measuring.
    let warm_up = LoadOptions {
        duration_ms: WARM_UP_MS,
        seed: options.seed.wrapping_add(WARM_UP_SEED_OFFSET),
        ..load_options(options)
    };
    Load::new(warm_up, targets.clone(), None).run().await;
    let is_finished = Arc::new(AtomicBool::new(false));
    let watcher = start_availability_watch(&site, Arc::clone(&is_finished));
    let load = Load::new(load_options(options), targets, Some(Arc::clone(&site.rule_checker)));
    let sending = tokio::spawn(Arc::clone(&load).run());
    let start = Instant::now();
    let sampler = start_sampler(&site, start, &is_finished, options.prints_progress);
    sleep(Duration::from_millis(options.duration_ms / 4)).await;
    let moved = move_servers(&site, options).await?;
    // The imbalance by requests counts only requests after settling, so earlier ones are dropped.
    site.rule_checker.take_commits();
    let report = sending.await.unwrap_or_default();
    is_finished.store(true, Ordering::Relaxed);
    let unavailable = tokio::task::spawn_blocking(move || watcher.join().unwrap_or_default());
    let unavailable = unavailable.await.unwrap_or_default();
    let timeline = sampler.await.unwrap_or_default();
    let report = to_report(options, &site, &moved, report, unavailable, timeline);
    site.end().await;
    Ok(report)
}

struct MoveTimes {
    settled_ms: u64,
    in_force_ms: u64,
    least_changes: u64,
}

/// Writes the edits that replace the servers and waits until all shards have moved.
async fn move_servers(site: &Site, options: &MoveOptions) -> Result<MoveTimes> {
    let keyed = site.servers[0].0.name.clone();
    let least_changes = site
        .shards_by_server(&keyed)
        .iter()
        .filter(|(name, _)| is_leaving(name))
        .map(|(_, shards)| u64::try_from(*shards).unwrap_or(0))
        .sum();
    let start = Instant::now();
    let revision = site.edit(0, |server| Some(state_after_move(server))).await?;
    site.edit(1, |server| Some(state_after_move(server))).await?;
    let ms = |start: Instant| u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    site.wait_until(SETTLE_TIMEOUT_MS, "the edit is in force everywhere", || {
        site.daemons.iter().flatten().all(|daemon| {
            let services = daemon.traffic().services();
            services.get(&*keyed).is_some_and(|service| service.revision >= revision)
        })
    })
    .await?;
    let in_force_ms = ms(start);
    print_progress(options, &format!("edit in force everywhere after {in_force_ms} ms"));
    site.wait_until(SETTLE_TIMEOUT_MS, "no shard is on a leaving server", || {
        site.shards_by_server(&keyed).iter().all(|(name, count)| *count == 0 || !is_leaving(name))
    })
    .await?;
    site.wait_until_open(SETTLE_TIMEOUT_MS).await?;
    let settled_ms = ms(start);
    print_progress(options, &format!("settled after {settled_ms} ms"));
    Ok(MoveTimes { settled_ms, in_force_ms, least_changes })
}

fn start_availability_watch(
    site: &Site,
    is_finished: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Gaps> {
    let servers = site.servers[0].1.iter().map(|server| Arc::clone(&server.stand_in)).collect();
    let daemons = Arc::clone(&site.running_daemons);
    let service = site.servers[0].0.name.clone();
    let availability = Availability::new(service, servers, daemons);
    std::thread::spawn(move || availability.watch(&is_finished))
}

/// Samples the progress of the move for the timeline and prints it when it changes.
fn start_sampler(
    site: &Site,
    start: Instant,
    is_finished: &Arc<AtomicBool>,
    prints_progress: bool,
) -> tokio::task::JoinHandle<Timeline> {
    let daemons: Vec<_> =
        site.daemons.iter().flatten().map(|daemon| Arc::clone(daemon.traffic())).collect();
    let is_finished = Arc::clone(is_finished);
    let keyed = site.servers[0].0.name.clone();
    tokio::spawn(async move {
        let mut timeline =
            Timeline::new(&["shards on leaving servers", "closed shards", "shards on arrived"]);
        while !is_finished.load(Ordering::Relaxed) {
            let counts = daemons.first().map_or([0.0; 3], |traffic| {
                let services = traffic.services();
                let table = services.get(&*keyed).and_then(|service| service.table.clone());
                table.map_or([0.0; 3], |table| count_shards_by_progress(&table))
            });
            let at_s = start.elapsed().as_secs_f64();
            let has_changed = timeline.series.iter().zip(&counts).any(|((_, values), count)| {
                values.last().is_some_and(|last| last.total_cmp(count).is_ne())
            });
            if prints_progress && has_changed {
                let [leaving, closed, arrived] = counts;
                println!(
                    "{at_s:>5.1} s  shards on leaving servers {leaving:>4}, closed {closed:>3}, \
                     on arrived servers {arrived:>4}"
                );
            }
            timeline.push(at_s, &counts);
            sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        }
        timeline
    })
}

/// Returns the shards on leaving servers, the closed ones, and those on new servers.
fn count_shards_by_progress(table: &route::Table) -> [f64; 3] {
    let mut counts = [0_u32; 3];
    for route in &table.routes {
        if let Some(server) = table.server_of(route) {
            counts[0] += u32::from(is_leaving(server));
            counts[2] += u32::from(is_arriving(server));
        }
        counts[1] += u32::from(!route.is_open);
    }
    counts.map(f64::from)
}

fn to_report(
    options: &MoveOptions,
    site: &Site,
    moved: &MoveTimes,
    load: LoadReport,
    unavailable: Gaps,
    timeline: Timeline,
) -> MoveReport {
    let keyed = site.servers[0].0.name.clone();
    let shards = site.shards_by_server(&keyed);
    let shard_counts: Vec<f64> = shards
        .iter()
        .filter(|(name, _)| !is_leaving(name))
        .map(|(_, count)| f64_from_usize(*count))
        .collect();
    let commits = site.rule_checker.take_commits();
    let request_counts: Vec<f64> = shards
        .iter()
        .filter(|(name, _)| !is_leaving(name))
        .map(|(name, _)| commits.get(name).map_or(0.0, |count| f64_from_u64(*count)))
        .collect();
    let least_changes = f64_from_u64(moved.least_changes.max(1));
    MoveReport {
        seed: options.seed,
        settled_ms: moved.settled_ms,
        in_force_ms: moved.in_force_ms,
        shards: shards.iter().map(|(_, count)| count).sum(),
        least_changes: moved.least_changes,
        churn_ratio: f64_from_u64(unavailable.owner_changes) / least_changes,
        imbalance_shards: imbalance(&shard_counts),
        imbalance_requests: imbalance(&request_counts),
        unavailable,
        load,
        broken: site.rule_checker.violations(),
        timeline,
    }
}

/// Returns the largest value divided by the mean; 0 if the sum is 0.
fn imbalance(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let largest = values.iter().copied().fold(0.0, f64::max);
    if sum > 0.0 { largest * f64_from_usize(values.len()) / sum } else { 0.0 }
}

fn load_options(options: &MoveOptions) -> LoadOptions {
    load_options_of(options.association, options.seed, options.rate_per_s, options.duration_ms)
}

/// Returns options for a load on the keyed and the pooled service of an association.
pub(crate) fn load_options_of(
    association: Association,
    seed: u64,
    rate_per_s: f64,
    duration_ms: u64,
) -> LoadOptions {
    let (keyed, pooled) = match association {
        Association::Mittelland => ("ledger", "archive"),
        Association::Sapporo => ("desk", "catalogue"),
    };
    LoadOptions {
        rate_per_s,
        duration_ms,
        keys: KEYS,
        skew: SKEW,
        seed,
        keyed: Some(keyed.to_owned()),
        pooled: Some(pooled.to_owned()),
    }
}

/// Returns a plan of four daemons in three data centres and an association's services.
///
/// The first service is the keyed one, the second the pooled one. Each lists its current servers
/// and the new ones that replace three quarters of them.
pub(crate) fn site_plan_of(association: Association) -> SitePlan {
    let (keyed, pooled, slots, connections) = match association {
        Association::Mittelland => {
            (("ledger", 20, MITTELLAND_LEDGER), ("archive", 10, MITTELLAND_ARCHIVE), 4, 120)
        }
        Association::Sapporo => {
            (("desk", 15, SAPPORO_DESK), ("catalogue", 10, SAPPORO_CATALOGUE), 3, 50)
        }
    };
    let service = |(name, count, text): (&str, usize, &str), is_keyed, run_ms| ServicePlan {
        name: Name::from(name),
        document_head: document_head_of(text),
        is_keyed,
        servers: server_plans(name, count, slots, connections),
        run_ms,
        cold_ms: if is_keyed { COLD_MS } else { 0 },
        prepare_ms: if is_keyed { PREPARE_MS } else { 0 },
    };
    let daemons = ["zurich", "zurich", "bern", "basel"].map(Name::from).to_vec();
    let services = vec![service(keyed, true, KEYED_RUN_MS), service(pooled, false, POOLED_RUN_MS)];
    SitePlan { services, daemons, threads: 1 }
}

/// Returns the text of a sample document up to its first server.
fn document_head_of(text: &str) -> String {
    text.split_once("\n[server ").map_or(text, |(head, _)| head).to_owned() + "\n"
}

const MITTELLAND_LEDGER: &str = include_str!("../../../examples/mittelland/ledger.ini");
const MITTELLAND_ARCHIVE: &str = include_str!("../../../examples/mittelland/archive.ini");
const SAPPORO_DESK: &str = include_str!("../../../examples/sapporo/desk.ini");
const SAPPORO_CATALOGUE: &str = include_str!("../../../examples/sapporo/catalogue.ini");
const KEYED_RUN_MS: u64 = 2;
const POOLED_RUN_MS: u64 = 10;
const COLD_MS: u64 = 50;
const PREPARE_MS: u64 = 40;

/// Returns the current servers of a service, then the new ones that replace most of them.
///
/// [`is_leaving`] and [`is_arriving`] recognise the servers by the `-old-` and `-new-` in their
/// names.
fn server_plans(service: &str, count: usize, slots: u32, connections: u32) -> Vec<ServerPlan> {
    let staying = count / 4;
    let server = |name: String, index: usize, state| ServerPlan {
        name: Name::from(name),
        data_centre: Name::from(DATA_CENTRES[index % DATA_CENTRES.len()]),
        slots,
        connections,
        state,
        checks_fence: true,
    };
    let old = (0..count).map(|index| {
        let kind = if index < staying { "stay" } else { "old" };
        server(format!("{service}-{kind}-{index}"), index, Some(ServerState::Serving))
    });
    let new = (staying..count).map(|index| server(format!("{service}-new-{index}"), index, None));
    old.chain(new).collect()
}

/// Returns the state that the edit of the move gives a server.
fn state_after_move(server: &ServerPlan) -> ServerState {
    match () {
        () if is_leaving(&server.name) => ServerState::Leaving,
        () if is_arriving(&server.name) => ServerState::Arriving,
        () => ServerState::Serving,
    }
}

fn is_leaving(server: &Name) -> bool {
    server.contains("-old-")
}

fn is_arriving(server: &Name) -> bool {
    server.contains("-new-")
}

fn print_progress(options: &MoveOptions, text: &str) {
    if options.prints_progress {
        println!("{text}");
    }
}

impl fmt::Display for MoveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "in force everywhere after {} ms, settled after {} ms",
            self.in_force_ms, self.settled_ms
        )?;
        writeln!(f, "\nthe three measures")?;
        writeln!(
            f,
            "  imbalance         {:.3} of the fair share by shards, {:.3} of the mean by requests",
            self.imbalance_shards, self.imbalance_requests
        )?;
        writeln!(
            f,
            "  churn             {} owner changes, minimum {}, ratio {:.3}",
            self.unavailable.owner_changes, self.least_changes, self.churn_ratio
        )?;
        writeln!(
            f,
            "  unavailable time  {} gaps, p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            self.unavailable.count,
            self.unavailable.p50_ms,
            self.unavailable.p99_ms,
            self.unavailable.max_ms
        )?;
        writeln!(f, "\n{}", self.load)?;
        writeln!(f, "rules, and how often each was broken")?;
        write!(f, "{}", self.broken)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests: {} sent, {} held back", self.sent, self.held_back)?;
        for (name, class) in &self.classes {
            writeln!(
                f,
                "  {name:<8} answered {:>7}  not run {:>5}  unknown {:>5}  \
                 p50 {:>6.1} ms  p99 {:>6.1} ms  max {:>7.1} ms",
                class.answered,
                class.not_run,
                class.unknown,
                class.p50_ms,
                class.p99_ms,
                class.max_ms
            )?;
            for (reason, count) in &class.reasons {
                writeln!(f, "           {count} x {reason}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for RuleViolations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("one owner at a time", self.two_owners),
            ("non-idempotent requests run once", self.double_runs),
            ("no work for a leaving server after 5 s", self.late_work),
            ("not run means not run", self.false_not_run),
            ("each caller gets its own answer", self.foreign_answers),
            ("whole answers only", self.short_answers),
            ("no answer cut off", self.cut_off),
        ];
        for (rule, count) in rows {
            let mark = if count == 0 { "kept  " } else { "BROKEN" };
            writeln!(f, "  {mark} {rule}: {count}")?;
        }
        Ok(())
    }
}
