//! The routes, services and limits of a whole site, as one versioned document.
//!
//! A [`Site`] says which service answers a request, by host and longest path prefix, how
//! often it may be tried and how long it may take. Names that the document uses are
//! checked when it is built, so that a site in force has no dangling references.
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
pub use site::{Limits, ServiceSpec, Site, Version};
