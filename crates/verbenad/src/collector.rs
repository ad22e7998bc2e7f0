//! Answers that are collected from several instances.

use std::collections::BTreeMap;

use control::Status;
use document::Name;
use operator::StatusAnswer;
use tokio::sync::oneshot;

/// What each service's controller says, by service.
pub(crate) type Statuses = BTreeMap<Name, Status>;

/// Collects what controllers on other instances say.
#[derive(Debug, Default)]
pub(crate) struct StatusCollector {
    pub(crate) next_number: u64,
    pub(crate) open: Vec<Collection>,
}

/// One question that other instances are still answering.
#[derive(Debug)]
pub(crate) struct Collection {
    pub(crate) number: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) waiting_for: Vec<Name>,
    pub(crate) answer: StatusAnswer,
    pub(crate) asker: oneshot::Sender<StatusAnswer>,
}

/// How long other instances may take to say what they control.
pub(crate) const COLLECT_MS: u64 = 400;

impl StatusCollector {
    pub(crate) fn note_reply(&mut self, number: u64, from: &Name, json: &[u8]) {
        let Some(at) = self.open.iter().position(|open| open.number == number) else { return };
        // A reply that cannot be read is as good as none.
        let statuses: Statuses = serde_json::from_slice(json).unwrap_or_default();
        let open = &mut self.open[at];
        open.waiting_for.retain(|name| name != from);
        note_statuses(&mut open.answer, statuses);
        if open.waiting_for.is_empty() {
            finish(self.open.remove(at));
        }
    }

    /// Answers the questions whose time is over with what has come.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let (over, open) =
            std::mem::take(&mut self.open).into_iter().partition(|c| now_ms >= c.deadline_ms);
        self.open = open;
        let over: Vec<Collection> = over;
        over.into_iter().for_each(finish);
    }
}

/// Adds what a controller says, unless a later one has spoken.
pub(crate) fn note_statuses(answer: &mut StatusAnswer, statuses: Statuses) {
    for (name, status) in statuses {
        let service = answer.services.entry(name).or_default();
        let known = service.control.as_ref().map(|known| known.term);
        if known.is_none_or(|known| known < status.term) {
            service.control = Some(status);
        }
    }
}

/// Works out what has not settled, and answers.
pub(crate) fn finish(collection: Collection) {
    let mut answer = collection.answer;
    for (name, service) in &mut answer.services {
        for (instance, status) in &answer.instances {
            let in_force = status.in_force.get(name).copied().unwrap_or_default();
            if in_force < service.document {
                service.unsettled.push(format!(
                    "{instance} has revision {in_force} in force, not {}",
                    service.document
                ));
            }
        }
        for unsettled in service.control.iter().flat_map(|status| &status.unsettled) {
            service.unsettled.push(format!("{} shards: {}", unsettled.shards, unsettled.reason));
        }
    }
    // Somebody who asked and went away needs no answer.
    drop(collection.asker.send(answer));
}
