//! Guards against a stopping daemon that becomes the controller of a service whose document it has
//! read since, and leaves it without one when its process ends.

use document::Name;
use googletest::prelude::*;
use operator::OperatorClient;
use store::{Expect, MemoryStore, Store};
use tokio::time::{Duration, sleep};
use verbenad::{Daemon, Settings};

const SETTINGS: &str = "[instance]\nname = entry-1\ndata_centre = zurich\n\
    [listen]\nhttp = 127.0.0.1:0\npeer = 127.0.0.1:0\noperator = 127.0.0.1:0\n\
    admin = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n[stop]\nnotice = 4s\ndrain = 1s\n";
const DOCUMENT: &str = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\
    [key-group all]\nprefix = a\nshards = 4\n\
    [class sheet]\nmethod = GET\npath = /ledger/{key}\nidempotent = yes\n\
    [server s]\naddress = 127.0.0.1:1\ndata_centre = zurich\nslots = 1\nconnections = 8\n\
    state = serving\nchecks_fence = yes\n";

/// Returns whether the daemon knows the service within 3 s and whether it controls it by then.
async fn is_known_and_controlled(operator: std::net::SocketAddr) -> (bool, bool) {
    let json = tarpc::tokio_serde::formats::Json::default;
    let transport = tarpc::serde_transport::tcp::connect(operator, json).await.unwrap();
    let client = OperatorClient::new(tarpc::client::Config::default(), transport).spawn();
    let (mut is_known, mut is_controlled) = (false, false);
    for _ in 0..30 {
        sleep(Duration::from_millis(100)).await;
        let status = client.status(tarpc::context::current()).await.unwrap().unwrap();
        let service = status.services.get(&Name::from("ledger"));
        is_known |= service.is_some();
        is_controlled |= service.is_some_and(|service| service.control.is_some());
    }
    (is_known, is_controlled)
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_controls_no_new_service() {
    let settings = Settings::from_ini("entry-1.ini", SETTINGS).unwrap();
    let store = MemoryStore::default();
    let daemon = Daemon::start_with(&settings, &store).unwrap();
    let operator = daemon.settings().listen.operator;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(100)).await;
    store.write("docs/ledger", Expect::Missing, DOCUMENT, None).await.unwrap();
    expect_that!(is_known_and_controlled(operator).await, eq((true, false)));
    stopping.await.unwrap();
}
