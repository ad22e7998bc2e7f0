//! Grants that were given up unanswered and may still take effect.

use document::Name;
use registry::Incarnation;

use crate::order_tracker::PendingOrder;
use crate::{Config, Fence, Grant, KeyRange};

/// A grant that was given up unanswered.
///
/// This process has reset its connection, but a busy link may deliver what it took before, up to
/// [`Config::max_transit_ms`] later, and the reset may never arrive. A server may apply a grant
/// seconds after it arrived, after newer grants and releases and whatever its fence, but its time
/// counts from its arrival.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedGrant {
    pub(crate) service: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) range: KeyRange,
    pub(crate) fence: Fence,
    /// The time until which it may be valid if it arrives as late as it can.
    pub(crate) deadline_ms: u64,
    /// The last time at which it may arrive.
    last_arrival_ms: u64,
}

/// All grants that were given up and may still take effect.
#[derive(Debug, Default)]
pub(crate) struct AbandonedGrants(Vec<AbandonedGrant>);

impl AbandonedGrant {
    fn may_reach(&self, incarnation: &Incarnation, range: KeyRange) -> bool {
        // A grant reaches the incarnation of the server that runs when it arrives.
        self.incarnation.server == incarnation.server && self.range.overlaps(range)
    }
}

impl AbandonedGrants {
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        order: &PendingOrder,
        grant: &Grant,
        config: &Config,
    ) {
        let last_arrival_ms = now_ms + config.max_transit_ms;
        self.0.push(AbandonedGrant {
            service: order.service.clone(),
            incarnation: order.incarnation.clone(),
            range: grant.range,
            fence: grant.fence,
            deadline_ms: config.grant_deadline_ms(last_arrival_ms, grant.grant_ms),
            last_arrival_ms,
        });
    }

    /// Removes the grants whose time has passed; nothing else shows that one takes no effect.
    pub(crate) fn remove_expired(&mut self, now_ms: u64) {
        self.0.retain(|grant| grant.deadline_ms > now_ms);
    }

    /// Returns whether a grant to a server may still arrive.
    pub(crate) fn may_arrive(
        &self,
        now_ms: u64,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> bool {
        let mut reaching = self.0.iter().filter(|grant| grant.may_reach(incarnation, range));
        reaching.any(|grant| now_ms < grant.last_arrival_ms)
    }

    /// Returns the times until which grants to a server may be valid.
    pub(crate) fn deadlines_ms(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> impl Iterator<Item = u64> {
        let reaching = self.0.iter().filter(move |grant| grant.may_reach(incarnation, range));
        reaching.map(|grant| grant.deadline_ms)
    }

    /// Returns all grants that may still take effect, and some whose time has passed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &AbandonedGrant> {
        self.0.iter()
    }
}
