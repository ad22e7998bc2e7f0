//! The shell of the request path: HTTP on both sides.
//!
//! [`Traffic`] holds what the request path reads: the [`Services`] in force, as one
//! immutable snapshot that the control thread replaces. [`serve`] accepts callers'
//! connections and forwards their requests by the decisions of the `route` crate.
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

mod answer;
mod body;
mod clock;
mod crashes;
mod forward;
mod head;
mod outcome;
mod raw;
mod serve;
mod traffic;
mod upstream;

pub use answer::AnswerBody;
pub use body::{BodyFault, read_body};
pub use clock::Clock;
pub use crashes::Crashes;
pub use head::{is_sound, strip, strip_request};
pub use outcome::to_labels;
pub use raw::{RawBytes, Watched};
pub use serve::serve;
pub use traffic::{Services, Traffic, TrafficLimits};
pub use upstream::{Link, Permit, Refused, Upstream};
