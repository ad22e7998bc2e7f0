//! Checks that daemons that stop answer the requests that they have read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use document::Name;
use http::StatusCode;
use lab::{OwnershipChecker, Visit, VisitEnd};
use tokio::time::{Duration, Instant};

use crate::callers::Counts;

/// How long the platform gives a daemon to stop before it kills the process.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
/// How long after the grace period a connection that ends counts as ended by the stop.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// The last part of the grace period, in which a request at work may be broken off.
const WORK_PART: u32 = 6;
/// A request that was sent later than this after SIGTERM may not be broken off.
const MAX_SENT_AFTER_STOP: Duration = Duration::from_secs(3);
/// For how long after SIGHUP a daemon may not lose the requests that it gets.
const RELOAD_TIME: Duration = Duration::from_secs(3);
/// Limits are stated and measured in whole milliseconds, so one may count as reached within the
/// last of them.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);
/// How many requests that reached a server may be lost while their daemon does not stop.
const MAX_LOST_OUTSIDE_STOPS: usize = 3;
/// How many lost requests the report names; the others are in the file of all endings.
const MAX_NAMED: usize = 8;

/// Records signals and requests to which no server's answer came back, and judges these.
///
/// The rule is the users': around a planned stop, a request that a process has read gets a complete
/// answer, unless its server stopped, its time had passed, or its server was still at work in the
/// last sixth of the grace period and the request was sent no later than 3 s after SIGTERM. A
/// daemon that breaks off a server's work and gives an answer of its own is judged alike.
#[derive(Debug)]
pub struct LossCheck {
    checker: Arc<OwnershipChecker>,
    started_at: Instant,
    route_timeout: Duration,
    record: Mutex<Record>,
}

#[derive(Debug, Default)]
struct Record {
    /// The daemons that got the first SIGTERM of a stop, and when.
    stops: Vec<(usize, Instant)>,
    /// The daemons that got SIGHUP, and when.
    reloads: Vec<(usize, Instant)>,
    endings: Vec<Ending>,
}

/// A request that its daemon had read and to which no server's answer came back.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The id of the request.
    pub id: Name,
    /// The index of the daemon.
    pub daemon: usize,
    /// When the caller began to send the request.
    pub began_at: Instant,
    /// When the caller had sent its last byte.
    pub sent_at: Instant,
    /// When the answer was complete or the connection had ended.
    pub ended_at: Instant,
    /// The time limit that the caller stated.
    pub time_limit: Duration,
    /// The status of the daemon's own answer; `None` if the connection was closed without one.
    pub status: Option<StatusCode>,
}

/// What the check says of an ending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// The daemon's own answer is allowed.
    Answered,
    /// The rule does not count it, as the server stopped.
    ServerStopped,
    /// The rule does not count it, as its time limit or the route's timeout was reached.
    OutOfTime,
    /// The rule does not count it, as the server was at work until the end of the grace period.
    AtWork,
    /// It was lost by a stop or a reload.
    Lost,
    /// It was lost by a daemon that had no signal.
    LostOutsideStops,
}

impl LossCheck {
    /// Creates a check of requests on routes with the given timeout.
    #[must_use]
    pub fn new(
        checker: Arc<OwnershipChecker>,
        started_at: Instant,
        route_timeout: Duration,
    ) -> Arc<Self> {
        Arc::new(Self { checker, started_at, route_timeout, record: Mutex::default() })
    }

    /// Records the first SIGTERM of a stop.
    pub fn on_stop(&self, daemon: usize) {
        self.lock().stops.push((daemon, Instant::now()));
    }

    /// Records a SIGHUP.
    pub fn on_reload(&self, daemon: usize) {
        self.lock().reloads.push((daemon, Instant::now()));
    }

    /// Records a request to which no server's answer came back.
    pub fn on_ending(&self, ending: Ending) {
        self.lock().endings.push(ending);
    }

    /// Judges all endings: counts them, reports violations and returns a line for each of them.
    pub fn finish(&self, counts: &mut Counts) -> Vec<String> {
        let record = self.lock();
        let mut lines = Vec::new();
        let (mut lost, mut lost_outside) = (Vec::new(), Vec::new());
        for ending in &record.endings {
            let visits = self.checker.visits.visits(&ending.id);
            let stop = last_signal(&record.stops, ending);
            let verdict = self.judge(&record, ending, &visits, stop);
            let line = self.describe(ending, &visits, stop);
            if verdict != Verdict::Answered || ending.status.is_none() {
                lines.push(format!("{verdict:?}: {line}"));
            }
            match verdict {
                Verdict::Answered => {}
                Verdict::Lost => lost.push(line),
                Verdict::LostOutsideStops => {
                    counts.lost += 1;
                    if !visits.is_empty() {
                        lost_outside.push(line);
                    }
                }
                _ => counts.excused += 1,
            }
        }
        counts.lost += u64::try_from(lost.len()).unwrap_or(u64::MAX);
        if lost_outside.len() > MAX_LOST_OUTSIDE_STOPS {
            lost.append(&mut lost_outside);
        }
        for line in lost.iter().take(MAX_NAMED) {
            self.checker.add_violation(format!("lost: {line}"));
        }
        if lost.len() > MAX_NAMED {
            self.checker.add_violation(format!("lost: {} more", lost.len() - MAX_NAMED));
        }
        lines
    }

    fn judge(
        &self,
        record: &Record,
        ending: &Ending,
        visits: &[Visit],
        stop: Option<Instant>,
    ) -> Verdict {
        let has_end = |visit: &Visit, expected| visit.end.is_some_and(|(_, end)| end == expected);
        // The rule treats a daemon's own answer like a closed connection if the daemon broke off
        // the work of a server after SIGTERM.
        let is_broken_off = stop.is_some()
            && visits
                .iter()
                .any(|visit| visit.work_began_at.is_some() && has_end(visit, VisitEnd::Abandoned));
        if ending.status.is_some() && !is_broken_off {
            return Verdict::Answered;
        }
        if visits.iter().any(|visit| has_end(visit, VisitEnd::ServerStopped)) {
            return Verdict::ServerStopped;
        }
        let held = ending.ended_at - ending.began_at;
        if held + CLOCK_RESOLUTION >= self.time_limit(ending) {
            return Verdict::OutOfTime;
        }
        let Some(stop) = stop else {
            let reload = last_signal(&record.reloads, ending);
            let is_reloaded = reload.is_some_and(|at| ending.sent_at <= at + RELOAD_TIME);
            return if is_reloaded { Verdict::Lost } else { Verdict::LostOutsideStops };
        };
        let work_from = stop + GRACE - GRACE / WORK_PART;
        let was_at_work =
            visits.iter().any(|visit| visit.is_at_work_within(work_from, stop + GRACE));
        if was_at_work && ending.sent_at <= stop + MAX_SENT_AFTER_STOP {
            return Verdict::AtWork;
        }
        Verdict::Lost
    }

    /// Returns the time after which a request may end without an answer.
    fn time_limit(&self, ending: &Ending) -> Duration {
        ending.time_limit.min(self.route_timeout)
    }

    fn describe(&self, ending: &Ending, visits: &[Visit], stop: Option<Instant>) -> String {
        let at = |instant: Instant| (instant - self.started_at).as_secs_f64();
        let status = ending.status.map_or("no answer".to_owned(), |status| status.to_string());
        let stop = stop.map_or(String::new(), |stop| format!(", SIGTERM at {:.3} s", at(stop)));
        let visits: Vec<String> = visits
            .iter()
            .map(|visit| {
                let work =
                    visit.work_began_at.map_or("never".into(), |it| format!("{:.3}", at(it)));
                let end = visit.end.map(|(ended_at, end)| (at(ended_at), end));
                format!(
                    "server reached at {:.3}, work began {work}, end {end:?}",
                    at(visit.arrived_at)
                )
            })
            .collect();
        format!(
            "{} to edge-{}, sent at {:.3} s, limit {} ms, ended after {} ms at {:.3} s with \
             {status}{stop}; {}",
            ending.id,
            ending.daemon,
            at(ending.sent_at),
            self.time_limit(ending).as_millis(),
            (ending.ended_at - ending.began_at).as_millis(),
            at(ending.ended_at),
            if visits.is_empty() { "no server reached".to_owned() } else { visits.join("; ") }
        )
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns when the daemon of a request got the last signal that may have ended the request.
fn last_signal(signals: &[(usize, Instant)], ending: &Ending) -> Option<Instant> {
    let own = signals.iter().filter(|(daemon, _)| *daemon == ending.daemon);
    let before = own.map(|(_, at)| *at).filter(|at| *at <= ending.ended_at);
    before.max().filter(|at| ending.ended_at <= *at + GRACE + STOP_MARGIN)
}
