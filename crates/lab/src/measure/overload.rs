//! Measures goodput and latency when requests exceed the capacity of a server.

use std::net::SocketAddr;
use std::sync::Arc;

use document::Name;

use super::Rows;
use super::cost::start_forwarder;
use crate::float::f64_from_u64;
use crate::load::{Load, LoadOptions, LoadReport, Targets};
use crate::site::{Result, ServicePlan, Site, SitePlan};

const LEDGER: &str = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
    [key-group accounts]\nprefix =\nshards = 16\n\
    [class balance]\nmethod = GET\npath = /ledger/{key}/balance\nidempotent = yes\n\
    priority = 0\ndeadline = 1s\n\
    [class swap]\nmethod = POST\npath = /ledger/{key}/swaps\nidempotent = no\n\
    priority = 1\ndeadline = 1s\n";
const SLOTS: u32 = 4;
const RUN_MS: u64 = 20;
/// The requests per second that 4 slots complete when each request runs for 20 ms.
const CAPACITY_PER_S: f64 = 200.0;
const LOAD_FACTORS: [f64; 5] = [0.5, 1.0, 2.0, 5.0, 10.0];
const DURATION_MS: u64 = 4_000;

/// Measures four daemons and a plain forwarder in front of one server of known capacity.
///
/// # Errors
///
/// Fails when a site does not start.
pub async fn measure_overload(seed: u64) -> Result<Rows> {
    let mut rows = Rows::new(
        "overload: one server, 200 requests a second at most; 4 daemons or a plain forwarder",
    );
    for load_factor in LOAD_FACTORS {
        for is_daemon in [true, false] {
            let site = Site::start_open(&site_plan()).await?;
            let (addresses, stop) = if is_daemon {
                (site.callers_addresses(), None)
            } else {
                let stop = tokio_util::sync::CancellationToken::new();
                let upstream = site.servers[0].1[0].address;
                (vec![start_forwarder(upstream, stop.clone()).await?], Some(stop))
            };
            let report = send_load(&site, seed, load_factor, &addresses).await;
            let name = if is_daemon { "daemons" } else { "plain forwarder" };
            push_row(&mut rows, &format!("{load_factor} x capacity, {name}"), &report, &site);
            if let Some(stop) = stop {
                stop.cancel();
            }
            site.end().await;
        }
    }
    Ok(rows)
}

async fn send_load(
    site: &Site,
    seed: u64,
    load_factor: f64,
    addresses: &[SocketAddr],
) -> LoadReport {
    let targets = Targets::default();
    targets.set(addresses);
    let options = LoadOptions {
        rate_per_s: CAPACITY_PER_S * load_factor,
        duration_ms: DURATION_MS,
        keys: 1_000,
        skew: 0.0,
        seed,
        keyed: Some("ledger".to_owned()),
        pooled: None,
    };
    Load::new(options, targets, Some(Arc::clone(&site.rule_checker))).run().await
}

/// Adds the row of one load factor and one kind of proxy.
fn push_row(rows: &mut Rows, name: &str, report: &LoadReport, site: &Site) {
    let total = |count: fn(&crate::load::Outcomes) -> u64| {
        f64_from_u64(report.classes.values().map(count).sum())
    };
    let balance = report.classes.get("balance").cloned().unwrap_or_default();
    let duration_s = std::time::Duration::from_millis(DURATION_MS).as_secs_f64();
    let violations = site.rule_checker.violations();
    rows.push(
        name,
        &[
            ("goodput_per_s", total(|outcomes| outcomes.answered) / duration_s),
            ("balance_p50_ms", balance.p50_ms),
            ("balance_p99_ms", balance.p99_ms),
            ("not_run", total(|outcomes| outcomes.not_run)),
            ("unknown", total(|outcomes| outcomes.unknown)),
            ("double_runs", f64_from_u64(violations.double_runs)),
            ("false_not_run", f64_from_u64(violations.false_not_run)),
        ],
    );
}

fn site_plan() -> SitePlan {
    let service = ServicePlan::with_one_server(LEDGER, SLOTS, RUN_MS);
    let daemons = ["zurich", "zurich", "bern", "basel"].map(Name::from).to_vec();
    SitePlan { services: vec![service], daemons, threads: 1 }
}
