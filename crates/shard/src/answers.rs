//! Handling of the answers to orders.

use registry::Incarnation;

use crate::assignment::Assignment;
use crate::order::LogEvent;
use crate::order_tracker::PendingOrder;
use crate::previous_holder::ReleaseState;
use crate::{Config, Grant, OrderKind, Output, Release, Reply};

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
                self.on_release_reply(now_ms, order, release, reply, outputs);
                false
            }
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
        if reply.is_done() && grant.grant_ms <= config.short_grant_ms {
            self.renew_held_by(now_ms, &order.incarnation, config);
        }
        for state in self.ranges.iter_mut().filter(|state| state.range.overlaps(grant.range)) {
            // A grant without an answer may still be on its way.
            let (connection, last_arrival_ms) = match reply {
                Reply::Done(_) => (None, Some(now_ms)),
                Reply::DoneOn(connection, _) => (Some(*connection), Some(now_ms)),
                Reply::Unknown => (None, Some(now_ms + config.max_transit_ms)),
                Reply::Fenced | Reply::NotSent | Reply::Misdirected => (None, None),
            };
            if let Some(last_arrival_ms) = last_arrival_ms {
                let deadline_ms = config.grant_deadline_ms(last_arrival_ms, grant.grant_ms);
                state.add_grant(&order.incarnation, connection, deadline_ms);
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
                Reply::Done(_) | Reply::DoneOn(..) => {
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
                    holder.lease_end_ms = order.sent_at_ms + grant.grant_ms;
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
        outputs: &mut Vec<Output>,
    ) {
        for state in self.ranges.iter_mut().filter(|state| state.range.overlaps(release.range)) {
            let awaited = state.previous_holders.iter_mut().find_map(|previous| {
                let ReleaseState::Awaited { fence, connection } = previous.release else {
                    return None;
                };
                let is_awaited =
                    previous.incarnation == order.incarnation && fence == release.fence;
                is_awaited.then_some((previous, (fence, connection)))
            });
            let Some((previous, awaited)) = awaited else { continue };
            self.is_changed = true;
            let handover_ms = self.handover_time.ms();
            if !previous.on_release_reply(now_ms, awaited, reply, handover_ms) {
                continue;
            }
            state.handover = reply.handover().cloned();
            let waited_ms = now_ms.saturating_sub(order.sent_at_ms);
            self.handover_time.add(waited_ms);
            self.is_planning_due = true;
            outputs.push(Output::Log(LogEvent::Released {
                service: order.service.clone(),
                range: state.range,
                by: order.incarnation.clone(),
                fence: release.fence,
                waited_ms,
            }));
        }
    }
}
