//! An entry of another writer names the address of a server, which then leaves.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Callers, Cluster, OwnerCheck, held_by, judge_owners, start_store};
use crate::record::Record;
use crate::server::Server;

/// How long a request takes at a server.
const WORK: Duration = Duration::from_millis(25);
/// How long a server goes on serving after its entry was removed (`Drain`, and a little longer).
const DRAIN: Duration = Duration::from_millis(2_500);
/// How many servers leave, one after the other.
const LEAVING: usize = 3;

pub fn run(scratch: &Path, record: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(record).map(Arc::new) else { return Verdict::CannotRun };
    let (store, address) = start_store();
    let zones = ["doto-a", "doto-b", "doto-c"];
    let add = |number: usize| {
        let (id, zone) = (format!("i-desk{number}"), zones[number % 3]);
        Server::start(&id, ("desk", true), zone, WORK, &store, &record)
    };
    let servers: Vec<Arc<Server>> = (0..3 + LEAVING).map(add).collect();
    let servers = Arc::new(Mutex::new(servers));
    let owners = OwnerCheck::start(&servers, &record);
    let Ok(cluster) = Cluster::start(scratch, address, &record) else {
        return Verdict::CannotRun;
    };
    if !cluster.wait_until_held(&servers) {
        record.say("the daemons did not get ready");
        cluster.end();
        return Verdict::CannotRun;
    }
    record.say("all keys are held; callers start");
    let callers = Callers::start(&cluster, 24, Duration::from_millis(25));
    std::thread::sleep(Duration::from_secs(4));
    for number in 0..LEAVING {
        let server = Arc::clone(&servers.lock().unwrap()[number]);
        if has_trouble {
            // The service is not one that the desired state names.
            let entry = server.entry_of_another("node-agent");
            record.say(&format!("another writer writes {entry}"));
            store.write(&format!("servers/agent-{number}"), &entry);
        }
        std::thread::sleep(Duration::from_secs(2));
        record.say(&format!(
            "the entry of {} is removed; it holds {} of 1024 keys and serves on",
            server.id,
            held_by(&server)
        ));
        server.unregister();
        std::thread::sleep(DRAIN);
        server.leave();
        record.say(&format!("{} has left", server.id));
        std::thread::sleep(Duration::from_secs(2));
    }
    let outcomes = callers.end();
    let overlaps = owners.end();
    cluster.end();
    judge_owners(&record, &overlaps, &outcomes)
}
