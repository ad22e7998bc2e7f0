//! Searches in log files.

use std::io::{self, BufRead};
use std::ops::RangeInclusive;

use crate::{DaemonState, Line};

/// A line about a request, with the state of its daemon just before the line.
#[derive(Clone, Debug)]
pub struct RequestLine {
    /// The name of the log file.
    pub file: String,
    /// The line.
    pub line: Line,
    /// The state of the daemon before the line.
    pub state: DaemonState,
}

/// The largest length of a line; longer ones are skipped, since no daemon writes them.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Returns all lines about a request in one log file.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn request_lines(
    file: &str,
    reader: impl BufRead,
    request: &str,
) -> io::Result<Vec<RequestLine>> {
    let mut state = DaemonState::default();
    let mut found = Vec::new();
    for_each_line(reader, |line| {
        if line.text("request") == Some(request) {
            let file = file.to_owned();
            found.push(RequestLine { file, line: line.clone(), state: state.clone() });
        }
        state.apply(line);
        true
    })?;
    Ok(found)
}

/// Returns the state of a log file's daemon at a given time.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn state_at(reader: impl BufRead, at_ms: u64) -> io::Result<DaemonState> {
    let mut state = DaemonState::default();
    for_each_line(reader, |line| {
        let is_up_to_time = line.time_ms <= at_ms;
        if is_up_to_time {
            state.apply(line);
        }
        is_up_to_time
    })?;
    Ok(state)
}

/// Returns the lines of one log file about the range that holds a key, within a time span.
///
/// Leaders write these lines when a move of the range is planned, and when the range is
/// granted, released or loses its grant by expiry. Ranges of all services match.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn range_lines(
    reader: impl BufRead,
    key: u16,
    times_ms: RangeInclusive<u64>,
) -> io::Result<Vec<Line>> {
    let mut found = Vec::new();
    for_each_line(reader, |line| {
        let has_key = line.range().is_some_and(|range| range.contains(&key));
        if has_key && times_ms.contains(&line.time_ms) {
            found.push(line.clone());
        }
        line.time_ms <= *times_ms.end()
    })?;
    Ok(found)
}

/// Calls `on_line` for every log line until the file ends or `on_line` returns `false`.
fn for_each_line(
    mut reader: impl BufRead,
    mut on_line: impl FnMut(&Line) -> bool,
) -> io::Result<()> {
    let mut text = Vec::new();
    loop {
        text.clear();
        if reader.read_until(b'\n', &mut text)? == 0 {
            return Ok(());
        }
        if text.len() > MAX_LINE_BYTES {
            continue;
        }
        let wants_more = match Line::parse(&String::from_utf8_lossy(&text)) {
            Some(line) => on_line(&line),
            None => true,
        };
        if !wants_more {
            return Ok(());
        }
    }
}
