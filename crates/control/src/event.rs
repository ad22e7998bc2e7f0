//! What a control part is told, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use document::{Document, Name, Revision};
use lease::{LeaderEpoch, Order, Report};
use route::Table;

use crate::{Beat, BeatReply, Instance, PromiseAsk, PromiseReply, Record, RecordCopy};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A document was accepted.
    Document(Revision, Arc<Document>),
    /// The list of live instances was read.
    Instances(Vec<Instance>),
    /// The store answered a read of the record; `None` when there is no record.
    RecordRead(Option<RecordCopy>),
    /// The write of the record with this number ended.
    Written(u64, WriteOutcome),
    /// A candidate or controller asks for a promise.
    PromiseAsked(PromiseAsk),
    /// A voter answered.
    PromiseReplied(PromiseReply),
    /// A candidate gave its promises back.
    PromiseReturned(LeaderEpoch),
    /// A server answered an order.
    Reported(Name, Report),
    /// A server did not answer an order.
    Unanswered(Name),
    /// A daemon sent a beat.
    Beat(Beat),
    /// The controller answered this daemon's beat.
    BeatReplied(BeatReply),
    /// Another controller's table arrived.
    Table(Arc<Table>),
    /// The daemon is about to stop.
    Stop,
}

/// How a write of the record ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The record is written and has this revision.
    Done(Revision),
    /// The record had another revision; nothing was written.
    Conflict,
    /// The reply was lost, or none came; the write may have taken effect.
    Unknown,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the record from the store.
    ReadRecord,
    /// Write the record if it still has the expected revision.
    WriteRecord {
        /// The number of the write, which its outcome repeats.
        number: u64,
        /// The expected revision; `None` when there must be no record.
        expected: Option<Revision>,
        /// The record.
        record: Arc<Record>,
    },
    /// Ask an instance for its promise.
    AskPromise(Name, PromiseAsk),
    /// Answer a candidate.
    ReplyPromise(Name, PromiseReply),
    /// Give an instance's promise back.
    ReturnPromise(Name, LeaderEpoch),
    /// Send an order to a server.
    Order(Name, SocketAddr, Order),
    /// Put a table in force on every live instance, this one too.
    Publish(Arc<Table>),
    /// Send the table in force to a daemon that lacks it.
    SendTable(Name, Arc<Table>),
    /// Answer a daemon's beat.
    ReplyBeat(Name, BeatReply),
}
