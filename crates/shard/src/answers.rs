//! Handling of the answers to orders.

use registry::Incarnation;

use crate::abandoned::AbandonedGrant;
use crate::assignment::Assignment;
use crate::order::LogEvent;
use crate::pass::PendingOrder;
use crate::{Config, EndedHolder, Evidence, Grant, OrderKind, Output, Release, Reply};

/// Backoff before an order that failed is sent again; for grants it grows with each failure.
pub(crate) const ORDER_BACKOFF_MS: u64 = 60;
/// Number of consecutive refused grants of a range that show that another daemon is leading.
const MAX_REFUSALS: u32 = 3;

impl Assignment {
    /// Handles the outcome of an order and returns whether it shows that another daemon is leading.
    pub(crate) fn on_reply(
        &mut self,
        now_ms: u64,
        order: &PendingOrder,
        reply: &Reply,
        config: &Config,
        outputs: &mut Vec<Output>,
    ) -> bool {
        match &order.kind {
            OrderKind::Grant(grant) => {
                self.on_grant_reply(now_ms, order, grant, reply, config, outputs)
            }
            OrderKind::Release(release) => {
                self.on_release_reply(now_ms, order, release, reply, config, outputs);
                false
            }
        }
    }

    /// Counts an abandoned grant as valid from the last time at which it may have arrived.
    pub(crate) fn on_abandoned_grant(&mut self, grant: &AbandonedGrant, config: &Config) {
        let deadline_ms = grant.deadline_ms(config);
        for state in self.ranges.iter_mut().filter(|state| state.range.overlaps(grant.range)) {
            state.extend_grant_deadline(&grant.incarnation, deadline_ms);
        }
    }

    fn on_grant_reply(
        &mut self,
        now_ms: u64,
        order: &PendingOrder,
        grant: &Grant,
        reply: &Reply,
        config: &Config,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let mut is_deposed = false;
        if matches!(reply, Reply::Done(_)) && grant.grant_ms <= config.short_grant_ms {
            self.renew_held_by(now_ms, &order.incarnation, config);
        }
        for state in self.ranges.iter_mut().filter(|state| state.range.overlaps(grant.range)) {
            let deadline_ms = config.grant_deadline_ms(now_ms, grant.grant_ms);
            let may_hold = matches!(reply, Reply::Done(_) | Reply::Unknown);
            if may_hold {
                state.extend_grant_deadline(&order.incarnation, deadline_ms);
            }
            if matches!(reply, Reply::Done(_)) && grant.is_ruling_out {
                state.rule_out_earlier(&order.incarnation, grant.range);
            }
            let Some(holder) =
                state.holder.as_mut().filter(|holder| holder.incarnation == order.incarnation)
            else {
                continue;
            };
            if holder.fence != grant.fence {
                continue;
            }
            match reply {
                Reply::Done(_) => {
                    if !holder.has_accepted_fence {
                        outputs.push(Output::Log(LogEvent::Granted {
                            service: order.service.clone(),
                            range: state.range,
                            to: order.incarnation.clone(),
                            fence: grant.fence,
                            grant_ms: grant.grant_ms,
                            previous: std::mem::take(&mut state.ended),
                        }));
                    }
                    holder.has_accepted_fence = true;
                    holder.may_apply_earlier = false;
                    holder.failures = 0;
                    holder.refusals = 0;
                    self.is_changed |= !holder.is_serving;
                    holder.is_serving = true;
                    if state.successor.is_none() {
                        state.handover = None;
                    }
                }
                Reply::Fenced => {
                    holder.refusals += 1;
                    holder.renew_at_ms = 0;
                    is_deposed |= holder.refusals >= MAX_REFUSALS;
                    outputs.push(Output::Log(LogEvent::Refused {
                        service: order.service.clone(),
                        range: state.range,
                        by: order.incarnation.clone(),
                        fence: grant.fence,
                    }));
                }
                Reply::NotSent | Reply::Misdirected | Reply::Unknown => {
                    if *reply == Reply::Unknown {
                        outputs.push(Output::Log(LogEvent::GivenUp {
                            service: order.service.clone(),
                            range: state.range,
                            to: order.incarnation.clone(),
                            fence: grant.fence,
                            waited_ms: now_ms.saturating_sub(order.sent_at_ms),
                        }));
                    }
                    holder.failures += 1;
                    self.is_planning_due = true;
                    holder.renew_at_ms = now_ms + ORDER_BACKOFF_MS * u64::from(holder.failures);
                }
            }
        }
        is_deposed
    }

    /// Makes the grants of a server that has just answered due, unless they were renewed lately.
    fn renew_held_by(&mut self, now_ms: u64, incarnation: &Incarnation, config: &Config) {
        let due_by_ms = now_ms + config.renew_interval_ms / 2;
        let holders = self.ranges.iter_mut().filter_map(|state| state.holder.as_mut());
        for holder in holders.filter(|holder| holder.incarnation == *incarnation) {
            if holder.is_short || holder.renew_at_ms < due_by_ms {
                holder.renew_at_ms = 0;
            }
        }
    }

    fn on_release_reply(
        &mut self,
        now_ms: u64,
        order: &PendingOrder,
        release: &Release,
        reply: &Reply,
        config: &Config,
        outputs: &mut Vec<Output>,
    ) {
        for state in self.ranges.iter_mut().filter(|state| state.range.overlaps(release.range)) {
            let previous = state.previous_holders.iter().position(|previous| {
                previous.incarnation == order.incarnation
                    && previous.release_at_ms.is_none()
                    && previous.released_with == Some(release.fence)
            });
            let Some(index) = previous else { continue };
            let may_apply_earlier = state.previous_holders[index].may_apply_earlier;
            if let Reply::Done(handover) = reply
                && !may_apply_earlier
            {
                let previous = state.previous_holders.remove(index);
                state.handover.clone_from(handover);
                state.note_end(EndedHolder {
                    incarnation: order.incarnation.clone(),
                    evidence: Evidence::Released(release.fence),
                    at_ms: now_ms,
                    grants_until_ms: previous.grant_deadline_ms,
                });
                self.is_changed = true;
                outputs.push(Output::Log(LogEvent::Released {
                    service: order.service.clone(),
                    range: state.range,
                    by: order.incarnation.clone(),
                    fence: release.fence,
                    waited_ms: now_ms.saturating_sub(order.sent_at_ms),
                }));
            } else {
                let previous = &mut state.previous_holders[index];
                let backoff_ms = match reply {
                    Reply::Done(_) => config.short_grant_ms,
                    _ => ORDER_BACKOFF_MS,
                };
                previous.release_at_ms = Some(now_ms + backoff_ms);
                let is_misdirected = *reply == Reply::Misdirected;
                self.is_changed |= is_misdirected && !previous.is_misdirected;
                previous.is_misdirected = is_misdirected;
            }
        }
    }
}
