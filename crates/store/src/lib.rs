//! The interface to the platform's key-value service, called the store.
//!
//! [`Store`] is the interface: reads, paged lists, transactions with conditions, leases, and
//! watches that wait for changes. [`HttpStore`] calls the service over HTTP, and
//! [`MemoryStore`] is an in-memory stand-in for tests with rate limits and [`Faults`].
//!
//! Each transaction gets a new [`Revision`](document::Revision). A [`Transaction`] holds
//! [`Condition`]s on the revisions of some keys; its [`Put`]s and removals are made together
//! or not at all. A value with a [`LeaseId`] is removed when the lease ends. The [`Category`]
//! of an [`Error`] says whether a failed call may have taken effect.
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

use tokio::sync::watch;

mod call;
mod era;
mod error;
mod http;
mod memory;
mod transaction;
mod value;

pub use crate::call::{AnswerTime, call_store};
pub use crate::era::{Era, EraTracker};
pub use crate::error::{Category, Error, Result};
pub use crate::http::HttpStore;
pub use crate::memory::{Faults, MemoryStore, StoreCopy, Usage};
pub use crate::transaction::{Condition, Put, Transaction};
pub use crate::value::{Changes, Entry, Expect, LeaseId, MAX_VALUE_BYTES, Page, Value};

/// The operations of the key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns the newest era that an answer has named, and notices when it changes.
    ///
    /// A service without eras names none.
    fn era(&self) -> watch::Receiver<Option<Era>> {
        watch::channel(None).1
    }

    /// Returns the value of a key, or `None` if it has none.
    ///
    /// # Errors
    ///
    /// Fails when the service refuses the call or does not answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Value>>> + Send;

    /// Returns one page of the values whose keys have a prefix, sorted by key.
    ///
    /// The page holds keys greater than `after`; pass the last key of a page to get the next
    /// one. Pages are read one by one and are together not a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the service refuses the call or does not answer.
    fn list(&self, prefix: &str, after: Option<&str>) -> impl Future<Output = Result<Page>> + Send;

    /// Makes all changes of a transaction or none, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when a condition does not hold, with
    /// [`Category::Missing`] when a lease has ended, with [`Category::Refused`] when nothing
    /// was done, and with [`Category::Unknown`] when the changes may have taken effect or
    /// may still take effect.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<document::Revision>> + Send;

    /// Writes a value if the current one is as expected, and returns the new revision.
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

    /// Removes the value of a key without a condition.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::commit`] does.
    fn remove(&self, key: &str) -> impl Future<Output = Result<()>> + Send {
        let transaction = Transaction::new().remove(key);
        async move { self.commit(&transaction).await.map(drop) }
    }

    /// Opens a lease that expires after `length_ms` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Fails when the service refuses the call or does not answer.
    fn open_lease(&self, length_ms: u64) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease: it expires its full length from now.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when the lease has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Ends a lease at once, which removes its values.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when the lease has ended.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Returns the values under a prefix that changed after a revision.
    ///
    /// If there are none, waits up to `wait_ms` for a change. A watch counts as one read,
    /// however long it waits.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Compacted`] when the service no longer has all changes since
    /// the revision, and otherwise when it refuses the call or does not answer.
    fn watch(
        &self,
        prefix: &str,
        after: document::Revision,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes>> + Send;
}
