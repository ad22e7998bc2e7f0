//! Shares, churn and load bounds of the balanced policy, beside rendezvous hashing.
#![expect(clippy::cast_precision_loss, reason = "counts are small")]

use document::Name;
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request, Shard};

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn server(number: usize) -> Candidate {
    Candidate::new(Name::from(format!("s{number}")), Name::from(CENTRES[number % 3]), 4)
}

fn request(shards: u32, servers: usize) -> Request {
    Request {
        shards: (0..shards).map(|id| Shard::new(id, 0)).collect(),
        servers: (0..servers).map(server).collect(),
        is_early: false,
    }
}

/// Makes the plan the present state.
fn settle(request: &mut Request, plan: &Plan) {
    for (at, shard) in request.shards.iter_mut().enumerate() {
        shard.owner = plan.owners[at];
        shard.successor = plan.successors[at];
    }
}

fn counts(request: &Request, plan: &Plan) -> Vec<usize> {
    (0..request.servers.len())
        .filter(|server| request.servers[*server].accepts)
        .map(|server| plan.owners.iter().filter(|owner| **owner == Some(server)).count())
        .collect()
}

fn assert_even(request: &Request, plan: &Plan) {
    let counts = counts(request, plan);
    let fair = request.shards.len() as f64 / counts.len() as f64;
    for count in counts {
        let ratio = count as f64 / fair;
        assert!((0.95..=1.05).contains(&ratio), "a server has {ratio:.3} of its fair share");
    }
}

fn settled(shards: u32, servers: usize) -> Request {
    let mut request = request(shards, servers);
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    settle(&mut request, &plan);
    request
}

#[test]
fn from_nothing() {
    settled(512, 20);
    settled(512, 15);
}

#[test]
fn repeated_plan_moves_nothing() {
    let request = settled(512, 20);
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn one_leaves() {
    let mut request = settled(512, 20);
    request.servers[3].accepts = false;
    let least = request.shards.iter().filter(|shard| shard.owner == Some(3)).count();
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    assert!(plan.count_moves(&request) as f64 <= least as f64 * 1.1);
}

#[test]
fn one_joins() {
    let mut request = settled(512, 20);
    request.servers.push(server(20));
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    let least = (512.0_f64 / 21.0 * 0.95).ceil();
    assert!(plan.count_moves(&request) as f64 <= least * 1.1);
}

#[test]
fn most_leave() {
    let mut request = settled(512, 20);
    for at in 5..20 {
        request.servers[at].accepts = false;
    }
    request.servers.extend((20..35).map(server));
    let least = request.shards.iter().filter(|shard| shard.owner >= Some(5)).count();
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    assert!(plan.count_moves(&request) as f64 <= least as f64 * 1.1);
}

#[test]
fn most_leave_before_others_answer() {
    let mut request = settled(512, 20);
    for at in 5..20 {
        request.servers[at].accepts = false;
    }
    let early = Balanced::default().plan(&request);
    for (at, shard) in request.shards.iter_mut().enumerate() {
        shard.successor = early.owners[at].filter(|owner| shard.owner != Some(*owner));
    }
    request.servers.extend((20..35).map(server));
    assert_even(&request, &Balanced::default().plan(&request));
}

#[test]
fn skewed_load() {
    let mut request = settled(512, 20);
    let total: f64 = (1..=512).map(|rank| f64::from(rank).powf(-0.99)).sum();
    for (at, shard) in request.shards.iter_mut().enumerate() {
        // Shards are scattered over servers, so their rank says nothing of the owner.
        let rank = (at * 211) % 512 + 1;
        shard.load = 10_000.0 * (rank as f64).powf(-0.99) / total;
    }
    let plan = Balanced::default().plan(&request);
    let sum: f64 = request.shards.iter().map(|shard| shard.load).sum();
    let largest = request.shards.iter().map(|shard| shard.load).fold(0.0, f64::max);
    for server in 0..20 {
        let held = request.shards.iter().zip(&plan.owners);
        let load: f64 =
            held.filter(|(_, owner)| **owner == Some(server)).map(|(shard, _)| shard.load).sum();
        let fair = sum / 20.0;
        assert!(load <= (1.25 * fair).max(largest * 1.05), "a server has {:.2}", load / fair);
    }
}

#[test]
fn noisy_load_moves_nothing() {
    let mut request = settled(512, 20);
    for (at, shard) in request.shards.iter_mut().enumerate() {
        shard.load = 100.0 + ((at * 7919) % 41) as f64 - 20.0;
    }
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn early_plan_moves_nothing() {
    let mut request = settled(512, 20);
    for shard in &mut request.shards {
        shard.owner = shard.owner.map(|owner| owner / 2);
    }
    request.is_early = true;
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn groups_are_respected() {
    let mut request = request(60, 4);
    for (at, shard) in request.shards.iter_mut().enumerate() {
        shard.group = at % 2;
    }
    request.servers[0].groups = Some(vec![0]);
    request.servers[1].groups = Some(vec![1]);
    let plan = Balanced::default().plan(&request);
    for (shard, owner) in request.shards.iter().zip(&plan.owners) {
        assert!(request.servers[owner.unwrap()].may_take(shard.group));
    }
}

#[test]
fn successors_spread_a_loss() {
    let request = settled(512, 20);
    let lost = 7;
    let mut heirs = vec![0; 20];
    for shard in request.shards.iter().filter(|shard| shard.owner == Some(lost)) {
        let successor = shard.successor.expect("there is a second server");
        assert_ne!(successor, lost);
        heirs[successor] += 1;
    }
    assert!(*heirs.iter().max().unwrap() <= 3, "{heirs:?}");
}

#[test]
fn fewer_moves_than_rendezvous() {
    let base = settled(512, 20);
    let mut joined = base.clone();
    joined.servers.push(server(20));
    let balanced = Balanced::default().plan(&joined);
    let mut hashed = request(512, 20);
    let plan = Rendezvous.plan(&hashed);
    settle(&mut hashed, &plan);
    let even = |counts: Vec<usize>| *counts.iter().max().unwrap();
    assert!(even(counts(&base, &Balanced::default().plan(&base))) < even(counts(&hashed, &plan)));
    assert!(balanced.count_moves(&joined) <= 27);
}
