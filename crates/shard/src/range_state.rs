//! The state of one range: its holder, previous holders and successor.

use registry::Incarnation;

use crate::grant_ends::GrantEnds;
use crate::previous_holder::{PreviousHolder, ReleaseState};
use crate::{ConnectionId, EndedHolder, Fence, Handover, KeyRange, MoveReason};

/// The state of one range of keys.
///
/// At most one server, the holder, is sent grants of a range. Previous holders may still have valid
/// grants. A new holder gets its first grant only when the time of every grant that they were sent
/// has passed, or a release has ended them all.
/// If a release cannot show that, the holder serves the range until shortly before.
#[derive(Clone, Debug)]
pub(crate) struct RangeState {
    pub(crate) range: KeyRange,
    pub(crate) holder: Option<Holder>,
    pub(crate) previous_holders: Vec<PreviousHolder>,
    pub(crate) successor: Option<Successor>,
    /// The token that the previous holder returned when it released the range.
    pub(crate) handover: Option<Handover>,
    /// The last servers that counted as done, for the log line of the next grant.
    pub(crate) ended: Vec<EndedHolder>,
}

/// The server that a range is granted to.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) incarnation: Incarnation,
    /// The fence of the grants.
    pub(crate) fence: Fence,
    /// Whether the server has accepted a grant under the current fence.
    pub(crate) has_accepted_fence: bool,
    pub(crate) grants: GrantEnds,
    /// The earliest time at which the last accepted grant may end.
    pub(crate) lease_end_ms: u64,
    pub(crate) renew_at_ms: u64,
    /// Whether the last grant was a short one.
    pub(crate) is_short: bool,
    /// Number of unanswered grants since the last accepted one.
    pub(crate) failures: u32,
    /// Number of grants refused for their fence since the last accepted one.
    pub(crate) refusals: u32,
    /// The records that may be or become durable and name this server as a previous holder. It is
    /// sent no grants while there are any.
    pub(crate) listed: Option<Listed>,
    /// Whether the server accepted a grant, or is the owner in an earlier leader's record.
    pub(crate) is_serving: bool,
}

/// The first and last of some records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listed {
    pub(crate) first: u64,
    last: u64,
}

/// The server that is to hold a range next.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub(crate) incarnation: Incarnation,
    /// The number of the record that names it; `None` until one is sent to the store.
    pub(crate) record_number: Option<u64>,
    pub(crate) reason: MoveReason,
    /// Until when the move waits for a time at which a release ends all grants.
    pub(crate) patience_deadline_ms: u64,
}

/// The next action that a range needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextStep {
    /// Do nothing for now.
    Wait,
    /// Drop the holder, as its last grant has expired.
    Expire,
    /// Have the holder release the range, as a durable record names a successor.
    StartRelease,
    /// Send the successor its first grant.
    GrantToSuccessor,
    /// Renew the holder's grant.
    Renew,
}

/// How many servers that held a range before a grant are logged with it.
const MAX_LOGGED_HOLDERS: usize = 8;

impl RangeState {
    pub(crate) fn unassigned(range: KeyRange) -> Self {
        Self {
            range,
            holder: None,
            previous_holders: Vec::new(),
            successor: None,
            handover: None,
            ended: Vec::new(),
        }
    }

    /// Returns the next action.
    ///
    /// `may_hold` tells whether a grant of the holder may be valid, including grants that
    /// are not answered yet; `release_at_ms` from when on the holder is released, `None` while no
    /// durable record names the successor; `is_given_up` whether the holder does not answer and is
    /// to be replaced.
    pub(crate) fn next_step(
        &self,
        now_ms: u64,
        may_hold: bool,
        release_at_ms: Option<u64>,
        is_given_up: bool,
    ) -> NextStep {
        let is_due = release_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        match &self.holder {
            None if release_at_ms.is_some() && self.is_free_for_successor() => {
                NextStep::GrantToSuccessor
            }
            Some(holder) if !may_hold && !holder.awaits_first_result() => NextStep::Expire,
            Some(_) if is_given_up || is_due => NextStep::StartRelease,
            Some(holder)
                if self.previous_holders.is_empty()
                    && !holder.is_frozen()
                    && now_ms >= holder.renew_at_ms =>
            {
                NextStep::Renew
            }
            None | Some(_) => NextStep::Wait,
        }
    }

    /// Returns whether no server but the successor may hold the range.
    fn is_free_for_successor(&self) -> bool {
        self.successor.as_ref().is_some_and(|successor| {
            let mut previous = self.previous_holders.iter();
            previous.all(|previous| previous.incarnation == successor.incarnation)
        })
    }

    /// Returns the only server that may hold the range, if it can hold it again at once.
    ///
    /// A release whose answer is awaited could take the range from it again.
    pub(crate) fn returnable_holder(&self) -> Option<&Incarnation> {
        let (None, [previous]) = (&self.holder, self.previous_holders.as_slice()) else {
            return None;
        };
        let is_settled =
            matches!(previous.release, ReleaseState::Answered { .. } | ReleaseState::NotNeeded);
        is_settled.then_some(&previous.incarnation)
    }

    /// Returns whether a previous holder has started again.
    pub(crate) fn has_restarted_holder(&self) -> bool {
        let mut previous = self.previous_holders.iter();
        previous.any(|previous| previous.release == ReleaseState::NotNeeded)
    }

    /// Notes that a server counts as done, for the log line of the next grant.
    pub(crate) fn note_end(&mut self, ended: EndedHolder) {
        if self.ended.len() == MAX_LOGGED_HOLDERS {
            self.ended.remove(0);
        }
        self.ended.push(ended);
    }

    /// Makes the holder a previous one that is sent a release at the given time.
    pub(crate) fn start_release(&mut self, release_at_ms: u64) {
        if let Some(holder) = self.holder.take() {
            let mut previous =
                PreviousHolder::new(holder.incarnation, holder.grants, release_at_ms);
            previous.lease_end_ms = holder.lease_end_ms;
            self.previous_holders.push(previous);
        }
    }

    /// Adds a grant to a server that may be valid until a deadline.
    ///
    /// It applies to every incarnation of the server, since a grant reaches the one that
    /// runs when it arrives. A shorter grant doesn't shorten an earlier one, not even under
    /// a higher fence.
    pub(crate) fn add_grant(
        &mut self,
        incarnation: &Incarnation,
        connection: Option<ConnectionId>,
        deadline_ms: u64,
    ) {
        let holder =
            self.holder.iter_mut().filter(|holder| holder.incarnation.server == incarnation.server);
        let previous_holders = self
            .previous_holders
            .iter_mut()
            .filter(|previous| previous.incarnation.server == incarnation.server);
        let holder = holder.map(|holder| &mut holder.grants);
        for grants in holder.chain(previous_holders.map(|previous| &mut previous.grants)) {
            match connection {
                Some(connection) => grants.add_answered(connection, deadline_ms),
                None => grants.add_timed(deadline_ms),
            }
        }
    }

    /// Returns the grants of all holders.
    pub(crate) fn grants_mut(&mut self) -> impl Iterator<Item = &mut GrantEnds> {
        let holder = self.holder.iter_mut().map(|holder| &mut holder.grants);
        let previous_holders = self.previous_holders.iter_mut();
        holder.chain(previous_holders.map(|previous| &mut previous.grants))
    }

    /// Returns the times until which answered grants to some of its holders may be valid.
    pub(crate) fn grant_deadlines_of<'a>(
        &'a self,
        holders: &'a [Incarnation],
    ) -> impl Iterator<Item = (&'a Incarnation, u64)> {
        let holder =
            self.holder.iter().map(|holder| (&holder.incarnation, holder.grants.deadline_ms()));
        let previous = self.previous_holders.iter();
        let previous =
            previous.map(|previous| (&previous.incarnation, previous.grants.deadline_ms()));
        holder.chain(previous).filter(|(incarnation, _)| holders.contains(incarnation))
    }

    /// Returns the last time at which an answered grant may be valid.
    pub(crate) fn grants_deadline_ms(&self) -> u64 {
        let holder = self.holder.iter().map(|holder| holder.grants.deadline_ms());
        let previous_holders = self.previous_holders.iter();
        let deadlines =
            holder.chain(previous_holders.map(|previous| previous.grants.deadline_ms()));
        deadlines.max().unwrap_or(0)
    }

    /// Returns whether the holder serves the range and no move is planned or going on.
    pub(crate) fn is_settled(&self) -> bool {
        self.successor.is_none()
            && self.previous_holders.is_empty()
            && self.holder.as_ref().is_some_and(|holder| holder.is_serving && !holder.is_frozen())
    }

    /// Returns the successor, or the holder if no move is planned.
    pub(crate) fn planned_owner(&self) -> Option<&Incarnation> {
        match (&self.successor, &self.holder) {
            (Some(successor), _) => Some(&successor.incarnation),
            (None, Some(holder)) => Some(&holder.incarnation),
            (None, None) => None,
        }
    }

    /// Returns the server that serves the range, if one does.
    pub(crate) fn serving(&self) -> Option<&Incarnation> {
        if let Some(holder) = &self.holder {
            return holder.is_serving.then_some(&holder.incarnation);
        }
        let [previous] = self.previous_holders.as_slice() else { return None };
        let is_serving = matches!(previous.release, ReleaseState::Postponed(_));
        is_serving.then_some(&previous.incarnation)
    }

    /// Returns the servers whose grants have to expire before the planned owner can hold the range.
    pub(crate) fn holders_to_release(&self) -> Vec<Incarnation> {
        let owner = self.planned_owner();
        let holder = self.holder.iter().map(|holder| &holder.incarnation);
        let previous_holders = self.previous_holders.iter().map(|previous| &previous.incarnation);
        let holders = holder.chain(previous_holders);
        holders.filter(|incarnation| Some(*incarnation) != owner).cloned().collect()
    }

    /// Splits the range before a key and returns the right part; both keep the whole state.
    pub(crate) fn split_off(&mut self, key: u16) -> Option<Self> {
        let (left, right) = self.range.split_at(key)?;
        self.range = left;
        Some(Self { range: right, ..self.clone() })
    }
}

impl Listed {
    /// Adds the latest record.
    pub(crate) fn again(listed: Option<Self>, number: u64) -> Self {
        Self { first: listed.map_or(number, |listed| listed.first), last: number }
    }

    /// Returns the records of these that may be or become durable now that one is durable.
    pub(crate) fn after_durable(self, number: u64) -> Option<Self> {
        (self.last >= number).then_some(Self { first: self.first.max(number), ..self })
    }
}

impl Successor {
    pub(crate) fn new(
        incarnation: Incarnation,
        reason: MoveReason,
        patience_deadline_ms: u64,
    ) -> Self {
        Self { incarnation, record_number: None, reason, patience_deadline_ms }
    }
}

impl Holder {
    /// Creates a holder that was not sent any grant yet.
    pub(crate) fn new(incarnation: Incarnation, fence: Fence) -> Self {
        Self {
            incarnation,
            fence,
            has_accepted_fence: false,
            listed: None,
            grants: GrantEnds::default(),
            lease_end_ms: 0,
            renew_at_ms: 0,
            is_short: false,
            failures: 0,
            refusals: 0,
            is_serving: false,
        }
    }

    /// Returns whether no grants are sent because a record may name a successor.
    pub(crate) fn is_frozen(&self) -> bool {
        self.listed.is_some()
    }

    /// Replaces the fence for the next grants.
    pub(crate) fn renew_fence(&mut self, fence: Fence) {
        self.fence = fence;
        self.has_accepted_fence = false;
    }

    /// Returns whether no grant has been accepted and none has failed.
    ///
    /// Grants that were refused or whose answer is still awaited do not count.
    fn awaits_first_result(&self) -> bool {
        self.grants.deadline_ms() == 0 && self.failures == 0
    }
}
