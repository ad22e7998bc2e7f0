//! The operators' document: what one service looks like and what it may do.
//!
//! An operator writes one INI text per service. [`Document::from_ini`] checks
//! the whole text and either returns a document that every process can act on
//! or a report that names the file, the line and what was expected there.
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
//! The crate also holds the few types that every other crate shares: [`Name`],
//! [`Revision`], [`HashMap`] and the checked INI [`Section`].

mod class;
mod diff;
mod document;
mod error;
mod form;
mod key;
mod map;
mod name;
mod section;
mod server;

pub use class::{Class, PathPattern};
pub use diff::changed_sections;
pub use document::{Document, PlacementPolicy, ServiceKind, Timing, Weights};
pub use error::{Category, Error, Result};
pub use form::{ADDRESS, COUNT, DURATION, Form, LOG_LEVEL, SIZE, TEXT, YES_NO};
pub use key::{KeyGroup, KeySource, hash_key};
pub use map::{HashMap, HashSet};
pub use name::{Name, Revision};
pub use section::{Section, Sections};
pub use server::{Server, ServerState};
