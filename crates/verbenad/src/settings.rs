//! The settings of a daemon, read from an INI file.

use std::net::SocketAddr;

use document::{
    ADDRESS, COUNT, DURATION, LOG_LEVEL, Name, Result, SIZE, Section, Sections, TEXT, ValueFormat,
};
use proxy::TrafficLimits;
use telemetry::LogFormat;

/// The settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance.
    pub instance: Name,
    /// The data centre of the instance.
    pub data_centre: Name,
    /// The addresses to listen on.
    pub listen: Listen,
    /// The address of the store.
    pub store: SocketAddr,
    /// The timeout of a call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// The limits of requests and connections.
    pub limits: TrafficLimits,
    /// The number of worker threads for callers' traffic.
    pub threads: u32,
    /// The level and format of the log.
    pub log: LogSettings,
    /// How the daemon stops.
    pub stop: StopSettings,
    /// Other daemons that are known without the store.
    pub peers: Vec<StaticPeer>,
}

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for metrics, health checks and dumps.
    pub admin: SocketAddr,
}

/// The settings of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The lowest level that is logged.
    pub level: Name,
    /// The format of log lines.
    pub format: LogFormat,
}

/// The settings of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSettings {
    /// How long the daemon accepts requests after it reports that it is not ready, in
    /// milliseconds.
    pub notice_ms: u64,
    /// How long answers in progress may then take to finish, in milliseconds.
    pub drain_ms: u64,
}

/// Another daemon that is known without the store.
#[derive(Clone, Debug)]
pub struct StaticPeer {
    /// The name of its instance.
    pub name: Name,
    /// The data centre of its instance.
    pub data_centre: Name,
    /// The address at which it receives packets.
    pub address: SocketAddr,
}

const EXPECTED_SECTIONS: &str =
    "[instance], [listen], [store], [traffic], [log], [stop] or [peer NAME]";
const LOG_FORMAT: ValueFormat<LogFormat> =
    ValueFormat { parse: parse_log_format, expected: "text or json" };
const DEFAULT_STORE_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_THREADS: u32 = 2;
const DEFAULT_NOTICE_MS: u64 = 500;
const DEFAULT_DRAIN_MS: u64 = 60_000;

impl Settings {
    /// Parses and validates the settings; `file` is the name that errors show.
    ///
    /// # Errors
    ///
    /// Fails if the text is not INI, or if a section, key or value is missing, unknown or not
    /// valid. The error names the file, the line and what was expected.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let mut sections = Sections::from_ini(file, text)?;
        let mut instance = sections.take_required("instance")?;
        let mut store = sections.take_required("store")?;
        let listen = read_listen(sections.take_required("listen")?)?;
        let (limits, threads) = read_traffic(sections.take_optional("traffic"))?;
        let settings = Self {
            instance: instance.required("name", &TEXT)?,
            data_centre: instance.required("data_centre", &TEXT)?,
            listen,
            store: store.required("address", &ADDRESS)?,
            store_timeout_ms: store
                .optional("timeout", &DURATION)?
                .unwrap_or(DEFAULT_STORE_TIMEOUT_MS),
            limits,
            threads,
            log: read_log(sections.take_optional("log"))?,
            stop: read_stop(sections.take_optional("stop"))?,
            peers: sections
                .take_named("peer")
                .into_iter()
                .map(|(name, section)| read_peer(name, section))
                .collect::<Result<_>>()?,
        };
        instance.finish("name, data_centre")?;
        store.finish("address, timeout")?;
        sections.finish(EXPECTED_SECTIONS)?;
        Ok(settings)
    }
}

fn read_listen(mut section: Section) -> Result<Listen> {
    let listen = Listen {
        http: section.required("http", &ADDRESS)?,
        peer: section.required("peer", &ADDRESS)?,
        operator: section.required("operator", &ADDRESS)?,
        admin: section.required("admin", &ADDRESS)?,
    };
    section.finish("http, peer, operator, admin")?;
    Ok(listen)
}

/// Reads the limits and the number of worker threads.
fn read_traffic(section: Option<Section>) -> Result<(TrafficLimits, u32)> {
    let mut limits = TrafficLimits::default();
    let Some(mut section) = section else { return Ok((limits, DEFAULT_THREADS)) };
    let to_size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    if let Some(bytes) = section.optional("head", &SIZE)? {
        limits.max_head_bytes = to_size(bytes);
    }
    if let Some(bytes) = section.optional("body", &SIZE)? {
        limits.max_body_bytes = to_size(bytes);
    }
    if let Some(timeout_ms) = section.optional("head_timeout", &DURATION)? {
        limits.head_timeout_ms = timeout_ms;
    }
    if let Some(timeout_ms) = section.optional("progress_timeout", &DURATION)? {
        limits.progress_timeout_ms = timeout_ms;
    }
    if let Some(connections) = section.optional("connections", &COUNT)? {
        limits.max_connections = connections;
    }
    if let Some(waiting) = section.optional("waiting", &COUNT)? {
        limits.max_waiting = waiting;
    }
    let threads = section.optional("threads", &COUNT)?.unwrap_or(DEFAULT_THREADS).max(1);
    section.finish("head, body, head_timeout, progress_timeout, connections, waiting, threads")?;
    Ok((limits, threads))
}

fn read_log(section: Option<Section>) -> Result<LogSettings> {
    let default = LogSettings { level: Name::from("info"), format: LogFormat::Text };
    let Some(mut section) = section else { return Ok(default) };
    let log = LogSettings {
        level: section.optional("level", &LOG_LEVEL)?.unwrap_or(default.level),
        format: section.optional("format", &LOG_FORMAT)?.unwrap_or(default.format),
    };
    section.finish("level, format")?;
    Ok(log)
}

fn read_stop(section: Option<Section>) -> Result<StopSettings> {
    let default = StopSettings { notice_ms: DEFAULT_NOTICE_MS, drain_ms: DEFAULT_DRAIN_MS };
    let Some(mut section) = section else { return Ok(default) };
    let stop = StopSettings {
        notice_ms: section.optional("notice", &DURATION)?.unwrap_or(default.notice_ms),
        drain_ms: section.optional("drain", &DURATION)?.unwrap_or(default.drain_ms),
    };
    section.finish("notice, drain")?;
    Ok(stop)
}

fn read_peer(name: Name, mut section: Section) -> Result<StaticPeer> {
    let peer = StaticPeer {
        name,
        data_centre: section.required("data_centre", &TEXT)?,
        address: section.required("address", &ADDRESS)?,
    };
    section.finish("data_centre, address")?;
    Ok(peer)
}

fn parse_log_format(text: &str) -> Option<LogFormat> {
    match text {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}
