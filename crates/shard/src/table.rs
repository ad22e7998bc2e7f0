//! The table by which daemons route keyed requests.

use registry::Incarnation;

use crate::KeyRange;

/// The owners of all keys of one service, as the leader last published them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    /// The spans in ascending order; they cover all keys, or there are none.
    pub spans: Vec<Span>,
}

/// A range of keys with its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The keys.
    pub range: KeyRange,
    /// Which server serves them, or why none does.
    pub owner: Owner,
}

/// The state of a range's ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This server serves the range.
    Server(Incarnation),
    /// The range is moving to this server, which serves it shortly.
    Moving(Incarnation),
    /// No server serves the range, at least until the last grant has expired.
    Nobody {
        /// About when that is, by the clock of the process; 0 if no grant is valid.
        until_ms: u64,
    },
}

impl Table {
    /// Returns the spans that turn an earlier table into this one by [`Table::patch`].
    #[must_use]
    pub fn changes_since(&self, earlier: &Self) -> Vec<Span> {
        let mut known = earlier.spans.iter().peekable();
        let is_new = |span: &&Span| {
            while known.next_if(|old| old.range.from() < span.range.from()).is_some() {}
            known.peek() != Some(span)
        };
        self.spans.iter().filter(is_new).cloned().collect()
    }

    /// Replaces the parts of the table that the changed spans cover.
    pub fn patch(&mut self, changes: &[Span]) {
        let is_replaced = |range: KeyRange| changes.iter().any(|new| new.range.overlaps(range));
        let old = std::mem::take(&mut self.spans);
        let (touched, kept): (Vec<Span>, Vec<Span>) =
            old.into_iter().partition(|span| is_replaced(span.range));
        self.spans = kept;
        for span in touched {
            let mut rests = vec![span.range];
            for new in changes {
                rests = rests.into_iter().flat_map(|rest| rest.without(new.range)).collect();
            }
            let owner = &span.owner;
            self.spans.extend(rests.into_iter().map(|range| Span { range, owner: owner.clone() }));
        }
        self.spans.extend_from_slice(changes);
        self.spans.sort_unstable_by_key(|span| span.range.from());
    }

    /// Returns the table with times counted from `now_ms`, as other processes get it.
    #[must_use]
    pub fn to_relative(&self, now_ms: u64) -> Self {
        self.map_times(|until_ms| until_ms.saturating_sub(now_ms))
    }

    /// Returns the table of another process, which has times counted from `now_ms`.
    #[must_use]
    pub fn to_absolute(&self, now_ms: u64) -> Self {
        self.map_times(|for_ms| if for_ms == 0 { 0 } else { now_ms + for_ms })
    }

    fn map_times(&self, map: impl Fn(u64) -> u64) -> Self {
        let spans = self.spans.iter().map(|span| {
            let owner = match &span.owner {
                Owner::Nobody { until_ms } => Owner::Nobody { until_ms: map(*until_ms) },
                owner => owner.clone(),
            };
            Span { range: span.range, owner }
        });
        Self { spans: spans.collect() }
    }

    /// Returns the span that contains a key; `None` if the table is empty.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Span> {
        let after = self.spans.partition_point(|span| span.range.from() <= key);
        self.spans[..after].last().filter(|span| span.range.contains(key))
    }
}
