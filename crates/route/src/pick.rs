//! Which of several servers that could all answer gets a request.

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How many requests this daemon has there, waiting ones included.
    pub occupied: u32,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How long it takes against an ordinary server.
    pub slowness: f32,
    /// Whether it stands in this data centre.
    pub is_near: bool,
    /// Whether it failed lately, or has failed this request before.
    pub is_avoided: bool,
}

/// What an answer from another data centre costs, against a server that is full.
///
/// Bytes between data centres are paid for, and a large answer may cost more there than it
/// is worth: it goes far only when the near servers are this many times full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distance(pub f32);

impl Distance {
    /// For answers of some kilobytes.
    pub const SMALL: Self = Self(0.1);
    /// For downloads.
    pub const LARGE: Self = Self(4.0);
}

/// Returns the position of the server that is expected to answer best.
///
/// Avoided servers are taken only if all are. `draw` breaks ties, so that daemons with the
/// same view spread out.
#[must_use]
pub fn pick(candidates: &[Candidate], distance: Distance, draw: u32) -> Option<usize> {
    let count = candidates.len();
    let first = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|offset| (first + offset) % count);
    let is_any_good = candidates.iter().any(|candidate| !candidate.is_avoided);
    order
        .filter(|&at| !(is_any_good && candidates[at].is_avoided))
        .min_by(|&a, &b| candidates[a].cost(distance).total_cmp(&candidates[b].cost(distance)))
}

impl Candidate {
    /// Returns how full the server would be, with what the way there costs.
    fn cost(&self, distance: Distance) -> f32 {
        let to_f32 = |count: u32| f32::from(u16::try_from(count).unwrap_or(u16::MAX));
        let fullness = to_f32(self.occupied + 1) / to_f32(self.slots.max(1)) * self.slowness;
        fullness + if self.is_near { 0.0 } else { distance.0 }
    }
}
