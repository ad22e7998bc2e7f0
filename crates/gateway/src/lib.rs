//! The daemon for sites whose servers register themselves in the platform's store.
//!
//! Daemons route requests to servers by a versioned document, the [`site::Site`]. At most one
//! daemon at a time is the leader; it assigns the keys of keyed services to servers with a
//! [`shard::Leader`].
//!
//! # How the types fit
//!
//! - [`Gateway`] is the process. It starts the threads, runs until a stop signal and then
//!   drains. [`Settings`] say where it listens and which limits it has.
//! - [`Ports`] connect it to a platform: [`store::Store`] is the durable store, [`Orders`]
//!   sends grants and releases to servers, [`Source`] parses documents and servers' entries,
//!   and [`Dialect`] names the HTTP headers.
//! - The control thread owns all control state. It handles changes in the store, messages from
//!   other daemons and timers, and it campaigns to become the leader.
//! - The traffic thread serves callers. It reads an immutable [`View`], which the control
//!   thread replaces whenever routing changes. Both threads hold a [`Shared`] with the view,
//!   the counters and the tracker of crashing requests.
//! - [`Role`] and [`Relay`] decide which daemons read the servers' entries from the store and
//!   which get them from another daemon.
//! - [`Progress`] tells from which revision the next watch of the store has to start.
//! - [`StopPlan`] has the times of a graceful stop.
//! - [`LogSampler`] limits the rate of log lines about requests.
//! - [`BootClock`] is the clock for leases and grants.
//!
//! # Modules
//!
//! - Process: `gateway` starts and stops it, `essential_tasks` notices when one of its tasks ends,
//!   `shared` is what its threads share, and `status` answers the platform's readiness checks and
//!   administrators.
//! - `request`, the path of a request: `front` accepts callers' connections and `connection` serves
//!   one, `call` reads a request, `in_flight` knows what each request waits for, `forward` finds a
//!   server and retries, `admission` waits for room there, `exchange` sends one attempt to a server,
//!   and `detour` sends it through another daemon. `server`, `report`, `turns` and `retry_budget`
//!   hold the state of servers, services and routes.
//! - `control`, what is read from the store and from other daemons: `node` handles each `input`,
//!   `follow` watches the store, `operators` and `evacuation` handle what operators write,
//!   `server_entries` and `fleet` handle the entries of servers and
//!   daemons, `relay` decides who reads them, `operators_relay` tells other daemons how new what
//!   operators wrote is, `era` handles a store that came back from an older copy, `tables` handles
//!   the owners of keys, and `view_builder` builds the view.
//! - `leader`, what the leader does: `candidacy` decides who campaigns when, `succession` hands
//!   leadership over, `election` wins and renews the leader's lease, `distribution` decides how
//!   tables reach all daemons, and `leader_tasks` carries out what [`shard::Leader`] decides.

mod clock;
mod control;
mod essential_tasks;
mod gateway;
mod gauges;
mod leader;
mod log_sampler;
mod ports;
mod request;
mod settings;
mod shared;
mod status;
mod stop_plan;

pub use clock::BootClock;
pub use control::evacuation::{EvacuationReport, Evacuations};
pub use control::progress::Progress;
pub use control::relay::{MessageAction, MessageHeader, Relay, Role};
pub use gateway::{Gateway, Ports};
pub use leader::candidacy::{Candidate, campaign_order, campaign_wait_ms};
pub use leader::connection_check::ConnectionCheck;
pub use leader::cut_leader::silent_servers;
pub use leader::distribution::{Distribution, Recipients, daemon_groups, publication_transit_ms};
pub use log_sampler::{LogSampler, is_sampled};
pub use ports::{Dialect, EntryText, Orders, Source, Unreadable};
pub use request::reach::{Reach, ReachChange};
pub use request::report::ServiceState;
pub use request::server::Server;
pub use request::turns::turn_keeper;
pub use request::view::{PoolMember, ServiceView, View};
pub use settings::{Listen, RetrySettings, Settings};
pub use shared::Shared;
pub use stop_plan::StopPlan;
