//! Assigns the shards of one keyed service to its servers.
//!
//! Each daemon runs one [`Control`] per keyed service. It is sans-IO: the daemon passes in
//! the time and an [`Event`], and carries out the [`Action`]s that [`Control::step`]
//! returns. Messages between daemons, orders to servers, and reads and writes of the store
//! are all events and actions.
//!
//! - [`Record`] is the durable assignment in the store: the voters and, for each shard, its
//!   owner, its successor and their epochs.
//! - The *voters* are the instances that the record names. A *candidate* sends them a
//!   [`PromiseRequest`]; with promises from a majority it becomes the *controller*. There is
//!   at most one controller at a time. It keeps requesting the promises in order to renew
//!   them, and steps down when they expire.
//! - The controller plans the placement of shards, writes the record, and sends orders with
//!   grants to the servers. It announces each write to the voters as an [`Intent`] before
//!   sending it to the store, so that a later controller knows which writes may still take
//!   effect.
//! - Daemons send the controller a [`Heartbeat`] and get a [`HeartbeatReply`] that extends
//!   their route lease. The controller publishes a routing table whenever routes change.
//! - [`Status`] shows operators what the controller knows of the service, and [`Config`]
//!   holds the intervals and timeouts.
//!
//! Inside the crate, `control` handles events, `election` elects a controller, `controller`
//! exchanges messages with voters, servers and daemons, `draft` plans placement and drafts
//! the record, `reconcile` moves shards towards the plan, and `writer` tracks writes.
//!
//! How a key gets an owner, and why there is never a second one, is described in
//! `docs/design/ownership.md`.
//!
//! ```
//! use control::{Config, Control, Event};
//! use document::Name;
//!
//! let mut control = Control::new(0, 1, Name::from("ledger"), Name::from("entry-1"), Config::default());
//! assert!(control.step(10, Event::Tick).is_empty());
//! ```

mod candidate;
mod config;
mod control;
mod controller;
mod draft;
mod election;
mod event;
mod link;
mod message;
mod reconcile;
mod record;
mod shard;
mod status;
mod voters;
mod writer;

pub use config::{Config, Instance};
pub use control::Control;
pub use event::{Action, Event, WriteOutcome};
pub use message::{
    Heartbeat, HeartbeatReply, Intent, PromiseReply, PromiseRequest, RecordCopy, Stage,
};
pub use record::{Record, ShardRecord};
pub use status::{ServerStatus, Status, Unsettled};
