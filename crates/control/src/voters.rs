//! Which instances vote on the controller of a service.

use document::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Instance;

/// The wanted number of voters; the loss of one of them is always survived.
const VOTERS: usize = 3;

/// Chooses voters in as many data centres as there are, and keeps present ones.
pub(crate) fn choose_voters(service: &Name, live: &[Instance], present: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<&Instance> = live.iter().collect();
    ranked.sort_by_key(|instance| {
        (!present.contains(&instance.name), rank(service, &instance.name), instance.name.clone())
    });
    let mut chosen: Vec<&Instance> = Vec::new();
    for allow_same_data_centre in [false, true] {
        for instance in &ranked {
            let is_new = !chosen.contains(instance);
            let is_apart = chosen.iter().all(|other| other.data_centre != instance.data_centre);
            if chosen.len() < VOTERS && is_new && (is_apart || allow_same_data_centre) {
                chosen.push(instance);
            }
        }
    }
    // With two voters both would have to agree, so the second adds nothing but risk.
    if chosen.len() < VOTERS {
        chosen.truncate(1);
    }
    let mut names: Vec<Name> = chosen.into_iter().map(|instance| instance.name.clone()).collect();
    names.sort();
    names
}

/// Returns the position of an instance in the order in which candidates try.
pub(crate) fn candidate_rank(service: &Name, members: &[Name], me: &Name) -> Option<u64> {
    members.contains(me).then(|| {
        let mine = (rank(service, me), me);
        let earlier = members.iter().filter(|other| (rank(service, other), *other) < mine);
        u64::try_from(earlier.count()).unwrap_or(u64::MAX)
    })
}

fn rank(service: &Name, instance: &Name) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), xxh3_64_with_seed(service.as_bytes(), 0))
}
