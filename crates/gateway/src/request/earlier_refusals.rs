//! Which servers have refused earlier attempts of a request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use registry::Incarnation;

/// The servers that refused earlier attempts of a request.
///
/// All attempts have the id of the request, so the refusal of an earlier attempt that a faulty
/// server writes once more looks like that of a later one. A server can write it only on
/// connections that were open before the later attempt.
#[derive(Debug, Default)]
pub(crate) struct EarlierRefusals {
    // Locked for a few instructions only, and each request has a lock of its own.
    servers: Mutex<Vec<Incarnation>>,
    /// Whether servers that are not known here may have refused the request.
    is_incomplete: AtomicBool,
}

impl EarlierRefusals {
    /// Adds a server that refused the request.
    pub(crate) fn add(&self, server: &Incarnation) {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).push(server.clone());
    }

    /// Notes that servers that are not known here may have refused the request.
    pub(crate) fn add_unknown(&self) {
        self.is_incomplete.store(true, Ordering::Relaxed);
    }

    /// Returns whether no server has refused the request.
    pub(crate) fn is_empty(&self) -> bool {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.is_empty() && !self.is_incomplete.load(Ordering::Relaxed)
    }

    /// Returns whether this server may have refused the request.
    pub(crate) fn may_include(&self, server: &Incarnation) -> bool {
        let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        self.is_incomplete.load(Ordering::Relaxed) || servers.contains(server)
    }
}
