//! Reads daemons' logs: the way of one request, and what a daemon believed at a time.
//!
//! Files are read line by line and once; what is kept is bounded by what daemons believe,
//! not by the length of the files.
//!
//! ```
//! use trace::Line;
//!
//! let text = r#"{"level":"info","timestamp":7,"payload":"document in force","kv":{"version":3}}"#;
//! let line = Line::from_text(text).unwrap();
//! assert_eq!((line.time_ms, line.what.as_str()), (7, "document in force"));
//! // Other programs write to the same place at times.
//! assert!(Line::from_text("Segmentation fault").is_none());
//! ```

mod belief;
mod line;
mod read;

pub use belief::Belief;
pub use line::Line;
pub use read::{Found, believe, ranges_of, trace};
