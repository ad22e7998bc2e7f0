//! The orders that one range needs.

use crate::contact::NextGrant;
use crate::pass::PassContext;
use crate::previous_holder::{PreviousHolder, ReleaseState};
use crate::range_state::{Holder, RangeState};
use crate::{Evidence, Grant, KeyRange, Release};

/// Returns what shows that a previous holder holds a range no longer, if anything does.
fn end_evidence(
    previous: &PreviousHolder,
    range: KeyRange,
    pass: &PassContext<'_>,
) -> Option<Evidence> {
    let deadline_ms = previous.grants.deadline_ms();
    if pass.may_hold(&previous.incarnation, range, deadline_ms) {
        return None;
    }
    Some(match previous.release {
        ReleaseState::Answered { fence, ends_grants: true } => Evidence::Released(fence),
        ReleaseState::Answered { fence, ends_grants: false } => {
            Evidence::Expired { deadline_ms, released_with: Some(fence) }
        }
        _ => Evidence::Expired { deadline_ms, released_with: None },
    })
}

/// Sends due releases to previous holders and drops those whose grants have ended.
///
/// Returns whether a holder was dropped.
pub(crate) fn release_previous_holders(state: &mut RangeState, pass: &mut PassContext<'_>) -> bool {
    let range = state.range;
    let next = state.successor.as_ref().map(|successor| successor.incarnation.clone());
    let mut ended = Vec::new();
    state.previous_holders.retain_mut(|previous| {
        if let Some(evidence) = end_evidence(previous, range, pass) {
            ended.push(pass.log_end(range, &previous.incarnation, evidence));
            return false;
        }
        let is_due = match previous.release {
            ReleaseState::DueAt(at_ms) | ReleaseState::Postponed(at_ms) => pass.now_ms >= at_ms,
            _ => false,
        };
        // A release that arrives after the next grant would take the range from the same server.
        if is_due && next.as_ref() != Some(&previous.incarnation) {
            let deadline_ms =
                pass.grant_deadline_ms(&previous.incarnation, range, previous.grants.deadline_ms());
            // A grant that is under way may be answered after the release was sent.
            let connection = previous.grants.connection();
            let connection =
                connection.filter(|_| !pass.awaits_grant(&previous.incarnation, range));
            let fence = pass.fences.next();
            previous.release = ReleaseState::Awaited { fence, connection };
            let release = Release { range, fence };
            pass.send_release(&previous.incarnation, release, deadline_ms, connection);
        }
        true
    });
    let is_changed = !ended.is_empty();
    for ended in ended {
        state.note_end(ended);
    }
    is_changed
}

/// Drops the holder, whose grants have ended.
pub(crate) fn expire_holder(state: &mut RangeState, pass: &mut PassContext<'_>) {
    let Some(holder) = state.holder.take() else { return };
    state.handover = None;
    let evidence = match holder.grants.deadline_ms() {
        0 => Evidence::NeverAccepted,
        deadline_ms => Evidence::Expired { deadline_ms, released_with: None },
    };
    let ended = pass.log_end(state.range, &holder.incarnation, evidence);
    state.note_end(ended);
}

/// Makes the successor the holder and sends its first grant.
pub(crate) fn grant_to_successor(state: &mut RangeState, pass: &mut PassContext<'_>) {
    let Some(successor) = state.successor.take() else { return };
    pass.log_unexpired(state.range, &successor.incarnation);
    // What is left of the previous holders are grants to the successor itself.
    let mut holder = Holder::new(successor.incarnation, pass.fences.next());
    for previous in state.previous_holders.drain(..) {
        holder.grants.merge(&previous.grants);
    }
    state.holder = Some(holder);
    renew_grant(state, pass);
}

/// Sends the holder its next grant, unless it is to be sent none yet.
pub(crate) fn renew_grant(state: &mut RangeState, pass: &mut PassContext<'_>) {
    let handover = state.handover.clone();
    let range = state.range;
    let Some(holder) = &mut state.holder else { return };
    let next = pass.next_grant(&holder.incarnation);
    if next == NextGrant::Wait {
        return;
    }
    // A server that checks fences then refuses a grant that was given up, which would end earlier.
    if holder.refusals > 0 || pass.may_abandoned_grant_apply(&holder.incarnation, range) {
        holder.renew_fence(pass.fences.next());
    }
    holder.renew_at_ms = pass.now_ms + pass.config.renew_interval_ms;
    holder.is_short = next == NextGrant::Short;
    let grant_ms =
        if holder.is_short { pass.grant_ms.min(pass.config.short_grant_ms) } else { pass.grant_ms };
    let (incarnation, fence) = (holder.incarnation.clone(), holder.fence);
    let connection = holder.grants.connection();
    pass.send_grant(&incarnation, Grant { range, fence, grant_ms, handover }, connection);
}
