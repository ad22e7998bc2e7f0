//! The checked document of a site.

use std::fmt;
use std::sync::Arc;

use document::{HashMap, Name};

use crate::{Error, Result, Route};

/// The version of a site document; it only increases.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// A service that routes can send requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    /// The service name.
    pub name: Name,
    /// Whether the servers own keys; if not, any server can answer.
    pub is_keyed: bool,
    /// The total number of connections that one server accepts; 0 means no limit.
    pub max_connections: u32,
    /// What its servers need after their start; `None` if that is nothing special.
    pub warmup: Option<Warmup>,
}

/// What a server needs after its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Warmup {
    /// The requests that it tolerates while it is cold, from all daemons together, in thousandths
    /// of a request per second; `None` if daemons have to find out.
    pub tolerated_milli_per_s: Option<u64>,
    /// How long a server is cold after its start; 0 if unknown.
    pub duration_ms: u64,
}

/// Limits on what callers send and on how long they take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head.
    pub max_head_bytes: usize,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request head.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// The routes, services and limits of one version of the document.
#[derive(Clone, Debug)]
pub struct Site {
    version: Version,
    limits: Limits,
    services: HashMap<Name, ServiceSpec>,
    routes_by_host: HashMap<Name, HashMap<Name, Arc<Route>>>,
}

impl Site {
    /// Builds a site after checking that its routes are valid.
    ///
    /// # Errors
    ///
    /// Fails when a route names an unknown service, has no service with a positive weight,
    /// has 0 attempts or a timeout of 0, has a prefix without a slash at both ends, or has
    /// the host and prefix of another route.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        limits: Limits,
    ) -> Result<Self> {
        let services: HashMap<Name, ServiceSpec> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut routes_by_host: HashMap<Name, HashMap<Name, Arc<Route>>> = HashMap::default();
        for route in routes {
            validate(&route, &services)?;
            let routes_by_prefix = routes_by_host.entry(lower_case(&route.host)).or_default();
            let (name, prefix) = (route.name.clone(), route.prefix.clone());
            if let Some(other) = routes_by_prefix.insert(prefix, Arc::new(route)) {
                let other = &other.name;
                return Err(Error::report(format!(
                    "route {name} has the host and prefix of route {other}, \
                     expected another host or prefix"
                )));
            }
        }
        Ok(Self { version, limits, services, routes_by_host })
    }

    /// Returns the document version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services in an arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes_by_prefix = match self.routes_by_host.get(host) {
            Some(routes_by_prefix) => routes_by_prefix,
            // Host names are case-insensitive; most callers send lower case, which needs no copy.
            None => self.routes_by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let prefix_ends =
            path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(index, _)| index + 1);
        let mut prefix_ends: Vec<usize> = prefix_ends.collect();
        while let Some(end) = prefix_ends.pop() {
            if let Some(route) = routes_by_prefix.get(&path[..end]) {
                return Some(route);
            }
        }
        None
    }
}

impl ServiceSpec {
    /// Creates a service whose servers own keys, without a connection limit.
    #[must_use]
    pub fn keyed(name: impl Into<Name>) -> Self {
        Self { name: name.into(), is_keyed: true, max_connections: 0, warmup: None }
    }

    /// Creates a service whose requests any server can answer, without a connection limit.
    #[must_use]
    pub fn pooled(name: impl Into<Name>) -> Self {
        Self { name: name.into(), is_keyed: false, max_connections: 0, warmup: None }
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

fn validate(route: &Route, services: &HashMap<Name, ServiceSpec>) -> Result<()> {
    let name = &route.name;
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let message = format!("route {name}: prefix {prefix}, expected a slash at both ends");
        return Err(Error::report(message));
    }
    if let Some(unknown) =
        route.services.iter().find(|weighted| !services.contains_key(&weighted.service))
    {
        return Err(Error::report(format!(
            "route {name}: unknown service {}, expected one of the site's services",
            unknown.service
        )));
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        return Err(Error::report(format!(
            "route {name}: no service has a weight above 0, expected at least one"
        )));
    }
    if route.max_attempts == 0 || route.timeout_ms == 0 {
        return Err(Error::report(format!(
            "route {name}: attempts or timeout is 0, expected both above 0"
        )));
    }
    Ok(())
}

fn lower_case(host: &Name) -> Name {
    Name::from(host.to_ascii_lowercase())
}
