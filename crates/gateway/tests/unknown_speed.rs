//! Guards against servers whose speed is not known yet and or was measured at a bad moment, and that
//! get no requests to learn it from.

use std::sync::Arc;

use gateway::{PoolMember, Server, ServiceState, ServiceView};
use proxy::Clock;
use registry::{Incarnation, Registration, Stage};
use route::{Budget, RemotePenalty};
use tokio::time::{Duration, advance};

const DAEMONS: u32 = 4;
const SERVERS: usize = 3;
/// The time that servers take relative to the mean of the route while that falls from a high start.
const EARLY: f32 = 0.6;
/// The same later.
const LATER: f32 = 1.0;

fn server(number: usize) -> Arc<Server> {
    let number = u16::try_from(number).unwrap();
    let registration = Registration {
        incarnation: Incarnation { server: format!("s{number}").into(), born_ms: 1 },
        service: "archive".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        data_centre: "a".into(),
        slots: 8,
        stage: Stage::Ready,
        warm_at_ms: 0,
        heartbeat: 1,
    };
    Arc::new(Server::new(&Arc::new(registration), 0, DAEMONS, Clock::start()))
}

/// Returns servers of which all but the first have answered before, in `slowness` times the mean.
fn servers(slowness: f32) -> Vec<Arc<Server>> {
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    for server in &servers[1..] {
        (0..100).for_each(|_| server.on_slowness(slowness));
    }
    servers
}

fn answer(server: &Server, slowness: f32) {
    server.on_slowness(slowness);
    server.update_pace(|pace, now_ms| pace.on_answer(now_ms, f64::from(slowness)));
}

/// Sends requests one after another, so that all servers always have free slots. They take `usual`
/// times the mean, the first one `slowness` times. Returns how many requests it got.
fn run_load(servers: &[Arc<Server>], requests: u32, usual: f32, slowness: f32) -> usize {
    let service = ServiceView {
        state: Arc::new(ServiceState::new("archive".into(), Budget::default())),
        is_keyed: false,
        pool: servers
            .iter()
            .map(|server| PoolMember { server: Arc::clone(server), is_preferred: true })
            .collect(),
        servers: Arc::default(),
        table: Arc::default(),
        built_at_ms: 0,
        built_at_control_ms: 0,
    };
    let send = |request: &u32| {
        // A fixed sequence that looks random.
        let draw = request.wrapping_mul(0x9e37_79b9);
        let (near, penalty) = ("a".into(), RemotePenalty::SMALL);
        let chosen = service.pick_server(&near, penalty, |_| false, false, draw).unwrap();
        let is_first = Arc::ptr_eq(&chosen, &servers[0]);
        answer(&chosen, if is_first { slowness } else { usual });
        is_first
    };
    (0..requests).filter(send).count()
}

/// Returns servers of a service with slow starts, the first of which took three times the mean.
fn servers_with_a_slow_one() -> Vec<Arc<Server>> {
    let servers = servers(LATER);
    for server in &servers {
        server.set_slow_start(true, DAEMONS);
    }
    (0..50).for_each(|_| answer(&servers[0], 3.0));
    servers
}

fn start_slowly(server: &Server) {
    server.set_slow_start(true, DAEMONS);
    server.start_slowly();
}

#[test]
fn slow_start_ends_while_faster_servers_have_free_slots() {
    let servers = servers(EARLY);
    start_slowly(&servers[0]);
    let of_first = run_load(&servers, 100, EARLY, EARLY);
    assert!(!servers[0].is_paced(), "{of_first} requests");
}

#[test]
fn server_without_a_slow_start_becomes_known() {
    let servers = servers(EARLY);
    run_load(&servers, 200, EARLY, EARLY);
    assert!(servers[0].slowness() < 0.8, "slowness {}", servers[0].slowness());
}

#[test]
fn server_that_was_slow_while_cold_is_used_when_it_is_warm() {
    let servers = servers(LATER);
    start_slowly(&servers[0]);
    (0..50).for_each(|_| answer(&servers[0], 2.0));
    assert!(servers[0].slowness() > 1.8);
    let of_first = run_load(&servers, 300, LATER, LATER);
    // Half of an equal part.
    assert!(of_first * SERVERS * 2 >= 300, "{of_first} of 300 requests");
}

#[tokio::test(start_paused = true)]
async fn server_that_was_slow_for_a_moment_is_used_again() {
    let servers = servers_with_a_slow_one();
    assert_eq!(run_load(&servers, 100, LATER, LATER), 0);
    advance(Duration::from_millis(3_200)).await;
    let of_first = run_load(&servers, 300, LATER, LATER);
    assert!(of_first * SERVERS * 2 >= 300, "{of_first} of 300 requests");
}

#[tokio::test(start_paused = true)]
async fn server_that_stays_slow_is_tried_rarely() {
    let servers = servers_with_a_slow_one();
    let mut of_first = 0;
    for _ in 0..12 {
        advance(Duration::from_secs(1)).await;
        of_first += run_load(&servers, 50, LATER, 3.0);
    }
    assert!((2..=4).contains(&of_first), "{of_first} of 600 requests");
}

#[test]
fn cold_server_gets_no_more_than_an_equal_part() {
    let servers = servers(LATER);
    start_slowly(&servers[0]);
    let of_first = run_load(&servers, 300, LATER, 2.0);
    assert!(servers[0].is_paced());
    assert!(of_first * SERVERS <= 330, "{of_first} of 300 requests");
}
