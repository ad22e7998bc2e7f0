//! The commands `trace` and `believe`, which search daemons' log files.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use clap::ArgMatches;
use trace::{RequestLine, range_lines, request_lines, state_at};

use crate::{ErrorKind, ExitStatus, Failure, Result};

/// Prints the lines of one request in time order, each with its daemon's state at that time.
pub(crate) fn trace_request(matches: &ArgMatches) -> Result<ExitStatus> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut lines: Vec<RequestLine> = Vec::new();
    for (name, reader) in open_logs(matches)? {
        lines.extend(
            request_lines(&name, reader, request).map_err(|error| unreadable(&name, &error))?,
        );
    }
    if lines.is_empty() {
        let message = format!(
            "no log line about request {request}: it was served normally, or its lines were dropped"
        );
        return Err(Failure { status: ExitStatus::Error(ErrorKind::Missing), message });
    }
    lines.sort_by_key(|found| found.line.time_ms);
    for found in &lines {
        println!("{} {} {}", found.line.time_ms, found.file, found.line.message);
        println!("    {}", found.line.format_fields());
        println!("    believed: {}", found.state);
        if let Some(server) = found.line.text("server") {
            let stage = found.state.servers.get(server).map_or("not listed", |stage| stage);
            println!("    server {server}: {stage}");
        }
    }
    print_range_lines(matches, &lines)
}

/// How long before a request's first line the printed lines about its range begin.
///
/// It is long enough for the longest grant and a takeover.
const RANGE_HISTORY_MS: u64 = 15_000;

/// Prints what leaders did with the range of a request's key, up to the request's last line.
fn print_range_lines(matches: &ArgMatches, request_lines: &[RequestLine]) -> Result<ExitStatus> {
    let key = request_lines.iter().find_map(|found| found.line.key());
    let (Some(key), [first, .., last] | [first @ last]) = (key, request_lines) else {
        return Ok(ExitStatus::Success);
    };
    let times_ms = first.line.time_ms.saturating_sub(RANGE_HISTORY_MS)..=last.line.time_ms;
    let mut lines = Vec::new();
    for (name, reader) in open_logs(matches)? {
        let found = range_lines(reader, key, times_ms.clone());
        let found = found.map_err(|error| unreadable(&name, &error))?;
        lines.extend(found.into_iter().map(|line| (name.clone(), line)));
    }
    lines.sort_by_key(|(_, line)| line.time_ms);
    println!("the range of key {key}, in the {} s before:", RANGE_HISTORY_MS / 1_000);
    for (name, line) in &lines {
        println!("{} {name} {}\n    {}", line.time_ms, line.message, line.format_fields());
    }
    if lines.is_empty() {
        println!("    no lines: the range did not move");
    }
    Ok(ExitStatus::Success)
}

/// Prints the state of each log's daemon at a given time.
pub(crate) fn print_states(matches: &ArgMatches) -> Result<ExitStatus> {
    let at_ms = matches.get_one::<u64>("at").copied().unwrap_or(0);
    for (name, reader) in open_logs(matches)? {
        let state = state_at(reader, at_ms).map_err(|error| unreadable(&name, &error))?;
        println!("{name}: {state}");
        for (incarnation, stage) in &state.servers {
            println!("    server {incarnation}: {stage}");
        }
        for (range, text) in &state.moves {
            println!("    range {range}: {text}");
        }
    }
    Ok(ExitStatus::Success)
}

/// Opens the log files of the command line; returns each with its name.
fn open_logs(matches: &ArgMatches) -> Result<Vec<(String, BufReader<File>)>> {
    let paths = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let open = |path: &PathBuf| {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|error| unreadable(&name, &error))?;
        Ok((name, BufReader::new(file)))
    };
    paths.map(open).collect()
}

fn unreadable(name: &str, error: &std::io::Error) -> Failure {
    let message = format!("{name}: {error}, expected a readable log file");
    Failure { status: ExitStatus::Error(ErrorKind::Invalid), message }
}
