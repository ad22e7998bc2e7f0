//! Guards against a stand-in that is kinder than the servers, and a checker that misses two owners.
use std::sync::Arc;

use document::Name;
use lab::{Execution, FenceCheck, OwnershipChecker, RangeServer, Work};
use registry::Incarnation;
use shard::{Fence, Grant, KeyRange, Release, Reply};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep};

const RANGE: KeyRange = KeyRange::FIRST;
const GRANT_MS: u64 = 60_000;

struct World {
    checker: Arc<OwnershipChecker>,
    servers: [Arc<RangeServer>; 2],
}

impl World {
    fn new() -> Self {
        let checker = Arc::<OwnershipChecker>::default();
        let servers = ["s1", "s2"].map(|name| {
            let incarnation = Incarnation { server: Name::from(name), born_ms: 1 };
            RangeServer::new(incarnation, true, 4, Arc::clone(&checker))
        });
        Self { checker, servers }
    }

    fn grant(&self, server: usize, fence: u64, grant_ms: u64) -> Reply {
        self.servers[server].grant(&grant(fence, grant_ms))
    }

    /// Grants the range to a server, which carries it out 20 ms later.
    async fn grant_late(&self, server: usize, fence: u64, fence_check: FenceCheck) {
        let delay = Duration::from_millis(20);
        self.servers[server]
            .grant_late(&grant(fence, GRANT_MS), Instant::now(), delay, fence_check)
            .await;
    }

    async fn release(&self, server: usize, fence: u64) {
        self.servers[server].release(Release { range: RANGE, fence: Fence(fence) }).await;
    }

    /// Starts a request for a key of the range at a server.
    fn run(&self, server: usize, run_ms: u64) -> JoinHandle<Execution> {
        let server = Arc::clone(&self.servers[server]);
        let (id, key) = (Name::from("1"), Some(RANGE.from()));
        tokio::spawn(async move {
            server.run(&Work { id, key, is_idempotent: true, run_ms, deadline: None }).await
        })
    }

    async fn is_held(&self, server: usize) -> bool {
        self.run(server, 0).await.unwrap() == Execution::Completed
    }
}

fn grant(fence: u64, grant_ms: u64) -> Grant {
    Grant { range: RANGE, fence: Fence(fence), grant_ms, handover: None }
}

#[tokio::test]
async fn release_with_a_low_fence_waits_for_work() {
    let world = World::new();
    world.grant(0, 5, GRANT_MS);
    let work = world.run(0, 100);
    sleep(Duration::from_millis(30)).await;
    world.release(0, 4).await;
    assert!(work.is_finished());
    assert!(!world.is_held(0).await);
}

#[tokio::test]
async fn fence_of_a_release_is_not_seen() {
    let world = World::new();
    world.grant(0, 5, GRANT_MS);
    world.release(0, 9).await;
    assert_eq!(world.grant(0, 5, GRANT_MS), Reply::Done(None));
    assert_eq!(world.grant(0, 4, GRANT_MS), Reply::Fenced);
}

#[tokio::test]
async fn late_grant_is_applied_after_a_release() {
    let world = World::new();
    let late = Arc::clone(&world.servers[0]);
    let late = tokio::spawn(async move {
        late.grant_late(
            &grant(5, 300),
            Instant::now(),
            Duration::from_millis(100),
            FenceCheck::WhenApplied,
        )
        .await;
    });
    sleep(Duration::from_millis(30)).await;
    world.release(0, 6).await;
    late.await.unwrap();
    assert!(world.is_held(0).await);
    sleep(Duration::from_millis(210)).await;
    assert!(!world.is_held(0).await, "its time counts from its arrival");
}

#[tokio::test]
async fn late_grant_with_a_low_fence_is_refused() {
    let world = World::new();
    world.grant(0, 7, 1);
    world.grant_late(0, 5, FenceCheck::WhenApplied).await;
    assert!(!world.is_held(0).await);
}

#[tokio::test]
async fn late_grant_with_a_low_fence_is_carried_out() {
    let world = World::new();
    world.grant(0, 7, 1);
    world.grant(1, 8, GRANT_MS);
    world.grant_late(0, 5, FenceCheck::Never).await;
    assert!(world.is_held(0).await);
    let violations = world.checker.violations();
    assert!(violations.iter().any(|violation| violation.contains("holds")), "{violations:?}");
}

#[tokio::test]
async fn late_grant_with_a_low_fence_leaves_held_keys_alone() {
    let world = World::new();
    world.grant(0, 7, 200);
    world.grant_late(0, 5, FenceCheck::Never).await;
    sleep(Duration::from_millis(250)).await;
    assert!(!world.is_held(0).await, "the earlier grant has ended");
}

#[tokio::test]
async fn checker_finds_fences_that_are_not_above_earlier_ones() {
    for (fence, violations) in [(4, 1), (5, 1), (6, 0)] {
        let world = World::new();
        world.grant(0, 5, GRANT_MS);
        world.release(0, 5).await;
        world.grant(1, fence, GRANT_MS);
        assert_eq!(world.checker.violations().len(), violations, "fence {fence}");
    }
}

#[tokio::test]
async fn checker_finds_work_at_another_server() {
    let world = World::new();
    world.grant(0, 5, GRANT_MS);
    let work = world.run(0, 100);
    sleep(Duration::from_millis(30)).await;
    world.grant(1, 6, GRANT_MS);
    work.await.unwrap();
    let violations = world.checker.violations();
    assert!(violations.iter().any(|violation| violation.contains("works on")), "{violations:?}");
}
