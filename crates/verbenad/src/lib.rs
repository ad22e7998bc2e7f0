//! The daemon process that runs on every instance.
//!
//! [`Settings`] holds the settings file: the addresses to listen on, the address of the store,
//! and limits. [`Daemon::start`] opens the sockets and starts two threads:
//!
//! - The *control thread* owns all control state. It runs one `control::Control` per service,
//!   exchanges packets with the other daemons, reads and writes the store, sends orders to
//!   servers, and answers operators and administrators.
//! - The *traffic thread* serves callers, on a pool of worker threads, with the `proxy` crate.
//!
//! The control thread publishes an immutable snapshot of all services whenever one changes; the
//! request path reads the newest snapshot without locks. Both share [`proxy::Traffic`].
//!
//! Inside the crate, `control_thread` is the event loop, and `input` lists its inputs.
//! `service_state` holds the state of one service, `documents` puts documents in force, and
//! `members` tracks the live instances. `io` and `orders` call the store and the servers, and
//! `watch` follows the store and registers this instance. `operators` and `admin` serve the
//! operators' RPC interface and the HTTP endpoints; `status`, `collector` and `dump` build their
//! answers.
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
mod control_thread;
mod daemon;
mod documents;
mod dump;
mod error;
mod input;
mod io;
mod members;
mod operators;
mod orders;
mod service_state;
mod settings;
mod status;
mod watch;

pub use daemon::Daemon;
pub use error::{Error, Result};
pub use settings::{Listen, LogSettings, Settings, StaticPeer, StopSettings};
