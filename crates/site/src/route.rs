//! One route and what it allows.

use document::Name;

/// How requests of one kind are treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The name, unique among the routes of a host.
    pub name: Name,
    /// The host that requests name.
    pub host: Name,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// The services that share the requests, by weight.
    pub services: Vec<WeightedService>,
    /// When a caller gets a final answer at the latest, counted from the arrival.
    pub timeout_ms: u64,
    /// How soon an answer is worth most.
    pub latency_target_ms: u64,
    /// The most servers that one request may be sent to.
    pub max_attempts: u32,
    /// How urgent requests are.
    pub priority: Priority,
}

/// Whether requests may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    NonIdempotent,
    /// Running it again does no harm, and the answers are large.
    Download,
}

/// A service's part in a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its weight among the services.
    pub weight: u32,
}

/// The order of service; 0 goes first.
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
    /// Returns the service for a request that drew `draw`, by weight.
    ///
    /// Equal draws get the same part, and services of weight zero get nothing.
    #[must_use]
    pub fn pick_service(&self, draw: u32) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = u64::from(draw).checked_rem(total)?;
        for part in &self.services {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.service);
            }
            left -= weight;
        }
        None
    }
}
