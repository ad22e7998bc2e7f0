//! The document of a site.

use std::fmt;
use std::sync::Arc;

use document::{HashMap, Name};

use crate::{Error, Result, Route};

/// The version of a document; it only rises.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// A service that routes name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// The name.
    pub name: Name,
    /// Whether each server holds keys of its own; otherwise any server answers.
    pub is_keyed: bool,
    /// How many connections one server takes from all callers; 0 for no limit.
    pub max_connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The longest head of a request.
    pub max_head_bytes: usize,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout_ms: u64,
    /// How long a connection may stay without a request.
    pub idle_timeout_ms: u64,
}

/// Routes, services and limits that are in force together.
#[derive(Clone, Debug)]
pub struct Site {
    version: Version,
    limits: Limits,
    services: HashMap<Name, ServiceSpec>,
    hosts: HashMap<Name, HashMap<Name, Arc<Route>>>,
}

impl Site {
    /// Builds a site.
    ///
    /// # Errors
    ///
    /// Fails when a route names a service that is not there, has no part with a weight, no
    /// attempt, a prefix without slashes at its ends, or the place of another route.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        limits: Limits,
    ) -> Result<Self> {
        let services: HashMap<Name, ServiceSpec> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut hosts: HashMap<Name, HashMap<Name, Arc<Route>>> = HashMap::default();
        for route in routes {
            check(&route, &services)?;
            let paths = hosts.entry(lower_case(&route.host)).or_default();
            let (name, prefix) = (route.name.clone(), route.prefix.clone());
            if let Some(other) = paths.insert(prefix, Arc::new(route)) {
                let other = &other.name;
                return Err(Error::report(format!("route {name} has the place of {other}")));
            }
        }
        Ok(Self { version, limits, services, hosts })
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits of callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the route with the longest prefix that begins the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let paths = match self.hosts.get(host) {
            Some(paths) => paths,
            // Hosts compare without regard to case; most callers send lower case.
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let ends = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(at, _)| at + 1);
        let mut ends: Vec<usize> = ends.collect();
        while let Some(end) = ends.pop() {
            if let Some(route) = paths.get(&path[..end]) {
                return Some(route);
            }
        }
        None
    }
}

impl ServiceSpec {
    /// Creates a service whose servers hold keys.
    #[must_use]
    pub fn keyed(name: impl Into<Name>) -> Self {
        Self { name: name.into(), is_keyed: true, max_connections: 0 }
    }

    /// Creates a service that any of its servers answers for.
    #[must_use]
    pub fn pooled(name: impl Into<Name>) -> Self {
        Self { name: name.into(), is_keyed: false, max_connections: 0 }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

fn check(route: &Route, services: &HashMap<Name, ServiceSpec>) -> Result<()> {
    let name = &route.name;
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let message = format!("route {name}: prefix {prefix}, expected a slash at both ends");
        return Err(Error::report(message));
    }
    if let Some(part) = route.services.iter().find(|part| !services.contains_key(&part.service)) {
        return Err(Error::report(format!("route {name}: no service {}", part.service)));
    }
    if route.services.iter().all(|part| part.weight == 0) {
        return Err(Error::report(format!("route {name}: expected a service with a weight")));
    }
    if route.max_attempts == 0 || route.timeout_ms == 0 {
        return Err(Error::report(format!("route {name}: expected an attempt and a timeout")));
    }
    Ok(())
}

fn lower_case(host: &Name) -> Name {
    Name::from(host.to_ascii_lowercase())
}
