//! Guards against operators' edits that the store has accepted while the daemon stops, and that
//! have neither an answer nor an entry in the history.

use document::Revision;
use googletest::prelude::*;
use operator::{Edit, OperatorClient};
use store::{Faults, MemoryStore, Store};
use tokio::time::{Duration, sleep};
use verbenad::{Daemon, Settings};

const SETTINGS: &str = "[instance]\nname = entry-1\ndata_centre = zurich\n\
    [listen]\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n\
    admin = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n[stop]\nnotice = 0ms\ndrain = 20s\n";
const DOCUMENT: &str = "[service]\nname = archive\nkind = pooled\n\
    [class sheet]\nmethod = GET\npath = /archive/{id}\nidempotent = yes\n\
    [server s]\naddress = 127.0.0.1:1\ndata_centre = zurich\nslots = 1\nconnections = 8\n\
    state = serving\nchecks_fence = yes\n";
/// The delay of each call to the store, of which an edit makes several.
const STORE_DELAY_MS: u64 = 100;

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn edit_is_answered_and_recorded() {
    let settings = Settings::from_ini("entry-1.ini", SETTINGS).unwrap();
    let store = MemoryStore::default();
    let daemon = Daemon::start_with(&settings, &store).unwrap();
    let transport = tarpc::serde_transport::tcp::connect(
        daemon.settings().listen.operator,
        tarpc::tokio_serde::formats::Json::default,
    );
    let client =
        OperatorClient::new(tarpc::client::Config::default(), transport.await.unwrap()).spawn();
    store.set_faults(Faults { delay_ms: STORE_DELAY_MS, ..Faults::default() });
    let edit = Edit { text: DOCUMENT.to_owned(), expected: None, operator: "test".to_owned() };
    let apply = tokio::spawn(async move { client.apply(tarpc::context::current(), edit).await });
    sleep(Duration::from_millis(STORE_DELAY_MS / 2)).await;
    daemon.stop().await;
    let accepted = apply.await.unwrap().expect("an answer").expect("an accepted edit");
    expect_that!(accepted.revision, gt(Revision(0)));
    store.set_faults(Faults::default());
    let key = format!("history/archive/{}", accepted.revision);
    expect_that!(store.read(&key).await.unwrap(), some(anything()));
}
