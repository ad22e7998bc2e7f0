//! The log queue never blocks, reports dropped lines and writes whole lines.
//!
//! Otherwise a slow reader of standard output would stop the threads that log, lines would be
//! lost without a trace, or a reader would put its prefix inside a line.

use std::io::{self, Write};

use telemetry::LogQueue;

/// A target whose reader has closed it.
struct ClosedTarget;

impl Write for ClosedTarget {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

#[test]
fn lines_are_written_in_order() {
    let queue = LogQueue::new(8);
    queue.push(b"one\n");
    queue.push(b"two\n");
    let mut text = Vec::new();
    queue.write_to(&mut text).unwrap();
    assert_eq!(text, b"one\ntwo\n");
}

#[test]
fn full_queue_counts_dropped_lines() {
    let queue = LogQueue::new(4);
    for _ in 0..10 {
        queue.push(b"line\n");
    }
    let mut text = Vec::new();
    queue.write_to(&mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(text.matches("line\n").count(), 4);
    assert!(text.contains("\"lines\":6"), "{text}");
    let mut later = Vec::new();
    queue.write_to(&mut later).unwrap();
    assert!(later.is_empty());
}

#[test]
fn failed_write_loses_only_its_lines() {
    let queue = LogQueue::new(4);
    queue.push(b"line\n");
    queue.write_to(&mut ClosedTarget).unwrap_err();
    queue.push(b"next\n");
    let mut text = Vec::new();
    queue.write_to(&mut text).unwrap();
    assert_eq!(text, b"next\n");
}

/// A target that records the bytes of each write call.
#[derive(Default)]
struct WriteCalls(Vec<Vec<u8>>);

impl Write for WriteCalls {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn writes_hold_whole_lines() {
    // PIPE_BUF: POSIX writes up to this size to a pipe atomically.
    const ATOMIC_WRITE_BYTES: usize = 4_096;
    let queue = LogQueue::new(1_000);
    for number in 0..500 {
        queue.push(format!("{number} {}\n", "x".repeat(number % 300)).as_bytes());
    }
    let mut calls = WriteCalls::default();
    queue.write_to(&mut calls).unwrap();
    assert!(calls.0.len() > 10);
    for call in &calls.0 {
        assert!(call.ends_with(b"\n") && call.len() <= ATOMIC_WRITE_BYTES, "{} bytes", call.len());
    }
    assert_eq!(String::from_utf8(calls.0.concat()).unwrap().lines().count(), 500);
}
