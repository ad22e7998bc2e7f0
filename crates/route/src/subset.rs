//! The servers of a pooled service that a daemon prefers to others.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The least number of servers that a daemon prefers.
const MIN_PREFERRED: usize = 8;
/// How many daemons prefer each server, if there are as many.
const DAEMONS_PER_SERVER: usize = 3;

/// Returns for each server whether a daemon prefers it; `daemons` are all that choose among these
/// servers.
///
/// A daemon that sends its requests to a few of many servers can use connections again, which
/// servers otherwise close while idle. Each server is preferred by some daemons, and a daemon or
/// server that comes or goes changes few choices of the others.
#[must_use]
pub fn preferred(daemon: &str, servers: &[&str], daemons: &[&str]) -> Vec<bool> {
    let weight = |daemon: &str, server: &str| {
        xxh3_64_with_seed(server.as_bytes(), xxh3_64(daemon.as_bytes()))
    };
    let own: Vec<u64> = servers.iter().map(|server| weight(daemon, server)).collect();
    let is_chosen_by = |server: &str, own: u64| {
        let others = daemons.iter().filter(|other| **other != daemon);
        let above = others.filter(|other| weight(other, server) > own).take(DAEMONS_PER_SERVER);
        above.count() < DAEMONS_PER_SERVER
    };
    let mut preferred: Vec<bool> =
        servers.iter().zip(&own).map(|(server, own)| is_chosen_by(server, *own)).collect();
    let count = preferred.iter().filter(|is_preferred| **is_preferred).count();
    let mut others: Vec<usize> = (0..servers.len()).filter(|index| !preferred[*index]).collect();
    others.sort_by_key(|index| Reverse(own[*index]));
    for index in others.into_iter().take(MIN_PREFERRED.saturating_sub(count)) {
        preferred[index] = true;
    }
    preferred
}
