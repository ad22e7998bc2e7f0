//! Runs the real programs as separate processes and has everything around them go wrong.
//!
//! Faults are drawn from a seed and injected from outside: signals, a loopback proxy on
//! each link, and stand-ins that misbehave. What is checked is what callers and servers
//! see: one owner a key, at most one run of what is not repeatable, refusals that are
//! true, own and whole answers, documents that never go back, and service that returns.

mod callers;
mod cluster;
mod faults;
mod link;
mod run;

pub use callers::{Callers, Counts};
pub use cluster::{Cluster, Daemon, HOST, Result, ServerSlot};
pub use link::{Link, Mode};
pub use run::{Options, Report, folder, run};
