//! Decisions on the path of a request.
//!
//! A [`Service`] is what a daemon routes one service by: the document, the
//! controller's [`Table`] and the counters that requests share. [`Service::decide`]
//! says where a request goes. A [`Gate`] admits requests to one server, by priority
//! and deadline. [`Attempts`] says whether a failed attempt may be repeated, and what
//! the caller is told when it may not.
//!
//! ```
//! use route::{Attempts, Failure, Next};
//!
//! let mut attempts = Attempts::new(false, 1_000);
//! // A request that may have run is not sent again unless it is idempotent.
//! assert_eq!(attempts.next(10, Failure::Broken), Next::GiveUp);
//! ```

mod attempts;
mod budget;
mod gate;
mod limit;
mod pick;
mod refusal;
mod service;
mod suspects;
mod table;

pub use attempts::{Attempts, Failure, Next};
pub use budget::Budget;
pub use gate::{Admission, Arrival, Gate, Ticket};
pub use limit::Limit;
pub use pick::{Candidate, Distance, pick};
pub use refusal::{Outcome, Reason, Refusal};
pub use service::{Decision, InFlight, ServerState, Service, Target};
pub use suspects::{Fingerprint, MOST_CRASHES, Suspect, Suspects};
pub use table::{Group, Route, Table};
