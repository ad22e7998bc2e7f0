//! The check of planned stops counts lost requests, and allows exactly what the rule allows.
use std::sync::Arc;

use document::Name;
use http::StatusCode;
use lab::{OwnershipChecker, RangeServer, Work};
use registry::Incarnation;
use soak::{Counts, Ending, LossCheck};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep};

const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon that gets SIGTERM at the start, and a server.
struct World {
    checker: Arc<OwnershipChecker>,
    server: Arc<RangeServer>,
    losses: Arc<LossCheck>,
}

impl World {
    fn new() -> Self {
        let checker = Arc::<OwnershipChecker>::default();
        let incarnation = Incarnation { server: Name::from("s"), born_ms: 1 };
        let server = RangeServer::new(incarnation, false, 1, Arc::clone(&checker));
        let losses = LossCheck::new(Arc::clone(&checker), Instant::now(), ROUTE_TIMEOUT);
        Self { checker, server, losses }
    }

    /// Creates a world in which daemon 0 gets SIGTERM now.
    fn with_stop() -> Self {
        let world = Self::new();
        world.losses.on_stop(0);
        world
    }

    /// Sends a request to the server, which works on it until the task is aborted.
    fn work(&self, id: &str) -> JoinHandle<()> {
        let server = Arc::clone(&self.server);
        let id = Name::from(id);
        let work = Work { id, key: None, is_idempotent: true, run_ms: 60_000, deadline: None };
        tokio::spawn(async move {
            server.run(&work).await;
        })
    }

    /// Ends a request of daemon 0 that was sent at a time, with a status or a closed connection.
    fn end(&self, id: &str, sent_at: Instant, status: Option<StatusCode>, time_limit_ms: u64) {
        self.losses.on_ending(Ending {
            id: Name::from(id),
            daemon: 0,
            began_at: sent_at,
            sent_at,
            ended_at: Instant::now(),
            time_limit: Duration::from_millis(time_limit_ms),
            status,
        });
    }

    /// Returns how many requests were lost and excused, and how many violations there are.
    fn finish(&self) -> (u64, u64, usize) {
        let mut counts = Counts::default();
        self.losses.finish(&mut counts);
        (counts.lost, counts.excused, self.checker.violations().len())
    }
}

async fn sleep_ms(time_ms: u64) {
    sleep(Duration::from_millis(time_ms)).await;
}

/// Sends a request `sent_ms` after SIGTERM to a server and breaks it off `ended_ms` after SIGTERM.
async fn broken_off(sent_ms: u64, ended_ms: u64, status: Option<StatusCode>) -> (u64, u64, usize) {
    let world = World::with_stop();
    sleep_ms(sent_ms).await;
    let sent_at = Instant::now();
    let work = world.work("q1");
    sleep_ms(ended_ms - sent_ms).await;
    work.abort();
    drop(work.await);
    world.end("q1", sent_at, status, 20_000);
    world.finish()
}

#[tokio::test(start_paused = true)]
async fn waiting_in_the_daemon() {
    let world = World::with_stop();
    let sent_at = Instant::now();
    sleep_ms(5_400).await;
    world.end("q1", sent_at, None, 20_000);
    assert_eq!(world.finish(), (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn waiting_in_the_server() {
    let world = World::with_stop();
    let (sent_at, _busy) = (Instant::now(), world.work("q0"));
    sleep_ms(10).await;
    let waiting = world.work("q1");
    sleep_ms(5_400).await;
    waiting.abort();
    world.end("q1", sent_at, None, 20_000);
    assert_eq!(world.finish(), (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn at_work_until_the_end() {
    assert_eq!(broken_off(2_900, 5_400, None).await, (0, 1, 0));
}

#[tokio::test(start_paused = true)]
async fn at_work_but_sent_late() {
    assert_eq!(broken_off(3_100, 5_400, None).await, (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn at_work_but_cut_early() {
    assert_eq!(broken_off(100, 4_800, None).await, (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn work_replaced_by_an_answer() {
    let status = Some(StatusCode::BAD_GATEWAY);
    assert_eq!(broken_off(100, 4_800, status).await, (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn answered_without_work() {
    let world = World::with_stop();
    let sent_at = Instant::now();
    sleep_ms(5_000).await;
    world.end("q1", sent_at, Some(StatusCode::BAD_GATEWAY), 20_000);
    assert_eq!(world.finish(), (0, 0, 0));
}

#[tokio::test(start_paused = true)]
async fn out_of_time() {
    let world = World::with_stop();
    let sent_at = Instant::now();
    sleep_ms(5_400).await;
    world.end("q1", sent_at, None, 5_400);
    world.end("q2", sent_at, None, 5_402);
    assert_eq!(world.finish(), (1, 1, 1));
}

#[tokio::test(start_paused = true)]
async fn stopped_server() {
    let world = World::with_stop();
    let sent_at = Instant::now();
    let work = world.work("q1");
    sleep_ms(4_000).await;
    world.server.stop();
    work.abort();
    drop(work.await);
    world.end("q1", sent_at, None, 20_000);
    assert_eq!(world.finish(), (0, 1, 0));
}

#[tokio::test(start_paused = true)]
async fn after_a_reload() {
    let world = World::new();
    world.losses.on_reload(0);
    sleep_ms(1_000).await;
    let sent_at = Instant::now();
    sleep_ms(4_000).await;
    world.end("q1", sent_at, None, 20_000);
    assert_eq!(world.finish(), (1, 0, 1));
}

/// The rule allows a daemon that does not stop three lost requests that reached a server.
#[tokio::test(start_paused = true)]
async fn without_a_signal() {
    let world = World::new();
    for number in 0..4 {
        assert_eq!(world.checker.violations().len(), 0);
        let id = format!("q{number}");
        let sent_at = Instant::now();
        let work = world.work(&id);
        sleep_ms(10).await;
        work.abort();
        drop(work.await);
        world.end(&id, sent_at, None, 20_000);
        world.end(&format!("not-sent-{number}"), sent_at, None, 20_000);
    }
    assert_eq!(world.finish(), (8, 0, 4));
}
