//! Guards against a process that goes on without its control task, with what it knew until then, and
//! against a leader that waits for ever for the outcome of a task that has ended.

mod fixture;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use document::Name;
use gateway::{Dialect, EntryText, Gateway, Orders, Ports, Settings, Source, Unreadable};
use http::HeaderName;
use registry::Registration;
use shard::{ConnectionId, OrderKind, Reply};
use site::{Limits, ServiceSpec, Site, Version};
use store::{Expect, MemoryStore, Store};

use crate::fixture::{SERVICE, registry, server};

#[derive(Clone)]
struct NoOrders;

impl Orders for NoOrders {
    async fn send(
        &self,
        _: SocketAddr,
        _: &Name,
        _: &OrderKind,
        _: u64,
        _: Option<ConnectionId>,
    ) -> Reply {
        Reply::NotSent
    }
}

/// A site with one service whose servers own keys.
#[derive(Clone)]
struct TestSource {
    /// Whether the parser has a bug that each server's entry shows.
    is_faulty: bool,
}

impl Source for TestSource {
    fn site_key(&self) -> &'static str {
        "operators/site"
    }

    fn operators_prefix(&self) -> &'static str {
        "operators/"
    }

    fn evacuations_prefix(&self) -> &'static str {
        "operators/evacuations/"
    }

    fn servers_prefix(&self) -> &'static str {
        "servers/"
    }

    fn read_site(&self, _: &str) -> Result<Site, Unreadable> {
        let services = vec![ServiceSpec::keyed(SERVICE)];
        Ok(Site::new(Version(1), Vec::new(), services, Limits::default()).unwrap())
    }

    fn read_server(&self, entry: EntryText<'_>) -> Result<Registration, Unreadable> {
        assert!(!self.is_faulty, "bug in the parser of {}", entry.server);
        Ok((**registry(1).get(&server(0)).unwrap()).clone())
    }
}

/// Orders of which the first one ends its task.
#[derive(Clone)]
struct FaultyOrders {
    sent: mpsc::Sender<()>,
    count: Arc<AtomicUsize>,
}

impl Orders for FaultyOrders {
    async fn send(
        &self,
        _: SocketAddr,
        _: &Name,
        _: &OrderKind,
        _: u64,
        _: Option<ConnectionId>,
    ) -> Reply {
        assert_ne!(self.count.fetch_add(1, Ordering::Relaxed), 0, "bug in the sender of orders");
        // The test may have seen enough.
        let _is_awaited = self.sent.send(()).is_ok();
        Reply::Done(None)
    }
}

fn dialect() -> Dialect {
    let header = HeaderName::from_static;
    Dialect {
        request_id: header("request-id"),
        time_left_ms: header("time-left"),
        expected_server: header("expected-server"),
        not_run: header("not-run"),
        leaving: header("leaving"),
        rate_limit: header("rate-limit"),
        cold_ms: header("cold"),
        load: header("load"),
        signature: header("signature"),
        key: header("key"),
    }
}

fn settings() -> Settings {
    let listeners: [TcpListener; 4] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let [front, ready, peer, admin] =
        listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let text = format!(
        "[instance]\nname = edge-1\ndata_centre = a\n[store]\naddress = 127.0.0.1:1\n\
         [listen]\nfront = {front}\nready = {ready}\npeer = {peer}\nadmin = {admin}\n\
         [stop]\ngrace = 1s\n"
    );
    Settings::from_ini("test.ini", &text).unwrap()
}

#[test]
fn process_stops_with_an_error_when_the_control_task_panics() {
    let store = MemoryStore::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(store.write("servers/i-1", Expect::Anything, "{}", None)).unwrap();
    let ports = Ports {
        store,
        orders: NoOrders,
        source: TestSource { is_faulty: true },
        dialect: dialect(),
    };
    let gateway = Gateway::new(settings(), "test.ini".into(), ports);
    let (ended, result) = mpsc::channel();
    std::thread::spawn(move || ended.send(gateway.run().is_err()));
    // The wait for a reader of the group, the read of the list, and the grace period.
    assert_eq!(result.recv_timeout(Duration::from_secs(10)), Ok(true));
}

/// Guards against a server that gets no further grants for the whole term of a leader because the task
/// of one order ended without an outcome.
#[test]
fn server_gets_grants_after_an_order_whose_task_panics() {
    let store = MemoryStore::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for key in ["operators/site".to_owned(), format!("servers/{}", server(0).server)] {
        runtime.block_on(store.write(&key, Expect::Anything, "{}", None)).unwrap();
    }
    let (sent, orders) = mpsc::channel();
    let orders_port = FaultyOrders { sent, count: Arc::default() };
    let ports = Ports {
        store,
        orders: orders_port,
        source: TestSource { is_faulty: false },
        dialect: dialect(),
    };
    let gateway = Gateway::new(settings(), "test.ini".into(), ports);
    std::thread::spawn(move || gateway.run());
    // The election, the wait for more servers, and the wait after an order without an outcome.
    assert_eq!(orders.recv_timeout(Duration::from_secs(20)), Ok(()));
}
