//! Routing decisions: where a request goes, when it may be sent and whether it is retried.
//!
//! The crate decides only; the code that uses it opens connections, sends requests and reads
//! the clock. All times are milliseconds of the daemon's monotonic clock. A request passes
//! these steps:
//!
//! 1. **Server.** A [`Service`] is a snapshot of what a daemon needs to route one service: its
//!    document, the controller's [`Table`] and the counters that requests share ([`InFlight`]).
//!    [`Service::decide`] selects the server. In fleets whose servers register themselves,
//!    [`pick`] selects one of the [`Candidate`]s of a pool instead. A [`TrialDraw`] sends single
//!    requests to those whose speed is not known.
//! 2. **Admission.** A [`Limiter`] admits requests to one server by priority and deadline. Its
//!    [`Limit`] adapts to how many requests the server can take from this daemon.
//! 3. **Retry.** [`Attempts`] decides after a [`Failure`] whether the request is sent again.
//!    A [`Budget`] bounds the retries of a service.
//! 4. **Refusal.** A [`Refusal`] tells the caller why no server answered and whether the
//!    request may have run.
//!
//! A [`FairShare`] finds the callers that repeat refused requests at once, so that they are refused
//! before others.
//!
//! A [`CrashTracker`] counts the crashes that each request caused, so that daemons refuse the
//! requests that crash servers.
//!
//! ```
//! use route::{Attempts, Failure, Next};
//!
//! let mut attempts = Attempts::new(false, 1_000);
//! // A request that may have run is not sent again unless it is idempotent.
//! assert_eq!(attempts.on_failure(10, Failure::Broken), Next::GiveUp);
//! ```

mod attempts;
mod budget;
mod cold;
mod crash_tracker;
mod failure_share;
mod fair_share;
mod limit;
mod limiter;
mod order;
mod pace;
mod pick;
mod rate;
mod refusal;
mod retry_delay;
mod server_load;
mod service;
mod subset;
mod table;
mod trial;

pub use attempts::{Attempts, Failure, Next};
pub use budget::Budget;
pub use cold::{ColdLimit, ColdTime, Share, SharedTurns, Warmth};
pub use crash_tracker::{CRASH_RETENTION_MS, CrashCount, CrashTracker, Fingerprint, MAX_CRASHES};
pub use failure_share::{Exclusions, FailureShare};
pub use fair_share::{Caller, FairShare};
pub use limit::Limit;
pub use limiter::{Admission, Arrival, Limiter, Ticket, slow_work_ms};
pub use order::move_avoided_last;
pub use pace::{Pace, PaceState};
pub use pick::{Candidate, Choice, RemotePenalty, pick};
pub use rate::{Rate, RateLimiter, Turn};
pub use refusal::{Outcome, Reason, Refusal};
pub use retry_delay::{MAX_BUSY_RETRY_AFTER_MS, MIN_BUSY_RETRY_AFTER_MS, busy_retry_after_ms};
pub use server_load::{ExpectedLoad, LoadHistory, ServerLoad};
pub use service::{Decision, InFlight, ServerState, Service, Target};
pub use subset::preferred;
pub use table::{Group, Route, Table};
pub use trial::{Familiarity, Trial, TrialDraw};
