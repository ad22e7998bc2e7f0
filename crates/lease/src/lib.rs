//! Leases: the promises that elect a controller and the grants that it gives to servers.
//!
//! A service has one controller at a time. It is elected among the instances and decides
//! which server owns which shard. The crate implements both sides of two protocols:
//!
//! 1. **Election.** A [`Voter`] promises one candidate at a time that it supports no other
//!    until the promise expires. [`Authority`] is the candidate's side: it may act as the
//!    controller while it holds promises from a majority of the [`Quorum`]. [`Term`]s order
//!    the controllers of a service, and a [`LeaderEpoch`] identifies one of them.
//! 2. **Grants.** The controller sends [`Order`]s to servers. A [`GrantTable`] is the
//!    server's side: it keeps each granted shard until a deadline on the server's own clock
//!    and answers with a [`Report`]. A [`GrantBound`] is the controller's side: it bounds
//!    the time at which all grants to one server have expired. The fence [`Epoch`] orders
//!    the owners of a shard.
//!
//! No function reads a clock. Each process passes its own monotonic time in milliseconds.
//! Clock rates are assumed to differ by at most [`MAX_CLOCK_DRIFT_PERCENT`]; the functions
//! [`plus_drift_ms`] and [`minus_drift_ms`] lengthen and shorten waits accordingly.
//!
//! ```
//! use lease::{GrantBound, plus_drift_ms};
//!
//! let mut bound = GrantBound::default();
//! bound.observe_clock(5_000, 100);
//! let deadline_ms = bound.extend(1_500).expect("a clock reading was received");
//! assert_eq!(deadline_ms, 6_500);
//! assert!(bound.is_expired(100 + plus_drift_ms(1_500)));
//! ```

mod authority;
mod clock_drift;
mod epoch;
mod grant_bound;
mod grant_table;
mod order;
mod voter;

pub use authority::{Authority, Quorum};
pub use clock_drift::{MAX_CLOCK_DRIFT_PERCENT, minus_drift_ms, plus_drift_ms};
pub use epoch::{Epoch, LeaderEpoch, ShardId, Term};
pub use grant_bound::GrantBound;
pub use grant_table::{Admission, GrantTable};
pub use order::{Order, Report, ShardEpoch, ShardReport, Verdict};
pub use voter::{Vote, Voter};
