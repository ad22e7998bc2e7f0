//! The orders that a stand-in server gets on one connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::Copies;

/// The answers on one connection.
///
/// A server answers the orders of a connection one after the other, so nothing that is due follows
/// an order that was left unanswered.
#[derive(Debug)]
pub struct OrderConnection<A>(Mutex<State<A>>);

#[derive(Debug)]
struct State<A> {
    /// The answer to the last order that was answered.
    last_answer: Option<A>,
    /// What follows an order that was left unanswered; no later request is served.
    after_unanswered: Option<Copies>,
}

impl<A> Default for OrderConnection<A> {
    fn default() -> Self {
        Self(Mutex::new(State { last_answer: None, after_unanswered: None }))
    }
}

impl<A: Clone> OrderConnection<A> {
    /// Returns what is written in place of an answer if an earlier order was left unanswered: a copy
    /// of the last answer, or nothing ever; `None` if every order was answered.
    pub async fn after_unanswered(&self) -> Option<A> {
        let copies = self.lock().after_unanswered?;
        Some(self.copy_answer(copies == Copies::Many).await)
    }

    /// Leaves an order unanswered: returns a copy of the earlier answer, or never.
    pub async fn leave_unanswered(&self, copies: Copies) -> A {
        self.lock().after_unanswered = Some(copies);
        self.copy_answer(copies != Copies::None).await
    }

    /// Keeps an answer to an order and returns it.
    pub fn record(&self, answer: A) -> A {
        self.lock().last_answer = Some(answer.clone());
        answer
    }

    /// Returns a copy of the earlier answer if there is one and `has_copy` is set, or never.
    async fn copy_answer(&self, has_copy: bool) -> A {
        let copy = self.lock().last_answer.clone().filter(|_| has_copy);
        match copy {
            Some(copy) => copy,
            None => std::future::pending().await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<A>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
