//! What a leader passes on, and continues from, when the store has come back from an older copy.
//!
//! The records in the store are then older than the grants, so they do not tell who holds what.

use document::Name;

use crate::assignment::Assignment;
use crate::range_state::RangeState;
use crate::{Leader, Record, RecordedRange};

impl Leader {
    /// Returns the servers that may hold keys, by service.
    ///
    /// A service of which no key may be held has no record. Services of which this leader does not know
    /// the holders are missing.
    #[must_use]
    pub fn holders(&self, now_ms: u64) -> Vec<(Name, Option<Record>)> {
        let left_ms = self.grants_deadline_ms(now_ms).saturating_sub(now_ms);
        let known =
            self.assignments.iter().filter(|(_, assignment)| !assignment.is_unknown(now_ms));
        let holders = known.filter_map(|(service, assignment)| {
            let record = if assignment.is_unassigned() {
                None
            } else {
                Some(assignment.holders_record(self.epoch().0, left_ms)?)
            };
            Some((service.clone(), record))
        });
        holders.collect()
    }

    /// Continues with the holders that an earlier leader passed on, unless keys were assigned since.
    ///
    /// Returns whether the service was waiting for them.
    pub fn continue_service(
        &mut self,
        now_ms: u64,
        service: &Name,
        record: Option<&Record>,
    ) -> bool {
        if !self.is_unknown_service(service, now_ms) {
            return false;
        }
        let assignment = match record {
            Some(record) => {
                let (fences, config) = (&mut self.fences, &self.config);
                let mut assignment = Assignment::from_record(record, now_ms, fences, config);
                assignment.writes.require_rewrite();
                assignment
            }
            None => Assignment::new(),
        };
        self.assignments.insert(service.clone(), assignment);
        true
    }

    /// Returns whether any server may hold any key of a service, so that none is assigned.
    #[must_use]
    pub fn is_unknown_service(&self, service: &str, now_ms: u64) -> bool {
        self.assignments.get(service).is_some_and(|assignment| assignment.is_unknown(now_ms))
    }
}

impl Assignment {
    /// Returns a record that names all servers that may hold each range; `None` if a range may have
    /// none.
    fn holders_record(&self, epoch: u64, left_ms: u64) -> Option<Record> {
        let ranges = self.ranges.iter().map(RangeState::to_holders);
        Some(Record {
            epoch,
            number: 0,
            previous_left_ms: Some(left_ms),
            ranges: ranges.collect::<Option<_>>()?,
        })
    }
}

impl RangeState {
    fn to_holders(&self) -> Option<RecordedRange> {
        let mut previous: Vec<_> =
            self.previous_holders.iter().map(|previous| previous.incarnation.clone()).collect();
        let owner = match (&self.holder, &self.successor) {
            (Some(holder), _) => holder.incarnation.clone(),
            // Previous holders stay the owners, since the successor was granted nothing.
            (None, _) if !previous.is_empty() => previous.pop()?,
            (None, Some(successor)) => successor.incarnation.clone(),
            (None, None) => return None,
        };
        Some(RecordedRange { range: self.range, owner, previous })
    }
}
