//! What daemons' logs tell.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use clap::ArgMatches;
use trace::{RequestLine, range_lines, request_lines, state_at};

use crate::{End, ErrorKind, Failure, Result};

/// Prints one request's way in time order, with what each daemon believed then.
pub(crate) fn trace_request(matches: &ArgMatches) -> Result<End> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut found: Vec<RequestLine> = Vec::new();
    for (name, reader) in open(matches)? {
        found.extend(
            request_lines(&name, reader, request).map_err(|error| unreadable(&name, &error))?,
        );
    }
    if found.is_empty() {
        let message = format!("no line about request {request}: it went well, or was dropped");
        return Err(Failure { end: End::Fault(ErrorKind::Missing), message });
    }
    found.sort_by_key(|found| found.line.time_ms);
    for found in &found {
        println!("{} {} {}", found.line.time_ms, found.file, found.line.message);
        println!("    {}", found.line.format_fields());
        println!("    believed: {}", found.state);
        if let Some(server) = found.line.text("server") {
            let stage = found.state.servers.get(server).map_or("not listed", |stage| stage);
            println!("    server {server}: {stage}");
        }
    }
    print_ranges(matches, &found)
}

/// How long before a request's first line its key's range is looked at: the longest grant
/// and a takeover.
const RANGES_MS: u64 = 15_000;

/// Prints what leaders did with the range of a request's key before it ended.
fn print_ranges(matches: &ArgMatches, found: &[RequestLine]) -> Result<End> {
    let key = found.iter().find_map(|found| found.line.key());
    let (Some(key), [first, .., last] | [first @ last]) = (key, found) else {
        return Ok(End::Done);
    };
    let times_ms = first.line.time_ms.saturating_sub(RANGES_MS)..=last.line.time_ms;
    let mut lines = Vec::new();
    for (name, reader) in open(matches)? {
        let ranges = range_lines(reader, key, times_ms.clone());
        let ranges = ranges.map_err(|error| unreadable(&name, &error))?;
        lines.extend(ranges.into_iter().map(|line| (name.clone(), line)));
    }
    lines.sort_by_key(|(_, line)| line.time_ms);
    println!("the range of key {key}, in the {} s before:", RANGES_MS / 1_000);
    for (name, line) in &lines {
        println!("{} {name} {}\n    {}", line.time_ms, line.message, line.format_fields());
    }
    if lines.is_empty() {
        println!("    no line: it stayed where it was");
    }
    Ok(End::Done)
}

/// Prints what the daemon of each log believed at a time.
pub(crate) fn print_beliefs(matches: &ArgMatches) -> Result<End> {
    let at_ms = matches.get_one::<u64>("at").copied().unwrap_or(0);
    for (name, reader) in open(matches)? {
        let belief = state_at(reader, at_ms).map_err(|error| unreadable(&name, &error))?;
        println!("{name}: {belief}");
        for (life, stage) in &belief.servers {
            println!("    server {life}: {stage}");
        }
        for (range, text) in &belief.moves {
            println!("    range {range}: {text}");
        }
    }
    Ok(End::Done)
}

fn open(matches: &ArgMatches) -> Result<Vec<(String, BufReader<File>)>> {
    let paths = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let open = |path: &PathBuf| {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|error| unreadable(&name, &error))?;
        Ok((name, BufReader::new(file)))
    };
    paths.map(open).collect()
}

fn unreadable(name: &str, error: &std::io::Error) -> Failure {
    let message = format!("{name}: {error}, expected a log file that can be read");
    Failure { end: End::Fault(ErrorKind::Invalid), message }
}
