//! What a leader is told and what it wants done.

use std::sync::Arc;

use document::Name;
use registry::{Incarnation, Registration};

use crate::{Fence, KeyRange, Record};

/// The number of an order; answers name it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrderId(pub u64);

/// A token that carries a holder's warm state to the next one.
pub type Handover = Arc<str>;

/// An order to hold a range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
    /// How long it stands, from its arrival on.
    pub hold_ms: u64,
    /// What the last holder gave when it released the range.
    pub handover: Option<Handover>,
}

/// An order to give a range up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Release {
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
}

/// What a server is ordered to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Hold a range.
    Grant(Grant),
    /// Give a range up; the answer comes when the work on it has ended.
    Release(Release),
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It was carried out; a release may give a token.
    Done(Option<Handover>),
    /// The server has seen a higher fence.
    Fenced,
    /// It never reached the server.
    NotSent,
    /// It may have been carried out, and no longer arrives if it was not.
    Unclear,
}

/// What a leader is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// What became of an order.
    Answered(OrderId, Reply),
    /// A record was written.
    Recorded {
        /// The service.
        service: Name,
        /// The number of the write.
        number: u64,
    },
    /// A record could not be written, or nobody knows.
    RecordFailed {
        /// The service.
        service: Name,
    },
    /// The store lease was renewed by a call that was sent at this time.
    Kept {
        /// Until when nobody else can be elected.
        authority_until_ms: u64,
    },
    /// Whether the store answers.
    StoreAnswers(bool),
}

/// What a leader wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send an order, unless authority has ended by then.
    Order {
        /// The number that its answer names.
        id: OrderId,
        /// The server.
        server: Arc<Registration>,
        /// What to do.
        kind: OrderKind,
        /// Until when the order may wait for its answer.
        deadline_ms: u64,
    },
    /// Make a record durable.
    Write {
        /// The service.
        service: Name,
        /// The record.
        record: Record,
    },
    /// Tell the daemons the owners of a service's keys.
    Publish {
        /// The service.
        service: Name,
    },
    /// Somebody else leads.
    Deposed,
    /// A change worth a log line.
    Note(Note),
}

/// A change of who holds what.
#[derive(Clone, Debug)]
pub enum Note {
    /// A range is to move.
    Planned {
        /// The service.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// Who holds them, if anybody does.
        from: Option<Incarnation>,
        /// Who is to hold them.
        to: Incarnation,
        /// Why they move.
        why: Why,
    },
    /// A server has taken its first grant of a range under a fence; renewals are not noted.
    Granted {
        /// The service.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// Who took them.
        to: Incarnation,
        /// The fence.
        fence: Fence,
        /// How long the grant stands.
        hold_ms: u64,
    },
    /// A server has given a range up.
    Released {
        /// The service.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// Who gave them up.
        by: Incarnation,
        /// The fence of the release.
        fence: Fence,
    },
    /// How long grants stand from now on.
    Hold {
        /// Whether the store answers; grants are short while it does.
        store_answers: bool,
        /// How long a grant stands.
        hold_ms: u64,
    },
    /// A holder's grants have run out without an answer.
    Lapsed {
        /// The service.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// Who held them.
        from: Incarnation,
    },
    /// How evenly load lies.
    Balance {
        /// The service.
        service: Name,
        /// How many ranges there are.
        ranges: usize,
        /// The load of all keys, in busy slots.
        load: f32,
        /// The busiest key, and its load.
        hottest: (u16, f32),
        /// What the servers can do, in slots of a server of ordinary speed.
        capacity: f32,
        /// The busiest server, and its load against its share.
        busiest: (Incarnation, f32),
        /// The idlest server, and its load against its share.
        idlest: (Incarnation, f32),
    },
    /// A server refused a fence.
    Refused {
        /// The service.
        service: Name,
        /// The keys.
        range: KeyRange,
        /// Who refused.
        by: Incarnation,
        /// The fence that was too low.
        fence: Fence,
    },
}

/// Why a range moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// Nobody holds it.
    Free,
    /// Its holder leaves or is no longer registered.
    Leaving,
    /// Its holder does not answer.
    Silent,
    /// Its holder started again and holds nothing.
    Restarted,
    /// Its holder has more load than its share.
    Load,
    /// It joins the ranges around it.
    Join,
}
