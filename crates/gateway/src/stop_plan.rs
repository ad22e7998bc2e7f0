//! The times of a graceful stop.

/// When the steps of a graceful stop are due, by the clock of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When the process stops accepting connections and closes idle ones.
    pub close_at_ms: u64,
    /// When every request must have been answered.
    pub answer_deadline_ms: u64,
    /// When connections that are left are cut off.
    pub cut_at_ms: u64,
}

/// How long the platform may keep sending new connections to an instance that is not ready.
///
/// That is two readiness checks, a second apart, plus the time in transit of the last
/// connections.
const UNREADY_NOTICE_MS: u64 = 2_900;
/// The longest time between the answers' deadline and the end of the grace period.
const MAX_MARGIN_MS: u64 = 600;
/// The part of a short grace period that this time takes.
const MARGIN_DIVISOR: u64 = 10;

impl StopPlan {
    /// Plans a stop that begins now and may take `grace_ms`.
    ///
    /// New connections are accepted for as long as the platform may send them, also if there is
    /// little time left: a request that cannot be served in time is refused at once, which helps its
    /// caller more than a connection that is refused.
    #[must_use]
    pub fn new(now_ms: u64, grace_ms: u64) -> Self {
        let margin_ms = (grace_ms / MARGIN_DIVISOR).min(MAX_MARGIN_MS);
        let answer_ms = grace_ms - margin_ms;
        Self {
            close_at_ms: now_ms + UNREADY_NOTICE_MS.min(answer_ms - margin_ms),
            answer_deadline_ms: now_ms + answer_ms,
            cut_at_ms: now_ms + answer_ms + margin_ms / 2,
        }
    }
}
