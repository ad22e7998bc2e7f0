//! Guards against a daemon that goes on unnoticed without a task that it cannot do without.

use std::time::Duration;

use document::Revision;
use store::{Changes, LeaseId, MemoryStore, Page, Result, Store, Transaction, Value};
use tokio::time::timeout;
use verbenad::{Daemon, Settings};

const SETTINGS: &str = "[instance]\nname = entry-1\ndata_centre = zurich\n\
    [listen]\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n\
    admin = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n[stop]\nnotice = 100ms\ndrain = 1s\n";

/// A store whose client has a bug that each watch of documents shows.
#[derive(Clone, Debug, Default)]
struct FaultyStore(MemoryStore);

impl Store for FaultyStore {
    async fn read(&self, key: &str) -> Result<Option<Value>> {
        self.0.read(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<Page> {
        self.0.list(prefix, after).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Revision> {
        self.0.commit(transaction).await
    }

    async fn open_lease(&self, length_ms: u64) -> Result<LeaseId> {
        self.0.open_lease(length_ms).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<()> {
        self.0.renew_lease(lease).await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<()> {
        self.0.end_lease(lease).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait_ms: u64) -> Result<Changes> {
        assert!(prefix != "docs/", "bug in the client");
        self.0.watch(prefix, after, wait_ms).await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn end_of_a_task_ends_the_daemon() {
    let settings = Settings::from_ini("entry-1.ini", SETTINGS).unwrap();
    let daemon = Daemon::start_with(&settings, &FaultyStore::default()).unwrap();
    timeout(Duration::from_secs(5), daemon.ended()).await.expect("the daemon goes on");
    timeout(Duration::from_secs(5), daemon.stop()).await.expect("the stop does not end");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_faults_goes_on() {
    let settings = Settings::from_ini("entry-1.ini", SETTINGS).unwrap();
    let daemon = Daemon::start_with(&settings, &MemoryStore::default()).unwrap();
    timeout(Duration::from_secs(1), daemon.ended()).await.unwrap_err();
    daemon.stop().await;
}
