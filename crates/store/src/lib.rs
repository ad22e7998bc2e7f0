//! The platform's key-value service, as the system uses it.
//!
//! [`Store`] is the interface: reads, pages, transactions with conditions, leases, and
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
mod exchange;
mod http;
mod memory;
mod transaction;
mod value;

pub use crate::error::{Category, Error, Result};
pub use crate::exchange::exchange;
pub use crate::http::HttpStore;
pub use crate::memory::{Faults, MemoryStore, Usage};
pub use crate::transaction::{Condition, Put, Transaction};
pub use crate::value::{Changes, Entry, Expect, LeaseId, MAX_VALUE_BYTES, Page, Value};

/// The operations of the platform's key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Value>>> + Send;

    /// Returns the values under a prefix in the order of their keys, one page a call.
    ///
    /// The next page begins after the last key of this one. Pages are not a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn list(&self, prefix: &str, after: Option<&str>) -> impl Future<Output = Result<Page>> + Send;

    /// Makes all changes of a transaction, or none, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when a condition does not hold, with
    /// [`Category::Missing`] when a lease has ended, with [`Category::Refused`] when nothing
    /// was done, and with [`Category::Unclear`] when the changes may have taken effect or
    /// may still do so.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<document::Revision>> + Send;

    /// Writes a value if the present one is as expected, and returns the new revision.
    ///
    /// A value with a lease is removed when the lease ends.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::commit`] does.
    fn write(
        &self,
        key: &str,
        expect: Expect,
        text: &str,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<document::Revision>> + Send {
        let transaction = Transaction::new().expect(key, expect).put(key, text, lease);
        async move { self.commit(&transaction).await }
    }

    /// Removes a value, whatever it is.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    fn remove(&self, key: &str) -> impl Future<Output = Result<()>> + Send {
        let transaction = Transaction::new().remove(key);
        async move { self.commit(&transaction).await.map(drop) }
    }

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

    /// Ends a lease at once; its values are removed.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when the lease has ended.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Returns the values under a prefix that changed after a revision.
    ///
    /// Waits for a change for up to `wait_ms`; the waiting counts as one call.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Compacted`] when the service no longer knows what changed
    /// since then, and otherwise when it does not answer.
    fn watch(
        &self,
        prefix: &str,
        after: document::Revision,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes>> + Send;
}
