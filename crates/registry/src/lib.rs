//! Servers that register themselves, in lives.
//!
//! Each start of a server is a new [`Life`], even under a name that was there before; what
//! an earlier life held is gone. A [`Registry`] takes entries as the platform lists them
//! and says which servers may get work. An entry that is missing after the list was out of
//! reach is believed gone only some time after the list's return.
//!
//! ```
//! use registry::{Life, Registration, Registry, Stage};
//!
//! let mut registry = Registry::default();
//! let life = Life { server: "s-1".into(), born_ms: 5 };
//! registry.put(0, "s-1", Registration {
//!     life: life.clone(),
//!     service: "ledger".into(),
//!     address: "127.0.0.1:9000".parse().unwrap(),
//!     data_centre: "thun".into(),
//!     slots: 4,
//!     stage: Stage::Ready,
//!     cold_until_ms: 0,
//!     heartbeat: 1,
//! });
//! assert!(registry.is_welcome(&life));
//! ```

mod life;
mod registry;

pub use life::{Life, Registration, Stage};
pub use registry::{Change, Registry};
