//! Messages between daemons and the connections that transport them.
//!
//! There are two sets of messages, and a daemon uses one of them:
//!
//! - [`Packet`] and [`Message`] are for fleets in which a document lists the servers. They
//!   transport the control protocol, routing tables, documents and status.
//! - [`FleetFrame`] and [`FleetBody`] are for fleets in which servers register themselves.
//!   They transport the load of keys, tables of key ranges, crash counts and server entries.
//!
//! Both are sent as protobuf messages in length-delimited frames over TCP. Each has
//! `to_bytes` and `from_bytes`; the schemas are in `proto/`. [`Links`] keeps one connection
//! to each peer and drops frames for a peer that is unreachable or reads too slowly. [`listen`]
//! receives frames within [`ReceiveLimits`] and passes on [`Received`] messages. Any message may
//! be lost, and the protocols that use them tolerate that.
//!
//! ```
//! use document::Name;
//! use peer::{Message, Packet};
//!
//! let packet =
//!     Packet::new(Name::from("entry-1"), Name::from("ledger"), Message::DocumentRequest);
//! let frame = packet.to_bytes();
//! assert_eq!(Packet::from_bytes(frame)?, packet);
//! # Ok::<(), error_stack::Report<peer::Error>>(())
//! ```

mod convert;
mod error;
mod fleet;
mod link;
mod packet;
mod receive;

#[expect(clippy::pedantic, clippy::empty_structs_with_brackets, reason = "generated from proto/peer.proto")]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
mod wire;

#[expect(clippy::pedantic, clippy::empty_structs_with_brackets, reason = "generated from proto/fleet.proto")]
#[rustfmt::skip]
#[path = "generated/fleet.rs"]
mod fleet_wire;

pub use error::{Error, Result};
pub use fleet::{
    FleetBody, FleetEntry, FleetFrame, Leaving, Load, ReachQuery, Resigned, ServerLoad, Servers,
    ServiceLoad, Tables, TurnRequest,
};
pub use link::{Links, MAX_FRAME_BYTES};
pub use packet::{DocumentText, Message, Packet, Presence};
pub use receive::{ReceiveLimits, Received, listen};
