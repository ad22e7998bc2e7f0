//! A server as it meets orders.

use shard::{Fence, Grant, Handover, KeyRange, OrderKind, Reply};

/// Servers' clocks run this much slow, in percent.
const SLOW_PERCENT: u64 = 2;

/// A server that checks fences and lets grants run out.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) born_ms: u64,
    pub(super) is_up: bool,
    /// No message passes, either way.
    pub(super) is_cut: bool,
    pub(super) stage_is_draining: bool,
    pub(super) held: Vec<Held>,
    /// The highest fence seen, by range.
    pub(super) seen: Vec<(KeyRange, Fence)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) range: KeyRange,
    pub(super) until_ms: u64,
}

pub(super) fn apply(server: &mut Server, kind: &OrderKind, now_ms: u64, arrived_ms: u64) -> Reply {
    server.held.retain(|held| held.until_ms > now_ms);
    match kind {
        OrderKind::Grant(grant) => apply_grant(server, grant, arrived_ms),
        OrderKind::Release(release) => {
            server.seen.push((release.range, release.fence));
            server.held =
                server.held.iter().flat_map(|held| without(held, release.range)).collect();
            Reply::Done(Some(Handover::from("token")))
        }
    }
}

fn apply_grant(server: &mut Server, grant: &Grant, arrived_ms: u64) -> Reply {
    let is_fenced = server
        .seen
        .iter()
        .any(|(range, fence)| range.overlaps(grant.range) && *fence > grant.fence);
    if is_fenced {
        return Reply::Fenced;
    }
    server.seen.push((grant.range, grant.fence));
    let hold_ms = grant.hold_ms + grant.hold_ms * SLOW_PERCENT / 100;
    // A grant never takes back what an earlier one gave, whatever its fence.
    let earlier = server.held.iter().filter(|held| held.range.overlaps(grant.range));
    let earlier = earlier.map(|held| held.until_ms);
    let until_ms = earlier.max().unwrap_or(0).max(arrived_ms + hold_ms);
    let mut held: Vec<Held> =
        server.held.iter().flat_map(|held| without(held, grant.range)).collect();
    held.push(Held { range: grant.range, until_ms });
    server.held = held;
    Reply::Done(None)
}

/// Returns what is left of a holding without a range.
fn without(held: &Held, range: KeyRange) -> Vec<Held> {
    held.range.without(range).into_iter().map(|range| Held { range, ..*held }).collect()
}
