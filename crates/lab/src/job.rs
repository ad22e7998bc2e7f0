//! The main job: most servers leave and others arrive, under load.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use document::{Name, ServerState};
use serde::Serialize;
use tokio::time::{Duration, Instant, sleep};

use crate::availability::{Availability, Gaps};
use crate::figure::{from_u64, from_usize};
use crate::load::{Load, LoadOptions, LoadReport, Targets};
use crate::measure::Association;
use crate::plot::Timeline;
use crate::site::{Plan, Result, ServerPlan, ServicePlan, Site};
use crate::witness::Broken;

/// What the main job is run with.
#[derive(Clone, Debug)]
pub struct MoveOptions {
    /// How long load runs.
    pub length_ms: u64,
    /// Requests a second.
    pub rate_per_s: f64,
    /// The seed of all choices.
    pub seed: u64,
    /// Whose services move.
    pub association: Association,
    /// Whether shards are placed by rendezvous hashing, the baseline.
    pub is_rendezvous: bool,
    /// Whether a live view is printed.
    pub is_live: bool,
}

/// What came of the main job.
#[derive(Clone, Debug, Serialize)]
pub struct MoveReport {
    /// The seed.
    pub seed: u64,
    /// From the accepted edit until no shard is where it should not be.
    pub settled_ms: u64,
    /// From the accepted edit until every daemon has it in force.
    pub in_force_ms: u64,
    /// How many shards the keyed service has.
    pub shards: usize,
    /// The least possible number of changes of owner.
    pub least_changes: u64,
    /// Changes of owner in parts of the least possible.
    pub churn_ratio: f64,
    /// The most shards of a server in parts of the fair share, after settling.
    pub imbalance_shards: f64,
    /// The most requests of a server in parts of the mean, after settling.
    pub imbalance_requests: f64,
    /// How long keys had no serving owner.
    pub unavailable: Gaps,
    /// The requests by outcome.
    pub load: LoadReport,
    /// How often each rule was broken.
    pub broken: Broken,
    /// What was seen over time.
    pub timeline: Timeline,
}

const CENTRES: [&str; 3] = ["zurich", "bern", "basel"];
const KEYS: u32 = 20_000;
const SKEW: f64 = 0.6;
const OPEN_LIMIT_MS: u64 = 20_000;
const SETTLE_LIMIT_MS: u64 = 30_000;
const SAMPLE_MS: u64 = 100;
const WARM_UP_MS: u64 = 3_000;
/// Keeps the warm-up's requests apart from the measured ones.
const WARM_UP_SEED: u64 = 1 << 32;

/// Runs the main job in this process.
///
/// # Errors
///
/// Fails when the site does not start, or does not settle in time.
pub async fn run_move(options: &MoveOptions) -> Result<MoveReport> {
    let mut plan = plan_of(options.association);
    if options.is_rendezvous {
        let head = &mut plan.services[0].head;
        *head = head.replace("\nkind = keyed\n", "\nkind = keyed\nplacement = rendezvous\n");
    }
    let site = Site::start(&plan).await?;
    site.edit(0, |server| server.state).await?;
    site.edit(1, |server| server.state).await?;
    let open_ms = site.wait_until_open(OPEN_LIMIT_MS).await?;
    say(options, &format!("all shards open after {open_ms} ms"));
    let targets = Targets::default();
    targets.set(&site.callers_addresses());
    // Shards that were never used are cold; that is not what is measured.
    let warm_up = LoadOptions {
        length_ms: WARM_UP_MS,
        seed: options.seed.wrapping_add(WARM_UP_SEED),
        ..load_options(options)
    };
    Load::new(warm_up, targets.clone(), None).run().await;
    let is_over = Arc::new(AtomicBool::new(false));
    let watcher = watch(&site, Arc::clone(&is_over));
    let load = Load::new(load_options(options), targets, Some(Arc::clone(&site.witness)));
    let sending = tokio::spawn(Arc::clone(&load).run());
    let start = Instant::now();
    let sampler = sample(&site, start, &is_over, options.is_live);
    sleep(Duration::from_millis(options.length_ms / 4)).await;
    let moved = move_servers(&site, options).await?;
    site.witness.take_commits();
    let report = sending.await.unwrap_or_default();
    is_over.store(true, Ordering::Relaxed);
    let unavailable = tokio::task::spawn_blocking(move || watcher.join().unwrap_or_default());
    let unavailable = unavailable.await.unwrap_or_default();
    let timeline = sampler.await.unwrap_or_default();
    let report = to_report(options, &site, &moved, report, unavailable, timeline);
    site.end().await;
    Ok(report)
}

struct Moved {
    settled_ms: u64,
    in_force_ms: u64,
    least_changes: u64,
}

/// Accepts the edit that makes servers leave and arrive, and waits until it has settled.
async fn move_servers(site: &Site, options: &MoveOptions) -> Result<Moved> {
    let keyed = site.servers[0].0.name.clone();
    let least_changes = site
        .shards_by_server(&keyed)
        .iter()
        .filter(|(name, _)| leaves(name))
        .map(|(_, shards)| u64::try_from(*shards).unwrap_or(0))
        .sum();
    let start = Instant::now();
    let revision = site.edit(0, |server| Some(state_after(server))).await?;
    site.edit(1, |server| Some(state_after(server))).await?;
    let ms = |start: Instant| u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    site.wait_until(SETTLE_LIMIT_MS, "the edit is in force everywhere", || {
        site.daemons.iter().flatten().all(|daemon| {
            let services = daemon.traffic().services();
            services.get(&*keyed).is_some_and(|service| service.revision >= revision)
        })
    })
    .await?;
    let in_force_ms = ms(start);
    say(options, &format!("edit in force everywhere after {in_force_ms} ms"));
    site.wait_until(SETTLE_LIMIT_MS, "no shard is on a leaving server", || {
        site.shards_by_server(&keyed).iter().all(|(name, count)| *count == 0 || !leaves(name))
    })
    .await?;
    site.wait_until_open(SETTLE_LIMIT_MS).await?;
    let settled_ms = ms(start);
    say(options, &format!("settled after {settled_ms} ms"));
    Ok(Moved { settled_ms, in_force_ms, least_changes })
}

fn watch(site: &Site, is_over: Arc<AtomicBool>) -> std::thread::JoinHandle<Gaps> {
    let servers = site.servers[0].1.iter().map(|server| Arc::clone(&server.stand_in)).collect();
    let daemons = Arc::clone(&site.running);
    let service = site.servers[0].0.name.clone();
    let availability = Availability::new(service, servers, daemons);
    std::thread::spawn(move || availability.watch(&is_over))
}

/// Samples how far the move is, for the timeline and the live view.
fn sample(
    site: &Site,
    start: Instant,
    is_over: &Arc<AtomicBool>,
    is_live: bool,
) -> tokio::task::JoinHandle<Timeline> {
    let daemons: Vec<_> =
        site.daemons.iter().flatten().map(|daemon| Arc::clone(daemon.traffic())).collect();
    let is_over = Arc::clone(is_over);
    let keyed = site.servers[0].0.name.clone();
    tokio::spawn(async move {
        let mut timeline =
            Timeline::new(&["shards on leaving servers", "closed shards", "shards on arrived"]);
        while !is_over.load(Ordering::Relaxed) {
            let counts = daemons.first().map_or([0.0; 3], |traffic| {
                let services = traffic.services();
                let table = services.get(&*keyed).and_then(|service| service.table.clone());
                table.map_or([0.0; 3], |table| count_routes(&table))
            });
            let at_s = start.elapsed().as_secs_f64();
            let is_news = timeline.series.iter().zip(&counts).any(|((_, values), count)| {
                values.last().is_some_and(|last| last.total_cmp(count).is_ne())
            });
            if is_live && is_news {
                let [leaving, closed, arrived] = counts;
                println!(
                    "{at_s:>5.1} s  shards on leaving servers {leaving:>4}, closed {closed:>3}, \
                     on arrived servers {arrived:>4}"
                );
            }
            timeline.push(at_s, &counts);
            sleep(Duration::from_millis(SAMPLE_MS)).await;
        }
        timeline
    })
}

fn count_routes(table: &route::Table) -> [f64; 3] {
    let mut counts = [0_u32; 3];
    for route in &table.routes {
        if let Some(server) = table.server_of(route) {
            counts[0] += u32::from(leaves(server));
            counts[2] += u32::from(arrives(server));
        }
        counts[1] += u32::from(!route.is_open);
    }
    counts.map(f64::from)
}

fn to_report(
    options: &MoveOptions,
    site: &Site,
    moved: &Moved,
    load: LoadReport,
    unavailable: Gaps,
    timeline: Timeline,
) -> MoveReport {
    let keyed = site.servers[0].0.name.clone();
    let shards = site.shards_by_server(&keyed);
    let staying: Vec<f64> = shards
        .iter()
        .filter(|(name, _)| !leaves(name))
        .map(|(_, count)| from_usize(*count))
        .collect();
    let commits = site.witness.take_commits();
    let requests: Vec<f64> = shards
        .iter()
        .filter(|(name, _)| !leaves(name))
        .map(|(name, _)| commits.get(name).map_or(0.0, |count| from_u64(*count)))
        .collect();
    let least = from_u64(moved.least_changes.max(1));
    MoveReport {
        seed: options.seed,
        settled_ms: moved.settled_ms,
        in_force_ms: moved.in_force_ms,
        shards: shards.iter().map(|(_, count)| count).sum(),
        least_changes: moved.least_changes,
        churn_ratio: from_u64(unavailable.owner_changes) / least,
        imbalance_shards: imbalance(&staying),
        imbalance_requests: imbalance(&requests),
        unavailable,
        load,
        broken: site.witness.broken(),
        timeline,
    }
}

/// Returns the largest value in parts of the mean.
fn imbalance(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let largest = values.iter().copied().fold(0.0, f64::max);
    if sum > 0.0 { largest * from_usize(values.len()) / sum } else { 0.0 }
}

fn load_options(options: &MoveOptions) -> LoadOptions {
    warm_load(options.association, options.seed, options.rate_per_s, options.length_ms)
}

/// Returns the load of an association.
pub(crate) fn warm_load(
    association: Association,
    seed: u64,
    rate_per_s: f64,
    length_ms: u64,
) -> LoadOptions {
    let (keyed, pooled) = match association {
        Association::Mittelland => ("ledger", "archive"),
        Association::Sapporo => ("desk", "catalogue"),
    };
    LoadOptions {
        rate_per_s,
        length_ms,
        keys: KEYS,
        skew: SKEW,
        seed,
        keyed: Some(keyed.to_owned()),
        pooled: Some(pooled.to_owned()),
    }
}

/// Four daemons in three data centres, and an association's services with the servers
/// that three quarters of theirs move to.
pub(crate) fn plan_of(association: Association) -> Plan {
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
        head: head_of(text),
        is_keyed,
        servers: servers(name, count, slots, connections),
        run_ms,
        cold_ms: if is_keyed { COLD_MS } else { 0 },
        prepare_ms: if is_keyed { PREPARE_MS } else { 0 },
    };
    let daemons = ["zurich", "zurich", "bern", "basel"].map(Name::from).to_vec();
    let services = vec![service(keyed, true, KEYED_RUN_MS), service(pooled, false, POOLED_RUN_MS)];
    Plan { services, daemons, threads: 1 }
}

/// Returns a sample document without its servers.
fn head_of(text: &str) -> String {
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

/// The servers of a service: those of today, then the ones that replace most of them.
fn servers(service: &str, count: usize, slots: u32, connections: u32) -> Vec<ServerPlan> {
    let staying = count / 4;
    let server = |name: String, at: usize, state| ServerPlan {
        name: Name::from(name),
        data_centre: Name::from(CENTRES[at % CENTRES.len()]),
        slots,
        connections,
        state,
        checks_fence: true,
    };
    let old = (0..count).map(|at| {
        let kind = if at < staying { "stay" } else { "old" };
        server(format!("{service}-{kind}-{at}"), at, Some(ServerState::Serving))
    });
    let new = (staying..count).map(|at| server(format!("{service}-new-{at}"), at, None));
    old.chain(new).collect()
}

fn state_after(server: &ServerPlan) -> ServerState {
    match () {
        () if leaves(&server.name) => ServerState::Leaving,
        () if arrives(&server.name) => ServerState::Arriving,
        () => ServerState::Serving,
    }
}

fn leaves(server: &Name) -> bool {
    server.contains("-old-")
}

fn arrives(server: &Name) -> bool {
    server.contains("-new-")
}

fn say(options: &MoveOptions, text: &str) {
    if options.is_live {
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
            "  churn             {} changes of owner, {} at least: {:.3}",
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

impl fmt::Display for Broken {
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
