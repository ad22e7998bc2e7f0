//! The RPC interface between operators and daemons, over tarpc with JSON.
//!
//! [`Operator`] is the service trait: each daemon implements it, and `verbenactl` calls any
//! daemon through the generated [`OperatorClient`]. Requests and answers are plain data types
//! that serialize as JSON. A call that reaches a daemon but fails there returns an
//! [`Error`], whose [`ErrorKind`] tells a client what to do next.
//!
//! ```
//! use operator::{Error, ErrorKind};
//!
//! let error = Error::new(ErrorKind::Conflict, "revision 4 is in force, not 3");
//! assert_eq!(error.to_string(), "conflict: revision 4 is in force, not 3");
//! ```

// The attribute macro generates methods that cannot carry documentation.
#![allow(missing_docs, reason = "written by the tarpc macro")]

mod answer;
mod error;

pub use answer::{
    AcceptedEdit, Edit, Explanation, InstanceStatus, PastEdit, ServiceStatus, StatusAnswer,
    StoredDocument,
};
pub use error::{Error, ErrorKind};

use document::{Name, Revision};

/// The largest request or answer, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// The calls that a daemon answers for operators.
#[tarpc::service]
pub trait Operator {
    /// Replaces a service's document if its current revision is the expected one.
    async fn apply(edit: Edit) -> Result<AcceptedEdit, Error>;
    /// Returns a service's document: the current one, or an earlier revision.
    async fn get(service: Name, revision: Option<Revision>) -> Result<StoredDocument, Error>;
    /// Returns the accepted edits of a service's document, newest first.
    async fn history(service: Name) -> Result<Vec<PastEdit>, Error>;
    /// Returns the state of every service and instance.
    async fn status() -> Result<StatusAnswer, Error>;
    /// Returns which server gets the requests for a key, and why.
    async fn explain(service: Name, key: String) -> Result<Explanation, Error>;
    /// Returns the complete state of the called daemon as JSON.
    async fn dump() -> Result<String, Error>;
}
