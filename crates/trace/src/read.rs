//! Reading files of lines.

use std::io::{self, BufRead};
use std::ops::RangeInclusive;

use crate::{Belief, Line};

/// A line about a request, with what its daemon believed then.
#[derive(Clone, Debug)]
pub struct Found {
    /// The name of the file.
    pub file: String,
    /// The line.
    pub line: Line,
    /// What the daemon believed.
    pub belief: Belief,
}

/// The longest line that is looked at; longer ones are no daemon's.
const MOST_LINE_BYTES: usize = 64 << 10;

/// Returns all lines about a request in one file.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn trace(file: &str, reader: impl BufRead, request: &str) -> io::Result<Vec<Found>> {
    let mut belief = Belief::default();
    let mut found = Vec::new();
    for_each(reader, |line| {
        if line.text("request") == Some(request) {
            let file = file.to_owned();
            found.push(Found { file, line: line.clone(), belief: belief.clone() });
        }
        belief.take(line);
        true
    })?;
    Ok(found)
}

/// Returns what the daemon of a file believed at a time.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn believe(reader: impl BufRead, at_ms: u64) -> io::Result<Belief> {
    let mut belief = Belief::default();
    for_each(reader, |line| {
        let is_before = line.time_ms <= at_ms;
        if is_before {
            belief.take(line);
        }
        is_before
    })?;
    Ok(belief)
}

/// Returns what a file tells of the range that a key is in, within some time.
///
/// Leaders write these lines: where the range was to move, who took it, gave it up or let it
/// run out.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn ranges_of(
    reader: impl BufRead,
    key: u16,
    times_ms: RangeInclusive<u64>,
) -> io::Result<Vec<Line>> {
    let mut found = Vec::new();
    for_each(reader, |line| {
        let is_about = line.range().is_some_and(|range| range.contains(&key));
        if is_about && times_ms.contains(&line.time_ms) {
            found.push(line.clone());
        }
        line.time_ms <= *times_ms.end()
    })?;
    Ok(found)
}

/// Hands every line on until the file ends or enough was seen.
fn for_each(mut reader: impl BufRead, mut take: impl FnMut(&Line) -> bool) -> io::Result<()> {
    let mut text = Vec::new();
    loop {
        text.clear();
        if reader.read_until(b'\n', &mut text)? == 0 {
            return Ok(());
        }
        if text.len() > MOST_LINE_BYTES {
            continue;
        }
        let goes_on = match Line::from_text(&String::from_utf8_lossy(&text)) {
            Some(line) => take(&line),
            None => true,
        };
        if !goes_on {
            return Ok(());
        }
    }
}
