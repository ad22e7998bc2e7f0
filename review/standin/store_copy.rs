//! The store comes back from a copy while keys have just moved to a new server.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::cluster::{Callers, Cluster, OwnerCheck, held_by, judge_owners, start_store};
use crate::record::Record;
use crate::server::Server;

/// How long a request takes at a server.
const WORK: Duration = Duration::from_millis(25);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// The most age of the copy when the store comes back.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);

pub fn run(scratch: &Path, record: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(record).map(Arc::new) else { return Verdict::CannotRun };
    let (store, address) = start_store();
    let add = |id: &str, zone| Server::start(id, ("desk", true), zone, WORK, &store, &record);
    let zones = ["doto-a", "doto-b", "doto-c"];
    let first: Vec<Arc<Server>> =
        (0..4).map(|number| add(&format!("i-desk{number}"), zones[number % 3])).collect();
    let servers = Arc::new(Mutex::new(first));
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
    std::thread::sleep(Duration::from_secs(6));

    let copy = store.copy();
    let copied_at = Instant::now();
    record.say(&format!("the store is copied at revision {}", store.revision()));
    let added = add("i-desk-new", "doto-b");
    servers.lock().unwrap().push(Arc::clone(&added));
    record.say("an empty server is added");
    let has_keys = || held_by(&added) > 0;
    while !has_keys() && copied_at.elapsed() < MAX_COPY_AGE - AWAY {
        std::thread::sleep(Duration::from_millis(20));
    }
    if !has_keys() {
        record.say("the new server got no keys in time");
        callers.end();
        cluster.end();
        return Verdict::CannotRun;
    }
    record.say(&format!("the new server holds {} of 1024 keys", held_by(&added)));
    std::thread::sleep((MAX_COPY_AGE - AWAY).saturating_sub(copied_at.elapsed()));
    if has_trouble {
        record.say(&format!("the store is away, at revision {}", store.revision()));
        store.set_down(true);
        std::thread::sleep(AWAY);
        store.go_on_from(copy);
        store.set_down(false);
        for server in servers.lock().unwrap().iter() {
            server.report_again();
        }
        let age_ms = copied_at.elapsed().as_millis();
        record.say(&format!("the store is back from the copy, which is {age_ms} ms old"));
    }
    std::thread::sleep(Duration::from_secs(20));
    let outcomes = callers.end();
    let overlaps = owners.end();
    cluster.end();

    judge_owners(&record, &overlaps, &outcomes)
}
