//! The settings of a gateway.

use std::net::SocketAddr;

use document::{ADDRESS, DURATION, LOG_LEVEL, Name, Result, Section, Sections, TEXT, ValueFormat};

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: Name,
    /// The data centre that the instance runs in.
    pub data_centre: Name,
    /// The bandwidth of the instance's link; 0 if unknown.
    ///
    /// Well connected instances lead before others.
    pub link_mbps: u32,
    /// The memory that the process may take; `None` if unknown.
    pub memory_mb: Option<u32>,
    /// The addresses that the instance listens on.
    pub listen: Listen,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// How long a call to the store may take.
    pub store_timeout_ms: u64,
    /// The shortest lease that the store grants.
    pub min_lease_ms: u64,
    /// The longest grant that servers accept.
    pub max_grant_ms: u64,
    /// The time for which a leaving server still accepts work.
    pub drain_ms: u64,
    /// The multiple, in thousandths, of the tolerated rate that cold servers may get.
    pub warmup_overage_milli: Option<u32>,
    /// How many requests more than that a cold server may get in any second.
    pub warmup_slack: Option<u32>,
    /// How long after a request to evacuate a data centre its servers may still get requests;
    /// `None` if the deployment sets no bound.
    pub evacuate_ms: Option<u64>,
    /// How long a graceful stop may take, from the signal on.
    pub grace_ms: u64,
    /// The limit on retries by all daemons together.
    pub retries: RetrySettings,
    /// The lowest level that is logged.
    pub log_level: Name,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For metrics and dumps.
    pub admin: SocketAddr,
}

/// The limit on retries by all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// The number of retries per request, in thousandths.
    pub ratio_milli: u32,
    /// Retries that are allowed in any time window in addition to the ratio.
    pub slack: u32,
}

const SECTIONS: &str = "[instance], [listen], [store], [servers], [retries], [stop] or [log]";
const RATIO: ValueFormat<u32> =
    ValueFormat { parse: read_ratio, expected: "a fraction from 0 to 1, such as 0.2" };
const RETRIES: ValueFormat<u32> =
    ValueFormat { parse: read_retries_count, expected: "a number of retries, such as 50" };
const FACTOR: ValueFormat<u32> =
    ValueFormat { parse: read_factor, expected: "a factor of at least 0, such as 1.5" };
const REQUESTS: ValueFormat<u32> =
    ValueFormat { parse: read_retries_count, expected: "a number of requests, such as 8" };
const MBPS: ValueFormat<u32> =
    ValueFormat { parse: read_mbps, expected: "a bandwidth in Mbit/s above 0, such as 200" };
const MEMORY: ValueFormat<u32> =
    ValueFormat { parse: read_memory, expected: "an amount of memory in MB, at least 1" };
/// A store answers within milliseconds; a call is given up after half a second.
const DEFAULT_STORE_TIMEOUT_MS: u64 = 500;
/// Stores accept leases of a second; a shorter one would expire during a pause of the process.
const DEFAULT_MIN_LEASE_MS: u64 = 1_000;
const DEFAULT_MAX_GRANT_MS: u64 = 10_000;
const DEFAULT_DRAIN_MS: u64 = 2_000;
const DEFAULT_GRACE_MS: u64 = 6_000;
const DEFAULT_RETRIES: RetrySettings = RetrySettings { ratio_milli: 200, slack: 50 };

impl Settings {
    /// Parses and checks settings; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and the expected value when the text is not INI or a
    /// section, key or value is invalid.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let mut sections = Sections::from_ini(file, text)?;
        let mut instance = sections.take_required("instance")?;
        let mut store = sections.take_required("store")?;
        let listen = read_listen(sections.take_required("listen")?)?;
        let servers = read_servers(sections.take_optional("servers"))?;
        let settings = Self {
            instance: instance.required("name", &TEXT)?,
            data_centre: instance.required("data_centre", &TEXT)?,
            link_mbps: instance.optional("link_mbps", &MBPS)?.unwrap_or(0),
            memory_mb: instance.optional("memory_mb", &MEMORY)?,
            listen,
            store: store.required("address", &ADDRESS)?,
            store_timeout_ms: store
                .optional("timeout", &DURATION)?
                .unwrap_or(DEFAULT_STORE_TIMEOUT_MS),
            min_lease_ms: store.optional("least_lease", &DURATION)?.unwrap_or(DEFAULT_MIN_LEASE_MS),
            max_grant_ms: servers.max_grant_ms,
            drain_ms: servers.drain_ms,
            warmup_overage_milli: servers.warmup_overage_milli,
            warmup_slack: servers.warmup_slack,
            evacuate_ms: servers.evacuate_ms,
            grace_ms: read_grace(sections.take_optional("stop"))?,
            retries: read_retries(sections.take_optional("retries"))?,
            log_level: read_log(sections.take_optional("log"))?,
        };
        instance.finish("name, data_centre, link_mbps, memory_mb")?;
        store.finish("address, timeout, least_lease")?;
        sections.finish(SECTIONS)?;
        Ok(settings)
    }
}

fn read_listen(mut section: Section) -> Result<Listen> {
    let listen = Listen {
        front: section.required("front", &ADDRESS)?,
        ready: section.required("ready", &ADDRESS)?,
        peer: section.required("peer", &ADDRESS)?,
        admin: section.required("admin", &ADDRESS)?,
    };
    section.finish("front, ready, peer, admin")?;
    Ok(listen)
}

/// The values of the section about servers.
struct ServerSettings {
    max_grant_ms: u64,
    drain_ms: u64,
    warmup_overage_milli: Option<u32>,
    warmup_slack: Option<u32>,
    evacuate_ms: Option<u64>,
}

fn read_servers(section: Option<Section>) -> Result<ServerSettings> {
    let mut settings = ServerSettings {
        max_grant_ms: DEFAULT_MAX_GRANT_MS,
        drain_ms: DEFAULT_DRAIN_MS,
        warmup_overage_milli: None,
        warmup_slack: None,
        evacuate_ms: None,
    };
    let Some(mut section) = section else { return Ok(settings) };
    if let Some(max_grant_ms) = section.optional("longest_grant", &DURATION)? {
        settings.max_grant_ms = max_grant_ms;
    }
    if let Some(drain_ms) = section.optional("drain", &DURATION)? {
        settings.drain_ms = drain_ms;
    }
    settings.warmup_overage_milli = section.optional("warmup_overage", &FACTOR)?;
    settings.warmup_slack = section.optional("warmup_slack", &REQUESTS)?;
    settings.evacuate_ms = section.optional("evacuate", &DURATION)?;
    section.finish("longest_grant, drain, evacuate, warmup_overage, warmup_slack")?;
    Ok(settings)
}

fn read_grace(section: Option<Section>) -> Result<u64> {
    let Some(mut section) = section else { return Ok(DEFAULT_GRACE_MS) };
    let grace = section.optional("grace", &DURATION)?;
    section.finish("grace")?;
    Ok(grace.unwrap_or(DEFAULT_GRACE_MS))
}

fn read_retries(section: Option<Section>) -> Result<RetrySettings> {
    let Some(mut section) = section else { return Ok(DEFAULT_RETRIES) };
    let ratio = section.optional("ratio", &RATIO)?;
    let slack = section.optional("slack", &RETRIES)?;
    section.finish("ratio, slack")?;
    Ok(RetrySettings {
        ratio_milli: ratio.unwrap_or(DEFAULT_RETRIES.ratio_milli),
        slack: slack.unwrap_or(DEFAULT_RETRIES.slack),
    })
}

fn read_log(section: Option<Section>) -> Result<Name> {
    let Some(mut section) = section else { return Ok(Name::from("info")) };
    let level = section.optional("level", &LOG_LEVEL)?;
    section.finish("level")?;
    Ok(level.unwrap_or_else(|| Name::from("info")))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is from 0 to 1000"
)]
fn read_ratio(text: &str) -> Option<u32> {
    let ratio: f64 = text.parse().ok()?;
    (0.0..=1.0).contains(&ratio).then(|| (ratio * 1_000.0).round() as u32)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is from 0 to a million"
)]
fn read_factor(text: &str) -> Option<u32> {
    let factor: f64 = text.parse().ok()?;
    (0.0..=1_000.0).contains(&factor).then(|| (factor * 1_000.0).round() as u32)
}

/// Reads a number of retries or requests; a fraction of one is left out.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is from 0 to that of u32, rounded"
)]
fn read_retries_count(text: &str) -> Option<u32> {
    let retries: f64 = text.parse().ok()?;
    (0.0..=f64::from(u32::MAX)).contains(&retries).then(|| retries.floor() as u32)
}

/// Reads an amount of memory; a fraction of a megabyte is left out.
fn read_memory(text: &str) -> Option<u32> {
    read_retries_count(text).filter(|memory_mb| *memory_mb > 0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is from 1 to that of u32, rounded"
)]
fn read_mbps(text: &str) -> Option<u32> {
    let mbps: f64 = text.parse().ok()?;
    (mbps > 0.0 && mbps <= f64::from(u32::MAX)).then(|| mbps.ceil() as u32)
}
