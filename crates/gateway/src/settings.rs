//! The settings of a gateway.

use std::net::SocketAddr;

use document::{
    ADDRESS, COUNT, DURATION, LOG_LEVEL, Name, Result, Section, Sections, TEXT, ValueFormat,
};

/// Where a gateway listens and what it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: Name,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// Where it listens.
    pub listen: Listen,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// How long a call to the store may take.
    pub store_timeout_ms: u64,
    /// The shortest lease that the store takes.
    pub least_lease_ms: u64,
    /// The longest grant that servers take.
    pub longest_grant_ms: u64,
    /// How long a server that leaves may still get work.
    pub drain_ms: u64,
    /// How long a stop may take, from the signal on.
    pub grace_ms: u64,
    /// How many retries all daemons together may cause.
    pub retries: RetrySettings,
    /// What is logged from this level up.
    pub log_level: Name,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the platform's question whether the instance may get callers.
    pub ready: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For metrics and dumps.
    pub admin: SocketAddr,
}

/// How many retries all daemons together may cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries for each request, in thousandths.
    pub ratio_milli: u32,
    /// Retries beyond that in any window.
    pub slack: u32,
}

const SECTIONS: &str = "[instance], [listen], [store], [servers], [retries], [stop] or [log]";
const RATIO: ValueFormat<u32> =
    ValueFormat { parse: read_ratio, expected: "a fraction from 0 to 1, as 0.2" };
/// A store answers in milliseconds; half a second is given up on.
const DEFAULT_STORE_TIMEOUT_MS: u64 = 500;
/// Stores take leases of a second; shorter ones would lapse in a pause of the process.
const DEFAULT_LEAST_LEASE_MS: u64 = 1_000;
const DEFAULT_LONGEST_GRANT_MS: u64 = 10_000;
const DEFAULT_DRAIN_MS: u64 = 2_000;
const DEFAULT_GRACE_MS: u64 = 6_000;
const DEFAULT_RETRIES: RetrySettings = RetrySettings { ratio_milli: 200, slack: 50 };

impl Settings {
    /// Reads and checks settings; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and what was expected when the text is not INI or
    /// a section, key or value is not as expected.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let mut sections = Sections::from_ini(file, text)?;
        let mut instance = sections.take_required("instance")?;
        let mut store = sections.take_required("store")?;
        let listen = read_listen(sections.take_required("listen")?)?;
        let (longest_grant_ms, drain_ms) = read_servers(sections.take_optional("servers"))?;
        let settings = Self {
            instance: instance.required("name", &TEXT)?,
            data_centre: instance.required("data_centre", &TEXT)?,
            listen,
            store: store.required("address", &ADDRESS)?,
            store_timeout_ms: store
                .optional("timeout", &DURATION)?
                .unwrap_or(DEFAULT_STORE_TIMEOUT_MS),
            least_lease_ms: store
                .optional("least_lease", &DURATION)?
                .unwrap_or(DEFAULT_LEAST_LEASE_MS),
            longest_grant_ms,
            drain_ms,
            grace_ms: read_grace(sections.take_optional("stop"))?,
            retries: read_retries(sections.take_optional("retries"))?,
            log_level: read_log(sections.take_optional("log"))?,
        };
        instance.finish("name, data_centre")?;
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

fn read_servers(section: Option<Section>) -> Result<(u64, u64)> {
    let Some(mut section) = section else {
        return Ok((DEFAULT_LONGEST_GRANT_MS, DEFAULT_DRAIN_MS));
    };
    let longest = section.optional("longest_grant", &DURATION)?;
    let drain = section.optional("drain", &DURATION)?;
    section.finish("longest_grant, drain")?;
    Ok((longest.unwrap_or(DEFAULT_LONGEST_GRANT_MS), drain.unwrap_or(DEFAULT_DRAIN_MS)))
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
    let slack = section.optional("slack", &COUNT)?;
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
