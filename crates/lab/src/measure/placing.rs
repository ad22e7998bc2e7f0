//! Shares and churn of the placement policies, in one run.

use document::Name;
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request, Shard};

use super::Rows;
use crate::figure::from_usize;

/// A site's size: its name, servers, shards, and whether churn weighs most.
const SITES: [(&str, usize, u32, bool); 2] =
    [("Mittelland", 20, 512, false), ("Sapporo", 15, 360, true)];
const CENTRES: [&str; 3] = ["a", "b", "c"];
/// The part of the servers that stay in the whole move.
const STAYING: usize = 4;
const SKEW: f64 = 0.99;

/// Compares the policies on a leave, a join, the whole move and skewed load.
#[must_use]
pub fn measure_placement() -> Rows {
    let mut rows = Rows::new("placement: shares relative to fair, moves relative to the least");
    for (site, servers, shards, is_calm) in SITES {
        let balanced = Balanced::from_weights(if is_calm { 5 } else { 1 }, 1);
        measure_policy(&mut rows, &format!("{site} balanced"), &balanced, servers, shards);
        measure_policy(&mut rows, &format!("{site} rendezvous"), &Rendezvous, servers, shards);
    }
    rows
}

fn measure_policy(rows: &mut Rows, name: &str, policy: &impl Policy, servers: usize, shards: u32) {
    let base = settle(policy, new_request(servers, shards));
    let plan = policy.plan(&base);
    rows.push(format!("{name}: settled"), &[("max_share", max_share(&base, &plan))]);

    let mut left = base.clone();
    left.servers[servers / 2].accepts = false;
    push_change(rows, &format!("{name}: one leaves"), policy, &left, count(&base, servers / 2));

    let mut joined = base.clone();
    joined.servers.push(new_server(servers));
    let fair = f64::from(shards) / from_usize(servers + 1);
    push_change(rows, &format!("{name}: one joins"), policy, &joined, (fair * 0.95).ceil());

    let mut moved = base.clone();
    let staying = servers / STAYING;
    for server in &mut moved.servers[staying..] {
        server.accepts = false;
    }
    moved.servers.extend((servers..2 * servers - staying).map(new_server));
    let least: f64 = (staying..servers).map(|server| count(&base, server)).sum();
    push_change(rows, &format!("{name}: whole move"), policy, &moved, least);

    let mut skewed = base.clone();
    for (at, shard) in skewed.shards.iter_mut().enumerate() {
        // The ranks are scattered, so that they say nothing of the owner.
        let rank = at * 211 % usize::try_from(shards).unwrap_or(1) + 1;
        shard.load = from_usize(rank).powf(-SKEW);
    }
    let plan = policy.plan(&skewed);
    let load = |server| held(&plan, server).map(|at| skewed.shards[at].load).sum::<f64>();
    let total: f64 = skewed.shards.iter().map(|shard| shard.load).sum();
    let hottest = skewed.shards.iter().map(|shard| shard.load).fold(0.0, f64::max);
    let fair = total / from_usize(servers);
    let most = (0..servers).map(load).fold(0.0, f64::max);
    rows.push(
        format!("{name}: Zipf 0.99 load"),
        &[("max_load", most / fair), ("hottest_shard", hottest / fair)],
    );
}

fn push_change(rows: &mut Rows, name: &str, policy: &impl Policy, request: &Request, least: f64) {
    let plan = policy.plan(request);
    let churn = from_usize(plan.count_moves(request)) / least;
    rows.push(name, &[("churn", churn), ("max_share", max_share(request, &plan))]);
}

fn new_request(servers: usize, shards: u32) -> Request {
    Request {
        shards: (0..shards).map(|id| Shard::new(id, 0)).collect(),
        servers: (0..servers).map(new_server).collect(),
        is_load_unknown: false,
    }
}

fn new_server(number: usize) -> Candidate {
    let centre = Name::from(CENTRES[number % CENTRES.len()]);
    Candidate::new(Name::from(format!("server-{number}")), centre, 4)
}

fn settle(policy: &impl Policy, mut request: Request) -> Request {
    let plan = policy.plan(&request);
    for (at, shard) in request.shards.iter_mut().enumerate() {
        shard.owner = plan.owners[at];
        shard.successor = plan.successors[at];
    }
    request
}

fn held(plan: &Plan, server: usize) -> impl Iterator<Item = usize> {
    let owners = plan.owners.iter().enumerate();
    owners.filter(move |(_, owner)| **owner == Some(server)).map(|(at, _)| at)
}

fn count(request: &Request, server: usize) -> f64 {
    let held = request.shards.iter().filter(|shard| shard.owner == Some(server));
    from_usize(held.count())
}

fn max_share(request: &Request, plan: &Plan) -> f64 {
    let accepting = request.servers.iter().filter(|server| server.accepts).count();
    let fair = from_usize(request.shards.len()) / from_usize(accepting);
    let most = (0..request.servers.len()).map(|server| held(plan, server).count()).max();
    from_usize(most.unwrap_or(0)) / fair
}
