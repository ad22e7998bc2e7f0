//! The attempts at one request so far.

use registry::Incarnation;
use route::{Attempts, Failure};

use crate::request::sent_to::SentTo;

/// The attempts at one request so far.
#[derive(Clone, Debug)]
pub(crate) struct Tries {
    pub(crate) attempts: Attempts,
    /// The servers that are not tried again if the request may go to others.
    pub(crate) tried: Vec<Incarnation>,
    /// The last server that the request was sent to.
    pub(crate) last_sent: Option<SentTo>,
}

impl Tries {
    /// Creates the state of a request before its first attempt here.
    pub(crate) fn new(attempts: Attempts, tried: Vec<Incarnation>) -> Self {
        Self { attempts, tried, last_sent: None }
    }

    /// Notes that an attempt at a server failed.
    pub(crate) fn on_failure(&mut self, server: &Incarnation, failure: Failure) {
        self.tried.push(server.clone());
        if failure != Failure::NotSent {
            self.last_sent = Some(SentTo { server: server.clone(), failure: Some(failure) });
        }
    }
}
