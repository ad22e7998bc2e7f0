//! Lines never make anybody wait, and dropped ones are told.
use std::io::{self, Write};

use telemetry::LogQueue;

/// A reader that has gone.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

#[test]
fn lines_in_order() {
    let queue = LogQueue::new(8);
    queue.push(b"one\n");
    queue.push(b"two\n");
    let mut text = Vec::new();
    queue.write_to(&mut text).unwrap();
    assert_eq!(text, b"one\ntwo\n");
}

#[test]
fn full_queue_counts() {
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
fn closed_reader_costs_lines_only() {
    let queue = LogQueue::new(4);
    queue.push(b"line\n");
    queue.write_to(&mut Closed).unwrap_err();
    queue.push(b"next\n");
    let mut text = Vec::new();
    queue.write_to(&mut text).unwrap();
    assert_eq!(text, b"next\n");
}
