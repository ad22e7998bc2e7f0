//! Guards against cold or slowly starting servers that get requests which others have room for,
//! and against ones that are left out although the others are full.

use std::sync::Arc;

use gateway::{PoolMember, Server, ServiceState, ServiceView};
use proxy::{Clock, Permit, Stop};
use registry::{Incarnation, Registration, Stage};
use route::{Arrival, Budget, ColdLimit, Pace, Rate, RemotePenalty};
use tokio::time::{Duration, advance};

const SLOTS: u32 = 4;
const ARRIVAL: Arrival = Arrival {
    deadline_ms: 1_000_000,
    target_deadline_ms: 1_000_000,
    priority: 0,
    max_waiting: 16,
    typical_latency_ms: 10,
    is_over_share: false,
};

fn server(number: u16, daemons: u32) -> Arc<Server> {
    let registration = Registration {
        incarnation: Incarnation { server: format!("s{number}").into(), born_ms: 1 },
        service: "archive".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        data_centre: "a".into(),
        slots: SLOTS,
        stage: Stage::Ready,
        warm_at_ms: 0,
        heartbeat: 1,
    };
    Arc::new(Server::new(&Arc::new(registration), 0, daemons, Clock::start()))
}

fn limited(server: &Server) {
    let limit = ColdLimit::new(Rate::from_milli_per_s(4_200), 1_500, 8);
    server.set_cold_limit(Some(limit), 3_000);
}

/// Picks a server a hundred times; returns how often the first one was picked.
fn picks_of_first(servers: &[Arc<Server>]) -> usize {
    let member =
        |server: &Arc<Server>| PoolMember { server: Arc::clone(server), is_preferred: true };
    let service = ServiceView {
        state: Arc::new(ServiceState::new("archive".into(), Budget::default())),
        is_keyed: false,
        pool: servers.iter().map(member).collect(),
        servers: Arc::default(),
        table: Arc::default(),
        built_at_ms: 0,
        built_at_control_ms: 0,
    };
    let pick =
        |random| service.pick_server(&"a".into(), RemotePenalty::SMALL, |_| false, false, random);
    let is_first = |random: &u32| Arc::ptr_eq(&pick(*random).expect("a server"), &servers[0]);
    (0..100).filter(is_first).count()
}

/// Uses all of this daemon's slots at a server.
async fn fill(server: &Server) -> Vec<Permit> {
    let mut permits = Vec::new();
    for _ in 0..SLOTS {
        permits.push(server.upstream.acquire(ARRIVAL, &Stop::new(Clock::start())).await.unwrap().0);
    }
    permits
}

#[tokio::test]
async fn cold_server_gets_requests_only_when_the_others_are_full() {
    let servers = [server(0, 1), server(1, 1)];
    limited(&servers[0]);
    servers[0].on_cold(3_000);
    assert_eq!(picks_of_first(&servers), 0);
    let permits = fill(&servers[1]).await;
    assert_eq!(picks_of_first(&servers), 100);
    drop(permits);
    assert_eq!(picks_of_first(&servers), 0);
}

#[tokio::test(start_paused = true)]
async fn server_whose_cold_time_is_over_answers_one_request_first() {
    let servers = [server(0, 1), server(1, 1)];
    limited(&servers[0]);
    servers[0].on_cold(3_000);
    advance(Duration::from_millis(3_100)).await;
    let mut of_other = fill(&servers[1]).await;
    assert_eq!(picks_of_first(&servers), 100);
    let stop = Stop::new(Clock::start());
    let _permit = servers[0].upstream.acquire(ARRIVAL, &stop).await.unwrap();
    assert_eq!(picks_of_first(&servers), 0);
    of_other.pop();
    assert_eq!(picks_of_first(&servers), 0);
    servers[0].on_slowness(1.0);
    assert_eq!(picks_of_first(&servers), 100);
}

#[tokio::test(start_paused = true)]
async fn servers_whose_cold_time_is_over_together_get_requests() {
    let servers = [server(0, 1), server(1, 1)];
    for server in &servers {
        limited(server);
        server.on_cold(3_000);
    }
    advance(Duration::from_millis(3_100)).await;
    let _permits = [fill(&servers[0]).await, fill(&servers[1]).await];
    assert!(picks_of_first(&servers) > 0);
}

#[test]
fn cold_server_without_a_limit_is_treated_as_before() {
    let servers = [server(0, 1), server(1, 1)];
    servers[0].on_cold(3_000);
    assert!(picks_of_first(&servers) > 0);
    assert_eq!(servers[0].cold_limit(), None);
}

#[test]
fn earlier_report_of_a_longer_time_stays_in_force() {
    let server = server(0, 1);
    limited(&server);
    assert_eq!(server.cold_limit(), None);
    server.on_cold(60_000);
    server.on_cold(0);
    server.on_cold(1);
    std::thread::sleep(std::time::Duration::from_millis(5));
    assert!(server.cold_limit().is_some());
}

#[test]
fn server_that_is_down_counts_as_cold_for_its_warm_up() {
    let server = server(0, 1);
    server.on_down();
    limited(&server);
    assert_eq!(server.cold_limit(), None);
    server.on_down();
    assert!(server.cold_limit().is_some());
}

#[tokio::test]
async fn slowly_starting_server_gets_one_request_while_others_have_room() {
    let servers = [server(0, 1), server(1, 1)];
    servers[0].set_slow_start(true, 1);
    servers[0].start_slowly();
    let _permit = servers[0].upstream.acquire(ARRIVAL, &Stop::new(Clock::start())).await.unwrap();
    assert_eq!(servers[0].upstream.occupancy().2, 1);
    assert_eq!(picks_of_first(&servers), 0);
}

#[test]
fn slow_start_ends_with_normal_answers() {
    let server = server(0, 1);
    server.set_slow_start(true, 1);
    server.start_slowly();
    for _ in 0..10 {
        server.update_pace(|pace, now_ms| pace.on_answer(now_ms, 1.0));
    }
    assert!(!server.is_paced());
    assert_eq!(server.upstream.occupancy().2, SLOTS);
    server.start_slowly();
    server.update_pace(Pace::on_lost);
    assert_eq!(server.upstream.occupancy().2, 1);
}

#[test]
fn named_rate_takes_precedence_over_the_slow_start() {
    let server = server(0, 1);
    server.set_slow_start(true, 1);
    server.set_rate_limit(Some(Rate::from_milli_per_s(5_000)));
    server.start_slowly();
    assert!(!server.is_paced());
}

#[test]
fn server_that_was_not_asked_to_start_slowly_does_not() {
    let server = server(0, 1);
    server.start_slowly();
    assert!(!server.is_paced());
    assert_eq!(server.upstream.occupancy().2, SLOTS);
}
