//! Chooses the instances that vote for the controller of a service.

use document::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Instance;

/// The number of voters if enough instances are live; tolerates the failure of one.
const TARGET_VOTERS: usize = 3;

/// Chooses voters in different data centres where possible, preferring the current voters.
pub(crate) fn choose_voters(service: &Name, live: &[Instance], current: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<&Instance> = live.iter().collect();
    ranked.sort_by_key(|instance| {
        (!current.contains(&instance.name), hash(service, &instance.name), instance.name.clone())
    });
    let mut chosen: Vec<&Instance> = Vec::new();
    for allow_same_data_centre in [false, true] {
        for instance in &ranked {
            let is_unchosen = !chosen.contains(instance);
            let is_in_new_data_centre =
                chosen.iter().all(|voter| voter.data_centre != instance.data_centre);
            if chosen.len() < TARGET_VOTERS
                && is_unchosen
                && (is_in_new_data_centre || allow_same_data_centre)
            {
                chosen.push(instance);
            }
        }
    }
    // With two voters both would have to agree, so the second would only add a point of failure.
    if chosen.len() < TARGET_VOTERS {
        chosen.truncate(1);
    }
    let mut names: Vec<Name> = chosen.into_iter().map(|instance| instance.name.clone()).collect();
    names.sort();
    names
}

/// Returns the rank of an instance among the candidates, or `None` if it is not a member.
pub(crate) fn candidate_rank(service: &Name, members: &[Name], instance: &Name) -> Option<u64> {
    members.contains(instance).then(|| {
        let own_key = (hash(service, instance), instance);
        let earlier = members.iter().filter(|member| (hash(service, member), *member) < own_key);
        u64::try_from(earlier.count()).unwrap_or(u64::MAX)
    })
}

fn hash(service: &Name, instance: &Name) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64_with_seed(service.as_bytes(), 0))
}
