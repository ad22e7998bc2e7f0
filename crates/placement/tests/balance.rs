//! Guards against uneven shares and needless moves under the balanced policy.
//!
//! One test compares the policy with rendezvous hashing.
#![expect(clippy::cast_precision_loss, reason = "counts are small")]

use document::Name;
use placement::{Balanced, Candidate, Plan, Policy, Rendezvous, Request, Shard};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn server(number: usize) -> Candidate {
    Candidate::new(Name::from(format!("s{number}")), Name::from(DATA_CENTRES[number % 3]), 4)
}

fn request(shards: u32, servers: usize) -> Request {
    Request {
        shards: (0..shards).map(|id| Shard::new(id, 0)).collect(),
        servers: (0..servers).map(server).collect(),
        is_load_unknown: false,
    }
}

/// Makes the plan's owners and successors the current ones.
fn apply(request: &mut Request, plan: &Plan) {
    for (position, shard) in request.shards.iter_mut().enumerate() {
        shard.owner = plan.owners[position];
        shard.successor = plan.successors[position];
    }
}

fn shard_counts(request: &Request, plan: &Plan) -> Vec<usize> {
    (0..request.servers.len())
        .filter(|server| request.servers[*server].accepts)
        .map(|server| plan.owners.iter().filter(|owner| **owner == Some(server)).count())
        .collect()
}

fn assert_even(request: &Request, plan: &Plan) {
    let counts = shard_counts(request, plan);
    let fair = request.shards.len() as f64 / counts.len() as f64;
    for count in counts {
        let ratio = count as f64 / fair;
        assert!(
            (0.95..=1.05).contains(&ratio),
            "a server has {ratio:.3} times its fair share, expected 0.95 to 1.05"
        );
    }
}

/// Returns a request whose owners are those of the first plan, with even shares.
fn placed(shards: u32, servers: usize) -> Request {
    let mut request = request(shards, servers);
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    apply(&mut request, &plan);
    request
}

#[test]
fn first_plan_is_even() {
    placed(512, 20);
    placed(512, 15);
}

#[test]
fn repeated_plan_moves_nothing() {
    let request = placed(512, 20);
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn leaving_server_costs_few_moves() {
    let mut request = placed(512, 20);
    request.servers[3].accepts = false;
    let min_moves = request.shards.iter().filter(|shard| shard.owner == Some(3)).count();
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    assert!(plan.count_moves(&request) as f64 <= min_moves as f64 * 1.1);
}

#[test]
fn joining_server_costs_few_moves() {
    let mut request = placed(512, 20);
    request.servers.push(server(20));
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    let min_moves = (512.0_f64 / 21.0 * 0.95).ceil();
    assert!(plan.count_moves(&request) as f64 <= min_moves * 1.1);
}

#[test]
fn replaced_servers_cost_few_moves() {
    let mut request = placed(512, 20);
    for position in 5..20 {
        request.servers[position].accepts = false;
    }
    request.servers.extend((20..35).map(server));
    let min_moves = request.shards.iter().filter(|shard| shard.owner >= Some(5)).count();
    let plan = Balanced::default().plan(&request);
    assert_even(&request, &plan);
    assert!(plan.count_moves(&request) as f64 <= min_moves as f64 * 1.1);
}

/// Most servers leave before their replacements are known. The successors that were chosen
/// in the meantime must not keep the replacements from their share.
#[test]
fn replacements_that_join_late_get_their_share() {
    let mut request = placed(512, 20);
    for position in 5..20 {
        request.servers[position].accepts = false;
    }
    let interim = Balanced::default().plan(&request);
    for (position, shard) in request.shards.iter_mut().enumerate() {
        shard.successor = interim.owners[position].filter(|owner| shard.owner != Some(*owner));
    }
    request.servers.extend((20..35).map(server));
    assert_even(&request, &Balanced::default().plan(&request));
}

#[test]
fn skewed_load_is_spread() {
    let mut request = placed(512, 20);
    let total: f64 = (1..=512).map(|rank| f64::from(rank).powf(-0.99)).sum();
    for (position, shard) in request.shards.iter_mut().enumerate() {
        // Scatters the ranks over the shards, so that they are independent of the owners.
        let rank = (position * 211) % 512 + 1;
        shard.load = 10_000.0 * (rank as f64).powf(-0.99) / total;
    }
    let plan = Balanced::default().plan(&request);
    let sum: f64 = request.shards.iter().map(|shard| shard.load).sum();
    let largest = request.shards.iter().map(|shard| shard.load).fold(0.0, f64::max);
    for server in 0..20 {
        let owned = request.shards.iter().zip(&plan.owners);
        let load: f64 =
            owned.filter(|(_, owner)| **owner == Some(server)).map(|(shard, _)| shard.load).sum();
        let fair = sum / 20.0;
        assert!(
            load <= (1.25 * fair).max(largest * 1.05),
            "a server has {:.2} times its fair share",
            load / fair
        );
    }
}

#[test]
fn noisy_load_moves_nothing() {
    let mut request = placed(512, 20);
    for (position, shard) in request.shards.iter_mut().enumerate() {
        shard.load = 100.0 + ((position * 7919) % 41) as f64 - 20.0;
    }
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn unknown_load_moves_nothing() {
    let mut request = placed(512, 20);
    // Assigns the shards of every two servers to one server, so that the shares are uneven.
    for shard in &mut request.shards {
        shard.owner = shard.owner.map(|owner| owner / 2);
    }
    request.is_load_unknown = true;
    assert_eq!(Balanced::default().plan(&request).count_moves(&request), 0);
}

#[test]
fn owners_accept_the_key_groups() {
    let mut request = request(60, 4);
    for (position, shard) in request.shards.iter_mut().enumerate() {
        shard.group = position % 2;
    }
    request.servers[0].groups = Some(vec![0]);
    request.servers[1].groups = Some(vec![1]);
    let plan = Balanced::default().plan(&request);
    for (shard, owner) in request.shards.iter().zip(&plan.owners) {
        assert!(request.servers[owner.unwrap()].may_own(shard.group));
    }
}

#[test]
fn successors_spread_the_loss_of_a_server() {
    let request = placed(512, 20);
    let lost = 7;
    let mut shards_by_successor = vec![0; 20];
    for shard in request.shards.iter().filter(|shard| shard.owner == Some(lost)) {
        let successor = shard.successor.expect("there is a second server");
        assert_ne!(successor, lost);
        shards_by_successor[successor] += 1;
    }
    assert!(*shards_by_successor.iter().max().unwrap() <= 3, "{shards_by_successor:?}");
}

#[test]
fn more_even_than_rendezvous_with_few_moves() {
    let base = placed(512, 20);
    let mut joined = base.clone();
    joined.servers.push(server(20));
    let balanced = Balanced::default().plan(&joined);
    let mut hashed = request(512, 20);
    let plan = Rendezvous.plan(&hashed);
    apply(&mut hashed, &plan);
    let largest = |counts: Vec<usize>| *counts.iter().max().unwrap();
    assert!(
        largest(shard_counts(&base, &Balanced::default().plan(&base)))
            < largest(shard_counts(&hashed, &plan))
    );
    assert!(balanced.count_moves(&joined) <= 27);
}
