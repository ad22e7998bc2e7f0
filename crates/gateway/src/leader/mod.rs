//! What the leader does: campaigns, elections, handing leadership over, and assigning keys.

pub(crate) mod candidacy;
pub(crate) mod connection_check;
pub(crate) mod cut_leader;
pub(crate) mod distribution;
pub(crate) mod election;
pub(crate) mod leader_state;
pub(crate) mod leader_tasks;
pub(crate) mod older_store;
pub(crate) mod succession;
