//! Registered servers and which of them accept new work.
//!
//! Servers publish a [`Registration`] in a list that the platform keeps. A [`Registry`] is
//! updated with the entries of that list and returns the servers that a service can use.
//!
//! - An [`Incarnation`] is one start of a server. Two starts under the same name are two
//!   incarnations, and what the earlier one held is lost.
//! - A [`Registration`] is what an incarnation reports: its service, address, capacity and
//!   [`Stage`].
//!   [`Registration::check`] tells whether it describes a usable server, or which [`Field`] does not.
//! - A [`Registry`] keeps the latest registration of each server name. Methods that update it
//!   return a [`Change`], from which the caller sees whether servers have to be chosen anew.
//!
//! After the list was unavailable, entries of running servers may be missing until those
//! servers have registered again. For that grace period the registry keeps missing entries.
//!
//! ```
//! use registry::{Incarnation, Registration, Registry, Stage};
//!
//! let mut registry = Registry::default();
//! let incarnation = Incarnation { server: "s-1".into(), born_ms: 5 };
//! registry.put(0, "s-1", Registration {
//!     incarnation: incarnation.clone(),
//!     service: "ledger".into(),
//!     address: "127.0.0.1:9000".parse().unwrap(),
//!     data_centre: "thun".into(),
//!     slots: 4,
//!     stage: Stage::Ready,
//!     warm_at_ms: 0,
//!     heartbeat: 1,
//! });
//! assert!(registry.accepts_new_work(&incarnation));
//! ```

mod bounds;
mod incarnation;
mod registry;

pub use bounds::{Field, Unusable};
pub use incarnation::{Incarnation, Registration, Stage};
pub use registry::{Change, Registry};
