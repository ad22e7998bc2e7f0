//! The state of one range: its holder, previous holders and successor.

use registry::Incarnation;

use crate::{EndedHolder, Fence, Handover, KeyRange, MoveReason};

/// The state of one range of keys.
///
/// At most one server, the holder, is sent grants of a range. Previous holders may still have valid
/// grants. A new holder gets its first grant only when each of them has released the range or its
/// last grant has expired. If there is only one of them and no holder, it may be sent a short grant
/// that rules out earlier ones.
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
#[expect(clippy::struct_excessive_bools, reason = "each tells something else of its grants")]
pub(crate) struct Holder {
    pub(crate) incarnation: Incarnation,
    /// The fence of the grants.
    pub(crate) fence: Fence,
    /// Whether the server has accepted a grant under the current fence.
    pub(crate) has_accepted_fence: bool,
    /// Whether the server may still apply a grant of an earlier leader.
    pub(crate) may_apply_earlier: bool,
    /// The time until which grants may be valid, apart from those not answered yet.
    pub(crate) grant_deadline_ms: u64,
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

/// A server that may still hold a range that it is to give up.
#[derive(Clone, Debug)]
pub(crate) struct PreviousHolder {
    pub(crate) incarnation: Incarnation,
    /// The time until which grants may be valid, apart from those not answered yet.
    pub(crate) grant_deadline_ms: u64,
    /// When to send the next release; `None` while one is not answered yet.
    pub(crate) release_at_ms: Option<u64>,
    /// The fence of the last release, the only one whose answer counts.
    ///
    /// An earlier release, or a probe of the server, may be answered before this one.
    pub(crate) released_with: Option<Fence>,
    /// Whether the server may still apply a grant of an earlier leader, even after a release.
    pub(crate) may_apply_earlier: bool,
    /// Whether the last release that was answered reached another process. A server refuses no
    /// release of its own.
    pub(crate) is_misdirected: bool,
    /// Whether a release was sent because a later server is registered at the address.
    pub(crate) is_checked: bool,
}

/// The server that is to hold a range next.
#[derive(Clone, Debug)]
pub(crate) struct Successor {
    pub(crate) incarnation: Incarnation,
    /// The number of the record that names it; `None` until one is sent to the store.
    pub(crate) record_number: Option<u64>,
    pub(crate) reason: MoveReason,
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
    /// are not answered yet; `is_recorded` whether a durable record names the successor;
    /// `is_given_up` whether the holder does not answer and is to be replaced.
    pub(crate) fn next_step(
        &self,
        now_ms: u64,
        may_hold: bool,
        is_recorded: bool,
        is_given_up: bool,
    ) -> NextStep {
        match &self.holder {
            None if is_recorded && self.previous_holders.is_empty() => NextStep::GrantToSuccessor,
            Some(holder) if !may_hold && !holder.awaits_first_result() => NextStep::Expire,
            Some(_) if is_recorded || is_given_up => NextStep::StartRelease,
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
            self.previous_holders.push(PreviousHolder {
                may_apply_earlier: holder.may_apply_earlier,
                ..PreviousHolder::new(holder.incarnation, holder.grant_deadline_ms, release_at_ms)
            });
        }
    }

    /// Extends the time until which grants to a server may be valid.
    ///
    /// It applies to every incarnation of the server, since a grant reaches the one that
    /// runs when it arrives. A shorter grant doesn't shorten an earlier one, not even under
    /// a higher fence.
    pub(crate) fn extend_grant_deadline(&mut self, incarnation: &Incarnation, deadline_ms: u64) {
        let holder =
            self.holder.iter_mut().filter(|holder| holder.incarnation.server == incarnation.server);
        let previous_holders = self
            .previous_holders
            .iter_mut()
            .filter(|previous| previous.incarnation.server == incarnation.server);
        let holder = holder.map(|holder| &mut holder.grant_deadline_ms);
        for grant_deadline_ms in
            holder.chain(previous_holders.map(|previous| &mut previous.grant_deadline_ms))
        {
            *grant_deadline_ms = deadline_ms.max(*grant_deadline_ms);
        }
    }

    /// Notes that a previous holder has accepted a grant, so that it refuses those of earlier leaders.
    pub(crate) fn rule_out_earlier(&mut self, incarnation: &Incarnation, granted: KeyRange) {
        if !self.range.without(granted).is_empty() {
            return;
        }
        let previous = self.previous_holders.iter_mut();
        for previous in previous.filter(|previous| previous.incarnation == *incarnation) {
            previous.may_apply_earlier = false;
        }
    }

    /// Returns the times until which answered grants may be valid.
    pub(crate) fn grant_deadlines_mut(&mut self) -> impl Iterator<Item = &mut u64> {
        let holder = self.holder.iter_mut().map(|holder| &mut holder.grant_deadline_ms);
        let previous_holders = self.previous_holders.iter_mut();
        holder.chain(previous_holders.map(|previous| &mut previous.grant_deadline_ms))
    }

    /// Returns the last time at which an answered grant may be valid.
    pub(crate) fn grants_deadline_ms(&self) -> u64 {
        let holder = self.holder.iter().map(|holder| holder.grant_deadline_ms);
        let previous_holders = self.previous_holders.iter();
        let deadlines = holder.chain(previous_holders.map(|previous| previous.grant_deadline_ms));
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

    /// Returns the servers whose grants have to be released or to expire before the planned
    /// owner can hold the range.
    pub(crate) fn holders_to_release(&self) -> Vec<Incarnation> {
        let owner = self.planned_owner();
        let holder = self.holder.iter().map(|holder| &holder.incarnation);
        let previous_holders = self.previous_holders.iter().map(|previous| &previous.incarnation);
        // A previous holder that is to be the owner again still has to release the range.
        holder
            .filter(|incarnation| Some(*incarnation) != owner)
            .chain(previous_holders)
            .cloned()
            .collect()
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
    pub(crate) fn new(incarnation: Incarnation, reason: MoveReason) -> Self {
        Self { incarnation, record_number: None, reason }
    }
}

impl PreviousHolder {
    /// Creates a previous holder that is sent a release at the given time.
    pub(crate) fn new(
        incarnation: Incarnation,
        grant_deadline_ms: u64,
        release_at_ms: u64,
    ) -> Self {
        Self {
            incarnation,
            grant_deadline_ms,
            release_at_ms: Some(release_at_ms),
            released_with: None,
            may_apply_earlier: false,
            is_misdirected: false,
            is_checked: false,
        }
    }
}

impl Holder {
    /// Creates a holder that was not sent any grant yet.
    pub(crate) fn new(incarnation: Incarnation, fence: Fence) -> Self {
        Self {
            incarnation,
            fence,
            has_accepted_fence: false,
            may_apply_earlier: false,
            listed: None,
            grant_deadline_ms: 0,
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
        self.grant_deadline_ms == 0 && self.failures == 0
    }
}
