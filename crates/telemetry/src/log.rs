//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a slow reader of
//! standard output never blocks the threads that log. Lines that do not fit into the queue are
//! dropped and counted; the count is written as a log line of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crossbeam_queue::ArrayQueue;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, WriteSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::{Error, Result};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The capacity of the queue in lines; about two megabytes.
const MAX_QUEUED_LINES: usize = 8_192;
/// The largest write of several lines; a longer line is written alone.
///
/// POSIX writes up to this size to a pipe atomically. A reader that puts a prefix before each
/// chunk that it reads therefore never puts it inside a line.
const MAX_WRITE_BYTES: usize = 4_096;
/// The interval at which queued lines are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a flush at the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The bounded queue between the threads that log and the thread that writes.
#[derive(Debug)]
pub struct LogQueue {
    lines: ArrayQueue<Vec<u8>>,
    dropped: AtomicU64,
    is_writing: AtomicBool,
}

/// The target of the logger: adds each line to the queue.
#[derive(Clone, Debug)]
struct QueueWriter(Arc<LogQueue>);

impl LogQueue {
    /// Creates a queue that holds up to `max_lines` lines.
    #[must_use]
    pub fn new(max_lines: usize) -> Arc<Self> {
        Arc::new(Self {
            lines: ArrayQueue::new(max_lines),
            dropped: AtomicU64::new(0),
            is_writing: AtomicBool::new(false),
        })
    }

    /// Adds a line; drops and counts it when the queue is full.
    pub fn push(&self, line: &[u8]) {
        if self.lines.push(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes all queued lines, and the number of dropped lines if there are any.
    ///
    /// # Errors
    ///
    /// Fails when writing to the target fails; the lines that were being written are lost.
    pub fn write_to(&self, target: &mut impl Write) -> io::Result<()> {
        self.is_writing.store(true, Ordering::Release);
        let written = self.write_all_to(target);
        self.is_writing.store(false, Ordering::Release);
        written
    }

    fn write_all_to(&self, target: &mut impl Write) -> io::Result<()> {
        let mut text = Vec::new();
        while let Some(line) = self.lines.pop() {
            if !text.is_empty() && text.len() + line.len() > MAX_WRITE_BYTES {
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

    fn is_flushed(&self) -> bool {
        self.lines.is_empty() && !self.is_writing.load(Ordering::Acquire)
    }
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while !self.0.is_flushed() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

/// Sets up the logger, which writes lines of `level` and above to standard output.
///
/// # Errors
///
/// Fails when `level` is not `debug`, `info`, `warn` or `error`, or when the logger or the
/// writing thread cannot be started.
pub fn init_logs(level: &str, format: LogFormat) -> Result<()> {
    let level = parse_level(level)?;
    let queue = LogQueue::new(MAX_QUEUED_LINES);
    let sink = match format {
        LogFormat::Text => build_sink(FullFormatter::new(), &queue)?,
        LogFormat::Json => build_sink(JsonFormatter::new(), &queue)?,
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
        std::thread::sleep(WRITE_INTERVAL);
        // An error means that standard output is closed; there is no other place to report it.
        drop(queue.write_to(&mut target).and_then(|()| target.flush()));
    }
}

fn build_sink(formatter: impl Formatter + 'static, queue: &Arc<LogQueue>) -> Result<Arc<dyn Sink>> {
    let writer = QueueWriter(Arc::clone(queue));
    let sink = WriteSink::builder().target(writer).formatter(formatter).build();
    Ok(Arc::new(sink.map_err(Error::report)?))
}

fn parse_level(level: &str) -> Result<Level> {
    match level {
        "debug" => Ok(Level::Debug),
        "info" => Ok(Level::Info),
        "warn" => Ok(Level::Warn),
        "error" => Ok(Level::Error),
        _ => Err(Error::report(format!(
            "unknown level {level}, expected debug, info, warn or error"
        ))),
    }
}
