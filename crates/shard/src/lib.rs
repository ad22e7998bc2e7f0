//! Exclusive assignment of key ranges to servers, protected by fences.
//!
//! Keys of a keyed service are 16-bit numbers. One daemon, the leader, assigns every
//! [`KeyRange`] of them to a server so that no key ever has two holders.
//!
//! # How the types fit together
//!
//! - A [`Leader`] assigns the keys of all keyed services while it has authority, that is
//!   until its lease in the store expires. It does no I/O: [`Leader::step`] handles an
//!   [`Event`] at a given time and returns the [`Output`]s to carry out.
//! - A [`Grant`] is an order to hold a range for a bounded time. The leader renews it; a
//!   server must not serve keys for which it has no valid grant. A [`Release`] is an order to
//!   give a range up.
//! - A [`Fence`] rises with every change of a range's holder, and a later leader's fences
//!   are above all earlier ones because they start with its [`Epoch`]. Servers refuse grants
//!   below the highest fence that they have seen.
//! - A [`Record`] is the assignment as the store keeps it. The next leader starts from it.
//! - A [`Table`] tells daemons which server to send a key's requests to.
//! - [`KeyLoad`] holds the load of each key, which the leader balances over the servers.
//! - [`Config`] holds the durations and thresholds.
//!
//! # How a range moves
//!
//! 1. The leader plans a successor. Once the holder has no grant without an outcome, it gets no
//!    more, and the leader writes a [`Record`] that names the successor.
//! 2. Once the record is durable, the holder is ordered to release the range.
//! 3. When the holder has released it or its last grant has expired, the successor gets a
//!    grant under a higher fence.
//!
//! # Modules
//!
//! `leader` handles events for all services. `assignment`, `planning` and `answers` are the
//! assignment of one service: its orders and record, the choice of successors, and replies
//! from servers. `recording` decides what the record says and when it is written. `range_state`
//! is the state machine of one range, `policy` decides which keys go where, and `pass` is the
//! context that one pass over an assignment works with.
//!
//! ```
//! use shard::{Epoch, Fence, KeyRange};
//!
//! let (left, right) = KeyRange::WHOLE.split_at(0x8000).unwrap();
//! assert_eq!((left.to(), right.from()), (0x7fff, 0x8000));
//! // All fences of a later leader are above those of an earlier one.
//! assert!(Fence::first(Epoch(8)) > Fence::first(Epoch(7)).next().next());
//! ```

mod abandoned;
mod answers;
mod assignment;
mod config;
mod contact;
mod ended;
mod fence;
mod grant_ends;
mod handover_time;
mod leader;
mod load;
mod older_store;
mod order;
mod order_tracker;
mod pass;
mod planning;
mod policy;
mod previous_holder;
mod range;
mod range_orders;
mod range_state;
mod record;
mod recording;
mod table;

pub use config::Config;
pub use ended::{EndedHolder, Evidence, UnansweredGrant};
pub use fence::{Epoch, Fence};
pub use leader::Leader;
pub use load::KeyLoad;
pub use order::{
    ConnectionId, Event, Grant, Handover, LogEvent, MoveReason, OrderId, OrderKind, Output,
    Release, Reply,
};
pub use pass::Servers;
pub use range::KeyRange;
pub use record::{Record, RecordedRange};
pub use table::{Owner, Span, Table};
