//! The durable record of who may hold what.

use document::HashMap;
use registry::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Epoch, KeyRange};

/// Who may hold the ranges of one service, as it stands in the store.
///
/// No grant goes to a server for a range before a record that names it is durable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// The leader that wrote it.
    pub epoch: u64,
    /// The number of the write within the leader's epoch.
    pub number: u64,
    /// The ranges in order; together they are all keys.
    pub shares: Vec<Share>,
}

/// One range of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The keys.
    pub range: KeyRange,
    /// Who may hold them from now on.
    pub owner: Incarnation,
    /// Who may still hold them from before.
    pub previous: Vec<Incarnation>,
}

/// The stored form: lives stand once, ranges point to them.
#[derive(Deserialize, Serialize)]
struct Stored {
    epoch: u64,
    number: u64,
    lives: Vec<Incarnation>,
    ranges: Vec<(u16, u16, usize, Vec<usize>)>,
}

impl Record {
    /// Returns the text that is stored.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut positions: HashMap<&Incarnation, usize> = HashMap::default();
        let mut lives = Vec::new();
        let mut position = |incarnation| {
            *positions.entry(incarnation).or_insert_with(|| {
                lives.push(Incarnation::clone(incarnation));
                lives.len() - 1
            })
        };
        let ranges = self
            .shares
            .iter()
            .map(|share| {
                let previous = share.previous.iter().map(&mut position).collect();
                (share.range.from(), share.range.to(), position(&share.owner), previous)
            })
            .collect();
        let stored = Stored { epoch: self.epoch, number: self.number, lives, ranges };
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Reads a stored text; `None` if it is not a record.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let stored: Stored = serde_json::from_str(text).ok()?;
        let incarnation = |at: usize| stored.lives.get(at).cloned();
        let shares: Option<Vec<Share>> = stored
            .ranges
            .iter()
            .map(|(from, to, owner, previous)| {
                let previous = previous.iter().map(|at| incarnation(*at)).collect::<Option<_>>()?;
                Some(Share {
                    range: KeyRange::new(*from, *to)?,
                    owner: incarnation(*owner)?,
                    previous,
                })
            })
            .collect();
        let record = Self { epoch: stored.epoch, number: stored.number, shares: shares? };
        record.is_whole().then_some(record)
    }

    /// Returns whether a leader wrote the record.
    #[must_use]
    pub fn is_by(&self, epoch: Epoch) -> bool {
        self.epoch == epoch.0
    }

    fn is_whole(&self) -> bool {
        let mut next = Some(0);
        for share in &self.shares {
            if next != Some(share.range.from()) {
                return false;
            }
            next = share.range.to().checked_add(1);
        }
        next.is_none()
    }
}
