//! The settings of a daemon.

use std::net::SocketAddr;

use document::{
    ADDRESS, COUNT, DURATION, LOG_LEVEL, Name, Result, SIZE, Section, Sections, TEXT, ValueFormat,
};
use proxy::TrafficLimits;
use telemetry::LogFormat;

/// Where a daemon listens and what it may use.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance.
    pub instance: Name,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// Where it listens.
    pub listen: Listen,
    /// The address of the platform's service.
    pub store: SocketAddr,
    /// How long a call to that service may take.
    pub store_timeout_ms: u64,
    /// Bounds of requests and connections.
    pub limits: TrafficLimits,
    /// How many threads carry traffic.
    pub threads: u32,
    /// What is logged.
    pub log: LogSettings,
    /// How the daemon stops.
    pub stop: StopSettings,
    /// Daemons that are known without the platform's service.
    pub peers: Vec<StaticPeer>,
}

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub http: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For metrics, health and dumps.
    pub admin: SocketAddr,
}

/// What is logged.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The lowest level.
    pub level: Name,
    /// How lines look.
    pub format: LogFormat,
}

/// How a daemon stops.
#[derive(Clone, Copy, Debug)]
pub struct StopSettings {
    /// How long it goes on taking requests after it says that it is not ready.
    pub notice_ms: u64,
    /// How long answers in progress may take.
    pub drain_ms: u64,
}

/// A daemon that is known without the platform's service.
#[derive(Clone, Debug)]
pub struct StaticPeer {
    /// The name of its instance.
    pub name: Name,
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// Where it takes packets.
    pub address: SocketAddr,
}

const SECTIONS: &str = "[instance], [listen], [store], [traffic], [log], [stop] or [peer NAME]";
const FORMAT: ValueFormat<LogFormat> = ValueFormat { parse: read_format, expected: "text or json" };
const DEFAULT_STORE_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_THREADS: u32 = 2;
const DEFAULT_NOTICE_MS: u64 = 500;
const DEFAULT_DRAIN_MS: u64 = 60_000;

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
        sections.finish(SECTIONS)?;
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

fn read_traffic(section: Option<Section>) -> Result<(TrafficLimits, u32)> {
    let mut limits = TrafficLimits::default();
    let Some(mut section) = section else { return Ok((limits, DEFAULT_THREADS)) };
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    if let Some(bytes) = section.optional("head", &SIZE)? {
        limits.head_bytes = size(bytes);
    }
    if let Some(bytes) = section.optional("body", &SIZE)? {
        limits.body_bytes = size(bytes);
    }
    if let Some(timeout_ms) = section.optional("head_timeout", &DURATION)? {
        limits.head_timeout_ms = timeout_ms;
    }
    if let Some(timeout_ms) = section.optional("progress_timeout", &DURATION)? {
        limits.progress_timeout_ms = timeout_ms;
    }
    if let Some(connections) = section.optional("connections", &COUNT)? {
        limits.connections = connections;
    }
    if let Some(waiting) = section.optional("waiting", &COUNT)? {
        limits.waiting = waiting;
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
        format: section.optional("format", &FORMAT)?.unwrap_or(default.format),
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

fn read_format(text: &str) -> Option<LogFormat> {
    match text {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}
