//! The inputs of the control thread.

use document::{Name, Revision};
use peer::{FleetFrame, Received};
use registry::Incarnation;
use shard::{Epoch, OrderId, Record, Reply};
use store::{Entry, Era, LeaseId};
use tokio::sync::oneshot;

use crate::Settings;
use crate::request::turns::TurnQuery;

/// One input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// All entries of a topic.
    Listed(Topic, Vec<Entry>, ReadPosition),
    /// The entries of a topic that changed.
    Changed(Topic, Vec<Entry>, ReadPosition),
    /// The store no longer has changes after the revision from which a watch started.
    HistoryDropped,
    /// The newest era of the store that an answer has named.
    EraNamed(Era),
    /// Whether the store answers this daemon's calls.
    StoreAnswers(bool),
    /// The end of a campaign; `None` if the election was not won.
    CampaignEnded(Option<WonElection>),
    /// The leader's lease was renewed.
    LeaseRenewed { authority_deadline_ms: u64 },
    /// The store did not renew the leader's lease, or did not answer.
    LeaseRenewalFailed,
    /// The leader's lease has expired or is no longer in the store.
    LeaseEnded,
    /// The store answers this daemon and names the leader of this epoch, which asked for it.
    StoreReached { leader: Name, epoch: Epoch },
    /// The silent servers that the leader of this epoch could not connect to.
    ServersUnreached { epoch: Epoch, unreached: Vec<Incarnation> },
    /// The leader's attempts to get new connections have ended.
    ConnectionsTried { epoch: Epoch, tried: usize, unreached: Vec<Incarnation> },
    /// This daemon reaches servers that the leader of this epoch does not reach.
    ServersReached { leader: Name, epoch: Epoch },
    /// A server's answer to an order, or the failure of the order.
    OrderAnswered(OrderId, Reply),
    /// The outcome of writing a record.
    RecordWritten { service: Name, epoch: Epoch, number: u64, outcome: WriteOutcome },
    /// The records in the store, read because no leader's tables arrived.
    Records(Vec<StoredRecord>),
    /// A message from another daemon.
    Frame(Received<FleetFrame>),
    /// A request that needs a turn at a server that limits its rate.
    Turn(TurnQuery),
    /// New settings.
    Reload(Box<Settings>),
    /// A request for the whole state as JSON.
    Dump(oneshot::Sender<String>),
}

/// The revision and time of an answer from the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadPosition {
    /// The era in which the call was sent and answered; `None` if the store has none.
    pub(crate) era: Option<Era>,
    /// The store's revision up to which changes are included.
    pub(crate) revision: Revision,
    /// When the answer arrived, by [`BootClock`](crate::BootClock).
    pub(crate) at_ms: u64,
}

/// A part of the store that is watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Topic {
    /// What operators write: the site's document and evacuations.
    Operators,
    /// The servers' entries.
    Servers,
    /// The entries of the daemons and of their leader.
    Fleet,
}

/// The result of an election that this daemon won.
#[derive(Debug)]
pub(crate) struct WonElection {
    /// The epoch, which follows from the era and the revision of the new leader's entry.
    pub(crate) epoch: Epoch,
    /// The era in which the store answered all calls of the campaign; `None` if it has no eras.
    pub(crate) era: Option<Era>,
    /// The revision of the new leader's entry.
    pub(crate) entry_revision: Revision,
    /// The epoch of the leader whose entry was replaced, if there was one.
    pub(crate) predecessor: Option<Epoch>,
    pub(crate) lease: LeaseId,
    /// When the leader has to stop acting unless its lease is renewed before.
    pub(crate) authority_deadline_ms: u64,
    pub(crate) records: Vec<StoredRecord>,
}

/// A record with its revision in the store.
#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    pub(crate) service: Name,
    pub(crate) revision: Revision,
    /// The era in which the leader that wrote the record was elected.
    pub(crate) era: u64,
    /// The record; `None` if it cannot be read, or does not tell who may hold keys.
    pub(crate) record: Option<Record>,
}

/// The outcome of writing a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The record is durable and has this revision.
    Done(Revision),
    /// The write is not known to have succeeded.
    Failed {
        /// The revision that the store has, if it was read.
        revision: Option<Revision>,
        /// Whether the write certainly never takes effect.
        is_ruled_out: bool,
    },
    /// Another daemon is the leader.
    Deposed,
}
