//! Decides which daemons a leader sends tables to and which daemons pass them on.
//!
//! A leader that sent tables to every daemon would fill its link with hundreds of them, and its
//! orders would wait behind. The daemons of a data centre form groups. The leader sends to the
//! first daemon of each group, which passes the message on to the others.

use std::collections::{BTreeMap, BTreeSet};

use document::Name;

/// Tracks the daemons that a leader sends tables to beside the first ones of groups.
#[derive(Clone, Debug, Default)]
pub struct Distribution {
    /// Daemons that requested complete tables since the last publication.
    requests: BTreeSet<Name>,
    requested_at_ms: BTreeMap<Name, u64>,
    /// Daemons that get publications from the leader itself until a time.
    direct_until_ms: BTreeMap<Name, u64>,
}

/// The recipients of a publication.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// The daemons that get the publication from the leader.
    pub publication: Vec<Name>,
    /// Whether the publication lists all owners and not only changes.
    pub is_complete: bool,
    /// The daemons that get complete tables of their own.
    pub complete: Vec<Name>,
}

/// The largest number of daemons in a group.
///
/// The first daemon of a group sends a publication to the others one after another. With some
/// hundred daemons there are about as many groups as daemons in one.
const MAX_GROUP_DAEMONS: usize = 24;
/// The largest number of daemons that get complete tables of their own at once; if more request
/// them, the next publication is complete.
const MAX_COMPLETE: usize = 8;
/// A daemon that requests tables twice within this time gets nothing from its group.
const REPEAT_WINDOW_MS: u64 = 3_000;
/// How long a daemon that gets nothing from its group gets publications from the leader.
const DIRECT_MS: u64 = 5_000;

/// The time in which a publication reaches a daemon that the leader sends to.
const DIRECT_TRANSIT_MS: u64 = 6;
/// Number of daemons for which a publication takes a millisecond longer: the leader batches
/// changes, and first daemons of groups send to the others one after another.
const DAEMONS_PER_TRANSIT_MS: u64 = 4;
/// The longest time that is allowed for a publication.
const MAX_TRANSIT_MS: u64 = 50;

/// Returns how long after a publication nearly all daemons have it.
///
/// Until then, requests for keys that move may still be sent to their previous holder.
#[must_use]
pub fn publication_transit_ms(daemons: usize) -> u64 {
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX);
    (DIRECT_TRANSIT_MS + daemons / DAEMONS_PER_TRANSIT_MS).min(MAX_TRANSIT_MS)
}

/// Splits the daemons of a data centre into groups of about the same size.
///
/// Each daemon that knows the same daemons forms the same groups.
#[must_use]
pub fn daemon_groups(mut daemons: Vec<Name>) -> Vec<Vec<Name>> {
    daemons.sort_unstable();
    let count = daemons.len().div_ceil(MAX_GROUP_DAEMONS).max(1);
    let size = daemons.len().div_ceil(count).max(1);
    daemons.chunks(size).map(<[Name]>::to_vec).collect()
}

/// Returns the first daemon of each group; `daemons` are all daemons with their data centres.
pub(crate) fn first_of_groups(daemons: impl Iterator<Item = (Name, Name)>) -> Vec<Name> {
    let first = |group: Vec<Name>| group.into_iter().next();
    groups_by_data_centre(daemons).into_iter().filter_map(first).collect()
}

fn groups_by_data_centre(daemons: impl Iterator<Item = (Name, Name)>) -> Vec<Vec<Name>> {
    let mut data_centres: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    for (daemon, data_centre) in daemons {
        data_centres.entry(data_centre).or_default().push(daemon);
    }
    data_centres.into_values().flat_map(daemon_groups).collect()
}

impl Distribution {
    /// Handles a daemon's request for complete tables.
    pub fn on_request(&mut self, now_ms: u64, daemon: &Name) {
        let last_ms = self.requested_at_ms.insert(daemon.clone(), now_ms);
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + REPEAT_WINDOW_MS) {
            self.direct_until_ms.insert(daemon.clone(), now_ms + DIRECT_MS);
        }
        self.requests.insert(daemon.clone());
    }

    /// Returns whether requests wait for the next publication.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Returns the recipients of a publication by `leader`; `daemons` are all daemons with their
    /// data centres.
    pub fn next(
        &mut self,
        now_ms: u64,
        leader: &Name,
        daemons: impl Iterator<Item = (Name, Name)>,
    ) -> Recipients {
        self.direct_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.requested_at_ms.retain(|_, at_ms| now_ms < *at_ms + REPEAT_WINDOW_MS);
        let mut publication: BTreeSet<Name> = self.direct_until_ms.keys().cloned().collect();
        for group in groups_by_data_centre(daemons) {
            match group.split_first() {
                Some((first, others)) if first == leader => {
                    publication.extend(others.iter().cloned());
                }
                Some((first, _)) => {
                    publication.insert(first.clone());
                }
                None => {}
            }
        }
        publication.remove(leader);
        let requests = std::mem::take(&mut self.requests);
        let is_complete = requests.len() > MAX_COMPLETE;
        let complete = if is_complete { Vec::new() } else { requests.into_iter().collect() };
        Recipients { publication: publication.into_iter().collect(), is_complete, complete }
    }
}
