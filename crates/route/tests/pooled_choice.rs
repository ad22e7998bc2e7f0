//! Which server of a pool gets a request.
use std::sync::Arc;

use document::{Document, HashMap, Name, Revision, Server};
use route::{Decision, InFlight, ServerState, Service};

#[derive(Debug)]
struct Fake {
    server: Server,
    load: u32,
    is_avoided: bool,
}

impl ServerState for Fake {
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

/// Returns a pool with these loads; a load of `None` is a server that failed lately.
fn pool(loads: &[Option<u32>]) -> Service<Fake> {
    let mut text = "[service]\nname = archive\nkind = pooled\n".to_owned();
    for number in 0..loads.len() {
        let server = format!("[server s{number}]\naddress = 127.0.0.1:{number}\n");
        text = text + &server + "data_centre = a\n";
    }
    let document = Arc::new(Document::from_ini("archive", &text).unwrap());
    let servers: HashMap<Name, Arc<Fake>> = document
        .servers
        .iter()
        .zip(loads)
        .map(|(server, load)| {
            let fake = Fake {
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
fn less_busy_of_two() {
    assert_choice(&[Some(3), Some(1), Some(0)], (0, 1), "s1");
    assert_choice(&[Some(3), Some(1), Some(0)], (0, 0), "s0");
}

#[test]
fn failed_ones_are_passed_over() {
    assert_choice(&[None, None, Some(9), None], (0, 1), "s2");
    assert_choice(&[None, None, Some(9), None], (3, 3), "s2");
}

#[test]
fn any_where_all_failed() {
    assert_choice(&[None, None], (1, 1), "s1");
}

#[test]
fn nobody() {
    assert!(matches!(pool(&[]).decide(0, None, (0, 0)), Decision::Refuse(_)));
}
