//! Counters, metrics and logs.
//!
//! Frequent events are counted: a daemon shares one [`Counters`], and each [`Counter`] is one
//! kind of event. [`Metrics`] exports the counters and a latency histogram with [`Labels`] in
//! the Prometheus text format. Logs are for changes of state: [`init_logs`] sends log lines
//! through a bounded [`LogQueue`] to standard output.
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
