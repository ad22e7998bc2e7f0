//! Guards against hundreds of servers of which a few have most of the load.
//!
//! A release is answered when the work on the range has ended, so each move takes as long as a
//! request. Load that shifts must spread within seconds, lost servers' keys must go to many
//! servers, and ranges must not multiply.
mod fixture;

use std::collections::BTreeMap;

use crate::fixture::{SERVICE, TICK_MS, carry_out, incarnation, registry, step_with_writes};
use document::{HashMap, HashSet, Name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use registry::{Incarnation, Registry};
use shard::{
    Config, Epoch, Event, Leader, LogEvent, OrderId, OrderKind, Output, Owner, Reply, Servers,
    Table,
};

const SERVERS: usize = 354;
/// Time for the work that a release waits for.
const WORK_MS: u64 = 400;
/// Load of all keys, in busy slots: half of what the servers can do.
const LOAD_SLOTS: f32 = 700.0;

struct Harness {
    now_ms: u64,
    leader: Leader,
    registry: Registry,
    speeds: HashMap<Incarnation, f32>,
    replies: BTreeMap<(u64, u64), (OrderId, Reply)>,
    lost: HashSet<Incarnation>,
    grants: usize,
    /// The number of keys in planned moves.
    moved: u32,
}

impl Harness {
    fn new() -> Self {
        let registry = registry((0..SERVERS).map(|number| format!("s{number:03}")));
        let mut leader = Leader::new(Epoch(5), 0, u64::MAX, &[], Config::default());
        leader.add_service(&SERVICE.into());
        Self {
            now_ms: 0,
            leader,
            registry,
            speeds: HashMap::default(),
            replies: BTreeMap::new(),
            lost: HashSet::default(),
            grants: 0,
            moved: 0,
        }
    }

    /// Runs with `slots` busy slots that are spread evenly over the keys.
    fn run(&mut self, for_ms: u64, loads: &[(&[u16], f32)]) {
        for _ in 0..for_ms / TICK_MS {
            self.now_ms += TICK_MS;
            if let Some(load) = self.leader.load_mut(SERVICE) {
                for (keys, slots) in loads {
                    let work_ms = slots * 20.0 / f32::from(u16::try_from(keys.len()).unwrap());
                    for key in *keys {
                        load.add(*key, work_ms);
                    }
                }
            }
            while let Some(entry) = self.replies.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let (id, reply) = entry.remove();
                self.step(Event::Answered(id, reply));
            }
            self.step(Event::Tick);
        }
    }

    fn step(&mut self, event: Event) {
        let servers = Servers { registry: &self.registry, speeds: &self.speeds };
        for output in step_with_writes(&mut self.leader, self.now_ms, servers, event) {
            match output {
                Output::Order { id, server, kind, deadline_ms, connection } => {
                    let is_lost = self.lost.contains(&server.incarnation);
                    let (at_ms, reply) = match kind {
                        _ if is_lost => (deadline_ms, Reply::Unknown),
                        OrderKind::Grant(_) => (self.now_ms + 2, carry_out(&kind, connection)),
                        OrderKind::Release(_) => {
                            (self.now_ms + WORK_MS, carry_out(&kind, connection))
                        }
                    };
                    self.grants += usize::from(matches!(kind, OrderKind::Grant(_)));
                    self.replies.insert((at_ms, id.number), (id, reply));
                }
                Output::Log(LogEvent::Planned { range, .. }) => self.moved += range.count(),
                Output::Write { .. }
                | Output::Publish { .. }
                | Output::Deposed
                | Output::Log(_) => {}
            }
        }
    }

    fn table(&self) -> Table {
        self.leader.table(SERVICE, self.now_ms).unwrap()
    }

    /// Returns how many of the keys each server has, in descending order, without those that no
    /// server serves.
    fn shares(&self, keys: &[u16]) -> Vec<usize> {
        let table = self.table();
        let mut shares: HashMap<Name, usize> = HashMap::default();
        for key in keys {
            if let Owner::Server(owner) = &table.find(*key).unwrap().owner {
                *shares.entry(owner.server.clone()).or_default() += 1;
            }
        }
        let mut shares: Vec<usize> = shares.into_values().collect();
        shares.sort_unstable_by(|a, b| b.cmp(a));
        shares
    }
}

fn spread_keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(16).collect()
}

#[test]
fn hot_neighbours_spread_soon() {
    let mut harness = Harness::new();
    let spread = spread_keys();
    harness.run(3_000, &[(&spread, LOAD_SLOTS)]);
    // Sixty keys with a third of the load, each of which nearly fills a server.
    let hot: Vec<u16> = (30_000..30_060).collect();
    harness.run(2_500, &[(&spread, LOAD_SLOTS * 0.67), (&hot, LOAD_SLOTS * 0.33)]);
    let shares = harness.shares(&hot);
    assert!(shares.len() >= 40 && shares[0] <= 3, "{shares:?}");
}

#[test]
fn lost_servers_keys_spread() {
    let mut harness = Harness::new();
    let spread = spread_keys();
    harness.run(3_000, &[(&spread, LOAD_SLOTS)]);
    harness.lost =
        (0..SERVERS).step_by(4).map(|number| incarnation(&format!("s{number:03}"))).collect();
    let config = Config::default();
    let lost_ms = config.renew_interval_ms
        + config.order_timeout_ms
        + config.grant_deadline_ms(0, config.grant_ms);
    harness.run(lost_ms + 500, &[(&spread, LOAD_SLOTS)]);
    let shares = harness.shares(&spread);
    let served: usize = shares.iter().sum();
    let table = harness.table();
    let unowned: Vec<_> =
        table.spans.iter().filter(|span| matches!(span.owner, Owner::Nobody { .. })).collect();
    assert!(unowned.is_empty(), "without an owner after {lost_ms} ms and 0.5 s: {unowned:?}");
    // Some ranges move to balance the load.
    assert!(served * 50 >= spread.len() * 49, "{served} of {} keys are served", spread.len());
    let mean = served / shares.len();
    assert!(shares[0] <= 2 * mean, "mean {mean}, {shares:?}");
}

#[test]
fn ranges_merge_again() {
    let mut harness = Harness::new();
    let spread = spread_keys();
    harness.run(3_000, &[(&spread, LOAD_SLOTS)]);
    for start in [3_000, 50_000, 12_000, 40_000, 24_000] {
        let hot: Vec<u16> = (start..start + 200).collect();
        harness.run(5_000, &[(&spread, LOAD_SLOTS * 0.67), (&hot, LOAD_SLOTS * 0.33)]);
    }
    assert!(harness.table().spans.len() < 4 * SERVERS, "{}", harness.table().spans.len());
    harness.run(20_000, &[(&spread, LOAD_SLOTS)]);
    let spans = harness.table().spans.len();
    assert!(spans <= 2 * SERVERS, "{spans} spans");
    let before = harness.grants;
    harness.run(6_000, &[(&spread, LOAD_SLOTS)]);
    // Ten renewals of each range.
    let grants = harness.grants - before;
    assert!(grants <= 11 * 2 * SERVERS, "{grants} grants in 6 s");
}

#[test]
fn chance_moves_few_keys() {
    let mut harness = Harness::new();
    let mut random = StdRng::seed_from_u64(1);
    let mut moved = 0;
    // Two thousand requests a second of 0.4 s each: about five a second for each server.
    for tick in 0..750 {
        let keys: Vec<u16> = (0..40).map(|_| random.random()).collect();
        harness.run(TICK_MS, &[(&keys, 800.0)]);
        if tick == 250 {
            moved = harness.moved;
        }
    }
    let moved = harness.moved - moved;
    assert!(moved < 1 << 15, "{moved} keys moved in 10 s without a change of the load");
}
