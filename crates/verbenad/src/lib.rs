//! The daemon: one process on every instance.
//!
//! [`Settings`] say where it listens and where the platform's service is.
//! [`Daemon::start`] runs it: one thread owns all control state, others carry the
//! callers' traffic, and the two share immutable snapshots.
//!
//! ```
//! use verbenad::Settings;
//!
//! let text = "[instance]\nname = entry-1\ndata_centre = zurich\n\
//!             [listen]\nhttp = 127.0.0.1:8001\npeer = 127.0.0.1:8101\n\
//!             operator = 127.0.0.1:8201\nadmin = 127.0.0.1:8301\n\
//!             [store]\naddress = 127.0.0.1:7000\n";
//! let settings = Settings::from_ini("entry-1.ini", text)?;
//! assert_eq!(settings.instance.as_str(), "entry-1");
//! # Ok::<(), error_stack::Report<document::Error>>(())
//! ```

mod admin;
mod collector;
mod daemon;
mod documents;
mod dump;
mod entry;
mod error;
mod input;
mod members;
mod node;
mod operators;
mod orders;
mod outside;
mod settings;
mod status;
mod watch;

pub use daemon::Daemon;
pub use error::{Error, Result};
pub use settings::{Listen, LogSettings, Settings, StaticPeer, StopSettings};
