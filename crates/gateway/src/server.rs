//! One server as requests meet it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use document::{Server as Description, ServerState};
use proxy::{Clock, Upstream};
use registry::Registration;
use route::ServerState as _;

/// A server with its connections and what its answers showed.
#[derive(Debug)]
pub struct Server {
    /// What it said of itself when it was met first.
    pub registration: Arc<Registration>,
    /// Connections and admission.
    pub upstream: Arc<Upstream>,
    clock: Clock,
    /// How long it takes against an ordinary server, in thousandths.
    slowness_milli: AtomicU32,
    /// From when on it gets no more work; the end of time for one that stays.
    closes_at_ms: AtomicU64,
}

/// How much the latest answer counts, in parts.
const WEIGHT: f32 = 0.08;
/// A single answer counts as at most this much slower.
const MOST_SLOWNESS: f32 = 8.0;
/// No server counts as faster than this: small answers say little.
const LEAST_SLOWNESS: f32 = 0.3;

impl Server {
    /// Creates the state of a server that some daemons share.
    #[must_use]
    pub fn new(
        registration: &Arc<Registration>,
        max_connections: u32,
        daemons: u32,
        clock: Clock,
    ) -> Self {
        let description = Description {
            name: registration.incarnation.server.clone(),
            address: registration.address,
            data_centre: registration.data_centre.clone(),
            slots: registration.slots,
            max_connections,
            key_groups: Vec::new(),
            state: ServerState::Serving,
            checks_fence: true,
        };
        Self {
            registration: Arc::clone(registration),
            upstream: Arc::new(Upstream::new(description, daemons, clock)),
            clock,
            slowness_milli: AtomicU32::new(1_000),
            closes_at_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Returns how long it takes against an ordinary server.
    #[must_use]
    pub fn slowness(&self) -> f32 {
        to_f32(self.slowness_milli()) / 1_000.0
    }

    /// Returns the same in thousandths.
    #[must_use]
    pub fn slowness_milli(&self) -> u32 {
        self.slowness_milli.load(Ordering::Relaxed)
    }

    /// Notes an answer that took some times as long as the route's mean.
    pub fn note_slowness(&self, slowness: f32) {
        let known = self.slowness();
        let latest = slowness.clamp(0.0, MOST_SLOWNESS);
        let mean = (known + WEIGHT * (latest - known)).max(LEAST_SLOWNESS);
        self.slowness_milli.store(to_milli(mean), Ordering::Relaxed);
    }

    /// Returns whether it may get a request now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.clock.now_ms() < self.closes_at_ms.load(Ordering::Relaxed)
    }

    /// Returns whether it failed lately.
    #[must_use]
    pub fn is_avoided(&self) -> bool {
        self.upstream.is_avoided(self.clock.now_ms())
    }

    /// Has it get no more work from some time on; an earlier end stays.
    pub fn close_in(&self, delay_ms: u64) {
        let at_ms = self.clock.now_ms() + delay_ms;
        self.closes_at_ms.fetch_min(at_ms, Ordering::Relaxed);
    }

    /// Takes an end back: the server is listed as ready again.
    pub fn reopen(&self) {
        self.closes_at_ms.store(u64::MAX, Ordering::Relaxed);
    }

    /// Returns how many requests this daemon has there, waiting ones included.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        let (in_flight, waiting, _) = self.upstream.occupancy();
        in_flight + u32::try_from(waiting).unwrap_or(u32::MAX)
    }
}

fn to_f32(milli: u32) -> f32 {
    f32::from(u16::try_from(milli).unwrap_or(u16::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "slowness is from 0 to 8"
)]
fn to_milli(slowness: f32) -> u32 {
    (slowness * 1_000.0) as u32
}
