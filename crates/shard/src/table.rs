//! What daemons route keyed requests by.

use registry::Life;

use crate::KeyRange;

/// The owners of all keys of one service, as the leader last told.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    /// The spans in order; together they are all keys, or there are none.
    pub spans: Vec<Span>,
}

/// A range with its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The keys.
    pub range: KeyRange,
    /// Who serves them.
    pub owner: Owner,
}

/// Who serves a range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This server.
    Server(Life),
    /// It is on its way to this server and open again within moments.
    Moving(Life),
    /// Nobody, for about this long: the last grant has to run out.
    Nobody {
        /// How much longer, in milliseconds.
        for_ms: u64,
    },
}

impl Table {
    /// Returns the span that a key is in.
    #[must_use]
    pub fn find(&self, key: u16) -> Option<&Span> {
        let after = self.spans.partition_point(|span| span.range.from() <= key);
        self.spans[..after].last().filter(|span| span.range.contains(key))
    }
}
