//! A soak test: runs the real programs as separate processes while faults are injected.
//!
//! [`run`] carries out one run as its [`Options`] say and returns a [`Report`]. It starts a
//! [`Cluster`]: daemons as processes, and stand-ins for the store and the servers, connected
//! by [`Link`]s. [`Callers`] send requests meanwhile.
//!
//! Faults are drawn from a seed and injected from outside: signals to daemons, links that
//! delay or hold back bytes or reset connections, and stand-ins that misbehave or are suspended. With links of
//! their own to the servers, daemons lose these as well. The run checks what callers and servers
//! see:
//!
//! - each key has one owner at a time,
//! - a request that is not idempotent runs at most once,
//! - a request that was refused as not run did not run,
//! - each response is complete and belongs to its request,
//! - daemons never return to an earlier document,
//! - service recovers after the last fault.
//!
//! A run of planned stops has no faults. Callers send more than the servers have room for, while
//! daemons stop in series and at the same time, documents change and servers are replaced. It
//! checks besides that a daemon answers every request that it has read, except where the users'
//! rule for planned work allows it to break the request off.
//!
//! With the program of an earlier version, a run is also a rolling upgrade: all daemons start
//! with that program and are replaced one after the other while the faults go on.

mod callers;
mod cluster;
mod exchange;
mod faults;
mod kept_callers;
mod link;
mod link_faults;
mod loss_check;
mod order_faults;
mod planned_stops;
mod probes;
mod rotation;
mod run;
mod server_stops;
mod upgrade;

pub use callers::{Callers, Counts};
pub use cluster::{
    Cluster, ClusterOptions, Daemon, HOST, Result, RouteTimes, ServerHandle, ServerLoad,
};
pub use exchange::{Answer, CallerConnection, Exchange, RequestBytes};
pub use link::{Link, LinkMode};
pub use loss_check::{Ending, LossCheck};
pub use rotation::Rotation;
pub use run::{MAX_RECOVERY_S, Options, Report, run, seed_dir};
pub use upgrade::{Version, VersionStart};
