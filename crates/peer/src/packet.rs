//! Packets between daemons whose servers are listed in a document.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use control::{Heartbeat, HeartbeatReply, PromiseReply, PromiseRequest};
use document::{Name, Revision};
use lease::LeaderEpoch;
use prost::Message as _;
use route::{CrashCount, Table};

use crate::{Error, Result, wire};

/// A message between daemons whose servers are listed in a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    /// The instance that sent the packet.
    pub from: Name,
    /// The service that the message concerns; empty if it concerns none.
    pub service: Name,
    /// The content of the packet.
    pub message: Message,
}

/// The content of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Requests a voter's promise to support no other candidate until it expires.
    PromiseRequest(PromiseRequest),
    /// Answers a [`Message::PromiseRequest`].
    PromiseReply(PromiseReply),
    /// Returns the promise that the receiver gave for this leader epoch.
    ReturnPromise(LeaderEpoch),
    /// Reports the routing table that the sender uses, to extend its route lease.
    Heartbeat(Heartbeat),
    /// Answers a [`Message::Heartbeat`].
    HeartbeatReply(HeartbeatReply),
    /// A routing table.
    Table(Arc<Table>),
    /// Requests the document of the service.
    DocumentRequest,
    /// The document of the service.
    Document(DocumentText),
    /// Reports that the sender is running and which documents are in force there.
    Presence(Presence),
    /// Requests the status of the services that the receiver controls; the number identifies
    /// the request.
    StatusRequest(u64),
    /// Answers the [`Message::StatusRequest`] of this number, with a status in JSON.
    StatusReply(u64, Bytes),
}

/// The text and the revision of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentText {
    /// The revision of the document in the store.
    pub revision: Revision,
    /// The document in INI format.
    pub text: Name,
}

/// A daemon's report that it is running, with its address and its documents in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Presence {
    /// The data centre of the sender.
    pub data_centre: Name,
    /// The address at which the sender receives packets.
    pub address: SocketAddr,
    /// The services that the sender routes, with the revision of the document in force.
    pub in_force: Vec<(Name, Revision)>,
    /// Requests that crashed servers, as the sender counted them.
    ///
    /// `deadline_ms` is relative to the time of sending.
    pub crash_counts: Vec<CrashCount>,
}

impl Packet {
    /// Creates a packet.
    #[must_use]
    pub fn new(from: Name, service: Name, message: Message) -> Self {
        Self { from, service, message }
    }

    /// Encodes the packet as a frame.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        wire::Envelope::from(self).encode_to_vec().into()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is not a valid packet with a message of a known kind.
    pub fn from_bytes(frame: Bytes) -> Result<Self> {
        let envelope = wire::Envelope::decode(frame)
            .map_err(|error| Error::report(format!("frame is not a valid packet: {error}")))?;
        Self::try_from(envelope)
    }
}
