//! The daemon for sites whose servers register themselves.
//!
//! A [`Gateway`] routes requests by a versioned [`site::Site`] to servers of a
//! [`registry::Registry`], and at most one of its kind at a time assigns keys as
//! [`shard::Leader`]. What it meets outside is behind ports: [`store::Store`] for what
//! lasts, [`Orders`] for the servers, [`Source`] for what documents and entries say, and
//! [`Dialect`] for the names of headers.
//!
//! One thread owns all control state; another carries traffic. They share an immutable
//! [`View`] that the control thread replaces.

mod answer;
mod budget;
mod call;
mod clock;
mod election;
mod entries;
mod exchange;
mod fleet;
mod follow;
mod forward;
mod front;
mod gateway;
mod input;
mod leadership;
mod leading;
mod lines;
mod node;
mod owners;
mod port;
mod progress;
mod refuse;
mod relay;
mod relaying;
mod report;
mod server;
mod settings;
mod shared;
mod snapshot;
mod status;
mod view;

pub use clock::BootClock;
pub use gateway::{Gateway, Ports};
pub use lines::{Lines, is_sampled};
pub use port::{Dialect, EntryText, Orders, Source, Unreadable};
pub use progress::Progress;
pub use relay::{Header, Heard, Relay, Role};
pub use settings::{Listen, RetrySettings, Settings};
pub use shared::Shared;
pub use view::View;
