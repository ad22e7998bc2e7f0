//! Structured logs on standard error.

use std::sync::Arc;

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::{Error, Result};

/// How log lines look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Sends log lines from `level` up to standard error.
///
/// # Errors
///
/// Fails when `level` is not `debug`, `info`, `warn` or `error`, or when standard error
/// cannot be used.
pub fn init_logs(level: &str, format: LogFormat) -> Result<()> {
    let level = to_level(level)?;
    let sink = match format {
        LogFormat::Text => to_sink(FullFormatter::new())?,
        LogFormat::Json => to_sink(JsonFormatter::new())?,
    };
    let mut logger = Logger::builder();
    logger.sink(sink).level_filter(LevelFilter::MoreSevereEqual(level));
    let logger = logger.flush_level_filter(LevelFilter::All).build().map_err(Error::report)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn to_sink(formatter: impl Formatter + 'static) -> Result<Arc<dyn Sink>> {
    let sink = StdStreamSink::builder().stderr().formatter(formatter).build();
    Ok(Arc::new(sink.map_err(Error::report)?))
}

fn to_level(level: &str) -> Result<Level> {
    match level {
        "debug" => Ok(Level::Debug),
        "info" => Ok(Level::Info),
        "warn" => Ok(Level::Warn),
        "error" => Ok(Level::Error),
        _ => Err(Error::report(format!("level {level}, expected debug, info, warn or error"))),
    }
}
