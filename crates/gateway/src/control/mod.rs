//! The control thread: what it reads from the store and hears from other daemons.

pub(crate) mod era;
pub(crate) mod evacuation;
pub(crate) mod fleet;
pub(crate) mod follow;
pub(crate) mod input;
pub(crate) mod leaving;
pub(crate) mod node;
pub(crate) mod operators;
pub(crate) mod operators_relay;
pub(crate) mod progress;
pub(crate) mod relay;
pub(crate) mod relay_messages;
pub(crate) mod server_entries;
pub(crate) mod tables;
pub(crate) mod view_builder;
