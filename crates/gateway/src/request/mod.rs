//! The path of a caller's request, and the state of servers and services that it uses.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod attempt_log;
pub(crate) mod call;
pub(crate) mod connection;
pub(crate) mod detour;
pub(crate) mod earlier_refusals;
pub(crate) mod exchange;
pub(crate) mod forward;
pub(crate) mod front;
pub(crate) mod in_flight;
pub(crate) mod reach;
pub(crate) mod refusal;
pub(crate) mod report;
pub(crate) mod retry_budget;
pub(crate) mod sent_to;
pub(crate) mod server;
pub(crate) mod speed;
pub(crate) mod tries;
pub(crate) mod turns;
pub(crate) mod view;
