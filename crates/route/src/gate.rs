//! Admission to one server, by priority and deadline.

use std::collections::BTreeMap;

use crate::Limit;

/// Admits requests to one server; it holds those that must wait.
///
/// `W` is what wakes a waiting request; the shell gives it and gets it back.
#[derive(Debug)]
pub struct Gate<W> {
    limit: Limit,
    in_flight: u32,
    waiting: BTreeMap<Ticket, Place<W>>,
    /// How long a request lately took, from its admission to its answer; `None` before any.
    latency_ms: Option<f64>,
    next_number: u64,
    most_waiting: usize,
    /// Since when requests have waited without a pause.
    waited_since_ms: Option<u64>,
}

#[derive(Debug)]
struct Place<W> {
    deadline_ms: u64,
    waker: W,
}

/// A place in the queue: the priority first, then the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: u32,
    number: u64,
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its caller stops waiting.
    pub deadline_ms: u64,
    /// Until when an answer is worth most to its caller.
    pub aim_ms: u64,
    /// The order of service; 0 goes first.
    pub priority: u32,
    /// How many requests of this priority may wait.
    pub queue: u32,
    /// How long requests like it usually take; it counts while the server has answered none.
    pub usual_ms: u32,
}

/// What becomes of a request that arrives.
#[derive(Debug)]
pub enum Admission<W> {
    /// It may be sent; [`Gate::leave`] must follow.
    Enter,
    /// It waits with this ticket.
    Wait(Ticket),
    /// It waits, and a request of a lower priority had to make room.
    WaitInstead(Ticket, W),
    /// There is no room for about this long.
    Refuse {
        /// In milliseconds from now.
        for_ms: u64,
    },
}

impl<W> Gate<W> {
    /// Creates the gate of one server.
    #[must_use]
    pub fn new(limit: Limit, most_waiting: usize) -> Self {
        Self {
            limit,
            in_flight: 0,
            waiting: BTreeMap::new(),
            latency_ms: None,
            next_number: 0,
            most_waiting,
            waited_since_ms: None,
        }
    }

    /// Returns how many requests are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the limit that applies now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Lets a request in, makes it wait, or refuses it; `waker` wakes it later.
    ///
    /// A request that would not be answered before its deadline is refused at once, and so
    /// is one when as many of its priority wait as its queue is long. Where requests have
    /// waited for some time without a pause, there are too many of them; then one is
    /// refused that would come too late to be worth most, so that others are in time.
    pub fn arrive(&mut self, now_ms: u64, arrival: Arrival, waker: W) -> Admission<W> {
        let Arrival { deadline_ms, aim_ms, priority, queue, usual_ms } = arrival;
        if self.in_flight < self.limit.get() && self.waiting.is_empty() {
            self.in_flight += 1;
            return Admission::Enter;
        }
        let ticket = Ticket { priority, number: self.next_number };
        self.next_number += 1;
        let ahead = self.waiting.range(..ticket).count();
        let first = Ticket { priority, number: 0 };
        let alike = self.waiting.range(first..ticket).count();
        let is_full = alike >= usize::try_from(queue).unwrap_or(usize::MAX);
        let since_ms = *self.waited_since_ms.get_or_insert(now_ms);
        let is_standing = now_ms >= since_ms + STANDING_MS;
        let wanted_ms = if is_standing { aim_ms.min(deadline_ms) } else { deadline_ms };
        let answered_ms = now_ms + self.expected_ms(usual_ms, ahead);
        let refusal = Admission::Refuse { for_ms: answered_ms.saturating_sub(wanted_ms) };
        if is_full || answered_ms > wanted_ms {
            return refusal;
        }
        let place = Place { deadline_ms, waker };
        if self.waiting.len() < self.most_waiting {
            self.waiting.insert(ticket, place);
            return Admission::Wait(ticket);
        }
        match self.waiting.last_entry() {
            Some(last) if last.key().priority > priority => {
                let displaced = last.remove();
                self.waiting.insert(ticket, place);
                Admission::WaitInstead(ticket, displaced.waker)
            }
            _ => refusal,
        }
    }

    /// Notes that a request has left; returns the wakers of those that may enter.
    ///
    /// Each of them counts as in flight from now on. Those that could not be answered in
    /// time any more are dropped with their wakers.
    pub fn leave(&mut self, now_ms: u64) -> Vec<W> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.admit_waiting(now_ms)
    }

    /// Gives up a place in the queue; returns whether the request was still waiting.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Notes that the server answered after some time.
    pub fn on_answer(&mut self, latency_ms: f64) {
        self.limit.on_answer(self.in_flight);
        self.note_latency(latency_ms);
    }

    /// Notes that the server shed a request; that says nothing of how long one takes.
    pub fn on_shed(&mut self) {
        self.limit.on_overload();
    }

    /// Notes that the server did not answer in time.
    pub fn on_timeout(&mut self, latency_ms: f64) {
        self.limit.on_overload();
        self.note_latency(latency_ms);
    }

    fn note_latency(&mut self, latest_ms: f64) {
        let known_ms = self.latency_ms.unwrap_or(latest_ms);
        self.latency_ms = Some(known_ms + LATENCY_WEIGHT * (latest_ms - known_ms));
    }

    /// Returns after how long a request with some others ahead is expected to be answered.
    fn expected_ms(&self, usual_ms: u32, ahead: usize) -> u64 {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let rounds = (ahead + 1.0) / f64::from(self.limit.get());
        to_ms((rounds + 1.0) * self.latency_ms.unwrap_or(f64::from(usual_ms)))
    }

    fn admit_waiting(&mut self, now_ms: u64) -> Vec<W> {
        let mut admitted = Vec::new();
        if self.waiting.len() <= 1 {
            self.waited_since_ms = None;
        }
        while self.in_flight < self.limit.get() {
            let Some((_, place)) = self.waiting.pop_first() else { break };
            let left_ms = place.deadline_ms.saturating_sub(now_ms);
            if left_ms > to_ms(self.latency_ms.unwrap_or_default()) {
                self.in_flight += 1;
                admitted.push(place.waker);
            }
        }
        admitted
    }
}

/// How long requests wait without a pause before there are too many of them; a burst of
/// callers at the same moment is over by then.
const STANDING_MS: u64 = 200;
/// How much the latest latency counts.
const LATENCY_WEIGHT: f64 = 0.1;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a length of time that is not negative; a longer one than any deadline is as good"
)]
fn to_ms(length_ms: f64) -> u64 {
    length_ms.ceil() as u64
}
