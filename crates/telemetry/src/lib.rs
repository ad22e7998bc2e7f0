//! Counters, metrics and logs.
//!
//! Counters come first: everything that happens often is a [`Counter`]. A log line is
//! written only for a change of state. [`Metrics`] shows the counters in the
//! Prometheus text format.
//!
//! ```
//! use std::sync::Arc;
//! use telemetry::{Counter, Counters, Metrics};
//!
//! let counters = Arc::new(Counters::default());
//! let metrics = Metrics::new(&counters)?;
//! counters.add(Counter::Requests, 2);
//! assert!(metrics.to_text().contains("verbena_requests_total"));
//! # Ok::<(), error_stack::Report<telemetry::Error>>(())
//! ```

mod counter;
mod error;
mod log;
mod metrics;

pub use counter::{Counter, Counters};
pub use error::{Error, Result};
pub use log::{LogFormat, LogQueue, init_logs};
pub use metrics::{Labels, Metrics};
