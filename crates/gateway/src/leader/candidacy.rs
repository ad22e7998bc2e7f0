//! Decides in which order daemons campaign to become the leader.
//!
//! All daemons learn at about the same time that there is no leader. If each waited for a random
//! time, the time would have to grow with their number for one to be clearly first. Instead, all
//! of them order the daemons in the same way, and each waits for its turn. A daemon that the
//! store refuses loses its turn to the next.

use std::cmp::Reverse;

use document::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A daemon that may become the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The name of the instance.
    pub instance: Name,
    /// The bandwidth of its link; 0 if unknown.
    pub link_mbps: u32,
}

/// The time between the campaigns of two daemons: about one campaign.
const TURN_MS: u64 = 50;
/// Half of the backoff after a campaign that failed; it doubles with each.
const FAILURE_BACKOFF_MS: u64 = 50;
/// The longest wait of a daemon for its turn, and the longest backoff.
const MAX_WAIT_MS: u64 = 1_000;
/// The additional wait while the successor that the last leader named campaigns.
const SUCCESSOR_HEAD_START_MS: u64 = 150;
/// The part of the largest bandwidth that a daemon needs to campaign before the others.
///
/// A leader sends and receives more than any other daemon.
const WELL_CONNECTED_DIVISOR: u32 = 2;

/// Returns the candidates in the order of their campaigns after the leader of an epoch.
///
/// The order differs from epoch to epoch, except that well connected daemons are first.
#[must_use]
pub fn campaign_order(epoch: u64, mut candidates: Vec<Candidate>) -> Vec<Name> {
    let max_mbps = candidates.iter().map(|candidate| candidate.link_mbps).max().unwrap_or(0);
    candidates.sort_by_cached_key(|candidate| {
        let is_well_connected = candidate.link_mbps >= max_mbps / WELL_CONNECTED_DIVISOR;
        let draw = xxh3_64_with_seed(candidate.instance.as_bytes(), epoch);
        (Reverse(is_well_connected), draw, candidate.instance.clone())
    });
    candidates.into_iter().map(|candidate| candidate.instance).collect()
}

/// Returns how long a daemon waits for its turn; `successor` is the daemon that the last leader
/// named when it resigned, and `failures` the number of the daemon's campaigns that failed.
#[must_use]
pub fn campaign_wait_ms(
    order: &[Name],
    instance: &Name,
    successor: Option<&Name>,
    failures: u32,
) -> u64 {
    let backoff_ms = match failures {
        0 => 0,
        _ => (FAILURE_BACKOFF_MS << failures.min(8)).min(MAX_WAIT_MS),
    };
    if successor == Some(instance) {
        return backoff_ms;
    }
    let rank = order.iter().position(|name| name == instance).unwrap_or(order.len());
    let rank = u64::try_from(rank).unwrap_or(MAX_WAIT_MS);
    let head_start_ms = if successor.is_some() { SUCCESSOR_HEAD_START_MS } else { 0 };
    backoff_ms + head_start_ms + rank.saturating_mul(TURN_MS).min(MAX_WAIT_MS)
}
