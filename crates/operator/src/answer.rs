//! The requests and answers of the operators' interface.

use std::collections::BTreeMap;

use control::Status;
use document::{Name, Revision};
use lease::{Epoch, ShardId, Term};
use serde::{Deserialize, Serialize};

/// A new text for a service's document.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Edit {
    /// The complete new text.
    pub text: String,
    /// The revision that the edit is based on; `None` for a new service.
    pub expected: Option<Revision>,
    /// The name of the operator.
    pub operator: String,
}

/// The answer to an edit that was accepted.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AcceptedEdit {
    /// The service.
    pub service: Name,
    /// The new revision.
    pub revision: Revision,
    /// The sections that changed.
    pub changed: Vec<String>,
}

/// A document as it is stored.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredDocument {
    /// The service.
    pub service: Name,
    /// The revision.
    pub revision: Revision,
    /// The complete text.
    pub text: String,
}

/// An entry of a document's history.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PastEdit {
    /// The revision that the edit created.
    pub revision: Revision,
    /// The name of the operator.
    pub operator: String,
    /// When the edit was accepted, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The sections that changed.
    pub changed: Vec<String>,
    /// The complete text.
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

/// The state of a live instance.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The data centre of the instance.
    pub data_centre: Name,
    /// The revision of each document in force on the instance.
    pub in_force: BTreeMap<Name, Revision>,
}

/// The state of a service; it has settled when `unsettled` is empty.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The newest revision that the answering daemon knows.
    pub document: Revision,
    /// The status from the controller; `None` for a pooled service or without a controller.
    pub control: Option<Status>,
    /// What still differs from the document or waits for a change, and why.
    pub unsettled: Vec<String>,
}

/// Which server gets the requests for a key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: Name,
    /// The key.
    pub key: String,
    /// The position of the key in the hash space.
    pub hash: u64,
    /// The key group.
    pub group: Name,
    /// The shard.
    pub shard: ShardId,
    /// The server that owns the shard; `None` while no server does.
    pub owner: Option<Name>,
    /// The owner's fence epoch.
    pub epoch: Epoch,
    /// The term of the controller that published the route.
    pub term: Term,
    /// The controller that published the route.
    pub controller: Name,
    /// Why the shard has this owner, or what it waits for.
    pub why: String,
}
