//! Compares shares and churn of the placement policies.

use document::Name;
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request, Shard};

use super::Rows;
use crate::float::f64_from_usize;

/// The name, servers and shards of each site, and whether churn has the weight 5 instead of 1.
const SITES: [(&str, usize, u32, bool); 2] =
    [("Mittelland", 20, 512, false), ("Sapporo", 15, 360, true)];
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// One in this many servers stays when most are replaced.
const STAYING_DIVISOR: usize = 4;
const SKEW: f64 = 0.99;

/// Compares the placement policies after several changes.
///
/// The changes are that a server leaves, one joins, most are replaced, or the load is skewed.
#[must_use]
pub fn measure_placement() -> Rows {
    let mut rows =
        Rows::new("placement: shares relative to a fair share, moves relative to the minimum");
    for (site, servers, shards, prefers_low_churn) in SITES {
        let balanced = Balanced::from_weights(if prefers_low_churn { 5 } else { 1 }, 1);
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
    push_change(
        rows,
        &format!("{name}: one leaves"),
        policy,
        &left,
        count_shards(&base, servers / 2),
    );

    let mut joined = base.clone();
    joined.servers.push(new_server(servers));
    // The balanced policy accepts a deviation of 5 %, so 95 % of a fair share has to move.
    let fair = f64::from(shards) / f64_from_usize(servers + 1);
    push_change(rows, &format!("{name}: one joins"), policy, &joined, (fair * 0.95).ceil());

    let mut moved = base.clone();
    let staying = servers / STAYING_DIVISOR;
    for server in &mut moved.servers[staying..] {
        server.accepts = false;
    }
    moved.servers.extend((servers..2 * servers - staying).map(new_server));
    let min_moves: f64 = (staying..servers).map(|server| count_shards(&base, server)).sum();
    push_change(rows, &format!("{name}: whole move"), policy, &moved, min_moves);

    let mut skewed = base.clone();
    for (index, shard) in skewed.shards.iter_mut().enumerate() {
        // Ranks are spread over the shards, so that they do not depend on the owner.
        let rank = index * 211 % usize::try_from(shards).unwrap_or(1) + 1;
        shard.load = f64_from_usize(rank).powf(-SKEW);
    }
    let plan = policy.plan(&skewed);
    let load =
        |server| shards_of(&plan, server).map(|shard| skewed.shards[shard].load).sum::<f64>();
    let total: f64 = skewed.shards.iter().map(|shard| shard.load).sum();
    let hottest = skewed.shards.iter().map(|shard| shard.load).fold(0.0, f64::max);
    let fair = total / f64_from_usize(servers);
    let largest = (0..servers).map(load).fold(0.0, f64::max);
    rows.push(
        format!("{name}: Zipf 0.99 load"),
        &[("max_load", largest / fair), ("hottest_shard", hottest / fair)],
    );
}

/// Adds a row with the moves of a plan, relative to the minimum, and its largest share.
fn push_change(
    rows: &mut Rows,
    name: &str,
    policy: &impl Policy,
    request: &Request,
    min_moves: f64,
) {
    let plan = policy.plan(request);
    let churn = f64_from_usize(plan.count_moves(request)) / min_moves;
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
    let data_centre = Name::from(DATA_CENTRES[number % DATA_CENTRES.len()]);
    Candidate::new(Name::from(format!("server-{number}")), data_centre, 4)
}

/// Returns the request with the owners and successors of its own plan.
fn settle(policy: &impl Policy, mut request: Request) -> Request {
    let plan = policy.plan(&request);
    for (index, shard) in request.shards.iter_mut().enumerate() {
        shard.owner = plan.owners[index];
        shard.successor = plan.successors[index];
    }
    request
}

fn shards_of(plan: &Plan, server: usize) -> impl Iterator<Item = usize> {
    let owners = plan.owners.iter().enumerate();
    owners.filter(move |(_, owner)| **owner == Some(server)).map(|(index, _)| index)
}

fn count_shards(request: &Request, server: usize) -> f64 {
    let held = request.shards.iter().filter(|shard| shard.owner == Some(server));
    f64_from_usize(held.count())
}

/// Returns the largest number of shards of a server, relative to a fair share.
fn max_share(request: &Request, plan: &Plan) -> f64 {
    let accepting = request.servers.iter().filter(|server| server.accepts).count();
    let fair = f64_from_usize(request.shards.len()) / f64_from_usize(accepting);
    let largest = (0..request.servers.len()).map(|server| shards_of(plan, server).count()).max();
    f64_from_usize(largest.unwrap_or(0)) / fair
}
