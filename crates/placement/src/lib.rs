//! Which server holds which shard.
//!
//! A [`Request`] describes the shards as they are held now and the servers that
//! may hold them; a [`Policy`] answers with a [`Plan`]: an owner and a successor
//! for every shard. [`Balanced`] keeps shards where they are unless a server
//! leaves or the shares are uneven. [`Rendezvous`] is the baseline to compare with.
//!
//! ```
//! use document::Name;
//! use placement::{Balanced, Candidate, Policy, Request, Shard};
//!
//! let server = |name: &str| Candidate::new(Name::from(name), Name::from("zurich"), 4);
//! let request = Request {
//!     shards: (0..8).map(|id| Shard::new(id, 0)).collect(),
//!     servers: vec![server("a"), server("b")],
//!     is_early: false,
//! };
//! let plan = Balanced::default().plan(&request);
//! assert_eq!(plan.owners.iter().filter(|owner| **owner == Some(0)).count(), 4);
//! ```

mod balanced;
mod plan;
mod rendezvous;
mod request;
mod share;

pub use balanced::Balanced;
pub use plan::{Plan, Policy};
pub use rendezvous::Rendezvous;
pub use request::{Candidate, Request, Shard};
