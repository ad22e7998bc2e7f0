//! What operators send and get.

use std::collections::BTreeMap;

use control::Status;
use document::{Name, Revision};
use lease::{Epoch, ShardId, Term};
use serde::{Deserialize, Serialize};

/// A new text for a service's document.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Edit {
    /// The whole text.
    pub text: String,
    /// The revision that was edited; `None` for a new service.
    pub expected: Option<Revision>,
    /// Who edits.
    pub operator: String,
}

/// An edit that was accepted.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Accepted {
    /// The service.
    pub service: Name,
    /// The new revision.
    pub revision: Revision,
    /// The sections that changed.
    pub changed: Vec<String>,
}

/// A document as it is stored.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Stored {
    /// The service.
    pub service: Name,
    /// The revision.
    pub revision: Revision,
    /// The whole text.
    pub text: String,
}

/// An edit that was accepted earlier.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Past {
    /// The revision that it made.
    pub revision: Revision,
    /// Who edited.
    pub operator: String,
    /// The time, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The sections that changed.
    pub changed: Vec<String>,
    /// The whole text.
    pub text: String,
}

/// The state of every service and instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct StatusAnswer {
    /// The daemon that answers.
    pub instance: Option<Name>,
    /// The live instances.
    pub instances: BTreeMap<Name, InstanceStatus>,
    /// The services.
    pub services: BTreeMap<Name, ServiceStatus>,
}

/// One live instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The data centre that it stands in.
    pub data_centre: Name,
    /// The revision of each document in force there.
    pub in_force: BTreeMap<Name, Revision>,
}

/// One service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The newest revision that the answering daemon knows.
    pub document: Revision,
    /// What the controller says; `None` for a pooled service, or while there is none.
    pub control: Option<Status>,
    /// What has not settled, and why.
    pub unsettled: Vec<String>,
}

/// Where a key's requests go.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: Name,
    /// The key.
    pub key: String,
    /// The position in the hash space.
    pub hash: u64,
    /// The key group.
    pub group: Name,
    /// The shard.
    pub shard: ShardId,
    /// The server that serves it; `None` while there is none.
    pub owner: Option<Name>,
    /// The owner's fence epoch.
    pub epoch: Epoch,
    /// The term of the controller that said so.
    pub term: Term,
    /// That controller.
    pub controller: Name,
    /// Why the owner is the owner, or what is waited for.
    pub why: String,
}
