//! Guards against requests that wait for a server beyond the end of a stop.

use std::sync::Arc;

use document::{Server, ServerState};
use proxy::{AdmissionError, Clock, Permit, Stop, Upstream, WaitEnd};
use route::Arrival;
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep};

const LATENCY_MS: u32 = 1_000;

fn upstream(clock: Clock) -> Arc<Upstream> {
    let server = Server {
        name: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        slots: 1,
        max_connections: 10,
        key_groups: Vec::new(),
        state: ServerState::Serving,
        checks_fence: true,
    };
    Arc::new(Upstream::new(server, 1, clock))
}

type Admitted = JoinHandle<(Result<(Permit, bool), AdmissionError>, u64)>;

/// Asks for admission of a request with a deadline of 30 s; also returns when the wait ended.
fn acquire(clock: Clock, upstream: &Arc<Upstream>, stop: &Stop) -> Admitted {
    acquire_for(clock, upstream, stop, LATENCY_MS)
}

fn acquire_for(
    clock: Clock,
    upstream: &Arc<Upstream>,
    stop: &Stop,
    typical_latency_ms: u32,
) -> Admitted {
    let (upstream, stop) = (Arc::clone(upstream), stop.clone());
    let deadline_ms = clock.now_ms() + 30_000;
    let arrival = Arrival {
        deadline_ms,
        target_deadline_ms: deadline_ms,
        priority: 0,
        max_waiting: 64,
        typical_latency_ms,
        is_over_share: false,
    };
    tokio::spawn(async move { (upstream.acquire(arrival, &stop).await, clock.now_ms()) })
}

#[tokio::test(start_paused = true)]
async fn request_without_room_waits_until_the_stop_ends() {
    let clock = Clock::start();
    let (upstream, stop) = (upstream(clock), Stop::new(clock));
    let running = acquire(clock, &upstream, &stop).await.unwrap();
    let waiting: Vec<_> = (0..5).map(|_| acquire(clock, &upstream, &stop)).collect();
    sleep(Duration::from_millis(100)).await;
    let began_at_ms = clock.now_ms();
    stop.begin(began_at_ms + 5_000);
    let mut refused_at_ms = Vec::new();
    for request in waiting {
        let (result, at_ms) = request.await.unwrap();
        assert_eq!(result.err(), Some(AdmissionError::Stopping));
        refused_at_ms.push(at_ms - began_at_ms);
    }
    drop(running);
    // The fourth and fifth would end after 5 s at least, as each takes a second.
    assert!(refused_at_ms[3..].iter().all(|at_ms| *at_ms < 10), "{refused_at_ms:?}");
    // All others are refused while they can still be served elsewhere.
    assert!(refused_at_ms.iter().all(|at_ms| *at_ms < 5_000), "{refused_at_ms:?}");
}

#[tokio::test(start_paused = true)]
async fn request_is_admitted_although_its_answer_comes_after_the_stop() {
    let clock = Clock::start();
    let (upstream, stop) = (upstream(clock), Stop::new(clock));
    stop.begin(clock.now_ms() + 2_500);
    let (first, _) = acquire(clock, &upstream, &stop).await.unwrap();
    assert!(first.is_ok(), "there is room and time");
    drop(first);
    sleep(Duration::from_secs(1)).await;
    let (late, _) = acquire(clock, &upstream, &stop).await.unwrap();
    assert_eq!(late.err(), Some(AdmissionError::Stopping));
}

#[tokio::test(start_paused = true)]
async fn request_is_admitted_in_place_of_one_that_the_stop_has_ended() {
    let clock = Clock::start();
    let (upstream, stop) = (upstream(clock), Stop::new(clock));
    let running = acquire_for(clock, &upstream, &stop, 0).await.unwrap();
    let waiting: Vec<_> = (0..5).map(|_| acquire_for(clock, &upstream, &stop, 0)).collect();
    stop.begin(clock.now_ms() + 1_000);
    sleep(Duration::from_secs(1)).await;
    drop(running);
    for request in waiting {
        let (result, _) = request.await.unwrap();
        assert_eq!(result.err(), Some(AdmissionError::Stopping));
    }
}

#[tokio::test(start_paused = true)]
async fn wait_goes_on_after_a_stop_that_begins_meanwhile() {
    let clock = Clock::start();
    let stop = Stop::new(clock);
    let (waiter, began_at) = (stop.clone(), Instant::now());
    let wait = tokio::spawn(async move {
        let deadline = Instant::now() + Duration::from_mins(1);
        let end = waiter.bound(deadline, 200, std::future::pending::<()>()).await;
        (end, Instant::now())
    });
    sleep(Duration::from_millis(100)).await;
    stop.begin(clock.now_ms() + 1_000);
    // A second signal does not prolong the stop.
    stop.begin(clock.now_ms() + 9_000);
    let (end, at) = wait.await.unwrap();
    assert_eq!(end, Err(WaitEnd::Stopping));
    let after = at - began_at;
    assert!((880..=920).contains(&after.as_millis()), "{after:?}");
}
