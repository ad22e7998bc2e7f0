//! Leases: promises between instances and grants to servers.
//!
//! A [`Voter`] promises one candidate at a time that it will help no other for a
//! while. A candidate that holds promises from a majority has [`Authority`]. The
//! controller of a service sends [`Order`]s to servers; a [`Holder`] is the
//! server's side, which keeps shards until a deadline on its own clock. A
//! [`GrantBound`] is the controller's side: when such a deadline is over for sure.
//!
//! Nothing in here reads a clock. Each process passes its own monotonic time in
//! milliseconds, and clocks are assumed to run at rates at most
//! [`CLOCK_DRIFT_PERCENT`] apart.
//!
//! ```
//! use lease::{GrantBound, slower_ms};
//!
//! let mut bound = GrantBound::default();
//! bound.observe_clock(5_000, 100);
//! let deadline_ms = bound.extend(1_500).expect("a clock reading is there");
//! assert_eq!(deadline_ms, 6_500);
//! assert!(bound.is_over(100 + slower_ms(1_500)));
//! ```

mod authority;
mod drift;
mod epoch;
mod grant;
mod holder;
mod order;
mod voter;

pub use authority::{Authority, Quorum};
pub use drift::{CLOCK_DRIFT_PERCENT, faster_ms, slower_ms};
pub use epoch::{Epoch, LeaderEpoch, ShardId, Term};
pub use grant::GrantBound;
pub use holder::{Admission, Holder};
pub use order::{Held, Order, Report, ShardEpoch, Verdict};
pub use voter::{Vote, Voter};
