//! The assignment of one service's keys.

use registry::Incarnation;

use crate::grant_ends::GrantEnds;
use crate::handover_time::HandoverTime;
use crate::pass::{FenceCounter, PassContext};
use crate::policy::{Candidate, position};
use crate::previous_holder::{PreviousHolder, ReleaseState};
use crate::range_orders::{
    expire_holder, grant_to_successor, release_previous_holders, renew_grant,
};
use crate::range_state::{Holder, NextStep, RangeState};
use crate::recording::RecordWrites;
use crate::{Config, Evidence, KeyLoad, KeyRange, Output, Owner, Record, Release, Span, Table};

/// The assignment of the keys of one service.
#[derive(Debug)]
pub(crate) struct Assignment {
    /// The ranges in ascending order; together they cover all keys.
    pub(crate) ranges: Vec<RangeState>,
    pub(crate) load: KeyLoad,
    /// The number of servers, and the time at which it last changed.
    ///
    /// The first assignment waits until it is stable.
    server_count: (usize, u64),
    pub(crate) writes: RecordWrites,
    pub(crate) handover_time: HandoverTime,
    /// Whether new owners have to be published or orders may have become due.
    pub(crate) is_changed: bool,
    /// Whether a range may need a successor, or has one that may no longer be usable.
    pub(crate) is_planning_due: bool,
    /// The version of the registry that the last pass saw.
    registry_version: Option<u64>,
    /// When the balance is logged next.
    pub(crate) balance_log_at_ms: u64,
    /// The time until which grants to servers that no record names may be valid.
    unknown_grants_deadline_ms: u64,
}

impl Assignment {
    /// Creates an assignment in which no key has a holder.
    pub(crate) fn new() -> Self {
        Self {
            ranges: vec![RangeState::unassigned(KeyRange::WHOLE)],
            load: KeyLoad::default(),
            server_count: (0, 0),
            writes: RecordWrites::default(),
            handover_time: HandoverTime::default(),
            is_changed: true,
            is_planning_due: true,
            registry_version: None,
            balance_log_at_ms: 0,
            unknown_grants_deadline_ms: 0,
        }
    }

    /// Creates an assignment in which any server may hold any key.
    pub(crate) fn unknown(now_ms: u64, config: &Config) -> Self {
        Self {
            unknown_grants_deadline_ms: config.earlier_grants_deadline_ms(now_ms),
            ..Self::new()
        }
    }

    /// Creates an assignment that continues from the record of an earlier leader.
    ///
    /// Whether that leader granted a range to its recorded owner is unknown. The owner gets a
    /// grant under a new fence once the grants of the recorded previous holders have expired.
    pub(crate) fn from_record(
        record: &Record,
        now_ms: u64,
        fences: &mut FenceCounter,
        config: &Config,
    ) -> Self {
        let grant_deadline_ms = config.earlier_grants_deadline_ms(now_ms);
        let previous_deadline_ms = record.previous_left_ms.map_or(grant_deadline_ms, |left_ms| {
            grant_deadline_ms.min(now_ms + Config::longest_ms(left_ms))
        });
        let to_previous_holder = |incarnation: &Incarnation| {
            let grants = GrantEnds::timed(previous_deadline_ms);
            PreviousHolder::new(incarnation.clone(), grants, now_ms)
        };
        let ranges = record.ranges.iter().map(|recorded| RangeState {
            holder: Some(Holder {
                grants: GrantEnds::timed(grant_deadline_ms),
                // Otherwise it is not known which of them serves the range.
                is_serving: recorded.previous.is_empty(),
                ..Holder::new(recorded.owner.clone(), fences.next())
            }),
            previous_holders: recorded.previous.iter().map(to_previous_holder).collect(),
            ..RangeState::unassigned(recorded.range)
        });
        Self { ranges: ranges.collect(), writes: RecordWrites::after(record), ..Self::new() }
    }

    /// Limits how long grants of earlier leaders count as valid.
    pub(crate) fn limit_earlier_grants(&mut self, deadline_ms: u64) {
        for grants in self.ranges.iter_mut().flat_map(RangeState::grants_mut) {
            grants.limit(deadline_ms);
        }
        self.unknown_grants_deadline_ms = deadline_ms.min(self.unknown_grants_deadline_ms);
    }

    /// Returns the time until which answered grants may be valid.
    pub(crate) fn grants_deadline_ms(&self) -> u64 {
        let known_ms = self.ranges.iter().map(RangeState::grants_deadline_ms).max().unwrap_or(0);
        known_ms.max(self.unknown_grants_deadline_ms)
    }

    /// Returns whether no key is assigned since any server may hold any key.
    pub(crate) fn is_unknown(&self, now_ms: u64) -> bool {
        self.is_unassigned() && now_ms < self.unknown_grants_deadline_ms
    }

    /// Returns whether new owners have to be published or orders may have become due.
    pub(crate) fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// Returns the number of ranges.
    pub(crate) fn count(&self) -> usize {
        self.ranges.len()
    }

    pub(crate) fn load_mut(&mut self) -> &mut KeyLoad {
        &mut self.load
    }

    /// Returns whether a server holds keys, may still hold some, or is to hold some.
    pub(crate) fn may_hold_keys(&self, incarnation: &Incarnation) -> bool {
        self.ranges.iter().any(|state| {
            state.planned_owner() == Some(incarnation)
                || state.holders_to_release().contains(incarnation)
        })
    }

    pub(crate) fn table(&self, now_ms: u64) -> Table {
        let mut spans: Vec<Span> = Vec::new();
        for state in &self.ranges {
            let owner = to_owner(state, now_ms);
            if let Some(last) = spans.last_mut()
                && last.owner == owner
                && let Some(range) = last.range.join(state.range)
            {
                last.range = range;
                continue;
            }
            spans.push(Span { range: state.range, owner });
        }
        Table { spans }
    }

    /// Makes the grants of all holders due for renewal.
    pub(crate) fn renew_all(&mut self) {
        for holder in self.ranges.iter_mut().filter_map(|state| state.holder.as_mut()) {
            holder.renew_at_ms = 0;
        }
    }

    /// Makes one pass: plans moves, sends due orders, and writes and publishes changes.
    pub(crate) fn advance(&mut self, pass: &mut PassContext<'_>, is_balance_due: bool) {
        if !self.is_ready_to_assign(pass) {
            return;
        }
        if is_balance_due {
            self.load.decay(pass.now_ms);
        }
        let version = Some(pass.servers.registry.version());
        let is_registry_changed = std::mem::replace(&mut self.registry_version, version) != version;
        if is_registry_changed || is_balance_due || self.is_changed {
            self.replace_restarted_holders(pass);
            self.drop_replaced_holders(pass);
        }
        let is_planning_due = std::mem::take(&mut self.is_planning_due) || is_registry_changed;
        if is_balance_due || (is_planning_due && self.needs_planning(pass)) {
            let mut candidates = pass.candidates();
            self.add_loads(&mut candidates);
            self.drop_unusable_successors(&candidates);
            self.choose_successors(pass, &mut candidates);
            if is_balance_due {
                self.balance(pass, &mut candidates);
            }
        }
        if is_balance_due {
            self.probe_silent_servers(pass);
        }
        self.send_due_orders(pass);
        self.write_record_if_due(pass);
        if std::mem::take(&mut self.is_changed) {
            pass.outputs.push(Output::Publish { service: pass.service.clone() });
        }
    }

    /// Returns whether keys are assigned already, or the number of servers has been stable for
    /// long enough to assign them.
    fn is_ready_to_assign(&mut self, pass: &PassContext<'_>) -> bool {
        let servers = pass.servers.registry.of_service(pass.service).count();
        if self.server_count.0 != servers {
            self.server_count = (servers, pass.now_ms);
        }
        let ready_at_ms = self.server_count.1 + pass.config.settle_ms;
        !self.is_unassigned()
            || (servers > 0 && pass.now_ms >= ready_at_ms.max(self.unknown_grants_deadline_ms))
    }

    /// Returns whether no key has or may have a holder.
    pub(crate) fn is_unassigned(&self) -> bool {
        let is_free =
            |only: &RangeState| only.planned_owner().is_none() && only.previous_holders.is_empty();
        matches!(self.ranges.as_slice(), [only] if is_free(only))
    }

    /// Probes silent servers with an order, to find out whether they answer again.
    ///
    /// The order is to release one key, which changes nothing on a server that holds no
    /// keys. Servers that may hold keys get orders anyway and are not probed.
    fn probe_silent_servers(&self, pass: &mut PassContext<'_>) {
        let (registry, service) = (pass.servers.registry, pass.service);
        let may_be_probed = |incarnation: &Incarnation| {
            registry.get(incarnation).is_some_and(|server| server.service == *service)
                && !self.may_hold_keys(incarnation)
        };
        for incarnation in pass.orders.due_probes(pass.now_ms, may_be_probed) {
            let fence = pass.fences.next();
            let release = Release { range: KeyRange::FIRST, fence };
            pass.send_release(&incarnation, release, pass.now_ms, None);
        }
    }

    /// Returns whether a range needs a successor, or has one that may no longer be usable.
    fn needs_planning(&self, pass: &PassContext<'_>) -> bool {
        let has_successor = self.ranges.iter().any(|state| state.successor.is_some());
        has_successor
            || (0..self.ranges.len()).any(|index| self.reason_to_move(pass, index).is_some())
    }

    /// Starts the release of ranges whose holder has restarted, since it lost them.
    ///
    /// Previous holders that have restarted at their address are replaced by their later incarnation.
    fn replace_restarted_holders(&mut self, pass: &PassContext<'_>) {
        let registry = pass.servers.registry;
        for state in &mut self.ranges {
            let is_restarted = state
                .holder
                .as_ref()
                .is_some_and(|holder| registry.has_later_incarnation(&holder.incarnation));
            if is_restarted {
                state.start_release(pass.now_ms);
                self.is_changed = true;
                self.is_planning_due = true;
            }
            // A later incarnation at the same address shows that the earlier one has ended. Grants
            // for that reach the later one, which may hold the range because of them. At another
            // address the earlier one may still run and hold the range.
            for previous in &mut state.previous_holders {
                if let Some(later) = registry.by_name(&previous.incarnation.server)
                    && later.incarnation.born_ms > previous.incarnation.born_ms
                    && pass.address(&previous.incarnation) == Some(later.address)
                {
                    let later = later.incarnation.clone();
                    *previous = PreviousHolder::restarted(later, &previous.grants);
                }
            }
        }
    }

    /// Drops previous holders that have been replaced by a later server at their address.
    ///
    /// The later server's registration alone is no evidence: the earlier one may still run. It is
    /// sent a release, which only another process refuses.
    fn drop_replaced_holders(&mut self, pass: &mut PassContext<'_>) {
        let registry = pass.servers.registry;
        let mut previous = self.ranges.iter().flat_map(|state| &state.previous_holders);
        if previous.all(|previous| registry.get(&previous.incarnation).is_some()) {
            return;
        }
        let latest = pass.latest_by_address();
        for state in &mut self.ranges {
            let range = state.range;
            let mut ended = Vec::new();
            state.previous_holders.retain_mut(|previous| {
                let Some(later) = pass.replacement(&previous.incarnation, range, &latest) else {
                    return true;
                };
                if previous.is_misdirected {
                    let evidence = Evidence::Replaced(later.clone());
                    ended.push(pass.log_end(range, &previous.incarnation, evidence));
                    return false;
                }
                // The answer to a release that was sent to the earlier process may never arrive.
                if !previous.is_checked && !matches!(previous.release, ReleaseState::DueAt(_)) {
                    previous.release = ReleaseState::DueAt(pass.now_ms);
                }
                previous.is_checked = true;
                true
            });
            if !ended.is_empty() {
                self.is_changed = true;
                self.is_planning_due = true;
            }
            for ended in ended {
                state.note_end(ended);
            }
        }
    }

    /// Drops successors that are no longer candidates, unless there is no candidate at all.
    fn drop_unusable_successors(&mut self, candidates: &[Candidate]) {
        for state in &mut self.ranges {
            let is_unusable = state
                .successor
                .as_ref()
                .is_some_and(|successor| position(candidates, &successor.incarnation).is_none());
            if is_unusable && !candidates.is_empty() {
                state.successor = None;
                self.is_changed = true;
            }
        }
    }

    /// Sends the orders that are due and removes holders whose grants have expired.
    fn send_due_orders(&mut self, pass: &mut PassContext<'_>) {
        self.merge_neighbours(pass);
        for state in &mut self.ranges {
            self.is_changed |= release_previous_holders(state, pass);
            let may_hold = state.holder.as_ref().is_some_and(|holder| {
                pass.may_hold(&holder.incarnation, state.range, holder.grants.deadline_ms())
            });
            let is_recorded =
                state.successor.as_ref().is_some_and(|next| self.writes.is_durable(next));
            let release_at_ms = is_recorded.then(|| {
                let handover_ms = self.handover_time.ms() + pass.config.release_delay_ms;
                state
                    .holder
                    .as_ref()
                    .map_or(0, |holder| pass.release_at_ms(holder, state.range, handover_ms))
            });
            let is_given_up = state.successor.is_some()
                && state
                    .holder
                    .as_ref()
                    .is_some_and(|holder| pass.is_given_up(holder, state.range));
            match state.next_step(pass.now_ms, may_hold, release_at_ms, is_given_up) {
                NextStep::Wait => {}
                NextStep::Expire => {
                    self.is_changed = true;
                    self.is_planning_due = true;
                    expire_holder(state, pass);
                }
                NextStep::StartRelease => {
                    self.is_changed = true;
                    state.start_release(pass.now_ms + pass.config.release_delay_ms);
                }
                NextStep::GrantToSuccessor => {
                    self.is_changed = true;
                    grant_to_successor(state, pass);
                }
                NextStep::Renew => renew_grant(state, pass),
            }
        }
    }

    /// Merges adjacent ranges of one holder under a new fence when one is due for renewal.
    fn merge_neighbours(&mut self, pass: &mut PassContext<'_>) {
        let mut index = 0;
        while index + 1 < self.ranges.len() {
            let Some(range) = self.merged_range(pass, index) else {
                index += 1;
                continue;
            };
            let next = self.ranges.remove(index + 1);
            let state = &mut self.ranges[index];
            state.range = range;
            if let (Some(holder), Some(next_holder)) = (&mut state.holder, next.holder) {
                holder.grants.merge(&next_holder.grants);
                holder.lease_end_ms = holder.lease_end_ms.min(next_holder.lease_end_ms);
                holder.renew_at_ms = 0;
                holder.renew_fence(pass.fences.next());
            }
        }
    }

    /// Returns the union of a range and the next one if they can be merged now.
    fn merged_range(&self, pass: &PassContext<'_>, index: usize) -> Option<KeyRange> {
        let (left, right) = (&self.ranges[index], &self.ranges[index + 1]);
        let (first, second) = (left.holder.as_ref()?, right.holder.as_ref()?);
        let have_same_holder =
            left.is_settled() && right.is_settled() && first.incarnation == second.incarnation;
        let has_no_failures = |holder: &Holder| holder.failures == 0 && holder.refusals == 0;
        let is_due = pass.now_ms >= first.renew_at_ms || pass.now_ms >= second.renew_at_ms;
        if !(have_same_holder && is_due && has_no_failures(first) && has_no_failures(second)) {
            return None;
        }
        left.range.join(right.range)
    }
}

fn to_owner(state: &RangeState, now_ms: u64) -> Owner {
    if let Some(serving) = state.serving() {
        return Owner::Server(serving.clone());
    }
    let next = state.planned_owner();
    let others =
        state.previous_holders.iter().filter(|previous| Some(&previous.incarnation) != next);
    let until_ms = others.map(|previous| previous.grants.timed_ms()).max().unwrap_or(0);
    match next {
        Some(next) if until_ms <= now_ms => Owner::Moving(next.clone()),
        _ => Owner::Nobody { until_ms },
    }
}
