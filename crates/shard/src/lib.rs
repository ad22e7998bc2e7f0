//! Which server holds which range of keys, under integer fences.
//!
//! A [`Leader`] owns the assignment of every keyed service while it has authority. It is
//! sans-IO: [`Leader::step`] takes an event and the time and returns what to do. Servers
//! serve a range only under a grant of bounded length that the leader renews; a range
//! moves with a higher [`Fence`], after a durable [`Record`] names its successor, and after
//! its holder released it or its last grant ran out.
//!
//! ```
//! use shard::{Epoch, Fence, KeyRange};
//!
//! let (left, right) = KeyRange::WHOLE.split_at(0x8000).unwrap();
//! assert_eq!((left.to(), right.from()), (0x7fff, 0x8000));
//! // A later leader's fences are above all of an earlier one's.
//! assert!(Fence::first(Epoch(8)) > Fence::first(Epoch(7)).next().next());
//! ```

mod answers;
mod assignment;
mod fence;
mod leader;
mod load;
mod order;
mod piece;
mod planning;
mod policy;
mod range;
mod record;
mod table;
mod tuning;
mod turn;

pub use fence::{Epoch, Fence};
pub use leader::Leader;
pub use load::KeyLoad;
pub use order::{Event, Grant, Handover, Note, OrderId, OrderKind, Output, Release, Reply, Why};
pub use range::KeyRange;
pub use record::{Record, Share};
pub use table::{Owner, Span, Table};
pub use tuning::Tuning;
pub use turn::Servers;
