//! Formats daemons' answers as text.

use std::fmt::Write as _;

use document::Name;
use operator::{Explanation, PastEdit, ServiceStatus, StatusAnswer};

/// Formats the state of all instances and services.
pub(crate) fn status(answer: &StatusAnswer) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail, here and in the functions below.
    let _ = writeln!(text, "instances");
    for (name, instance) in &answer.instances {
        let in_force: Vec<String> = instance
            .in_force
            .iter()
            .map(|(service, revision)| format!("{service} {revision}"))
            .collect();
        let data_centre = &instance.data_centre;
        let _ = writeln!(text, "  {name:<12} {data_centre:<10} in force: {}", in_force.join(", "));
    }
    for (name, service) in &answer.services {
        text.push_str(&service_status(name, service));
    }
    text
}

/// Formats the state of one service.
fn service_status(name: &Name, service: &ServiceStatus) -> String {
    let mut text = format!("\n{name}, revision {}\n", service.document);
    if let Some(control) = &service.control {
        let controller = control.controller.as_ref().map_or("none", |name| name.as_str());
        let _ = writeln!(
            text,
            "  controller {controller}, term {}, record {}, voters {}",
            control.term,
            control.record,
            control.voters.iter().map(document::Name::as_str).collect::<Vec<_>>().join(" ")
        );
        for (server, status) in &control.servers {
            let state = if status.is_reachable { "answers" } else { "silent" };
            let _ = writeln!(
                text,
                "  {server:<20} {:>5} shards  {state:<8} grant ends in {} ms",
                status.shards, status.grant_left_ms
            );
        }
    }
    if service.unsettled.is_empty() {
        let _ = writeln!(text, "  settled");
    }
    for reason in &service.unsettled {
        let _ = writeln!(text, "  not settled: {reason}");
    }
    text
}

/// Formats the accepted edits of a document, one line per edit.
pub(crate) fn history(edits: &[PastEdit]) -> String {
    let mut text = String::new();
    for edit in edits {
        let _ = writeln!(
            text,
            "revision {:>8}  {:>14} ms since 1970  {}  changed: {}",
            edit.revision,
            edit.at_unix_ms,
            edit.operator,
            edit.changed.join(", ")
        );
    }
    text
}

/// Formats which server gets the requests for a key, and why.
pub(crate) fn explanation(answer: &Explanation) -> String {
    let owner = answer.owner.as_ref().map_or("nobody", |name| name.as_str());
    format!(
        "{} {}\n  hash        {:016x} in key group {}\n  shard       {}\n  owner       {owner}\n  \
         epoch       {}\n  controller  {} in term {}\n  why         {}\n",
        answer.service,
        answer.key,
        answer.hash,
        answer.group,
        answer.shard,
        answer.epoch,
        answer.controller,
        answer.term,
        answer.why
    )
}
