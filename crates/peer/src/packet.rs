//! Packets and their frames.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use control::{Heartbeat, HeartbeatReply, PromiseReply, PromiseRequest};
use document::{Name, Revision};
use lease::LeaderEpoch;
use prost::Message as _;
use route::{CrashCount, Table};

use crate::{Error, Result, wire};

/// One message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// The instance that sends it.
    pub from: Name,
    /// The service that it is about; empty for none.
    pub service: Name,
    /// The message.
    pub message: Message,
}

/// What a packet says.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for a promise.
    Ask(PromiseRequest),
    /// Answers such an ask.
    Reply(PromiseReply),
    /// Gives a promise back.
    ReturnPromise(LeaderEpoch),
    /// Tells what the sender routes by.
    Beat(Heartbeat),
    /// Answers a beat.
    BeatReply(HeartbeatReply),
    /// A routing table.
    Table(Arc<Table>),
    /// Asks for the service's document.
    DocumentAsk,
    /// The service's document.
    Document(DocumentText),
    /// Tells that the sender lives, and what it has in force.
    Presence(Presence),
    /// Asks what the receiver controls.
    StatusAsk(u64),
    /// Answers that, as JSON.
    StatusReply(u64, Bytes),
}

/// The text of a document with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentText {
    /// The revision.
    pub revision: Revision,
    /// The text.
    pub text: Name,
}

/// What a daemon tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Presence {
    /// The data centre of the sender.
    pub data_centre: Name,
    /// Where the sender takes packets.
    pub address: SocketAddr,
    /// The document in force there, by service.
    pub in_force: Vec<(Name, Revision)>,
    /// Requests that crashed servers; the deadlines are lengths from the sending on.
    pub suspects: Vec<CrashCount>,
}

impl Packet {
    /// Creates a packet.
    #[must_use]
    pub fn new(from: Name, service: Name, message: Message) -> Self {
        Self { from, service, message }
    }

    /// Returns the frame of the packet.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        wire::Envelope::from(self).encode_to_vec().into()
    }

    /// Reads a frame.
    ///
    /// # Errors
    ///
    /// Fails when the frame is not a packet of a known kind.
    pub fn from_bytes(frame: Bytes) -> Result<Self> {
        let envelope = wire::Envelope::decode(frame)
            .map_err(|error| Error::report(format!("frame is not a packet: {error}")))?;
        Self::try_from(envelope)
    }
}
