//! The platform's key-value service, as the system uses it.
//!
//! [`Store`] is the interface: reads, writes with compare-and-swap, leases, and
//! watches that wait for a change. [`HttpStore`] speaks to the service over HTTP.
//! [`MemoryStore`] is the stand-in for tests, with the service's limits and faults.
//!
//! ```
//! use store::{Expect, MemoryStore, Store};
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! let store = MemoryStore::default();
//! let revision = store.write("docs/ledger", Expect::Missing, "text", None).await?;
//! let value = store.read("docs/ledger").await?.expect("it was written");
//! assert_eq!((value.revision, value.text.as_str()), (revision, "text"));
//! # Ok::<(), error_stack::Report<store::Error>>(())
//! # }).unwrap();
//! ```

mod error;
mod http;
mod memory;
mod value;

pub use crate::error::{Category, Error, Result};
pub use crate::http::HttpStore;
pub use crate::memory::{Faults, MemoryStore, Usage};
pub use crate::value::{Changes, Entry, Expect, LeaseId, MAX_VALUE_BYTES, Value};

/// The operations of the platform's key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Value>>> + Send;

    /// Writes a value if the present one is as expected, and returns the new revision.
    ///
    /// A value with a lease is removed when the lease ends.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when the present value is another one, with
    /// [`Category::Refused`] when nothing was written, and with [`Category::Unclear`]
    /// when the write may have taken effect.
    fn write(
        &self,
        key: &str,
        expect: Expect,
        text: &str,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<document::Revision>> + Send;

    /// Removes a value, whatever it is.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn remove(&self, key: &str) -> impl Future<Output = Result<()>> + Send;

    /// Opens a lease that ends unless it is kept.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn open_lease(&self, length_ms: u64) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Keeps a lease for its length from now on.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when the lease has ended.
    fn keep_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Returns the values under a prefix that changed after a revision.
    ///
    /// Waits for a change for up to `wait_ms`; the waiting counts as one call.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn watch(
        &self,
        prefix: &str,
        after: document::Revision,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes>> + Send;
}
