//! The choice between several servers that could all answer a request.

use crate::ExpectedLoad;

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
    /// What a request is expected to meet at a server that reports its load.
    pub expected: Option<ExpectedLoad>,
}

/// The choice of one of several candidates, which are offered one by one.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    count: usize,
    /// The position that wins among equals; after it the next one, and so on in a circle.
    first: usize,
    penalty: RemotePenalty,
    /// Whether any of the candidates reports its load.
    has_reports: bool,
    /// Whether servers whose costs differ by little are chosen at random.
    has_spread: bool,
    draw: u32,
    /// The share of the candidates that are compared.
    compared_share: f32,
    offered: usize,
    best: Option<Best>,
}

/// The best candidate so far.
#[derive(Clone, Copy, Debug)]
struct Best {
    /// How it compares with others: the least is chosen.
    rank: u64,
    position: usize,
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
    let has_reports = candidates.iter().any(|candidate| candidate.expected.is_some());
    let mut choice = Choice::new(candidates.len(), has_reports, penalty, draw);
    for candidate in candidates {
        choice.offer(candidate);
    }
    choice.chosen()
}

/// The penalty for a server to which this daemon keeps no connections, in multiples of its slots.
///
/// It is little more than one request, so that a few requests at once go to other servers.
const CONNECTION_PENALTY: f32 = 0.3;
/// The range of the random factor on the cost of a server in a service that reports load, or whose
/// servers start slowly.
const SPREAD: f32 = 0.1;
/// The share of the servers of a service that reports load which one choice compares.
///
/// Daemons that know the same figures then do not all choose the same server.
const COMPARED_SHARE: f32 = 0.7;
/// The least number of servers of which a choice leaves some out.
const MIN_COUNT_TO_SAMPLE: usize = 8;
/// The weight of the duration of work in the expected time.
///
/// Some of the work ahead is done after that duration has changed.
const WORK_WEIGHT: f32 = 0.9;

impl Choice {
    /// Creates a choice of `count` candidates. `has_reports` tells whether any of them reports its
    /// load.
    #[must_use]
    pub fn new(count: usize, has_reports: bool, penalty: RemotePenalty, draw: u32) -> Self {
        let first = usize::try_from(draw).unwrap_or(0).checked_rem(count).unwrap_or(0);
        let compared_share = if count < MIN_COUNT_TO_SAMPLE { 1.0 } else { COMPARED_SHARE };
        Self {
            count,
            first,
            penalty,
            has_reports,
            has_spread: has_reports,
            draw,
            compared_share,
            offered: 0,
            best: None,
        }
    }

    /// Chooses at random between servers whose costs differ by little.
    ///
    /// The speed of a server is only measured while it is chosen. One that started later would get
    /// nothing while others with free slots seem faster by the inaccuracy of their speeds.
    #[must_use]
    pub fn with_spread(self, has_spread: bool) -> Self {
        Self { has_spread: has_spread || self.has_reports, ..self }
    }

    /// Adds the next candidate; returns whether it is the best so far.
    #[inline]
    pub fn offer(&mut self, candidate: &Candidate) -> bool {
        let position = self.offered;
        self.offered += 1;
        let (spread, sample) =
            if self.has_spread { to_fractions(self.draw, position) } else { (0.0, 0.0) };
        let factor = 1.0 + SPREAD * spread;
        let (time, is_left_out) = if self.has_reports {
            (candidate.expected_time() * factor, sample > self.compared_share)
        } else {
            (candidate.fullness() * factor, false)
        };
        let remote = if candidate.is_near { 0.0 } else { self.penalty.0 };
        let connection = if candidate.is_preferred { 0.0 } else { CONNECTION_PENALTY };
        let cost = time + remote + connection;
        let is_past_end = position < self.first;
        let offset = position + if is_past_end { self.count } else { 0 } - self.first;
        let rank = to_rank(candidate.is_avoided, is_left_out, cost, offset);
        let is_best = self.best.is_none_or(|best| rank < best.rank);
        if is_best {
            self.best = Some(Best { rank, position });
        }
        is_best
    }

    /// Returns the position of the chosen candidate; `None` if there are none.
    #[must_use]
    pub fn chosen(&self) -> Option<usize> {
        self.best.map(|best| best.position)
    }
}

impl Candidate {
    /// Returns how full the server would be with one more request.
    fn fullness(&self) -> f32 {
        to_f32(self.occupied + 1) / to_f32(self.slots.max(1)) * self.slowness
    }

    /// Returns the time to an answer relative to that of a usual server that becomes full.
    ///
    /// It grows from the first request on: the number of requests ahead is only an estimate, and a
    /// server with several free slots stays free for longer. A server that has not reported yet is
    /// compared by what this daemon has there.
    fn expected_time(&self) -> f32 {
        let ExpectedLoad { ahead, slots, work } = self.expected.unwrap_or(ExpectedLoad {
            ahead: to_f32(self.occupied),
            slots: self.slots,
            work: self.slowness,
        });
        let work = WORK_WEIGHT * work + (1.0 - WORK_WEIGHT);
        (ahead + 1.0) / to_f32(slots.max(1)) * work
    }
}

fn to_f32(count: u32) -> f32 {
    f32::from(u16::try_from(count).unwrap_or(u16::MAX))
}

/// Returns a number by which candidates compare: first by the flags, then by the cost, then by the
/// distance from the position that wins among equals.
///
/// Comparing one number takes a fraction of the time that comparing four figures takes.
fn to_rank(is_avoided: bool, is_left_out: bool, cost: f32, offset: usize) -> u64 {
    let flags = u64::from(is_avoided) << 63 | u64::from(is_left_out) << 62;
    // The bits of numbers that are not negative are in their order, and the first one is 0.
    let cost = u64::from(cost.max(0.0).to_bits()) << 30;
    let max_offset = (1 << 30) - 1;
    flags | cost | u64::try_from(offset).unwrap_or(max_offset).min(max_offset)
}

/// Returns two numbers from 0 to 1 that differ between positions and draws.
#[expect(clippy::cast_possible_truncation, reason = "positions differ in their lower bits")]
fn to_fractions(draw: u32, position: usize) -> (f32, f32) {
    let mixed = (draw ^ (position as u32).wrapping_mul(0x9e37_79b9)).wrapping_mul(0x85eb_ca6b);
    let mixed = (mixed ^ (mixed >> 15)).wrapping_mul(0xc2b2_ae35);
    let mixed = mixed ^ (mixed >> 16);
    let to_fraction = |bits: u32| f32::from(bits as u16) * (1.0 / 65_535.0);
    (to_fraction(mixed >> 16), to_fraction(mixed))
}
