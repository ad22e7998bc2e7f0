//! The events that a leader handles and the outputs that it returns.

use std::sync::Arc;

use document::Name;
use registry::{Incarnation, Registration};

use crate::{EndedHolder, Epoch, Evidence, Fence, KeyRange, Record};

/// Identifies an order, so that its answer can refer to it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId {
    /// The epoch of the leader that sent the order.
    ///
    /// A daemon may lead again while orders of its earlier term have no answer yet.
    pub epoch: Epoch,
    /// The number of the order within the epoch.
    pub number: u64,
}

/// Identifies a connection to a server that carries several orders.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionId(pub u64);

/// An opaque token by which the next holder of a range can take over cached state.
pub type Handover = Arc<str>;

/// An order to hold a range for a bounded time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The keys.
    pub range: KeyRange,
    /// The fence of the grant.
    ///
    /// Renewals keep it, except after a refusal, a merge of ranges, or a grant that was given up.
    pub fence: Fence,
    /// Length of the grant, counted from its arrival.
    pub grant_ms: u64,
    /// The token that the previous holder returned when it released the range.
    pub handover: Option<Handover>,
}

impl Grant {
    /// Creates a grant without a token of the previous holder.
    #[must_use]
    pub fn new(range: KeyRange, fence: Fence, grant_ms: u64) -> Self {
        Self { range, fence, grant_ms, handover: None }
    }
}

/// An order to give a range up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Release {
    /// The keys.
    pub range: KeyRange,
    /// The fence of the release; grants with lower fences are refused from then on.
    pub fence: Fence,
}

/// An order to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Hold a range.
    Grant(Grant),
    /// Give a range up; the answer comes once all work on the range has ended.
    Release(Release),
}

/// The outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The order was carried out; a release may return a token for the next holder.
    ///
    /// An answer to a grant may be a copy of that to an earlier order on its connection.
    Done(Option<Handover>),
    /// The same, and the answer shows more: that to a grant came on a connection that goes on, and
    /// that to a release has a token, which no earlier answer on its connection had.
    DoneOn(ConnectionId, Option<Handover>),
    /// The server refused the order because it has seen a higher fence.
    Fenced,
    /// The order never reached the server, or the server says that it did not carry it out.
    NotSent,
    /// What listens at the server's address says that the order is not for it.
    Misdirected,
    /// The order may have been carried out, or may still arrive.
    Unknown,
}

impl Reply {
    /// Returns whether the order was carried out.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done(_) | Self::DoneOn(..))
    }

    /// Returns the token for the next holder.
    #[must_use]
    pub fn handover(&self) -> Option<&Handover> {
        match self {
            Self::Done(handover) | Self::DoneOn(_, handover) => handover.as_ref(),
            Self::Fenced | Self::NotSent | Self::Misdirected | Self::Unknown => None,
        }
    }
}

/// An event that a leader handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The outcome of an order is known.
    Answered(OrderId, Reply),
    /// A record is durable.
    RecordWritten {
        /// The service that the record belongs to.
        service: Name,
        /// The epoch of the leader that wrote it.
        epoch: Epoch,
        /// The number of the record.
        number: u64,
    },
    /// A record could not be written, or whether it was written is unknown.
    RecordWriteFailed {
        /// The service that the record belongs to.
        service: Name,
        /// The epoch of the leader that wrote it.
        epoch: Epoch,
        /// Whether the write certainly never takes effect.
        is_ruled_out: bool,
    },
    /// The leader's lease in the store was renewed.
    LeaseRenewed {
        /// The time before which no other daemon can be elected.
        authority_deadline_ms: u64,
    },
    /// The store answers (`true`) or does not answer (`false`).
    StoreAnswers(bool),
}

/// An action that the caller of [`Leader::step`](crate::Leader::step) carries out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an order, unless the leader's authority has ended by then.
    Order {
        /// The identifier to return in [`Event::Answered`].
        id: OrderId,
        /// The server to send the order to.
        server: Arc<Registration>,
        /// What the server is to do.
        kind: OrderKind,
        /// The time until which to wait for the answer.
        deadline_ms: u64,
        /// The connection to send it on: for a grant the preferred one, for a release the only
        /// one. A release without one has a connection of its own.
        connection: Option<ConnectionId>,
    },
    /// Make a record durable.
    Write {
        /// The service that the record belongs to.
        service: Name,
        /// The record to write.
        record: Record,
    },
    /// Tell the daemons the owners of a service's keys.
    Publish {
        /// The service that the keys belong to.
        service: Name,
    },
    /// Stop leading: servers have seen fences of a later leader.
    Deposed,
    /// Write a log line.
    Log(LogEvent),
}

/// An event that the leader logs.
#[derive(Clone, Debug)]
pub enum LogEvent {
    /// A range is to move.
    Planned {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The current holder, if there is one.
        from: Option<Incarnation>,
        /// The successor.
        to: Incarnation,
        /// Why the range moves.
        reason: MoveReason,
    },
    /// A server has accepted its first grant of a range under a fence; renewals are not logged.
    Granted {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The new holder.
        to: Incarnation,
        /// The fence of the grant.
        fence: Fence,
        /// Length of the grant.
        grant_ms: u64,
        /// The servers that may have held the range before, since its last grant in this term.
        previous: Vec<EndedHolder>,
    },
    /// A server has stopped new work on a range, and the work that ran has ended.
    ///
    /// It may still carry out a grant that it did not answer, so the range waits for that.
    Released {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The server that gave them up.
        by: Incarnation,
        /// The fence of the release.
        fence: Fence,
        /// How long the answer took.
        waited_ms: u64,
    },
    /// The length of grants has changed because the store failed or answers again.
    GrantLengthChanged {
        /// Whether the store answers.
        store_answers: bool,
        /// Length of each grant from now on.
        grant_ms: u64,
    },
    /// A holder or previous holder counts as done although it has not released the range.
    Expired {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The server that held them.
        from: Incarnation,
        /// What shows that it holds them no longer.
        evidence: Evidence,
    },
    /// How evenly load is spread over the servers of a service.
    Balance {
        /// The service whose load is spread.
        service: Name,
        /// The number of ranges.
        ranges: usize,
        /// The load of all keys, in busy slots.
        load: f32,
        /// The key with the highest load, and that load in busy slots.
        hottest: (u16, f32),
        /// The capacity of all servers, in slots of a server of ordinary speed.
        capacity: f32,
        /// The busiest server, and its load as a multiple of its share.
        busiest: (Incarnation, f32),
        /// The idlest server, and its load as a multiple of its share.
        idlest: (Incarnation, f32),
    },
    /// A grant was given up unanswered; it may still arrive late.
    GivenUp {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The server that did not answer.
        to: Incarnation,
        /// The fence of the grant.
        fence: Fence,
        /// How long the answer was waited for.
        waited_ms: u64,
    },
    /// A range is given to a server while the time of an unanswered grant to another one has not
    /// passed.
    UnexpiredGrant {
        /// The service that the range belongs to.
        service: Name,
        /// The keys of the unanswered grant.
        range: KeyRange,
        /// The server that did not answer.
        to: Incarnation,
        /// The fence of the grant.
        fence: Fence,
        /// The remaining time until which it may be valid.
        left_ms: u64,
        /// The server that the range is given to.
        next: Incarnation,
    },
    /// A server refused a grant because it has seen a higher fence.
    Refused {
        /// The service that the range belongs to.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// The server that refused.
        by: Incarnation,
        /// The fence that was too low.
        fence: Fence,
    },
}

/// Why a range moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveReason {
    /// No server holds the range or may still hold it.
    Free,
    /// The holder is leaving or is no longer registered.
    Leaving,
    /// The holder's data centre is evacuated.
    Evacuated,
    /// The holder, or a previous one that may still hold the range, does not answer.
    Silent,
    /// The last holders give the range up, and no usable successor is planned.
    Released,
    /// The previous holder, which did not answer for a while, answers again.
    Returned,
    /// The holder's load is above its share.
    Load,
    /// The range joins a larger one beside it.
    Join,
}
