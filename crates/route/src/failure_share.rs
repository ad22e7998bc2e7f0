//! Which servers of a service are excluded because they fail many requests.

/// The share of requests that a server failed lately, as one daemon sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    share: f32,
    /// When the server counts as failing no longer without another failure.
    deadline_ms: u64,
}

/// The servers of a service that get no pooled requests but probes.
#[derive(Clone, Copy, Debug)]
pub struct Exclusions {
    /// Servers whose share is in a higher class are excluded.
    boundary: usize,
    /// How many servers of that class are excluded too.
    remaining: usize,
}

/// The weight of the latest answer in the share.
const WEIGHT: f32 = 0.1;
/// Its weight while the server counts as failing, when it only gets probes.
const PROBE_WEIGHT: f32 = 0.25;
/// The share from which a server counts as failing.
const FAILING_SHARE: f32 = 0.5;
/// How long a server counts as failing after its last failure.
///
/// A service without idempotent requests has no probes by which a server could recover.
const FAILING_MS: u64 = 10_000;
/// One in this many servers of a service may be excluded at the same time.
const EXCLUDED_DIVISOR: usize = 3;
/// The number of classes in which shares are compared.
const CLASSES: usize = 33;

impl FailureShare {
    /// Handles an answer, or the lack of one.
    pub fn on_outcome(&mut self, now_ms: u64, is_failure: bool) {
        let is_failing = self.share >= FAILING_SHARE;
        let weight = if is_failing { PROBE_WEIGHT } else { WEIGHT };
        let latest = if is_failure { 1.0 } else { 0.0 };
        self.share += weight * (latest - self.share);
        if is_failure {
            self.deadline_ms = now_ms + FAILING_MS;
        }
    }

    /// Returns the share if it is so high that the server counts as failing, or else 0.
    #[must_use]
    pub fn failing(&self) -> f32 {
        if self.share >= FAILING_SHARE { self.share } else { 0.0 }
    }

    /// Returns when the server counts as failing no longer without another failure.
    #[must_use]
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }
}

impl Exclusions {
    /// Selects the servers that are excluded: at most a third of them, those with the highest
    /// shares. `shares` are of all servers of the service, 0 for those that do not count as
    /// failing.
    pub fn new(shares: impl Iterator<Item = f32>) -> Self {
        let mut counts = [0; CLASSES];
        let mut servers = 0;
        for share in shares {
            counts[to_class(share)] += 1;
            servers += 1;
        }
        let mut remaining = servers / EXCLUDED_DIVISOR;
        let mut boundary = CLASSES - 1;
        while boundary > 0 && counts[boundary] <= remaining {
            remaining -= counts[boundary];
            boundary -= 1;
        }
        Self { boundary, remaining }
    }

    /// Returns whether the next server is excluded. It is called for all servers in order.
    pub fn excludes(&mut self, share: f32) -> bool {
        let class = to_class(share);
        if class == 0 || class < self.boundary {
            return false;
        }
        if class > self.boundary {
            return true;
        }
        let is_excluded = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_excluded
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is from 0 to 1"
)]
fn to_class(share: f32) -> usize {
    ((share * 32.0) as usize).min(CLASSES - 1)
}
