//! Metrics have the names and descriptions of `docs/METRICS.md`, and labels stay bounded.
//!
//! Renamed metrics would break dashboards and alerts, and unbounded labels would fill memory.

use std::path::Path;
use std::sync::Arc;

use googletest::prelude::*;
use telemetry::{Counter, Counters, Labels, Metrics};

#[googletest::test]
fn latency_is_counted_by_labels() {
    let metrics = Metrics::new(&Arc::new(Counters::default())).unwrap();
    let served = Labels { route: "r1", upstream: "ledger", outcome: "served", reason: "none" };
    let refused = Labels { outcome: "not-run", reason: "overloaded", ..served };
    metrics.record_latency(3.0, &served);
    metrics.record_latency(3.0, &refused);
    metrics.record_latency(5.0, &refused);
    let text = metrics.to_text();
    let count_of = |labels: &Labels<'_>| {
        let start = "verbena_latency_milliseconds_count{";
        let has =
            |line: &&str, name: &str, value: &str| line.contains(&format!("{name}=\"{value}\""));
        let line = text.lines().filter(|line| line.starts_with(start)).find(|line| {
            has(line, "route", labels.route)
                && has(line, "upstream", labels.upstream)
                && has(line, "outcome", labels.outcome)
                && has(line, "reason", labels.reason)
        });
        line.and_then(|line| line.rsplit(' ').next()).map(str::to_owned)
    };
    expect_that!(count_of(&served), some(eq("1")));
    expect_that!(count_of(&refused), some(eq("2")));
}

#[googletest::test]
fn label_combinations_are_bounded() {
    // The bound of the library, plus the combination for all others.
    const MAX_COMBINATIONS: usize = 2_001;
    let metrics = Metrics::new(&Arc::new(Counters::default())).unwrap();
    for route in 0..3_000 {
        let route = format!("r{route}");
        let labels =
            Labels { route: &route, upstream: "ledger", outcome: "served", reason: "none" };
        metrics.record_latency(1.0, &labels);
    }
    let text = metrics.to_text();
    let series =
        text.lines().filter(|line| line.starts_with("verbena_latency_milliseconds_count{"));
    expect_that!(series.count(), le(MAX_COMBINATIONS));
    expect_that!(text, contains_substring("overflow"));
}

#[googletest::test]
fn page_lists_all_metrics() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for (_, name, description) in Counter::all() {
        expect_that!(page, contains_substring(format!("`{name}_total` | {description} |")));
    }
    expect_that!(page, contains_substring("`verbena_latency_milliseconds`"));
}
