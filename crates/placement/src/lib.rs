//! Placement: which server owns which shard.
//!
//! A [`Request`] lists the shards of one service with their current owners and measured
//! load, and the servers that may own them. A [`Policy`] answers with a [`Plan`], which has
//! an owner and a successor for every shard; the successor takes the shard over when the
//! owner is lost.
//!
//! There are two policies. [`Balanced`] keeps current owners unless a server leaves or the
//! load is uneven. [`Rendezvous`] hashes shards to servers; it is the baseline with which
//! [`Balanced`] is compared.
//!
//! ```
//! use document::Name;
//! use placement::{Balanced, Candidate, Policy, Request, Shard};
//!
//! let server = |name: &str| Candidate::new(Name::from(name), Name::from("zurich"), 4);
//! let request = Request {
//!     shards: (0..8).map(|id| Shard::new(id, 0)).collect(),
//!     servers: vec![server("a"), server("b")],
//!     is_load_unknown: false,
//! };
//! let plan = Balanced::default().plan(&request);
//! assert_eq!(plan.owners.iter().filter(|owner| **owner == Some(0)).count(), 4);
//! ```

mod balanced;
mod load_share;
mod plan;
mod rendezvous;
mod request;

pub use balanced::Balanced;
pub use plan::{Plan, Policy};
pub use rendezvous::Rendezvous;
pub use request::{Candidate, Request, Shard};
