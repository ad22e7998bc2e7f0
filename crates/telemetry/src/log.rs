//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them: whoever logs never waits
//! for whoever reads. Lines for which there is no room are counted, and the count is
//! written as a line of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crossbeam_queue::ArrayQueue;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, WriteSink};
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

/// How many lines wait to be written: about two megabytes.
const MOST_WAITING: usize = 8_192;
/// How much is written at once, in whole lines: what a pipe takes in one piece, so that a
/// reader that marks what it reads does so between lines.
const PIECE_BYTES: usize = 4_096;
/// How often waiting lines are written.
const WRITE_EVERY: Duration = Duration::from_millis(100);
/// How long the end of the process waits for the last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// The queue between those who log and the thread that writes.
#[derive(Debug)]
pub struct LogQueue {
    lines: ArrayQueue<Vec<u8>>,
    dropped: AtomicU64,
    is_writing: AtomicBool,
}

/// Where the logger writes to.
#[derive(Clone, Debug)]
struct QueueWriter(Arc<LogQueue>);

impl LogQueue {
    /// Creates a queue for some lines.
    #[must_use]
    pub fn new(most_waiting: usize) -> Arc<Self> {
        Arc::new(Self {
            lines: ArrayQueue::new(most_waiting),
            dropped: AtomicU64::new(0),
            is_writing: AtomicBool::new(false),
        })
    }

    /// Adds a line, or counts it when there is no room.
    pub fn push(&self, line: &[u8]) {
        if self.lines.push(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes the lines that wait, and how many there was no room for.
    ///
    /// # Errors
    ///
    /// Fails when the target does; the lines are lost then.
    pub fn write_to(&self, target: &mut impl Write) -> io::Result<()> {
        self.is_writing.store(true, Ordering::Release);
        let written = self.write_all_to(target);
        self.is_writing.store(false, Ordering::Release);
        written
    }

    fn write_all_to(&self, target: &mut impl Write) -> io::Result<()> {
        let mut text = Vec::new();
        while let Some(line) = self.lines.pop() {
            if !text.is_empty() && text.len() + line.len() > PIECE_BYTES {
                target.write_all(&text)?;
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            writeln!(
                text,
                "{{\"level\":\"warn\",\"payload\":\"log lines dropped\",\"kv\":{{\"lines\":{dropped}}}}}"
            )?;
        }
        if text.is_empty() { Ok(()) } else { target.write_all(&text) }
    }

    fn is_empty(&self) -> bool {
        self.lines.is_empty() && !self.is_writing.load(Ordering::Acquire)
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_LIMIT;
        while !self.0.is_empty() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

/// Sends log lines from `level` up to standard output.
///
/// # Errors
///
/// Fails when `level` is not `debug`, `info`, `warn` or `error`, or when the thread that
/// writes cannot be started.
pub fn init_logs(level: &str, format: LogFormat) -> Result<()> {
    let level = to_level(level)?;
    let queue = LogQueue::new(MOST_WAITING);
    let sink = match format {
        LogFormat::Text => to_sink(FullFormatter::new(), &queue)?,
        LogFormat::Json => to_sink(JsonFormatter::new(), &queue)?,
    };
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&queue))
        .map_err(Error::report)?;
    let mut logger = Logger::builder();
    logger.sink(sink).level_filter(LevelFilter::MoreSevereEqual(level));
    let logger = logger.flush_level_filter(LevelFilter::Off).build().map_err(Error::report)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn write_lines(queue: &LogQueue) {
    let mut target = io::stdout();
    loop {
        std::thread::sleep(WRITE_EVERY);
        // When nobody reads any more, there is no other place to say so.
        drop(queue.write_to(&mut target).and_then(|()| target.flush()));
    }
}

fn to_sink(formatter: impl Formatter + 'static, queue: &Arc<LogQueue>) -> Result<Arc<dyn Sink>> {
    let target = QueueWriter(Arc::clone(queue));
    let sink = WriteSink::builder().target(target).formatter(formatter).build();
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
