//! A record of when requests were at servers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use document::{HashMap, Name};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Records the visits of requests at all servers of a run.
#[derive(Debug, Default)]
pub struct VisitLog {
    visits: Mutex<HashMap<Name, Vec<Visit>>>,
}

/// One arrival of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Visit {
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the server began to work on it; `None` if it never did.
    pub work_began_at: Option<Instant>,
    /// When and how the visit ended; `None` while it lasts.
    pub end: Option<(Instant, VisitEnd)>,
}

/// How a visit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VisitEnd {
    /// The server answered.
    Answered,
    /// The connection ended before the server answered.
    Abandoned,
    /// The server stopped.
    ServerStopped,
}

/// A visit that has not been answered yet; dropping it ends it.
#[derive(Debug)]
pub(crate) struct OpenVisit<'a> {
    log: &'a VisitLog,
    id: Name,
    /// The position among the visits of the request.
    position: usize,
    /// Whether the server has stopped.
    stopped: &'a CancellationToken,
    has_ended: bool,
}

impl VisitLog {
    /// Returns the visits of a request.
    #[must_use]
    pub fn visits(&self, id: &str) -> Vec<Visit> {
        self.lock().get(id).cloned().unwrap_or_default()
    }

    /// Records the arrival of a request.
    pub(crate) fn arrive<'a>(&'a self, id: &Name, stopped: &'a CancellationToken) -> OpenVisit<'a> {
        let visit = Visit { arrived_at: Instant::now(), work_began_at: None, end: None };
        let mut all = self.lock();
        let visits = all.entry(id.clone()).or_default();
        visits.push(visit);
        let position = visits.len() - 1;
        OpenVisit { log: self, id: id.clone(), position, stopped, has_ended: false }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Vec<Visit>>> {
        self.visits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Visit {
    /// Returns whether the server was at work at some moment of a period.
    #[must_use]
    pub fn is_at_work_within(&self, from: Instant, to: Instant) -> bool {
        let has_begun = self.work_began_at.is_some_and(|began_at| began_at <= to);
        has_begun && self.end.is_none_or(|(ended_at, _)| ended_at >= from)
    }
}

impl OpenVisit<'_> {
    /// Records that the server begins to work on the request.
    pub(crate) fn begin_work(&self) {
        self.update(|visit| visit.work_began_at = Some(Instant::now()));
    }

    /// Ends the visit.
    pub(crate) fn end(&mut self, end: VisitEnd) {
        self.has_ended = true;
        self.update(|visit| visit.end = Some((Instant::now(), end)));
    }

    fn update(&self, change: impl FnOnce(&mut Visit)) {
        let mut all = self.log.lock();
        all.get_mut(&self.id).and_then(|visits| visits.get_mut(self.position)).map(change);
    }
}

impl Drop for OpenVisit<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let has_stopped = self.stopped.is_cancelled();
            self.end(if has_stopped { VisitEnd::ServerStopped } else { VisitEnd::Abandoned });
        }
    }
}
