//! Guards against room at a server that is lost when a wait ends while another thread admits it.

use std::sync::{Arc, Barrier};
use std::task::{Context, Waker};

use document::{Server, ServerState};
use proxy::{Clock, Stop, Upstream};
use route::Arrival;

#[tokio::test]
async fn wait_that_ends_while_it_is_admitted() {
    let clock = Clock::start();
    let server = Server {
        name: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        slots: 8,
        max_connections: 10,
        key_groups: Vec::new(),
        state: ServerState::Serving,
        checks_fence: true,
    };
    let upstream = Arc::new(Upstream::new(server, 1, clock));
    let stop = Stop::new(clock);
    let deadline_ms = clock.now_ms() + 60_000;
    let arrival = Arrival {
        deadline_ms,
        target_deadline_ms: deadline_ms,
        priority: 0,
        max_waiting: 64,
        typical_latency_ms: 1,
        is_over_share: false,
    };
    for round in 0..20_000 {
        upstream.set_cap(1);
        let running = upstream.acquire(arrival, &stop).await.unwrap();
        let both = Barrier::new(2);
        let waiting = {
            let mut waiting = Box::pin(upstream.acquire(arrival, &stop));
            let polled = waiting.as_mut().poll(&mut Context::from_waker(Waker::noop()));
            assert!(polled.is_pending());
            waiting
        };
        std::thread::scope(|threads| {
            threads.spawn(|| {
                both.wait();
                upstream.set_cap(u32::MAX);
            });
            both.wait();
            drop(waiting);
        });
        drop(running);
        assert_eq!(upstream.occupancy().0, 0, "round {round}");
    }
}
