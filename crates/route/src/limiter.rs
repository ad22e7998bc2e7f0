//! Admission of requests to one server, by priority and deadline.

use crate::Limit;

/// Limits the requests in flight at one server and queues the others.
///
/// `W` is the waker of a waiting request. The code that uses the limiter passes it in, and
/// gets it back when the request may be sent or is displaced.
#[derive(Debug)]
pub struct Limiter<W> {
    limit: Limit,
    in_flight: u32,
    /// The requests that wait, in the order of their tickets.
    waiting: Vec<Waiter<W>>,
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
    /// Whether requests that can still meet their latency target go before others.
    is_target_ordered: bool,
    /// Whether the last answer reported a long queue at the server, so that it does not raise the
    /// limit.
    has_long_queue: bool,
    /// Until when the server's own queue counts as long, as an answer reported it.
    long_queue_deadline_ms: u64,
    /// Until when a reported queue does not lower the limit again.
    report_deadline_ms: u64,
    /// When the server last reset the connection of a request sent after the reset before.
    last_reset_at_ms: Option<u64>,
}

#[derive(Debug)]
struct Waiter<W> {
    ticket: Ticket,
    deadline_ms: u64,
    target_deadline_ms: u64,
    waker: W,
}

/// A position in the queue, ordered by priority, then by arrival.
///
/// Once [`Limiter::order_by_target`] was called, those of a priority are ordered by whether the
/// latency target can be met, then by its deadline, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: u32,
    /// Whether the request can no longer meet its latency target.
    is_late: bool,
    /// When the answer is due to meet the latency target; 0 in a queue ordered by arrival.
    target_deadline_ms: u64,
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
    /// Whether its caller has more than its fair share of the requests that are not served at
    /// once; see [`FairShare`](crate::FairShare).
    pub is_over_share: bool,
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
            waiting: Vec::new(),
            latency_ms: None,
            next_number: 0,
            max_waiting,
            queue_started_at_ms: None,
            shed_share: 0.0,
            pause_deadline_ms: 0,
            is_target_ordered: false,
            has_long_queue: false,
            long_queue_deadline_ms: 0,
            report_deadline_ms: 0,
            last_reset_at_ms: None,
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

    /// Orders the requests of a priority by whether and when they have to meet their latency
    /// target from now on, and refuses callers beyond their fair share while a queue is sustained.
    ///
    /// Requests that already wait keep their places before those that can still meet theirs.
    pub fn order_by_target(&mut self) {
        self.is_target_ordered = true;
    }

    /// Returns whether [`Limiter::order_by_target`] was called.
    #[must_use]
    pub fn is_target_ordered(&self) -> bool {
        self.is_target_ordered
    }

    /// Admits a request, queues it together with its waker, or refuses it.
    ///
    /// During a pause all requests are refused. Otherwise, a request is refused at once if its answer is expected after its deadline, if the queue
    /// of its priority is full, or if the whole queue is full of requests that are not of a
    /// lower priority. Once a queue has lasted for `SUSTAINED_QUEUE_MS`, or while the server reports
    /// a long one, the server counts as overloaded. Then requests that would miss their latency target are refused too, so that
    /// the others meet theirs, and in a queue ordered by target those of callers that are over
    /// their fair share. In such a queue, a late request makes room for one that is not.
    pub fn admit(&mut self, now_ms: u64, arrival: Arrival, waker: W) -> Admission<W> {
        let Arrival { deadline_ms, target_deadline_ms, priority, .. } = arrival;
        if now_ms < self.pause_deadline_ms {
            return Admission::Paused { remaining_ms: self.pause_deadline_ms - now_ms };
        }
        if self.in_flight < self.limit.get() && self.waiting.is_empty() {
            self.in_flight += 1;
            return Admission::Admit;
        }
        self.move_late(now_ms);
        let ticket = self.next_ticket(now_ms, &arrival);
        let (ahead, same_priority) = self.count_waiting(ticket);
        let is_full = same_priority >= usize::try_from(arrival.max_waiting).unwrap_or(usize::MAX);
        let started_at_ms = *self.queue_started_at_ms.get_or_insert(now_ms);
        let is_sustained =
            now_ms >= started_at_ms + SUSTAINED_QUEUE_MS || now_ms < self.long_queue_deadline_ms;
        let due_at_ms =
            if is_sustained { target_deadline_ms.min(deadline_ms) } else { deadline_ms };
        let latency_ms = self.expected_latency_ms(arrival.typical_latency_ms, ahead);
        let expected_answer_at_ms = now_ms + latency_ms;
        let refusal =
            Admission::Refuse { late_ms: expected_answer_at_ms.saturating_sub(due_at_ms) };
        let is_over_share = self.is_target_ordered && is_sustained && arrival.is_over_share;
        if is_over_share || expected_answer_at_ms > due_at_ms {
            return refusal;
        }
        let waiter = Waiter { ticket, deadline_ms, target_deadline_ms, waker };
        if !is_full && self.waiting.len() < self.max_waiting {
            self.insert(waiter);
            return Admission::Wait(ticket);
        }
        let end = if is_full { Ticket::last_of(priority) } else { Ticket::last_of(u32::MAX) };
        let last = self.position(end).checked_sub(1);
        match last.filter(|last| self.waiting[*last].ticket.gives_way_to(ticket)) {
            Some(last) => {
                let displaced = self.waiting.remove(last);
                self.insert(waiter);
                Admission::WaitDisplacing(ticket, displaced.waker)
            }
            None => refusal,
        }
    }

    /// Returns how many requests wait before a ticket.
    fn position(&self, ticket: Ticket) -> usize {
        self.waiting.partition_point(|waiter| waiter.ticket < ticket)
    }

    fn insert(&mut self, waiter: Waiter<W>) {
        self.waiting.insert(self.position(waiter.ticket), waiter);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiter<W>> {
        let position = self.position(ticket);
        let is_waiting = self.waiting.get(position).is_some_and(|it| it.ticket == ticket);
        is_waiting.then(|| self.waiting.remove(position))
    }

    fn next_ticket(&mut self, now_ms: u64, arrival: &Arrival) -> Ticket {
        let Arrival { priority, target_deadline_ms, .. } = *arrival;
        let number = self.next_number;
        self.next_number += 1;
        if !self.is_target_ordered {
            return Ticket { priority, is_late: false, target_deadline_ms: 0, number };
        }
        let latency_ms = ceil_ms(self.latency_ms.unwrap_or(f64::from(arrival.typical_latency_ms)));
        let is_late = now_ms + latency_ms > target_deadline_ms;
        Ticket { priority, is_late, target_deadline_ms, number }
    }

    /// Returns how many requests wait before a ticket, and how many wait with its priority.
    fn count_waiting(&self, ticket: Ticket) -> (usize, usize) {
        let start = self.position(Ticket::first_of(ticket.priority));
        let end = self.position(Ticket::last_of(ticket.priority));
        (self.position(ticket), end - start)
    }

    /// Moves the requests that can no longer meet their latency target behind the others of their
    /// priority.
    ///
    /// Only the first ones of a priority are examined, as their targets are due first.
    fn move_late(&mut self, now_ms: u64) {
        if !self.is_target_ordered {
            return;
        }
        let answered_at_ms = now_ms + ceil_ms(self.latency_ms.unwrap_or_default());
        let mut start = Ticket::first_of(0);
        loop {
            let position = self.position(start);
            let Some(Waiter { ticket, target_deadline_ms, .. }) = self.waiting.get(position) else {
                return;
            };
            if ticket.is_late || answered_at_ms <= *target_deadline_ms {
                let Some(next) = ticket.priority.checked_add(1) else { return };
                start = Ticket::first_of(next);
            } else {
                let waiter = self.waiting.remove(position);
                self.insert(Waiter { ticket: waiter.ticket.late(), ..waiter });
            }
        }
    }

    /// Drops the requests that can no longer be answered before their deadline, even if all before
    /// them run as expected; the end of their wakers ends their waits.
    fn drop_expired(&mut self, now_ms: u64) {
        let Some(latency_ms) = self.latency_ms.filter(|_| self.is_target_ordered) else { return };
        let limit = usize::try_from(self.limit.get()).unwrap_or(usize::MAX).max(1);
        let mut ahead: usize = 0;
        self.waiting.retain(|waiter| {
            let rounds = f64::from(u32::try_from(ahead / limit).unwrap_or(u32::MAX));
            let is_kept = now_ms + ceil_ms((rounds + 1.0) * latency_ms) < waiter.deadline_ms;
            ahead += usize::from(is_kept);
            is_kept
        });
    }

    /// Returns until when a request that waits can still be answered before its deadline.
    #[must_use]
    pub fn wait_deadline_ms(&self, deadline_ms: u64) -> u64 {
        match self.latency_ms {
            Some(latency_ms) if self.is_target_ordered => {
                deadline_ms.saturating_sub(ceil_ms(latency_ms))
            }
            _ => deadline_ms,
        }
    }

    /// Returns when a request that arrives now will have been answered, even if it takes longer than
    /// the average one; see [`slow_work_ms`].
    #[must_use]
    pub fn arrival_end_ms(&self, now_ms: u64, arrival: &Arrival) -> u64 {
        let has_room = self.in_flight < self.limit.get() && self.waiting.is_empty();
        let ahead = self.position(Ticket::last_of(arrival.priority));
        let rounds = if has_room { 0.0 } else { self.rounds(ahead) };
        now_ms + self.slow_latency_ms(rounds, arrival.typical_latency_ms)
    }

    /// Returns the same for a request that waits.
    #[must_use]
    pub fn waiter_end_ms(&self, now_ms: u64, ticket: Ticket, typical_latency_ms: u32) -> u64 {
        let is_it = |waiter: &Waiter<W>| [ticket, ticket.late()].contains(&waiter.ticket);
        let ahead = self.waiting.iter().position(is_it).unwrap_or(0);
        now_ms + self.slow_latency_ms(self.rounds(ahead), typical_latency_ms)
    }

    /// Returns how long the requests that wait now keep the server's slots busy.
    #[must_use]
    pub fn queue_ms(&self, typical_latency_ms: u32) -> u64 {
        let waiting = f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX));
        let latency_ms = self.latency_ms.unwrap_or(f64::from(typical_latency_ms));
        ceil_ms(waiting / f64::from(self.limit.get()) * latency_ms)
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
        self.remove(ticket).or_else(|| self.remove(ticket.late())).is_some()
    }

    /// Handles an answer of the server.
    pub fn on_answer(&mut self, latency_ms: f64) {
        if !std::mem::take(&mut self.has_long_queue) {
            self.limit.on_answer(self.in_flight);
        }
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

    /// Handles a request whose connection the server reset, `sent_at_ms` being when it was sent.
    ///
    /// Requests that were in flight at the last reset count as part of it: a network fault also
    /// resets all connections at once. A server that resets others within `RESET_MEMORY_MS` turns
    /// away what is beyond its own queue.
    pub fn on_reset(&mut self, now_ms: u64, sent_at_ms: u64) {
        if let Some(last_at_ms) = self.last_reset_at_ms {
            if sent_at_ms <= last_at_ms {
                return;
            }
            if now_ms <= last_at_ms + RESET_MEMORY_MS {
                self.order_by_target();
            }
        }
        self.last_reset_at_ms = Some(now_ms);
        self.on_shed(now_ms);
    }

    /// Handles the length of the server's own queue, as its latest answer reported it.
    ///
    /// While more requests wait there than the server has slots, the limit does not rise, and
    /// falls once in the time that an answer takes: the daemons' limits together exceed the slots.
    /// The server counts as overloaded then, whatever waits here: the limits of many daemons may
    /// be too low for a queue of their own to last.
    pub fn on_reported_queue(&mut self, now_ms: u64, waiting: u32, slots: u32) {
        self.order_by_target();
        self.has_long_queue = waiting > slots;
        let for_ms = if self.has_long_queue { REPORT_VALIDITY_MS } else { 0 };
        self.long_queue_deadline_ms = now_ms + for_ms;
        if self.has_long_queue && now_ms >= self.report_deadline_ms {
            let latency_ms = self.latency_ms.unwrap_or(INITIAL_LATENCY_MS);
            self.report_deadline_ms = now_ms + ceil_ms(latency_ms);
            self.limit.on_overload();
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
        std::mem::take(&mut self.waiting).into_iter().map(|waiter| waiter.waker).collect()
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
        let latency_ms = self.latency_ms.unwrap_or(f64::from(typical_latency_ms));
        ceil_ms((self.rounds(ahead) + 1.0) * latency_ms)
    }

    /// Returns the latency of a request that takes longer than usual, after a wait for a number of
    /// rounds of other requests.
    fn slow_latency_ms(&self, rounds: f64, typical_latency_ms: u32) -> u64 {
        let latency_ms = self.latency_ms.unwrap_or(f64::from(typical_latency_ms));
        ceil_ms((rounds + f64::from(SLOW_WORK_FACTOR)) * latency_ms)
    }

    /// Returns how many average latencies a request waits that has `ahead` others before it.
    fn rounds(&self, ahead: usize) -> f64 {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        (ahead + 1.0) / f64::from(self.limit.get())
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
        self.drop_expired(now_ms);
        self.move_late(now_ms);
        while self.in_flight < self.limit.get() {
            if self.waiting.is_empty() {
                break;
            }
            let waiter = self.waiting.remove(0);
            let left_ms = waiter.deadline_ms.saturating_sub(now_ms);
            if left_ms > ceil_ms(self.latency_ms.unwrap_or_default()) {
                self.in_flight += 1;
                admitted.push(waiter.waker);
            }
        }
        admitted
    }
}

impl Ticket {
    fn first_of(priority: u32) -> Self {
        Self { priority, is_late: false, target_deadline_ms: 0, number: 0 }
    }

    fn last_of(priority: u32) -> Self {
        Self { priority, is_late: true, target_deadline_ms: u64::MAX, number: u64::MAX }
    }

    fn late(self) -> Self {
        Self { is_late: true, ..self }
    }

    /// Returns whether a waiting request is displaced by another if there is room for one only.
    fn gives_way_to(self, other: Self) -> bool {
        (self.priority, self.is_late) > (other.priority, other.is_late)
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
/// How long a reported queue counts, unless another report follows.
const REPORT_VALIDITY_MS: u64 = 1_000;
/// The time between two resets up to which the server counts as one that resets when full.
const RESET_MEMORY_MS: u64 = 5_000;
/// The multiple of the average latency that a request may take if it has to end in time.
///
/// An answer that is cut off leaves its caller without an outcome; a refusal in time does not.
const SLOW_WORK_FACTOR: u32 = 2;
/// The weight of the latest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Returns how long a request may take if it has to end in time, from the average latency.
#[must_use]
pub fn slow_work_ms(average_latency_ms: u64) -> u64 {
    average_latency_ms.saturating_mul(u64::from(SLOW_WORK_FACTOR))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the latency is not negative, and the cast saturates beyond any deadline"
)]
fn ceil_ms(latency_ms: f64) -> u64 {
    latency_ms.ceil() as u64
}
