//! Guards against settings that the platform may render and the daemon refuses.

use gateway::Settings;
use googletest::prelude::*;

/// Returns settings with a line in place of the one that begins with the same key.
fn settings(line: &str) -> String {
    let text = "[instance]\nname = edge-1\ndata_centre = a\nlink_mbps = 20\n\
                [listen]\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\npeer = 127.0.0.1:3\n\
                admin = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:5\nleast_lease = 1000ms\n\
                [servers]\nlongest_grant = 10000ms\ndrain = 2000ms\n\
                [retries]\nratio = 0.2\nslack = 60\n[stop]\ngrace = 6s\n";
    let key = line.split(' ').next().unwrap();
    let lines = text.lines().map(|known| if known.starts_with(key) { line } else { known });
    lines.collect::<Vec<_>>().join("\n")
}

fn read(line: &str) -> std::result::Result<Settings, String> {
    Settings::from_ini("local.ini", &settings(line)).map_err(|report| format!("{report:?}"))
}

#[googletest::test]
fn every_key_is_read() {
    let read = read("name = edge-1").unwrap();
    expect_that!(read.link_mbps, eq(20));
    expect_that!(read.memory_mb, none());
    expect_that!(read.min_lease_ms, eq(1_000));
    expect_that!(read.max_grant_ms, eq(10_000));
    expect_that!(read.drain_ms, eq(2_000));
    expect_that!((read.retries.ratio_milli, read.retries.slack), eq((200, 60)));
    expect_that!(read.grace_ms, eq(6_000));
}

#[googletest::test]
fn figures_may_be_fractions() {
    expect_that!(read("slack = 76.78571428571429").unwrap().retries.slack, eq(76));
    expect_that!(read("slack = 0.5").unwrap().retries.slack, eq(0));
    expect_that!(read("link_mbps = 200.0").unwrap().link_mbps, eq(200));
    expect_that!(read("link_mbps = 3.57").unwrap().link_mbps, eq(4));
    let read = read("link_mbps = 20\nmemory_mb = 390.5").unwrap();
    expect_that!(read.memory_mb, some(eq(390)));
}

#[googletest::test]
fn limits_of_cold_servers_are_optional() {
    let without = read("name = edge-1").unwrap();
    expect_that!((without.warmup_overage_milli, without.warmup_slack), eq((None, None)));
    let with = read("drain = 2000ms\nwarmup_overage = 1.5\nwarmup_slack = 8").unwrap();
    expect_that!((with.warmup_overage_milli, with.warmup_slack), eq((Some(1_500), Some(8))));
    let error = read("drain = 2000ms\nwarmup_overage = -1").unwrap_err();
    expect_that!(error, contains_substring("a factor of at least 0"));
}

#[googletest::test]
fn errors_name_line_and_expected_value() {
    for (line, expected) in [
        ("slack = many", "a number of retries"),
        ("slack = -1", "a number of retries"),
        ("slack = NaN", "a number of retries"),
        ("link_mbps = 0", "a bandwidth in Mbit/s above 0"),
        ("link_mbps = 20\nmemory_mb = 0", "an amount of memory in MB"),
        ("link_mbps = fast", "a bandwidth in Mbit/s above 0"),
        ("ratio = 2", "a fraction from 0 to 1"),
    ] {
        let error = read(line).unwrap_err();
        expect_that!(error, contains_substring(expected), "{line}");
        expect_that!(error, contains_substring("local.ini:"), "{line}");
    }
}

#[googletest::test]
fn bound_on_evacuations_is_optional() {
    expect_that!(read("name = edge-1").unwrap().evacuate_ms, none());
    let with_bound = read("drain = 2000ms\nevacuate = 5000ms").unwrap();
    expect_that!(with_bound.evacuate_ms, some(eq(5_000)));
    let error = read("drain = 2000ms\nevacuate = soon").unwrap_err();
    expect_that!(error, contains_substring("evacuate"));
    expect_that!(error, contains_substring("local.ini:"));
}
