//! The routes, services and limits of a whole site, as one versioned document.
//!
//! [`Site::new`] checks and builds a [`Site`] from [`Route`]s, [`ServiceSpec`]s and
//! [`Limits`]; every service that a route names exists. [`Site::find_route`] returns the route
//! of a request by its host and the longest matching path prefix. A route says which
//! services share the requests ([`WeightedService`]), whether a request may run more than
//! once ([`RequestKind`]), how long it may take and how many servers may be tried.
//!
//! ```
//! use site::{RequestKind, Limits, WeightedService, Priority, Route, ServiceSpec, Site, Version};
//!
//! let service = ServiceSpec::pooled("archive");
//! let route = Route {
//!     name: "reports".into(),
//!     host: "depot.example".into(),
//!     prefix: "/reports/".into(),
//!     kind: RequestKind::Idempotent,
//!     services: vec![WeightedService { service: "archive".into(), weight: 1 }],
//!     timeout_ms: 1_000,
//!     latency_target_ms: 250,
//!     max_attempts: 2,
//!     priority: Priority(1),
//! };
//! let site = Site::new(Version(7), vec![route], vec![service], Limits::default())?;
//! assert!(site.find_route("depot.example", "/reports/2026/4").is_some());
//! assert!(site.find_route("depot.example", "/reports").is_none());
//! # Ok::<(), error_stack::Report<site::Error>>(())
//! ```

mod error;
mod route;
mod site;

pub use error::{Error, Result};
pub use route::{Priority, RequestKind, Route, WeightedService};
pub use site::{Limits, ServiceSpec, Site, Version, Warmup};
