//! The control decisions for one keyed service.
//!
//! [`Control`] is the part of one daemon that decides about one service. It is
//! sans-IO: [`Control::step`] takes the time and an [`Event`] and returns the
//! [`Action`]s to carry out. One daemon at a time is the service's controller; it
//! holds promises from a majority of the voters that the durable [`Record`] names.
//!
//! How a key gets an owner, and why there is never a second one, is written down in
//! `docs/design/ownership.md`.
//!
//! ```
//! use control::{Control, Event, Tuning};
//! use document::Name;
//!
//! let mut control = Control::new(0, 1, Name::from("ledger"), Name::from("entry-1"), Tuning::default());
//! assert!(control.step(10, Event::Tick).is_empty());
//! ```

mod candidate;
mod control;
mod draft;
mod election;
mod event;
mod lead;
mod link;
mod message;
mod record;
mod settle;
mod shard;
mod status;
mod tuning;
mod voters;
mod writer;

pub use control::Control;
pub use event::{Action, Event, WriteOutcome};
pub use message::{Beat, BeatReply, Intent, PromiseAsk, PromiseReply, RecordCopy, Stage};
pub use record::{Record, ShardRecord};
pub use status::{ServerStatus, Status, Unsettled};
pub use tuning::{Instance, Tuning};
