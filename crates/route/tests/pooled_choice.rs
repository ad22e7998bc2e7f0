//! Guards against pooled requests that go to the busier of two servers, or to one that failed
//! recently while others could answer.
use std::sync::Arc;

use document::{Document, HashMap, Name, Revision, Server};
use route::{Decision, InFlight, ServerState, Service};

#[derive(Debug)]
struct FakeServer {
    server: Server,
    load: u32,
    is_avoided: bool,
}

impl ServerState for FakeServer {
    fn load(&self) -> u32 {
        self.load
    }

    fn is_avoided(&self, _now_ms: u64) -> bool {
        self.is_avoided
    }

    fn server(&self) -> &Server {
        &self.server
    }
}

/// Returns a pool of servers with these loads; `None` is a server to avoid.
fn pool(loads: &[Option<u32>]) -> Service<FakeServer> {
    let mut text = "[service]\nname = archive\nkind = pooled\n".to_owned();
    for number in 0..loads.len() {
        let server = format!("[server s{number}]\naddress = 127.0.0.1:{number}\n");
        text = text + &server + "data_centre = a\n";
    }
    let document = Arc::new(Document::from_ini("archive", &text).unwrap());
    let servers: HashMap<Name, Arc<FakeServer>> = document
        .servers
        .iter()
        .zip(loads)
        .map(|(server, load)| {
            let fake = FakeServer {
                server: server.clone(),
                load: load.unwrap_or(0),
                is_avoided: load.is_none(),
            };
            (server.name.clone(), Arc::new(fake))
        })
        .collect();
    Service::new(Revision(1), document, None, Arc::new(InFlight::default()), &servers)
}

#[track_caller]
fn assert_choice(loads: &[Option<u32>], draw: (u32, u32), expected: &str) {
    match pool(loads).decide(0, None, draw) {
        Decision::Forward(target) => assert_eq!(target.server.server.name, expected),
        other => panic!("{other:?}"),
    }
}

#[test]
fn less_loaded_of_two_is_chosen() {
    assert_choice(&[Some(3), Some(1), Some(0)], (0, 1), "s1");
    assert_choice(&[Some(3), Some(1), Some(0)], (0, 0), "s0");
}

#[test]
fn avoided_servers_are_skipped() {
    assert_choice(&[None, None, Some(9), None], (0, 1), "s2");
    assert_choice(&[None, None, Some(9), None], (3, 3), "s2");
}

#[test]
fn avoided_server_is_chosen_if_all_are() {
    assert_choice(&[None, None], (1, 1), "s1");
}

#[test]
fn empty_pool_refuses() {
    assert!(matches!(pool(&[]).decide(0, None, (0, 0)), Decision::Refuse(_)));
}
