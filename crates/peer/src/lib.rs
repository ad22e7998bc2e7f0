//! What daemons tell each other, and the connections that carry it.
//!
//! A [`Packet`] names its sender, a service and a [`Message`]. Packets travel as
//! protobuf messages in length-delimited frames over TCP. [`Links`] keeps one
//! connection to each peer and drops what a slow peer does not take; [`listen`]
//! receives. Everything that is sent may be lost, and the control protocol expects it.
//!
//! ```
//! use document::Name;
//! use peer::{Message, Packet};
//!
//! let packet =
//!     Packet::new(Name::from("entry-1"), Name::from("ledger"), Message::DocumentAsk);
//! let frame = packet.to_bytes();
//! assert_eq!(Packet::from_bytes(frame)?, packet);
//! # Ok::<(), error_stack::Report<peer::Error>>(())
//! ```

mod convert;
mod error;
mod fleet;
mod link;
mod packet;

#[expect(clippy::pedantic, clippy::empty_structs_with_brackets, reason = "generated from proto/peer.proto")]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
mod wire;

#[expect(clippy::pedantic, clippy::empty_structs_with_brackets, reason = "generated from proto/fleet.proto")]
#[rustfmt::skip]
#[path = "generated/fleet.rs"]
mod fleet_wire;

pub use error::{Error, Result};
pub use fleet::{FleetBody, FleetFrame, Load, ServerLoad, Servers, ServiceLoad, Tables};
pub use link::{Links, MAX_FRAME_BYTES, listen};
pub use packet::{DocumentText, Message, Packet, Presence};
