//! Guards against daemons that spread a few requests over so many servers that each needs a new
//! connection, and against servers that no daemon sends to.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use route::{Candidate, RemotePenalty, pick, preferred};

const DAEMONS: usize = 16;
const SERVERS: usize = 49;
/// How long a server keeps an idle connection that a daemon may use.
const IDLE_MS: u64 = 5_000;
/// How long a request takes.
const WORK_MS: u64 = 1_000;
/// Time between two requests of one daemon.
const INTERVAL_MS: u64 = 140;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number:03}")).collect()
}

fn choices(daemons: &[String], servers: &[String]) -> Vec<Vec<bool>> {
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let all: Vec<&str> = daemons.iter().map(String::as_str).collect();
    daemons.iter().map(|daemon| preferred(daemon, &servers, &all)).collect()
}

/// Returns how many connections 16 daemons open in 30 s, and the requests of the server that
/// gets most and of the one that gets fewest.
fn play(prefers: &[Vec<bool>]) -> (usize, usize, usize) {
    let mut random = StdRng::seed_from_u64(1);
    let mut connections = 0;
    let mut requests = vec![0; SERVERS];
    for prefers in prefers {
        // Times until which requests run, and times at which connections became idle.
        let mut running: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
        let mut idle: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
        for now_ms in (0..30_000).step_by(usize::try_from(INTERVAL_MS).unwrap()) {
            for (running, idle) in running.iter_mut().zip(&mut idle) {
                idle.extend(running.extract_if(.., |end_ms| *end_ms <= now_ms));
                idle.retain(|since_ms| now_ms < since_ms + IDLE_MS);
            }
            let candidates: Vec<Candidate> = (0..SERVERS)
                .map(|index| Candidate {
                    occupied: u32::try_from(running[index].len()).unwrap(),
                    slots: 4,
                    slowness: 1.0,
                    is_near: true,
                    is_preferred: prefers[index],
                    is_avoided: false,
                    expected: None,
                })
                .collect();
            let chosen = pick(&candidates, RemotePenalty::SMALL, random.random()).unwrap();
            requests[chosen] += 1;
            connections += usize::from(idle[chosen].pop().is_none());
            running[chosen].push(now_ms + WORK_MS);
        }
    }
    (connections, *requests.iter().max().unwrap(), *requests.iter().min().unwrap())
}

#[googletest::test]
fn preferred_servers_need_few_connections() {
    let prefers = choices(&names("edge", DAEMONS), &names("i", SERVERS));
    let (connections, most, fewest) = play(&prefers);
    let (all_connections, ..) = play(&vec![vec![true; SERVERS]; DAEMONS]);
    expect_that!(connections * 2, lt(all_connections), "{connections} of {all_connections}");
    expect_that!(fewest, gt(0), "every server gets requests");
    let mean = DAEMONS * 30_000 / 140 / SERVERS;
    expect_that!(most, lt(3 * mean), "the mean is {mean}");
}

#[googletest::test]
fn one_more_server_or_daemon_changes_little() {
    let daemons = names("edge", DAEMONS);
    let servers = names("i", SERVERS);
    let before = choices(&daemons, &servers);
    let changed = |after: &[Vec<bool>]| {
        let pairs = before.iter().zip(after);
        pairs.map(|(a, b)| a.iter().zip(b).filter(|(a, b)| a != b).count()).sum::<usize>()
    };
    let total: usize = before.iter().flatten().filter(|prefers| **prefers).count();
    let more_servers = choices(&daemons, &names("i", SERVERS + 1));
    expect_that!(changed(&more_servers) * 5, lt(total), "of {total} choices");
    let more_daemons = choices(&names("edge", DAEMONS + 1), &servers);
    expect_that!(changed(&more_daemons[..DAEMONS]) * 5, lt(total), "of {total} choices");
}

#[googletest::test]
fn small_pools_are_used_whole() {
    let prefers = choices(&names("edge", 4), &names("i", 6));
    expect_that!(prefers.iter().flatten().all(|prefers| *prefers), eq(true));
}
