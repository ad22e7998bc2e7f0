//! Grants that were given up unanswered and may still take effect.

use document::Name;
use registry::Incarnation;

use crate::pass::PendingOrder;
use crate::{Config, Fence, Grant, KeyRange};

/// A grant that was given up unanswered.
///
/// This process has reset its connection, but a busy link may deliver what it took before, up to
/// [`Config::max_transit_ms`] later, and the reset may never arrive. A server may apply a grant
/// seconds after it arrived, even after a release, but its time counts from its arrival.
#[derive(Clone, Debug)]
pub(crate) struct AbandonedGrant {
    pub(crate) service: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) range: KeyRange,
    pub(crate) fence: Fence,
    grant_ms: u64,
    /// The last time at which it may arrive.
    last_arrival_ms: u64,
    /// Whether it counts as arrived for the ranges of its server.
    is_counted: bool,
}

/// All grants that were given up and may still take effect.
#[derive(Debug, Default)]
pub(crate) struct AbandonedGrants {
    open: Vec<AbandonedGrant>,
    /// Those that a later grant ruled out, with its fence, until their time has passed.
    ruled_out: Vec<(AbandonedGrant, Fence)>,
}

impl AbandonedGrant {
    /// Returns the time until which the grant may be valid if it arrives as late as it can.
    pub(crate) fn deadline_ms(&self, config: &Config) -> u64 {
        config.grant_deadline_ms(self.last_arrival_ms, self.grant_ms)
    }

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
        self.open.push(AbandonedGrant {
            service: order.service.clone(),
            incarnation: order.incarnation.clone(),
            range: grant.range,
            fence: grant.fence,
            grant_ms: grant.grant_ms,
            last_arrival_ms: now_ms + config.max_transit_ms,
            is_counted: false,
        });
    }

    /// Removes expired grants and returns those whose last arrival has passed since the last call.
    pub(crate) fn count_arrived(&mut self, now_ms: u64, config: &Config) -> Vec<AbandonedGrant> {
        self.open.retain(|grant| grant.deadline_ms(config) > now_ms);
        self.ruled_out.retain(|(grant, _)| grant.deadline_ms(config) > now_ms);
        let is_due =
            |grant: &&mut AbandonedGrant| !grant.is_counted && grant.last_arrival_ms <= now_ms;
        let due = self.open.iter_mut().filter(is_due);
        due.map(|grant| {
            grant.is_counted = true;
            grant.clone()
        })
        .collect()
    }

    /// Removes and returns the grants that a server refuses because it has accepted a later one,
    /// as if they had arrived just now, unless they cannot have arrived that late.
    ///
    /// Nothing else shows that a grant cannot take effect: the answer of another server tells
    /// nothing about the links in between, and orders may overtake each other.
    pub(crate) fn remove_fenced(
        &mut self,
        now_ms: u64,
        incarnation: &Incarnation,
        accepted: &Grant,
    ) -> Vec<AbandonedGrant> {
        let is_fenced = |grant: &AbandonedGrant| {
            grant.may_reach(incarnation, accepted.range)
                && grant.incarnation.born_ms <= incarnation.born_ms
                && grant.fence < accepted.fence
        };
        let fenced: Vec<AbandonedGrant> =
            self.open.extract_if(.., |grant| is_fenced(grant)).collect();
        for grant in &fenced {
            self.ruled_out.push((grant.clone(), accepted.fence));
            let rest = grant.range.without(accepted.range).into_iter();
            self.open.extend(rest.map(|range| AbandonedGrant { range, ..grant.clone() }));
        }
        let to_arrived = |grant: AbandonedGrant| AbandonedGrant {
            range: grant.range.intersection(accepted.range).unwrap_or(grant.range),
            last_arrival_ms: now_ms.min(grant.last_arrival_ms),
            ..grant
        };
        fenced.into_iter().map(to_arrived).collect()
    }

    /// Returns whether a grant to a server may still arrive.
    pub(crate) fn may_arrive(
        &self,
        now_ms: u64,
        incarnation: &Incarnation,
        range: KeyRange,
    ) -> bool {
        let mut reaching = self.open.iter().filter(|grant| grant.may_reach(incarnation, range));
        reaching.any(|grant| now_ms < grant.last_arrival_ms)
    }

    /// Returns the times until which grants to a server may be valid.
    pub(crate) fn deadlines_ms(
        &self,
        incarnation: &Incarnation,
        range: KeyRange,
        config: &Config,
    ) -> impl Iterator<Item = u64> {
        let reaching = self.open.iter().filter(move |grant| grant.may_reach(incarnation, range));
        reaching.map(|grant| grant.deadline_ms(config))
    }

    /// Returns all grants that may still take effect.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &AbandonedGrant> {
        self.open.iter()
    }

    /// Returns the grants whose time has not passed, with the fence that ruled each of them out.
    pub(crate) fn unexpired(&self) -> impl Iterator<Item = (&AbandonedGrant, Option<Fence>)> {
        let ruled_out = self.ruled_out.iter().map(|(grant, by)| (grant, Some(*by)));
        self.open.iter().map(|grant| (grant, None)).chain(ruled_out)
    }

    /// Returns the times until which grants to any server may be valid.
    pub(crate) fn all_deadlines_ms(&self, config: &Config) -> impl Iterator<Item = u64> {
        self.open.iter().map(|grant| grant.deadline_ms(config))
    }
}
