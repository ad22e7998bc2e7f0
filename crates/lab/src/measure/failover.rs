//! Measures how long shards have no serving owner after each fault.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use document::Name;
use store::Faults;
use tokio::time::{Duration, sleep};

use super::Rows;
use crate::availability::Availability;
use crate::float::f64_from_u64;
use crate::load::{Load, Targets};
use crate::server_move::{load_options_of, site_plan_of};
use crate::site::{Result, Site};

/// A customer association whose services a site runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Association {
    /// The swap ledger and the quality archive.
    Mittelland,
    /// The order desk and the catalogue.
    Sapporo,
}

/// A fault to inject; [`FAULTS`] describes each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Server,
    FrozenServer,
    Controller,
    ServerAndController,
    DataCentre,
    StoreDownServer,
    StoreDownController,
    StoreDownControllerThenServer,
}

const FAULTS: [(Fault, &str); 8] = [
    (Fault::Server, "a server lost"),
    (Fault::FrozenServer, "a server frozen for 5 s"),
    (Fault::Controller, "the controller lost"),
    (Fault::ServerAndController, "a server and the controller lost"),
    (Fault::DataCentre, "a data centre lost"),
    (Fault::StoreDownServer, "store down: a server lost"),
    (Fault::StoreDownController, "store down: the controller lost"),
    (Fault::StoreDownControllerThenServer, "store down: controller, then a server lost"),
];

/// The wait after the site is open, after the load starts and after the store goes down.
const LEAD_TIME_MS: u64 = 1_000;
/// How long load is sent from the start of the injection.
const OBSERVATION_MS: u64 = 6_000;
const FREEZE_MS: u64 = 5_000;
const RATE_PER_S: f64 = 600.0;
/// The index of the data centre that is lost; its only daemon is the one with index 2.
const LOST_DATA_CENTRE: usize = 1;

/// Measures every fault on a new site with an association's services.
///
/// # Errors
///
/// Fails when a site does not start.
pub async fn measure_failover(association: Association, seed: u64) -> Result<Rows> {
    let mut rows = Rows::new(format!(
        "failover, {association:?}: time without a serving owner, requests by outcome"
    ));
    for (fault, name) in FAULTS {
        let figures = measure_fault(association, fault, seed).await?;
        println!("  {name}: done");
        rows.push(name, &figures);
    }
    Ok(rows)
}

async fn measure_fault(
    association: Association,
    fault: Fault,
    seed: u64,
) -> Result<Vec<(&'static str, f64)>> {
    let mut site = Site::start_open(&site_plan_of(association)).await?;
    // The record has to name the successors of all shards before the fault.
    sleep(Duration::from_millis(LEAD_TIME_MS)).await;
    let keyed = site.servers[0].0.name.clone();
    let servers = site.servers[0].1.iter().map(|s| Arc::clone(&s.stand_in)).collect();
    let is_finished = Arc::new(AtomicBool::new(false));
    let availability = Availability::new(keyed.clone(), servers, Arc::clone(&site.running_daemons));
    let watcher = {
        let is_finished = Arc::clone(&is_finished);
        std::thread::spawn(move || availability.watch(&is_finished))
    };
    let targets = Targets::default();
    targets.set(&site.callers_addresses());
    let options = load_options_of(association, seed, RATE_PER_S, LEAD_TIME_MS + OBSERVATION_MS);
    let load = Load::new(options, targets.clone(), Some(Arc::clone(&site.rule_checker)));
    let sending = tokio::spawn(load.run());
    sleep(Duration::from_millis(LEAD_TIME_MS)).await;
    inject_fault(&mut site, &keyed, fault).await;
    targets.set(&site.callers_addresses());
    let report = sending.await.unwrap_or_default();
    is_finished.store(true, Ordering::Relaxed);
    let gaps = tokio::task::spawn_blocking(move || watcher.join().unwrap_or_default());
    let gaps = gaps.await.unwrap_or_default();
    let violations = site.rule_checker.violations();
    site.end().await;
    let sum = |count: fn(&crate::load::Outcomes) -> u64| {
        f64_from_u64(report.classes.values().map(count).sum())
    };
    Ok(vec![
        ("gaps", f64_from_u64(gaps.count)),
        ("p50_ms", gaps.p50_ms),
        ("p99_ms", gaps.p99_ms),
        ("max_ms", gaps.max_ms),
        ("answered", sum(|outcomes| outcomes.answered)),
        ("not_run", sum(|outcomes| outcomes.not_run)),
        ("unknown", sum(|outcomes| outcomes.unknown)),
        ("two_owners", f64_from_u64(violations.two_owners)),
        ("double_runs", f64_from_u64(violations.double_runs)),
        ("false_not_run", f64_from_u64(violations.false_not_run)),
    ])
}

/// Injects a fault; an outage of the store starts before the other losses.
async fn inject_fault(site: &mut Site, keyed: &Name, fault: Fault) {
    let is_store_down = matches!(
        fault,
        Fault::StoreDownServer | Fault::StoreDownController | Fault::StoreDownControllerThenServer
    );
    if is_store_down {
        site.store.set_faults(Faults { is_down: true, ..Faults::default() });
        sleep(Duration::from_millis(LEAD_TIME_MS)).await;
    }
    match fault {
        Fault::Server | Fault::StoreDownServer => site.kill_server(0, 0).await,
        Fault::FrozenServer => site.servers[0].1[0].stand_in.freeze(FREEZE_MS),
        Fault::Controller | Fault::StoreDownController => kill_controller(site, keyed).await,
        Fault::ServerAndController => {
            site.kill_server(0, 0).await;
            kill_controller(site, keyed).await;
        }
        Fault::StoreDownControllerThenServer => {
            kill_controller(site, keyed).await;
            sleep(Duration::from_millis(2 * LEAD_TIME_MS)).await;
            site.kill_server(0, 0).await;
        }
        Fault::DataCentre => {
            for server in (LOST_DATA_CENTRE..site.servers[0].1.len()).step_by(3) {
                site.kill_server(0, server).await;
            }
            site.kill_daemon(2).await;
        }
    }
}

async fn kill_controller(site: &mut Site, keyed: &Name) {
    if let Some(daemon) = site.controller(keyed) {
        site.kill_daemon(daemon).await;
    }
}
