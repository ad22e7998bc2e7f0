//! Stand-ins for the store and the servers, a load generator, and measurements.
//!
//! The crate is the library behind the command `verbena-lab` and tests of other crates. A
//! [`Site`] uses only the loopback interface.
//!
//! 1. **Stand-ins.** [`serve_store`] stands in for the platform's key-value service over HTTP.
//!    [`StandIn`] is a server that takes the controller's orders over HTTP and into which
//!    [`StandInFaults`] can be injected. [`RangeServer`] is an in-process server that owns ranges
//!    of keys; its [`OwnershipChecker`] finds keys with two owners and requests that ran twice, and its [`VisitLog`] tells when
//!    requests were at servers. Its [`ServerProcess`] can be stopped and continued. [`ServerFaults`] and [`WorkTimes`] set how servers answer.
//! 2. **Site.** A [`SitePlan`] lists services, servers and daemons. [`Site::start_open`] starts
//!    them in one process and waits until all shards are served. The servers report to one
//!    [`RuleChecker`], which counts [`RuleViolations`].
//! 3. **Load.** [`Load`] sends open-loop requests to [`Targets`] and returns a [`LoadReport`].
//!    A [`Zipf`] distribution chooses the keys.
//! 4. **Measurements.** [`run_move`] replaces most servers of a site under load, while
//!    [`Availability`] watches for shards without a serving owner. The `measure_…` functions
//!    return [`Rows`] of figures, and [`plot`] draws a [`Timeline`].
//!
//! ```
//! use lab::Zipf;
//! use rand::SeedableRng;
//!
//! let zipf = Zipf::new(1_000, 0.99);
//! let mut random = rand::rngs::StdRng::seed_from_u64(1);
//! assert!(zipf.sample(&mut random) < 1_000);
//! ```

mod addresses;
mod availability;
mod endless_answer;
mod float;
mod load;
mod measure;
mod order_connection;
mod plot;
mod range_server;
mod rule_checker;
mod server_faults;
mod server_move;
mod server_process;
mod site;
mod store_server;
mod upstream;
mod visits;
mod work_times;
mod zipf;

pub use addresses::Addresses;
pub use availability::{Availability, Gaps, RunningDaemons};
pub use endless_answer::{EndlessBody, to_faulty};
pub use float::{f64_from_u64, f64_from_usize};
pub use load::{Load, LoadOptions, LoadReport, Outcomes, Targets};
pub use measure::{
    Association, Row, Rows, measure_cost, measure_failover, measure_overload, measure_placement,
    measure_slopes,
};
pub use order_connection::OrderConnection;
pub use plot::{Timeline, plot};
pub use range_server::{Execution, FenceCheck, OwnershipChecker, RangeServer, SLOTS, Work};
pub use rule_checker::{RuleChecker, RuleViolations};
pub use server_faults::{Copies, HeldRequest, ServerFaults};
pub use server_move::{MoveOptions, MoveReport, run_move};
pub use server_process::{ArrivedCall, ServerProcess};
pub use site::{Error, ServerPlan, ServicePlan, Site, SitePlan};
pub use store_server::serve_store;
pub use upstream::{REQUEST_ID, StandIn, StandInConfig, StandInFaults};
pub use visits::{Visit, VisitEnd, VisitLog};
pub use work_times::WorkTimes;
pub use zipf::Zipf;
