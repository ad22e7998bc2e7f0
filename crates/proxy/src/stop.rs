//! When a stopping process must have answered its callers.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::Clock;

/// The deadline of a graceful stop, which bounds every wait of a request.
///
/// Clones share their state.
#[derive(Clone, Debug)]
pub struct Stop {
    clock: Clock,
    /// When requests must have arrived; `u64::MAX` while the process is not stopping.
    arrival_deadline_ms: Arc<AtomicU64>,
    /// When all callers must have been answered; `u64::MAX` while the process is not stopping.
    deadline_ms: Arc<AtomicU64>,
    begun: CancellationToken,
}

/// Why a wait ended without a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// Its own deadline passed.
    Elapsed,
    /// The process is stopping and no longer has the time for it.
    Stopping,
}

impl Stop {
    /// Creates the state of a process that is not stopping.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let deadline = || Arc::new(AtomicU64::new(u64::MAX));
        Self {
            clock,
            arrival_deadline_ms: deadline(),
            deadline_ms: deadline(),
            begun: CancellationToken::new(),
        }
    }

    /// Begins the stop: callers must be answered by a time of the [`Clock`].
    ///
    /// If a stop has begun before, the earlier deadline holds.
    pub fn begin(&self, deadline_ms: u64) {
        self.begin_with_arrivals(deadline_ms, deadline_ms);
    }

    /// Begins the stop: requests must have arrived, and callers must be answered, by these times.
    ///
    /// If a stop has begun before, the earlier deadlines hold.
    pub fn begin_with_arrivals(&self, arrival_deadline_ms: u64, deadline_ms: u64) {
        self.arrival_deadline_ms.fetch_min(arrival_deadline_ms, Ordering::Relaxed);
        self.deadline_ms.fetch_min(deadline_ms, Ordering::Relaxed);
        self.begun.cancel();
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.deadline_ms() != u64::MAX
    }

    /// Returns when callers must have been answered; `u64::MAX` while the process is not stopping.
    #[must_use]
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms.load(Ordering::Relaxed)
    }

    /// Returns when requests must have arrived; `u64::MAX` while the process is not stopping.
    #[must_use]
    pub fn arrival_deadline_ms(&self) -> u64 {
        self.arrival_deadline_ms.load(Ordering::Relaxed)
    }

    /// Waits until a stop begins.
    pub async fn begun(&self) {
        self.begun.cancelled().await;
    }

    /// Waits for a future until a deadline, or until `work_ms` before the deadline of a stop.
    ///
    /// `work_ms` is the time that is needed after the wait. A stop may begin during the wait.
    ///
    /// # Errors
    ///
    /// Fails when the wait ends before the future is ready.
    pub async fn bound<F: Future>(
        &self,
        deadline: Instant,
        work_ms: u64,
        future: F,
    ) -> Result<F::Output, WaitEnd> {
        self.bound_by(deadline, || self.deadline_ms().saturating_sub(work_ms), future).await
    }

    /// Waits for the rest of a request until a deadline, or until the stop takes no more requests.
    ///
    /// # Errors
    ///
    /// Fails when the wait ends before the future is ready.
    pub async fn bound_arrival<F: Future>(
        &self,
        deadline: Instant,
        future: F,
    ) -> Result<F::Output, WaitEnd> {
        self.bound_by(deadline, || self.arrival_deadline_ms(), future).await
    }

    /// Waits for a future until a deadline, or until a time that is known once a stop has begun.
    async fn bound_by<F: Future>(
        &self,
        deadline: Instant,
        stop_deadline_ms: impl Fn() -> u64,
        future: F,
    ) -> Result<F::Output, WaitEnd> {
        let mut future = pin!(future);
        if !self.has_begun() {
            tokio::select! {
                biased;
                result = timeout_at(deadline, future.as_mut()) => {
                    return result.map_err(|_elapsed| WaitEnd::Elapsed);
                }
                () = self.begun() => {}
            }
        }
        let stop_deadline = self.clock.to_instant(stop_deadline_ms());
        let end = if stop_deadline < deadline { WaitEnd::Stopping } else { WaitEnd::Elapsed };
        timeout_at(stop_deadline.min(deadline), future).await.map_err(|_elapsed| end)
    }
}
