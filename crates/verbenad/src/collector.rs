//! Status answers that are assembled from the replies of several instances.

use std::collections::BTreeMap;

use control::Status;
use document::Name;
use operator::StatusAnswer;
use tokio::sync::oneshot;

/// The statuses that one daemon reports, by the service it controls.
pub(crate) type Statuses = BTreeMap<Name, Status>;

/// The status queries that wait for other instances.
#[derive(Debug, Default)]
pub(crate) struct StatusCollector {
    /// The number of the newest query.
    pub(crate) last_number: u64,
    pub(crate) pending: Vec<StatusQuery>,
}

/// An operator's status call that waits for replies of other instances.
#[derive(Debug)]
pub(crate) struct StatusQuery {
    pub(crate) number: u64,
    /// When the answer is sent without the missing replies.
    pub(crate) deadline_ms: u64,
    /// The instances that have not replied.
    pub(crate) waiting_for: Vec<Name>,
    /// The answer assembled so far.
    pub(crate) answer: StatusAnswer,
    pub(crate) reply_to: oneshot::Sender<StatusAnswer>,
}

/// How long a query waits for the replies of other instances.
pub(crate) const COLLECT_TIMEOUT_MS: u64 = 400;

impl StatusCollector {
    /// Merges an instance's reply, and sends the answer if it was the last one missing.
    pub(crate) fn on_reply(&mut self, number: u64, from: &Name, json: &[u8]) {
        let Some(index) = self.pending.iter().position(|q| q.number == number) else { return };
        // An unreadable reply counts as one without statuses.
        let statuses: Statuses = serde_json::from_slice(json).unwrap_or_default();
        let query = &mut self.pending[index];
        query.waiting_for.retain(|name| name != from);
        merge_statuses(&mut query.answer, statuses);
        if query.waiting_for.is_empty() {
            send_answer(self.pending.remove(index));
        }
    }

    /// Sends the answers of the queries whose deadline has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let (expired, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|query| now_ms >= query.deadline_ms);
        self.pending = pending;
        let expired: Vec<StatusQuery> = expired;
        expired.into_iter().for_each(send_answer);
    }
}

/// Adds statuses to an answer; for each service the one with the highest term stays.
pub(crate) fn merge_statuses(answer: &mut StatusAnswer, statuses: Statuses) {
    for (name, status) in statuses {
        let service = answer.services.entry(name).or_default();
        let known_term = service.control.as_ref().map(|known| known.term);
        if known_term.is_none_or(|term| term < status.term) {
            service.control = Some(status);
        }
    }
}

/// Lists what has not settled, and sends the answer to the operator.
pub(crate) fn send_answer(query: StatusQuery) {
    let mut answer = query.answer;
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
    // Sending fails if the operator has disconnected, and then no answer is needed.
    drop(query.reply_to.send(answer));
}
