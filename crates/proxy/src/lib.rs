//! The HTTP side of the request path: from callers' connections to those of servers.
//!
//! The `route` crate makes the decisions; this crate reads, sends and waits.
//!
//! - [`serve`] accepts callers' connections and forwards their requests.
//! - [`Traffic`] is the state that the request path shares with the control thread. The
//!   control thread replaces the [`Services`] in force, an immutable snapshot.
//!   [`TrafficLimits`] bound requests and connections.
//! - An [`Upstream`] is the state of one server. [`Upstream::acquire`] admits a request and
//!   returns a [`Permit`]; [`Upstream::connect`] returns a [`Link`], a reused or new
//!   connection to send it on.
//! - A [`Stop`] bounds the waits of requests while the process stops.
//! - A [`SharedCrashTracker`] tells which requests crash servers and are therefore refused.
//! - [`has_unambiguous_framing`], [`ScannedStream`] and [`FramingLog`] find requests whose end
//!   is ambiguous; these are refused. Answers for which [`has_unambiguous_end`] is false count as
//!   broken.
//! - A [`CallerStream`] records what is read from a caller's connection and written to it, as
//!   [`StreamProgress`].
//! - An [`Activity`] tells when a caller's connection can be closed without losing a request, and
//!   [`accept_queued`] closes a listener without losing a connection.
//! - A [`CallerBody`] keeps what a refusal leaves unread, which [`Unread`] discards so that the
//!   caller gets the refusal.
//! - A [`BufferBudget`] bounds the memory that the bodies of all requests take together; a
//!   [`BodyBuffer`] holds one of them.
//! - [`strip_headers`], [`strip_request_headers`] and [`read_body`] prepare what is forwarded,
//!   [`retry_after_ms`] reads how long a server asks to be left alone, and [`to_labels`] returns the labels under which a result is counted.
//!
//! Daemons whose servers register themselves have their own request path, which uses parts of
//! this crate. Points in time are milliseconds of the [`Clock`], except in the crash counts
//! that daemons exchange.
//!
//! ```
//! use std::sync::Arc;
//! use proxy::{Clock, Services, Traffic};
//! use telemetry::{Counters, Metrics};
//!
//! let counters = Arc::new(Counters::default());
//! let metrics = Metrics::new(&counters)?;
//! let traffic = Traffic::new(Clock::start(), counters, metrics, Default::default());
//! traffic.replace(Services::default());
//! assert!(traffic.services().is_empty());
//! # Ok::<(), error_stack::Report<telemetry::Error>>(())
//! ```

mod accept;
mod activity;
mod answer;
mod body;
mod buffer_budget;
mod caller_body;
mod caller_stream;
mod clock;
mod forward;
mod framing;
mod head;
mod outcome;
mod retry_after;
mod serve;
mod shared_crash_tracker;
mod stop;
mod traffic;
mod upstream;

pub use accept::accept_queued;
pub use activity::{Activity, Close, CloseCause, RequestGuard, TrackedBody};
pub use answer::AnswerBody;
pub use body::{BodyError, read_body};
pub use buffer_budget::{BodyBuffer, BodyKind, BufferBudget};
pub use caller_body::{BodyRest, CallerBody, Unread};
pub use caller_stream::{CallerStream, StreamProgress};
pub use clock::Clock;
pub use framing::{FramingLog, ScannedStream};
pub use head::{
    has_unambiguous_end, has_unambiguous_framing, strip_headers, strip_request_headers,
};
pub use outcome::to_labels;
pub use retry_after::retry_after_ms;
pub use serve::serve;
pub use shared_crash_tracker::SharedCrashTracker;
pub use stop::{Stop, WaitEnd};
pub use traffic::{Services, Traffic, TrafficLimits};
pub use upstream::{AdmissionError, Link, Permit, Upstream};
