//! The durable record of which servers may hold which ranges.

use document::HashMap;
use registry::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Epoch, KeyRange};

/// The servers that may hold the ranges of one service, as the store keeps them.
///
/// A server is granted a range only once a record that names it is durable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// The epoch of the leader that wrote the record.
    pub epoch: u64,
    /// The number of the record within the epoch.
    pub number: u64,
    /// For how long after the write was sent grants to previous holders may be valid at most.
    ///
    /// They are sent none from then on. Records of earlier versions do not tell.
    pub previous_left_ms: Option<u64>,
    /// The ranges in ascending order; together they cover all keys.
    pub ranges: Vec<RecordedRange>,
}

/// One range of a record with the servers that may hold it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedRange {
    /// The keys.
    pub range: KeyRange,
    /// The server that may hold them from now on.
    pub owner: Incarnation,
    /// The previous holders whose grants may still be valid.
    pub previous: Vec<Incarnation>,
}

/// The stored form, in which ranges refer to incarnations by their index.
#[derive(Deserialize, Serialize)]
struct Stored {
    epoch: u64,
    #[serde(default, skip_serializing_if = "is_first_era")]
    era: u64,
    number: u64,
    #[serde(default, rename = "previous_left", skip_serializing_if = "Option::is_none")]
    previous_left_ms: Option<u64>,
    #[serde(rename = "lives")]
    incarnations: Vec<Incarnation>,
    ranges: Vec<(u16, u16, usize, Vec<usize>)>,
}

impl Record {
    /// Returns the text to store in the first era.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.to_text_in_era(0)
    }

    /// Returns the text to store; `era` counts how often the store came back from an older copy.
    #[must_use]
    pub fn to_text_in_era(&self, era: u64) -> String {
        let mut positions: HashMap<&Incarnation, usize> = HashMap::default();
        let mut incarnations = Vec::new();
        let mut position = |incarnation| {
            *positions.entry(incarnation).or_insert_with(|| {
                incarnations.push(Incarnation::clone(incarnation));
                incarnations.len() - 1
            })
        };
        let ranges = self
            .ranges
            .iter()
            .map(|recorded| {
                let previous = recorded.previous.iter().map(&mut position).collect();
                (recorded.range.from(), recorded.range.to(), position(&recorded.owner), previous)
            })
            .collect();
        let stored = Stored {
            epoch: self.epoch,
            era,
            number: self.number,
            previous_left_ms: self.previous_left_ms,
            incarnations,
            ranges,
        };
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Parses a stored text; `None` if it is not a record that covers all keys.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let stored: Stored = serde_json::from_str(text).ok()?;
        let incarnation = |index: usize| stored.incarnations.get(index).cloned();
        let ranges: Option<Vec<RecordedRange>> = stored
            .ranges
            .iter()
            .map(|(from, to, owner, previous)| {
                let previous =
                    previous.iter().map(|index| incarnation(*index)).collect::<Option<_>>()?;
                Some(RecordedRange {
                    range: KeyRange::new(*from, *to)?,
                    owner: incarnation(*owner)?,
                    previous,
                })
            })
            .collect();
        let record = Self {
            epoch: stored.epoch,
            number: stored.number,
            previous_left_ms: stored.previous_left_ms,
            ranges: ranges?,
        };
        record.covers_all_keys().then_some(record)
    }

    /// Returns the era in which the leader that wrote a stored text was elected.
    ///
    /// It is 0 if the text names none, as that of an earlier version.
    #[must_use]
    pub fn era_of(text: &str) -> u64 {
        serde_json::from_str(text).map_or(0, |stored: Stored| stored.era)
    }

    /// Returns whether the leader of an epoch wrote the record.
    #[must_use]
    pub fn is_by(&self, epoch: Epoch) -> bool {
        self.epoch == epoch.0
    }

    fn covers_all_keys(&self) -> bool {
        let mut next = Some(0);
        for recorded in &self.ranges {
            if next != Some(recorded.range.from()) {
                return false;
            }
            next = recorded.range.to().checked_add(1);
        }
        next.is_none()
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_first_era(era: &u64) -> bool {
    *era == 0
}
