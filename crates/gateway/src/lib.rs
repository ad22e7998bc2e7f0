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
//! - [`LogSampler`] limits the rate of log lines about requests.
//! - [`BootClock`] is the clock for leases and grants.
//!
//! # Modules
//!
//! - Process: `gateway` starts and stops it, `front` serves callers' connections, and `status`
//!   answers the platform's readiness checks and administrators.
//! - Requests: `call` reads a request, `forward` finds a server and retries, `exchange` sends
//!   one attempt to a server, `answer` is the body of the answer, and `refusal` answers
//!   requests that no server answered. `server`, `report` and `retry_budget` hold the state of
//!   servers, services and routes.
//! - Control: `node` handles each `input`. `follow` watches the store, `server_entries` and
//!   `fleet` handle the entries of servers and daemons, `tables` handles the owners of keys,
//!   and `view_builder` builds the view.
//! - Relay of servers' entries: `relay` decides, and `relay_messages` sends and handles the
//!   messages. `distribution` decides how tables reach all daemons.
//! - Leader: `candidacy` decides who campaigns when, `succession` hands leadership over,
//!   `election` wins and renews the leader's lease, `leader_state` holds the leader's
//!   state, and `leader_tasks` carries out what [`shard::Leader`] decides.

mod answer;
mod call;
mod candidacy;
mod clock;
mod cut_leader;
mod detour;
mod distribution;
mod election;
mod exchange;
mod fleet;
mod follow;
mod forward;
mod front;
mod gateway;
mod input;
mod leader_state;
mod leader_tasks;
mod leaving;
mod log_sampler;
mod node;
mod ports;
mod progress;
mod reach;
mod refusal;
mod relay;
mod relay_messages;
mod report;
mod retry_budget;
mod server;
mod server_entries;
mod settings;
mod shared;
mod status;
mod succession;
mod tables;
mod turns;
mod view;
mod view_builder;

pub use candidacy::{Candidate, campaign_order, campaign_wait_ms};
pub use clock::BootClock;
pub use cut_leader::silent_servers;
pub use distribution::{Distribution, Recipients, daemon_groups, publication_transit_ms};
pub use gateway::{Gateway, Ports};
pub use log_sampler::{LogSampler, is_sampled};
pub use ports::{Dialect, EntryText, Orders, Source, Unreadable};
pub use progress::Progress;
pub use reach::{Reach, ReachChange};
pub use relay::{MessageAction, MessageHeader, Relay, Role};
pub use settings::{Listen, RetrySettings, Settings};
pub use shared::Shared;
pub use turns::turn_keeper;
pub use view::View;
