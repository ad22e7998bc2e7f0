//! Reads the log files of daemons that run the `gateway` crate.
//!
//! - [`Line`] is one parsed log line.
//! - [`DaemonState`] is the state of one daemon, rebuilt by applying its lines in order.
//! - [`request_lines`] returns the lines about one request, [`range_lines`] those about the
//!   range of one key, and [`state_at`] returns the state of a daemon at a given time.
//!
//! Each function reads its file once, line by line. Memory use depends on the size of the
//! daemon's state and on the number of lines returned, not on the length of the file.
//!
//! ```
//! use trace::Line;
//!
//! let text = r#"{"level":"info","timestamp":7,"payload":"document in force","kv":{"version":3}}"#;
//! let line = Line::parse(text).unwrap();
//! assert_eq!((line.time_ms, line.message.as_str()), (7, "document in force"));
//! // Other programs may write to the same file.
//! assert!(Line::parse("Segmentation fault").is_none());
//! ```

mod line;
mod read;
mod state;

pub use line::Line;
pub use read::{RequestLine, range_lines, request_lines, state_at};
pub use state::DaemonState;
