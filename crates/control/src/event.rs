//! The inputs and outputs of the control state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{LeaderEpoch, Order, Report};
use route::Table;

use crate::{
    Heartbeat, HeartbeatReply, Instance, PromiseReply, PromiseRequest, Record, RecordCopy,
};

/// An input of [`Control`](crate::Control).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at short, regular intervals.
    Tick,
    /// A revision of the service's document was accepted.
    Document(Revision, Arc<Document>),
    /// The list of live instances was read.
    Instances(Vec<Instance>),
    /// The store answered a read of the record; `None` if there is no record.
    RecordRead(Option<RecordCopy>),
    /// The write of the record with this number ended.
    WriteEnded(u64, WriteOutcome),
    /// A candidate or controller requested this instance's promise.
    PromiseRequested(PromiseRequest),
    /// A voter answered a promise request.
    PromiseReplied(PromiseReply),
    /// A candidate or controller returned this instance's promise.
    PromiseReturned(LeaderEpoch),
    /// A server answered an order.
    Reported(Name, Report),
    /// A server did not answer an order.
    Unanswered(Name),
    /// A daemon sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The controller answered this daemon's heartbeat.
    HeartbeatReplied(HeartbeatReply),
    /// This daemon received a routing table from a controller.
    Table(Arc<Table>),
    /// The daemon is about to stop.
    Stop,
}

/// How a write of the record ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The record was written and has this revision.
    Done(Revision),
    /// The record had another revision; nothing was written.
    Conflict,
    /// The outcome is unknown; the write may have taken effect, or may still do so.
    Unknown,
}

/// An output of [`Control`](crate::Control), to be carried out by the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the record from the store.
    ReadRecord,
    /// Write the record, on condition that it has the expected revision.
    WriteRecord {
        /// The number of the write, for [`Event::WriteEnded`].
        number: u64,
        /// The expected revision; `None` if there must be no record.
        expected: Option<Revision>,
        /// The record to write.
        record: Arc<Record>,
    },
    /// Request an instance's promise.
    RequestPromise(Name, PromiseRequest),
    /// Answer a promise request of an instance.
    ReplyPromise(Name, PromiseReply),
    /// Return the promise that an instance gave.
    ReturnPromise(Name, LeaderEpoch),
    /// Send an order to a server.
    Order(Name, SocketAddr, Order),
    /// Put a table in force on every live instance, including this one.
    Publish(Arc<Table>),
    /// Send the current table to a daemon that lacks it.
    SendTable(Name, Arc<Table>),
    /// Answer a daemon's heartbeat.
    ReplyHeartbeat(Name, HeartbeatReply),
}
