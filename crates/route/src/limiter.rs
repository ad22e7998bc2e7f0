//! Admission of requests to one server, by priority and deadline.

use std::collections::BTreeMap;

use crate::Limit;

/// Limits the requests in flight at one server and queues the others.
///
/// `W` is the waker of a waiting request. The code that uses the limiter passes it in, and
/// gets it back when the request may be sent or is displaced.
#[derive(Debug)]
pub struct Limiter<W> {
    limit: Limit,
    in_flight: u32,
    waiting: BTreeMap<Ticket, Waiter<W>>,
    /// The moving average of the time from admission to answer; `None` before the first.
    latency_ms: Option<f64>,
    next_number: u64,
    max_waiting: usize,
    /// When the current queue formed; reset to `None` when a request ends while at most one waits.
    queue_started_at_ms: Option<u64>,
    /// The moving average of the share of requests that the server turned away.
    shed_share: f64,
    /// Until when no request is admitted, as the server turned most of the last ones away.
    pause_deadline_ms: u64,
}

#[derive(Debug)]
struct Waiter<W> {
    deadline_ms: u64,
    waker: W,
}

/// A position in the queue, ordered by priority, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: u32,
    number: u64,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the caller stops waiting.
    pub deadline_ms: u64,
    /// When an answer is due to meet the latency target of the request.
    pub target_deadline_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The largest number of requests of this priority that may wait.
    pub max_waiting: u32,
    /// The typical latency of such requests, used until the server has answered one.
    pub typical_latency_ms: u32,
}

/// The decision on a request that asks for admission.
#[derive(Debug)]
pub enum Admission<W> {
    /// The request may be sent; [`Limiter::release`] must be called when it has ended.
    Admit,
    /// The request waits with this ticket.
    Wait(Ticket),
    /// The request waits and displaced one of a lower priority, which had this waker.
    WaitDisplacing(Ticket, W),
    /// The server gets no request for a while.
    Paused {
        /// How long the pause still lasts.
        remaining_ms: u64,
    },
    /// The queue is full, or the answer is expected too late.
    Refuse {
        /// By how many milliseconds the answer would be late; 0 if only the queue is full.
        late_ms: u64,
    },
}

impl<W> Limiter<W> {
    /// Creates the limiter of one server, with room for `max_waiting` waiting requests.
    #[must_use]
    pub fn new(limit: Limit, max_waiting: usize) -> Self {
        Self {
            limit,
            in_flight: 0,
            waiting: BTreeMap::new(),
            latency_ms: None,
            next_number: 0,
            max_waiting,
            queue_started_at_ms: None,
            shed_share: 0.0,
            pause_deadline_ms: 0,
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

    /// Returns the current limit on the requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Admits a request, queues it together with its waker, or refuses it.
    ///
    /// During a pause all requests are refused. Otherwise, a request is refused at once if its answer is expected after its deadline, if the queue
    /// of its priority is full, or if the whole queue is full of requests that are not of a
    /// lower priority. Once a queue has lasted for `SUSTAINED_QUEUE_MS`, the server counts as
    /// overloaded. Then requests that would miss their latency target are refused too, so that
    /// the others meet theirs.
    pub fn admit(&mut self, now_ms: u64, arrival: Arrival, waker: W) -> Admission<W> {
        let Arrival { deadline_ms, target_deadline_ms, priority, max_waiting, typical_latency_ms } =
            arrival;
        if now_ms < self.pause_deadline_ms {
            return Admission::Paused { remaining_ms: self.pause_deadline_ms - now_ms };
        }
        if self.in_flight < self.limit.get() && self.waiting.is_empty() {
            self.in_flight += 1;
            return Admission::Admit;
        }
        let ticket = Ticket { priority, number: self.next_number };
        self.next_number += 1;
        let ahead = self.waiting.range(..ticket).count();
        let first_of_priority = Ticket { priority, number: 0 };
        let same_priority = self.waiting.range(first_of_priority..ticket).count();
        let is_full = same_priority >= usize::try_from(max_waiting).unwrap_or(usize::MAX);
        let started_at_ms = *self.queue_started_at_ms.get_or_insert(now_ms);
        let is_sustained = now_ms >= started_at_ms + SUSTAINED_QUEUE_MS;
        let due_at_ms =
            if is_sustained { target_deadline_ms.min(deadline_ms) } else { deadline_ms };
        let expected_answer_at_ms = now_ms + self.expected_latency_ms(typical_latency_ms, ahead);
        let refusal =
            Admission::Refuse { late_ms: expected_answer_at_ms.saturating_sub(due_at_ms) };
        if is_full || expected_answer_at_ms > due_at_ms {
            return refusal;
        }
        let waiter = Waiter { deadline_ms, waker };
        if self.waiting.len() < self.max_waiting {
            self.waiting.insert(ticket, waiter);
            return Admission::Wait(ticket);
        }
        match self.waiting.last_entry() {
            Some(last) if last.key().priority > priority => {
                let displaced = last.remove();
                self.waiting.insert(ticket, waiter);
                Admission::WaitDisplacing(ticket, displaced.waker)
            }
            _ => refusal,
        }
    }

    /// Handles the end of an admitted request and returns the wakers of those admitted next.
    ///
    /// The requests admitted next count as in flight from now on. Requests that can no longer
    /// be answered before their deadline are removed from the queue, and their wakers are
    /// dropped.
    pub fn release(&mut self, now_ms: u64) -> Vec<W> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.admit_waiting(now_ms)
    }

    /// Removes a request from the queue; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Handles an answer of the server.
    pub fn on_answer(&mut self, latency_ms: f64) {
        self.limit.on_answer(self.in_flight);
        self.shed_share -= SHED_WEIGHT * self.shed_share;
        self.update_latency(latency_ms);
    }

    /// Handles a request that the server turned away; its latency says nothing about that of
    /// answers.
    ///
    /// If the server turns most requests away, a pause follows, in which other daemons get its
    /// slots.
    pub fn on_shed(&mut self, now_ms: u64) {
        self.limit.on_overload();
        self.shed_share += SHED_WEIGHT * (1.0 - self.shed_share);
        if self.shed_share > MIN_PAUSE_SHARE {
            let latency_ms = self.latency_ms.unwrap_or(INITIAL_LATENCY_MS);
            let tries = self.shed_share / (1.0 - self.shed_share);
            self.pause_deadline_ms = now_ms + ceil_ms(latency_ms * tries).min(MAX_PAUSE_MS);
        }
    }

    /// Sets the limit during a slow start and returns the wakers of requests admitted by that.
    pub fn set_cap(&mut self, now_ms: u64, cap: u32) -> Vec<W> {
        self.limit.set_cap(cap);
        self.admit_waiting(now_ms)
    }

    /// Admits no request until a time, and one at a time at first after that.
    ///
    /// Returns the wakers of the requests that waited; nothing would wake them at the end of the
    /// pause.
    pub fn pause(&mut self, deadline_ms: u64) -> Vec<W> {
        self.pause_deadline_ms = deadline_ms.max(self.pause_deadline_ms);
        self.limit.restart();
        std::mem::take(&mut self.waiting).into_values().map(|waiter| waiter.waker).collect()
    }

    /// Returns until when no request is admitted; 0 if there was no pause.
    #[must_use]
    pub fn pause_deadline_ms(&self) -> u64 {
        self.pause_deadline_ms
    }

    /// Handles a request that the server did not answer in time.
    pub fn on_timeout(&mut self, latency_ms: f64) {
        self.limit.on_overload();
        self.update_latency(latency_ms);
    }

    fn update_latency(&mut self, latest_ms: f64) {
        let average_ms = self.latency_ms.unwrap_or(latest_ms);
        self.latency_ms = Some(average_ms + LATENCY_WEIGHT * (latest_ms - average_ms));
    }

    /// Returns the expected latency of a request that has `ahead` others before it in the queue.
    fn expected_latency_ms(&self, typical_latency_ms: u32, ahead: usize) -> u64 {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let rounds = (ahead + 1.0) / f64::from(self.limit.get());
        ceil_ms((rounds + 1.0) * self.latency_ms.unwrap_or(f64::from(typical_latency_ms)))
    }

    fn admit_waiting(&mut self, now_ms: u64) -> Vec<W> {
        let mut admitted = Vec::new();
        if self.waiting.len() <= 1 {
            self.queue_started_at_ms = None;
        }
        if now_ms < self.pause_deadline_ms {
            // Nothing would wake them at the end of the pause.
            self.waiting.clear();
        }
        while self.in_flight < self.limit.get() {
            let Some((_, waiter)) = self.waiting.pop_first() else { break };
            let left_ms = waiter.deadline_ms.saturating_sub(now_ms);
            if left_ms > ceil_ms(self.latency_ms.unwrap_or_default()) {
                self.in_flight += 1;
                admitted.push(waiter.waker);
            }
        }
        admitted
    }
}

/// The age from which a queue counts as overload; a burst of simultaneous requests has been
/// answered by then.
const SUSTAINED_QUEUE_MS: u64 = 200;
/// The share of requests turned away above which requests pause.
///
/// A server that turns half of its requests away may do so whatever its load is. Then every
/// request is worth a try.
const MIN_PAUSE_SHARE: f64 = 0.9;
/// The weight of the latest request in that share.
const SHED_WEIGHT: f64 = 0.15;
/// The longest pause.
const MAX_PAUSE_MS: u64 = 2_000;
/// The latency that pauses are derived from until the server has answered.
const INITIAL_LATENCY_MS: f64 = 100.0;
/// The weight of the latest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the latency is not negative, and the cast saturates beyond any deadline"
)]
fn ceil_ms(latency_ms: f64) -> u64 {
    latency_ms.ceil() as u64
}
