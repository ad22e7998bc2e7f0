//! A simulated server that handles orders.

use std::net::{Ipv4Addr, SocketAddr};

use document::Name;
use shard::{Fence, Grant, Handover, KeyRange, OrderKind, Reply};

/// How much of the time clocks of servers measure, in percent.
const SLOW_CLOCK_PERCENT: u64 = 98;

/// A server that checks fences and whose grants expire.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a state of its own")]
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// The name of its entry, if an earlier process has that name as well.
    pub(super) listed_as: Option<Name>,
    pub(super) born_ms: u64,
    pub(super) is_running: bool,
    /// Whether no order reaches it.
    pub(super) is_cut: bool,
    pub(super) is_draining: bool,
    /// When it ends, if its entry was removed.
    pub(super) ends_at_ms: Option<u64>,
    /// When the messages that wait on the link to the server have been sent.
    pub(super) link_free_at_ms: u64,
    pub(super) held: Vec<Held>,
    /// Whether it carries out grants that it has not answered whatever their fences.
    pub(super) ignores_late_fences: bool,
    /// How often it leaves a grant unanswered, if it does so at a steady pace.
    pub(super) unanswered_interval_ms: Option<u64>,
    /// When it left the last one unanswered.
    pub(super) last_unanswered_ms: u64,
    /// The ranges and fences of all grants accepted so far.
    pub(super) seen_fences: Vec<(KeyRange, Fence)>,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            listed_as: None,
            born_ms: 0,
            is_running: false,
            is_cut: false,
            is_draining: false,
            ends_at_ms: None,
            link_free_at_ms: 0,
            held: Vec::new(),
            ignores_late_fences: false,
            unanswered_interval_ms: None,
            last_unanswered_ms: 0,
            seen_fences: Vec::new(),
        }
    }
}

impl Server {
    /// Returns whether the server leaves a grant that arrives now unanswered, as it does at a
    /// steady pace.
    pub(super) fn leaves_unanswered(&mut self, now_ms: u64) -> bool {
        let interval_ms = self.unanswered_interval_ms;
        let is_due =
            interval_ms.is_some_and(|interval| now_ms >= self.last_unanswered_ms + interval);
        if is_due {
            self.last_unanswered_ms = now_ms;
        }
        is_due
    }

    /// Returns whether the server holds a key.
    pub(super) fn holds(&self, key: u16, now_ms: u64) -> bool {
        self.held.iter().any(|held| held.range.contains(key) && held.deadline_ms > now_ms)
    }
}

/// A range that a server holds until a deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) range: KeyRange,
    pub(super) deadline_ms: u64,
}

pub(super) fn apply(server: &mut Server, kind: &OrderKind, now_ms: u64, arrived_ms: u64) -> Reply {
    server.held.retain(|held| held.deadline_ms > now_ms);
    match kind {
        OrderKind::Grant(grant) => apply_grant(server, grant, arrived_ms),
        OrderKind::Release(release) => {
            // A server may take only grants' fences as seen.
            server.held =
                server.held.iter().flat_map(|held| without(held, release.range)).collect();
            Reply::Done(Some(Handover::from("token")))
        }
    }
}

/// Carries out an order that gets no answer.
pub(super) fn apply_late(server: &mut Server, kind: &OrderKind, now_ms: u64, arrived_ms: u64) {
    let OrderKind::Grant(grant) = kind else { return };
    if !server.ignores_late_fences {
        apply(server, kind, now_ms, arrived_ms);
        return;
    }
    server.held.retain(|held| held.deadline_ms > now_ms);
    // Keys that it holds already stay as they are.
    let free = server.held.iter().fold(vec![grant.range], |parts, held| {
        parts.into_iter().flat_map(|part| part.without(held.range)).collect()
    });
    let deadline_ms = arrived_ms + slow_ms(grant.grant_ms);
    server.held.extend(free.into_iter().map(|range| Held { range, deadline_ms }));
}

/// Returns how long a grant lasts by a slow clock.
fn slow_ms(grant_ms: u64) -> u64 {
    (grant_ms * 100).div_ceil(SLOW_CLOCK_PERCENT)
}

fn apply_grant(server: &mut Server, grant: &Grant, arrived_ms: u64) -> Reply {
    let is_fenced = server
        .seen_fences
        .iter()
        .any(|(range, fence)| range.overlaps(grant.range) && *fence > grant.fence);
    if is_fenced {
        return Reply::Fenced;
    }
    server.seen_fences.push((grant.range, grant.fence));
    let deadline_ms = arrived_ms + slow_ms(grant.grant_ms);
    let held = std::mem::take(&mut server.held);
    let mut free = vec![grant.range];
    for earlier in &held {
        free = free.into_iter().flat_map(|part| part.without(earlier.range)).collect();
        server.held.extend(without(earlier, grant.range));
        // A grant never shortens an earlier one, whatever its fence.
        let both = earlier.range.intersection(grant.range);
        let deadline_ms = earlier.deadline_ms.max(deadline_ms);
        server.held.extend(both.map(|range| Held { range, deadline_ms }));
    }
    server.held.extend(free.into_iter().map(|range| Held { range, deadline_ms }));
    Reply::Done(None)
}

/// Returns the parts of a held range that are outside another range.
fn without(held: &Held, range: KeyRange) -> Vec<Held> {
    held.range.without(range).into_iter().map(|range| Held { range, ..*held }).collect()
}
