//! Guards against a second holder while a server has queued a grant that it did not answer.
//!
//! The server applies the grant later, even after releases and newer grants, whatever its fence. The
//! time of the grant counts from its arrival.
mod fixture;

use crate::fixture::{Driver, SERVICE, TICK_MS, carry_out, incarnation};
use registry::Stage;
use shard::{
    Config, Epoch, Event, KeyRange, Leader, OrderId, OrderKind, Output, Owner, Record,
    RecordedRange, Reply,
};

/// When `s1` begins to queue grants at the earliest.
const QUEUES_FROM_MS: u64 = 10_000;
/// How much later it may be: longer than the time between two renewals.
const MAX_LATER_MS: u64 = 1_000;
/// For how long it queues them; then it refuses connections.
const QUEUES_FOR_MS: u64 = 900;
/// How long the link takes to deliver these grants.
const DELAY_MS: u64 = 2_000;
/// By how much a server's clock may be slow, as a divisor.
const CLOCK_DRIFT_DIVISOR: u64 = 49;

struct Harness {
    driver: Driver,
    /// From when on `s1` queues the grants that it gets.
    queues_from_ms: u64,
    /// When `s1` answers again.
    answers_from_ms: u64,
    replies: Vec<(u64, OrderId, Reply)>,
    /// The grants that `s1` may still apply, and until when they are valid.
    queued: Vec<(KeyRange, u64)>,
    /// For how long other servers had keys of queued grants that were valid.
    overlap_ms: u64,
}

impl Harness {
    fn new(queues_from_ms: u64, answers_from_ms: u64) -> Self {
        Self {
            driver: Driver::new(["s1", "s2", "s3"]),
            queues_from_ms,
            answers_from_ms,
            replies: Vec::new(),
            queued: Vec::new(),
            overlap_ms: 0,
        }
    }

    fn step(&mut self, event: Event) {
        for output in self.driver.step(event) {
            let Output::Order { id, server, kind, connection, .. } = output else { continue };
            let done = carry_out(&kind, connection);
            let is_first = server.incarnation == incarnation("s1");
            let (at_ms, reply) = match &kind {
                _ if is_first => self.send_to_first(&kind, done),
                OrderKind::Grant(grant) => {
                    self.check_other(grant.range);
                    (self.driver.now_ms, done)
                }
                OrderKind::Release(_) => (self.driver.now_ms, done),
            };
            self.replies.push((at_ms, id, reply));
        }
    }

    fn send_to_first(&mut self, kind: &OrderKind, done: Reply) -> (u64, Reply) {
        let now_ms = self.driver.now_ms;
        let answers = now_ms < self.queues_from_ms || now_ms >= self.answers_from_ms;
        match kind {
            _ if answers => (now_ms, done),
            OrderKind::Grant(grant) if now_ms < self.queues_from_ms + QUEUES_FOR_MS => {
                let held_ms = grant.grant_ms + grant.grant_ms / CLOCK_DRIFT_DIVISOR;
                let until_ms = now_ms + DELAY_MS + held_ms;
                self.queued.push((grant.range, until_ms));
                (now_ms + Config::default().order_timeout_ms, Reply::Unknown)
            }
            _ => (now_ms, Reply::NotSent),
        }
    }

    fn check_other(&mut self, range: KeyRange) {
        for (_, until_ms) in self.queued.iter().filter(|(queued, _)| queued.overlaps(range)) {
            self.overlap_ms = self.overlap_ms.max(until_ms.saturating_sub(self.driver.now_ms));
        }
    }

    fn run(&mut self, until_ms: u64) {
        while self.driver.now_ms < until_ms {
            self.driver.now_ms += TICK_MS;
            self.step(Event::Tick);
            let now_ms = self.driver.now_ms;
            while let Some(at) = self.replies.iter().position(|(due_ms, ..)| *due_ms <= now_ms) {
                let (_, id, reply) = self.replies.remove(at);
                self.step(Event::Answered(id, reply));
            }
        }
    }
}

#[test]
fn released_keys_wait_for_queued_grants() {
    let step_ms = usize::try_from(TICK_MS).unwrap();
    for queues_from_ms in (QUEUES_FROM_MS..QUEUES_FROM_MS + MAX_LATER_MS).step_by(step_ms) {
        for answers_after_ms in [1_000, 2_000, 2_500, 3_000, 4_000] {
            let mut harness = Harness::new(queues_from_ms, queues_from_ms + answers_after_ms);
            harness.run(20_000);
            let overlap_ms = harness.overlap_ms;
            assert_eq!(overlap_ms, 0, "from {queues_from_ms} for {answers_after_ms} ms");
        }
    }
}

/// Guards against a grant of the leader before, which its server applies after a release.
#[test]
fn recorded_owner_waits_for_grants_of_the_leader_before() {
    let mut harness = Harness::new(u64::MAX, 0);
    // Only one of two ranges gets a grant before both are to be released.
    let (left, right) = KeyRange::WHOLE.split_at(30_000).unwrap();
    let to_recorded =
        |range| RecordedRange { range, owner: incarnation("s1"), previous: Vec::new() };
    let record = Record {
        epoch: 4,
        number: 1,
        previous_left_ms: Some(0),
        ranges: vec![to_recorded(left), to_recorded(right)],
    };
    let records = [(SERVICE.into(), record)];
    harness.driver.leader = Leader::new(Epoch(5), 0, u64::MAX, &records, Config::default());
    harness.driver.put("s1", Stage::Draining);
    let until_ms = 1_000 + Config::default().max_grant_ms;
    harness.queued = vec![(left, until_ms), (right, until_ms)];
    harness.run(15_000);
    assert_eq!(harness.overlap_ms, 0);
    let table = harness.driver.leader.table(SERVICE, 15_000).unwrap();
    assert!(table.spans.iter().all(|span| span.owner != Owner::Server(incarnation("s1"))));
}
