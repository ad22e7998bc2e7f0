//! Routes: how the requests under a host and path prefix are treated.

use document::Name;

/// How requests for one host and path prefix are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route name in logs and metrics; meant to be unique per host, which is not checked.
    pub name: Name,
    /// The host in the requests.
    pub host: Name,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub kind: RequestKind,
    /// The services that share the requests by weight.
    pub services: Vec<WeightedService>,
    /// The time from arrival within which a caller gets a final answer.
    pub timeout_ms: u64,
    /// The target latency; a request that is served later counts as late.
    pub latency_target_ms: u64,
    /// How many servers a request may be sent to, retries included.
    pub max_attempts: u32,
    /// The priority of the requests.
    pub priority: Priority,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
    /// The request may run more than once, and its answer is large.
    Download,
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service name.
    pub service: Name,
    /// The weight; the share is this weight divided by the sum of all weights.
    pub weight: u32,
}

/// The priority of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority(pub u32);

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::NonIdempotent
    }
}

impl Route {
    /// Picks a service by weight for a random number.
    ///
    /// Equal numbers pick the same service. A service of weight zero is never picked. Returns
    /// `None` if all weights are zero.
    #[must_use]
    pub fn pick_service(&self, random: u32) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut offset = u64::from(random).checked_rem(total)?;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if offset < weight {
                return Some(&weighted.service);
            }
            offset -= weight;
        }
        None
    }
}
