//! What operators ask of a daemon, over tarpc.
//!
//! [`Operator`] is the interface; `verbenactl` calls it at any daemon. Every answer is
//! plain data that can be shown as text or as JSON.
//!
//! ```
//! use operator::{Fault, FaultKind};
//!
//! let fault = Fault::new(FaultKind::Conflict, "revision 4 is in force, not 3");
//! assert_eq!(fault.to_string(), "conflict: revision 4 is in force, not 3");
//! ```

// The attribute macro writes methods that cannot carry documentation.
#![allow(missing_docs, reason = "written by the tarpc macro")]

mod answer;
mod fault;

pub use answer::{
    Accepted, Edit, Explanation, InstanceStatus, Past, ServiceStatus, StatusAnswer, Stored,
};
pub use fault::{Fault, FaultKind};

use document::{Name, Revision};

/// The largest request or answer.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// What a daemon does for operators.
#[tarpc::service]
pub trait Operator {
    /// Writes a document if its present revision is as expected.
    async fn apply(edit: Edit) -> Result<Accepted, Fault>;
    /// Returns a service's document, or an earlier revision of it.
    async fn get(service: Name, revision: Option<Revision>) -> Result<Stored, Fault>;
    /// Returns the accepted edits of a service's document, the newest first.
    async fn history(service: Name) -> Result<Vec<Past>, Fault>;
    /// Returns the state of every service and instance.
    async fn status() -> Result<StatusAnswer, Fault>;
    /// Returns where a key's requests go, and why.
    async fn explain(service: Name, key: String) -> Result<Explanation, Fault>;
    /// Returns the daemon's whole state as JSON.
    async fn dump() -> Result<String, Fault>;
}
