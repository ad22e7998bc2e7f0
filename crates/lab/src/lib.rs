//! Stand-ins for what surrounds the daemons, load, and measurements.
//!
//! [`serve_store`] stands in for the platform's service, [`StandIn`] for a server.
//! [`Site`] starts both with a few daemons in one process, and [`Load`] sends requests
//! to them. Everything stays on the loopback interface.
//!
//! ```
//! use lab::Zipf;
//! use rand::SeedableRng;
//!
//! let zipf = Zipf::new(1_000, 0.99);
//! let mut random = rand::rngs::StdRng::seed_from_u64(1);
//! assert!(zipf.draw(&mut random) < 1_000);
//! ```

mod availability;
mod figure;
mod job;
mod load;
mod measure;
mod plot;
mod range_server;
mod site;
mod store_server;
mod upstream;
mod witness;
mod zipf;

pub use availability::{Availability, Gaps, Running};
pub use figure::{from_u64, from_usize};
pub use job::{MoveOptions, MoveReport, run_move};
pub use load::{Load, LoadOptions, LoadReport, Outcomes, Targets};
pub use measure::{
    Association, Row, Rows, measure_cost, measure_failover, measure_overload, measure_placement,
    measure_slopes,
};
pub use plot::{Timeline, plot};
pub use range_server::{Ran, RangeServer, Referee, SLOTS, Work};
pub use site::{Error, Plan, ServerPlan, ServicePlan, Site};
pub use store_server::serve_store;
pub use upstream::{REQUEST_ID, StandIn, StandInConfig, StandInFaults};
pub use witness::{Broken, Witness};
pub use zipf::Zipf;
