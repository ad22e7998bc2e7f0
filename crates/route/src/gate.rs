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
    waiting: BTreeMap<Ticket, W>,
    next_number: u64,
    most_waiting: usize,
}

/// A place in the queue: the priority first, then the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: u32,
    number: u64,
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
    /// There is no room.
    Refuse,
}

impl<W> Gate<W> {
    /// Creates the gate of one server.
    #[must_use]
    pub fn new(limit: Limit, most_waiting: usize) -> Self {
        Self { limit, in_flight: 0, waiting: BTreeMap::new(), next_number: 0, most_waiting }
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

    /// Changes the number of slots of the server.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots);
    }

    /// Lets a request in, makes it wait, or refuses it; `waker` wakes it later.
    pub fn arrive(&mut self, priority: u32, waker: W) -> Admission<W> {
        if self.in_flight < self.limit.get() && self.waiting.is_empty() {
            self.in_flight += 1;
            return Admission::Enter;
        }
        let ticket = Ticket { priority, number: self.next_number };
        self.next_number += 1;
        if self.waiting.len() < self.most_waiting {
            self.waiting.insert(ticket, waker);
            return Admission::Wait(ticket);
        }
        match self.waiting.last_entry() {
            Some(last) if last.key().priority > priority => {
                let displaced = last.remove();
                self.waiting.insert(ticket, waker);
                Admission::WaitInstead(ticket, displaced)
            }
            _ => Admission::Refuse,
        }
    }

    /// Notes that a request has left; returns the wakers of those that may enter.
    ///
    /// Each of them counts as in flight from now on.
    pub fn leave(&mut self) -> Vec<W> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.admit_waiting()
    }

    /// Gives up a place in the queue; returns whether the request was still waiting.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Notes that the server answered.
    pub fn on_answer(&mut self) {
        self.limit.on_answer(self.in_flight);
    }

    /// Notes that the server shed a request or did not answer in time.
    pub fn on_overload(&mut self) {
        self.limit.on_overload();
    }

    fn admit_waiting(&mut self) -> Vec<W> {
        let mut admitted = Vec::new();
        while self.in_flight < self.limit.get() {
            let Some((_, waker)) = self.waiting.pop_first() else {
                break;
            };
            self.in_flight += 1;
            admitted.push(waker);
        }
        admitted
    }
}
