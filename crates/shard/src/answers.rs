//! What answers to orders change.

use crate::assignment::Assignment;
use crate::order::Note;
use crate::turn::Open;
use crate::{Grant, OrderKind, Output, Release, Reply, Tuning};

/// How long until a grant that was not answered is sent again.
const GRANT_AGAIN_MS: u64 = 60;
/// How often a server may meet a higher fence before somebody else must lead.
const MOST_REFUSALS: u32 = 3;

impl Assignment {
    /// Notes what became of an order; returns whether somebody else must be leading.
    pub(crate) fn answered(
        &mut self,
        now_ms: u64,
        order: &Open,
        reply: &Reply,
        tuning: &Tuning,
        outputs: &mut Vec<Output>,
    ) -> bool {
        match &order.kind {
            OrderKind::Grant(grant) => {
                self.grant_answered(now_ms, order, grant, reply, tuning, outputs)
            }
            OrderKind::Release(release) => {
                self.release_answered(now_ms, order, release, reply, outputs);
                false
            }
        }
    }

    fn grant_answered(
        &mut self,
        now_ms: u64,
        order: &Open,
        grant: &Grant,
        reply: &Reply,
        tuning: &Tuning,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let mut is_deposed = false;
        for piece in self.pieces.iter_mut().filter(|piece| piece.range.overlaps(grant.range)) {
            let until_ms = tuning.stands_until_ms(now_ms, grant.hold_ms);
            let may_stand = matches!(reply, Reply::Done(_) | Reply::Unclear);
            if may_stand {
                piece.note_grant(&order.incarnation, until_ms);
            }
            let Some(holder) =
                piece.holder.as_mut().filter(|holder| holder.incarnation == order.incarnation)
            else {
                continue;
            };
            if holder.fence != grant.fence {
                continue;
            }
            match reply {
                Reply::Done(_) => {
                    if !holder.is_fence_taken {
                        outputs.push(Output::Note(Note::Granted {
                            service: order.service.clone(),
                            range: piece.range,
                            to: order.incarnation.clone(),
                            fence: grant.fence,
                            hold_ms: grant.hold_ms,
                        }));
                    }
                    holder.is_fence_taken = true;
                    holder.failures = 0;
                    holder.refusals = 0;
                    self.is_changed |= !holder.serves;
                    holder.serves = true;
                    if piece.successor.is_none() {
                        piece.handover = None;
                    }
                }
                Reply::Fenced => {
                    holder.refusals += 1;
                    holder.renew_at_ms = 0;
                    is_deposed |= holder.refusals >= MOST_REFUSALS;
                    outputs.push(Output::Note(Note::Refused {
                        service: order.service.clone(),
                        range: piece.range,
                        by: order.incarnation.clone(),
                        fence: grant.fence,
                    }));
                }
                Reply::NotSent | Reply::Unclear => {
                    holder.failures += 1;
                    holder.renew_at_ms = now_ms + GRANT_AGAIN_MS * u64::from(holder.failures);
                }
            }
        }
        is_deposed
    }

    fn release_answered(
        &mut self,
        now_ms: u64,
        order: &Open,
        release: &Release,
        reply: &Reply,
        outputs: &mut Vec<Output>,
    ) {
        for piece in self.pieces.iter_mut().filter(|piece| piece.range.overlaps(release.range)) {
            let former = piece.formers.iter().position(|former| {
                former.incarnation == order.incarnation && former.release_at_ms.is_none()
            });
            let Some(at) = former else { continue };
            if let Reply::Done(handover) = reply {
                piece.formers.remove(at);
                piece.handover.clone_from(handover);
                self.is_changed = true;
                outputs.push(Output::Note(Note::Released {
                    service: order.service.clone(),
                    range: piece.range,
                    by: order.incarnation.clone(),
                    fence: release.fence,
                }));
            } else {
                piece.formers[at].release_at_ms = Some(now_ms + GRANT_AGAIN_MS);
            }
        }
    }
}
