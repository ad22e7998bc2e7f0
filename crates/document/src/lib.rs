//! The document in which operators describe one service.
//!
//! An operator writes one INI text per service. [`Document::from_ini`] parses and checks the
//! whole text. It returns a [`Document`] or an [`Error`] that names the file, the line and
//! what was expected there. A document has
//!
//! - the [`ServiceKind`]: servers own keys (keyed) or any server answers (pooled);
//! - the [`KeySource`], which extracts a request's key, and the [`KeyGroup`]s that divide the
//!   keys by prefix into shards;
//! - the [`Server`]s with their limits and the state that operators want;
//! - the request [`Class`]es with timeout, priority and queue limit;
//! - the [`PlacementPolicy`], [`Weights`] and [`Timing`] of shard assignment.
//!
//! ```
//! use document::Document;
//!
//! let text = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
//!             [server a]\naddress = 127.0.0.1:9001\ndata_centre = zurich\n";
//! let document = Document::from_ini("ledger.ini", text)?;
//! assert_eq!(document.servers.len(), 1);
//! # Ok::<(), error_stack::Report<document::Error>>(())
//! ```
//!
//! [`Sections`], [`Section`] and [`ValueFormat`] are the INI reader; settings files are read
//! with it too. [`changed_sections`] compares two texts of a document. [`Name`], [`Revision`],
//! [`HashMap`] and [`HashSet`] are basic types that the other crates use.

mod class;
mod diff;
mod document;
mod error;
mod key;
mod map;
mod name;
mod section;
mod server;
mod value_format;

pub use class::{Class, PathPattern};
pub use diff::changed_sections;
pub use document::{Document, PlacementPolicy, ServiceKind, Timing, Weights};
pub use error::{Category, Error, Result};
pub use key::{KeyGroup, KeySource, hash_key};
pub use map::{HashMap, HashSet};
pub use name::{Name, Revision};
pub use section::{Section, Sections};
pub use server::{Server, ServerState};
pub use value_format::{ADDRESS, COUNT, DURATION, LOG_LEVEL, SIZE, TEXT, ValueFormat, YES_NO};
