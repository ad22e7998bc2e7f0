//! The choice between several servers that could all answer a request.

/// What a daemon knows of one server that could answer.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How many requests of this daemon are in flight or wait at the server.
    pub occupied: u32,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// The server's latency as a multiple of that of a typical server.
    pub slowness: f32,
    /// Whether the server is in the daemon's data centre.
    pub is_near: bool,
    /// Whether the server is one of the few to which this daemon keeps connections.
    pub is_preferred: bool,
    /// Whether the server failed recently, or already failed this request.
    pub is_avoided: bool,
}

/// The penalty for a server in another data centre, in multiples of its slots.
///
/// Traffic between data centres is paid for, and may cost more than a large answer is worth.
/// A server in another data centre is therefore chosen only if every server nearby is fuller
/// by more than this multiple; 1.0 weighs as much as a server whose slots are all occupied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemotePenalty(pub f32);

impl RemotePenalty {
    /// The penalty for answers of a few kilobytes.
    pub const SMALL: Self = Self(0.1);
    /// The penalty for downloads.
    pub const LARGE: Self = Self(4.0);
}

/// Returns the position of the candidate with the lowest cost; `None` if there are none.
///
/// Avoided servers are chosen only if all are avoided. `draw` is a random number that breaks
/// ties, so that daemons with the same view choose different servers.
#[must_use]
pub fn pick(candidates: &[Candidate], penalty: RemotePenalty, draw: u32) -> Option<usize> {
    let count = candidates.len();
    let first = usize::try_from(draw).unwrap_or(0).checked_rem(count)?;
    let order = (0..count).map(|offset| (first + offset) % count);
    let is_any_usable = candidates.iter().any(|candidate| !candidate.is_avoided);
    order
        .filter(|&position| !(is_any_usable && candidates[position].is_avoided))
        .min_by(|&a, &b| candidates[a].cost(penalty).total_cmp(&candidates[b].cost(penalty)))
}

/// The penalty for a server to which this daemon keeps no connections, in multiples of its slots.
///
/// It is little more than one request, so that a few requests at once go to other servers.
const CONNECTION_PENALTY: f32 = 0.3;

impl Candidate {
    /// Returns how full the server would be with one more request, plus the remote penalty.
    fn cost(&self, penalty: RemotePenalty) -> f32 {
        let to_f32 = |count: u32| f32::from(u16::try_from(count).unwrap_or(u16::MAX));
        let fullness = to_f32(self.occupied + 1) / to_f32(self.slots.max(1)) * self.slowness;
        let remote = if self.is_near { 0.0 } else { penalty.0 };
        let connection = if self.is_preferred { 0.0 } else { CONNECTION_PENALTY };
        fullness + remote + connection
    }
}
